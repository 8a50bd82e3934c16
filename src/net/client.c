#include "net/client.h"

#include <curl/curl.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>

#define URL_SIZE 512
#define HEADER_LINE_SIZE 128
#define KEPT_CONNECTIONS_MAX 2L
#define RETRY_AFTER_HEADER "Retry-After:"

struct rr_client {
    CURL *curl;
    struct curl_slist *headers; /* of every request */
    const atomic_bool *stop;
    /* Of the running call: */
    GByteArray *reply_body;
    size_t reply_body_max; /* 0: no bound */
    double retry_after_s;
    const char *unsent; /* rest of the request's body */
    size_t unsent_bytes;
};

int rr_net_init(void) {
    return curl_global_init(CURL_GLOBAL_DEFAULT) == CURLE_OK ? 0 : -EIO;
}

/* libcurl's callbacks; a write callback that takes less than it is given ends the call. */

static size_t receive_body(char *cursor, size_t size, size_t count, void *user) {
    rr_client *client = user;
    if (client->reply_body_max && client->reply_body->len + size * count > client->reply_body_max) {
        return 0;
    }
    g_byte_array_append(client->reply_body, (const guint8 *)cursor, (guint)(size * count));
    return size * count;
}

static size_t receive_header(char *cursor, size_t size, size_t count, void *user) {
    rr_client *client = user;
    char line[HEADER_LINE_SIZE];
    size_t length = size * count < sizeof line - 1 ? size * count : sizeof line - 1;
    memcpy(line, cursor, length);
    line[length] = 0;
    const size_t name_length = strlen(RETRY_AFTER_HEADER);
    if (g_ascii_strncasecmp(line, RETRY_AFTER_HEADER, name_length) == 0) {
        client->retry_after_s = g_ascii_strtod(line + name_length, NULL);
    }
    return size * count;
}

/* The body comes from a callback that can't seek, on purpose. When a kept-alive connection fails
 * during a request, libcurl would send the request again by itself, while a first copy held up by
 * the network could still be executed later. Since it can't go back to the start of the body, it
 * reports the failure, and the caller knows that the outcome is unknown. */
static size_t send_body(char *cursor, size_t size, size_t count, void *user) {
    rr_client *client = user;
    size_t length = size * count < client->unsent_bytes ? size * count : client->unsent_bytes;
    memcpy(cursor, client->unsent, length);
    client->unsent += length;
    client->unsent_bytes -= length;
    return length;
}

static int check_stop(void *user, curl_off_t download_total, curl_off_t downloaded,
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
    client->reply_body = g_byte_array_new();
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
    g_byte_array_free(client->reply_body, TRUE);
    g_free(client);
}

static void set_method_and_body(rr_client *client, const struct rr_http_call *call) {
    curl_easy_setopt(client->curl, CURLOPT_HTTPHEADER, client->headers);
    if (strcmp(call->method, "GET") == 0) {
        curl_easy_setopt(client->curl, CURLOPT_HTTPGET, 1L);
        return;
    }
    client->unsent = call->body;
    client->unsent_bytes = call->len;
    curl_easy_setopt(client->curl, CURLOPT_POST, 1L);
    curl_easy_setopt(client->curl, CURLOPT_READFUNCTION, send_body);
    curl_easy_setopt(client->curl, CURLOPT_READDATA, client);
    curl_easy_setopt(client->curl, CURLOPT_POSTFIELDSIZE, (long)call->len);
    if (strcmp(call->method, "POST") != 0) {
        curl_easy_setopt(client->curl, CURLOPT_CUSTOMREQUEST, call->method);
    }
}

static void set_target(rr_client *client, const struct rr_http_call *call) {
    char url[URL_SIZE];
    g_snprintf(url, sizeof url, "http://%s:%u%s", call->endpoint->host, call->endpoint->port,
               call->path);
    curl_easy_setopt(client->curl, CURLOPT_URL, url);
    curl_easy_setopt(client->curl, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(client->curl, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(client->curl, CURLOPT_PROXY, "");
}

static void set_connection(rr_client *client, const struct rr_http_call *call) {
    long timeout_ms = (long)(call->timeout_s * 1000);
    curl_easy_setopt(client->curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(client->curl, CURLOPT_TIMEOUT_MS, timeout_ms);
    curl_easy_setopt(client->curl, CURLOPT_CONNECTTIMEOUT_MS, timeout_ms);
    curl_easy_setopt(client->curl, CURLOPT_MAXCONNECTS, KEPT_CONNECTIONS_MAX);
    if (call->fresh) {
        curl_easy_setopt(client->curl, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(client->curl, CURLOPT_FORBID_REUSE, 1L);
    }
}

static void set_callbacks(rr_client *client) {
    curl_easy_setopt(client->curl, CURLOPT_WRITEFUNCTION, receive_body);
    curl_easy_setopt(client->curl, CURLOPT_WRITEDATA, client);
    curl_easy_setopt(client->curl, CURLOPT_HEADERFUNCTION, receive_header);
    curl_easy_setopt(client->curl, CURLOPT_HEADERDATA, client);
    curl_easy_setopt(client->curl, CURLOPT_XFERINFOFUNCTION, check_stop);
    curl_easy_setopt(client->curl, CURLOPT_XFERINFODATA, client);
    curl_easy_setopt(client->curl, CURLOPT_NOPROGRESS, 0L);
}

/* As rr_client_call(). A fresh connection that timed out before a byte of the request was sent has
 * certainly not sent it; of a kept one that is not known. */
static int error_of(rr_client *client, CURLcode code, bool fresh) {
    long request_bytes = 0;
    curl_easy_getinfo(client->curl, CURLINFO_REQUEST_SIZE, &request_bytes);
    switch (code) {
    case CURLE_COULDNT_CONNECT:
        return -ENOTCONN;
    case CURLE_OPERATION_TIMEDOUT:
        return fresh && request_bytes == 0 ? -ENOTCONN : -ETIMEDOUT;
    case CURLE_ABORTED_BY_CALLBACK:
        return -ECANCELED;
    default:
        return -EIO;
    }
}

int rr_client_call(rr_client *client, const struct rr_http_call *call, rr_http_reply *out) {
    curl_easy_reset(client->curl); /* options only: connections stay */
    g_byte_array_set_size(client->reply_body, 0);
    client->reply_body_max = call->reply_bytes_max;
    client->retry_after_s = 0;
    set_target(client, call);
    set_connection(client, call);
    set_callbacks(client);
    set_method_and_body(client, call);
    CURLcode code = curl_easy_perform(client->curl);
    if (code != CURLE_OK) {
        return error_of(client, code, call->fresh);
    }
    out->status = 0;
    curl_easy_getinfo(client->curl, CURLINFO_RESPONSE_CODE, &out->status);
    out->body = client->reply_body;
    out->retry_after_s = client->retry_after_s;
    return 0;
}
