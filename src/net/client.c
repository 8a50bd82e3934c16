#include "net/client.h"

#include <curl/curl.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>

struct rr_client {
    CURL *curl;
    struct curl_slist *headers;
    GByteArray *body;
    size_t body_max;
    double retry_after_s;
    const char *send;
    size_t send_left;
    const atomic_bool *stop;
};

int rr_net_init(void) {
    return curl_global_init(CURL_GLOBAL_DEFAULT) == CURLE_OK ? 0 : -EIO;
}

static size_t on_body(char *cursor, size_t size, size_t count, void *user) {
    rr_client *client = user;
    if (client->body_max && client->body->len + size * count > client->body_max) {
        return 0;
    }
    g_byte_array_append(client->body, (const guint8 *)cursor, (guint)(size * count));
    return size * count;
}

static size_t on_header(char *cursor, size_t size, size_t count, void *user) {
    rr_client *client = user;
    char line[128];
    size_t length = size * count < sizeof line - 1 ? size * count : sizeof line - 1;
    memcpy(line, cursor, length);
    line[length] = 0;
    if (g_ascii_strncasecmp(line, "Retry-After:", 12) == 0) {
        client->retry_after_s = g_ascii_strtod(line + 12, NULL);
    }
    return size * count;
}

/* The body comes from a callback that can't seek, on purpose: when a kept-alive connection dies
 * under a request, libcurl would silently send it again, and a first copy held up by the network
 * could still be carried out later. Without a way back to the start it reports the failure, and the
 * caller knows that its request is in doubt. */
static size_t on_send(char *cursor, size_t size, size_t count, void *user) {
    rr_client *client = user;
    size_t length = size * count < client->send_left ? size * count : client->send_left;
    memcpy(cursor, client->send, length);
    client->send += length;
    client->send_left -= length;
    return length;
}

static int on_progress(void *user, curl_off_t download_total, curl_off_t downloaded,
                       curl_off_t upload_total, curl_off_t uploaded) {
    const rr_client *client = user;
    (void)download_total;
    (void)downloaded;
    (void)upload_total;
    (void)uploaded;
    return client->stop && atomic_load(client->stop);
}

rr_client *rr_client_create(const atomic_bool *stop) {
    rr_client *client = g_new0(rr_client, 1);
    client->curl = curl_easy_init();
    if (!client->curl) {
        g_free(client);
        return NULL;
    }
    client->body = g_byte_array_new();
    client->stop = stop;
    client->headers = curl_slist_append(NULL, "Content-Type: application/msgpack");
    client->headers = curl_slist_append(client->headers, "Expect:");
    client->headers = curl_slist_append(client->headers, "Accept:");
    return client;
}

void rr_client_destroy(rr_client *client) {
    if (!client) {
        return;
    }
    curl_easy_cleanup(client->curl);
    curl_slist_free_all(client->headers);
    g_byte_array_free(client->body, TRUE);
    g_free(client);
}

static void set_body(rr_client *client, const struct rr_call *call) {
    curl_easy_setopt(client->curl, CURLOPT_HTTPHEADER, client->headers);
    if (strcmp(call->method, "GET") == 0) {
        curl_easy_setopt(client->curl, CURLOPT_HTTPGET, 1L);
        return;
    }
    client->send = call->body;
    client->send_left = call->len;
    curl_easy_setopt(client->curl, CURLOPT_POST, 1L);
    curl_easy_setopt(client->curl, CURLOPT_READFUNCTION, on_send);
    curl_easy_setopt(client->curl, CURLOPT_READDATA, client);
    curl_easy_setopt(client->curl, CURLOPT_POSTFIELDSIZE, (long)call->len);
    if (strcmp(call->method, "POST") != 0) {
        curl_easy_setopt(client->curl, CURLOPT_CUSTOMREQUEST, call->method);
    }
}

static int failure(rr_client *client, CURLcode rc, bool fresh) {
    long sent = 0;
    curl_easy_getinfo(client->curl, CURLINFO_REQUEST_SIZE, &sent);
    if (rc == CURLE_COULDNT_CONNECT || (rc == CURLE_OPERATION_TIMEDOUT && fresh && sent == 0)) {
        return -ENOTCONN;
    }
    if (rc == CURLE_ABORTED_BY_CALLBACK) {
        return -ECANCELED;
    }
    return rc == CURLE_OPERATION_TIMEDOUT ? -ETIMEDOUT : -EIO;
}

int rr_client_call(rr_client *client, const struct rr_call *call, rr_reply *out) {
    char url[512];
    g_snprintf(url, sizeof url, "http://%s:%u%s", call->to->host, call->to->port, call->path);
    /* Options are reset, connections stay. */
    curl_easy_reset(client->curl);
    g_byte_array_set_size(client->body, 0);
    client->body_max = call->answer_max;
    client->retry_after_s = 0;
    curl_easy_setopt(client->curl, CURLOPT_URL, url);
    curl_easy_setopt(client->curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(client->curl, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(client->curl, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(client->curl, CURLOPT_TIMEOUT_MS, (long)(call->timeout_s * 1000));
    curl_easy_setopt(client->curl, CURLOPT_CONNECTTIMEOUT_MS, (long)(call->timeout_s * 1000));
    curl_easy_setopt(client->curl, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(client->curl, CURLOPT_WRITEDATA, client);
    curl_easy_setopt(client->curl, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(client->curl, CURLOPT_HEADERDATA, client);
    curl_easy_setopt(client->curl, CURLOPT_XFERINFOFUNCTION, on_progress);
    curl_easy_setopt(client->curl, CURLOPT_XFERINFODATA, client);
    curl_easy_setopt(client->curl, CURLOPT_NOPROGRESS, 0L);
    curl_easy_setopt(client->curl, CURLOPT_MAXCONNECTS, 2L);
    curl_easy_setopt(client->curl, CURLOPT_PROXY, "");
    if (call->fresh) {
        curl_easy_setopt(client->curl, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(client->curl, CURLOPT_FORBID_REUSE, 1L);
    }
    set_body(client, call);
    CURLcode rc = curl_easy_perform(client->curl);
    if (rc != CURLE_OK) {
        return failure(client, rc, call->fresh);
    }
    out->status = 0;
    curl_easy_getinfo(client->curl, CURLINFO_RESPONSE_CODE, &out->status);
    out->body = client->body;
    out->retry_after_s = client->retry_after_s;
    return 0;
}
