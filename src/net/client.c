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

static size_t on_body(char *p, size_t size, size_t n, void *user) {
    rr_client *c = user;
    if (c->body_max && c->body->len + size * n > c->body_max) {
        return 0;
    }
    g_byte_array_append(c->body, (const guint8 *)p, (guint)(size * n));
    return size * n;
}

static size_t on_header(char *p, size_t size, size_t n, void *user) {
    rr_client *c = user;
    char line[128];
    size_t len = size * n < sizeof line - 1 ? size * n : sizeof line - 1;
    memcpy(line, p, len);
    line[len] = 0;
    if (g_ascii_strncasecmp(line, "Retry-After:", 12) == 0) {
        c->retry_after_s = g_ascii_strtod(line + 12, NULL);
    }
    return size * n;
}

/* The body comes from a callback that can't seek, on purpose: when a kept-alive connection dies
 * under a request, libcurl would silently send it again, and a first copy held up by the network
 * could still be carried out later. Without a way back to the start it reports the failure, and the
 * caller knows that its request is in doubt. */
static size_t on_send(char *p, size_t size, size_t n, void *user) {
    rr_client *c = user;
    size_t len = size * n < c->send_left ? size * n : c->send_left;
    memcpy(p, c->send, len);
    c->send += len;
    c->send_left -= len;
    return len;
}

static int on_progress(void *user, curl_off_t a, curl_off_t b, curl_off_t d, curl_off_t e) {
    const rr_client *c = user;
    (void)a;
    (void)b;
    (void)d;
    (void)e;
    return c->stop && atomic_load(c->stop);
}

rr_client *rr_client_create(const atomic_bool *stop) {
    rr_client *c = g_new0(rr_client, 1);
    c->curl = curl_easy_init();
    if (!c->curl) {
        g_free(c);
        return NULL;
    }
    c->body = g_byte_array_new();
    c->stop = stop;
    c->headers = curl_slist_append(NULL, "Content-Type: application/msgpack");
    c->headers = curl_slist_append(c->headers, "Expect:");
    c->headers = curl_slist_append(c->headers, "Accept:");
    return c;
}

void rr_client_destroy(rr_client *c) {
    if (!c) {
        return;
    }
    curl_easy_cleanup(c->curl);
    curl_slist_free_all(c->headers);
    g_byte_array_free(c->body, TRUE);
    g_free(c);
}

static void set_body(rr_client *c, const struct rr_call *call) {
    curl_easy_setopt(c->curl, CURLOPT_HTTPHEADER, c->headers);
    if (strcmp(call->method, "GET") == 0) {
        curl_easy_setopt(c->curl, CURLOPT_HTTPGET, 1L);
        return;
    }
    c->send = call->body;
    c->send_left = call->len;
    curl_easy_setopt(c->curl, CURLOPT_POST, 1L);
    curl_easy_setopt(c->curl, CURLOPT_READFUNCTION, on_send);
    curl_easy_setopt(c->curl, CURLOPT_READDATA, c);
    curl_easy_setopt(c->curl, CURLOPT_POSTFIELDSIZE, (long)call->len);
    if (strcmp(call->method, "POST") != 0) {
        curl_easy_setopt(c->curl, CURLOPT_CUSTOMREQUEST, call->method);
    }
}

static int failure(rr_client *c, CURLcode rc, bool fresh) {
    long sent = 0;
    curl_easy_getinfo(c->curl, CURLINFO_REQUEST_SIZE, &sent);
    if (rc == CURLE_COULDNT_CONNECT || (rc == CURLE_OPERATION_TIMEDOUT && fresh && sent == 0)) {
        return -ENOTCONN;
    }
    if (rc == CURLE_ABORTED_BY_CALLBACK) {
        return -ECANCELED;
    }
    return rc == CURLE_OPERATION_TIMEDOUT ? -ETIMEDOUT : -EIO;
}

int rr_client_call(rr_client *c, const struct rr_call *call, rr_reply *out) {
    char url[512];
    g_snprintf(url, sizeof url, "http://%s:%u%s", call->to->host, call->to->port, call->path);
    /* Options are reset, connections stay. */
    curl_easy_reset(c->curl);
    g_byte_array_set_size(c->body, 0);
    c->body_max = call->answer_max;
    c->retry_after_s = 0;
    curl_easy_setopt(c->curl, CURLOPT_URL, url);
    curl_easy_setopt(c->curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(c->curl, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(c->curl, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(c->curl, CURLOPT_TIMEOUT_MS, (long)(call->timeout_s * 1000));
    curl_easy_setopt(c->curl, CURLOPT_CONNECTTIMEOUT_MS, (long)(call->timeout_s * 1000));
    curl_easy_setopt(c->curl, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(c->curl, CURLOPT_WRITEDATA, c);
    curl_easy_setopt(c->curl, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(c->curl, CURLOPT_HEADERDATA, c);
    curl_easy_setopt(c->curl, CURLOPT_XFERINFOFUNCTION, on_progress);
    curl_easy_setopt(c->curl, CURLOPT_XFERINFODATA, c);
    curl_easy_setopt(c->curl, CURLOPT_NOPROGRESS, 0L);
    curl_easy_setopt(c->curl, CURLOPT_MAXCONNECTS, 2L);
    curl_easy_setopt(c->curl, CURLOPT_PROXY, "");
    if (call->fresh) {
        curl_easy_setopt(c->curl, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(c->curl, CURLOPT_FORBID_REUSE, 1L);
    }
    set_body(c, call);
    CURLcode rc = curl_easy_perform(c->curl);
    if (rc != CURLE_OK) {
        return failure(c, rc, call->fresh);
    }
    out->status = 0;
    curl_easy_getinfo(c->curl, CURLINFO_RESPONSE_CODE, &out->status);
    out->body = c->body;
    out->retry_after_s = c->retry_after_s;
    return 0;
}
