#include "net/client.h"

#include <curl/curl.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>

#define URL_SIZE 512         /* bytes, with the NUL */
#define HEADER_LINE_SIZE 128 /* bytes that are read of a header line, with the NUL */
#define CACHED_CONNECTIONS_MAX 2L
#define RETRY_AFTER_HEADER "Retry-After:"

struct rr_http_client {
    CURL *curl;
    struct curl_slist *headers; /* sent with every request */
    const atomic_bool *stop;    /* aborts the running call when true; NULL: never */

    /* State of the running call. */
    GByteArray *reply_body;
    size_t reply_body_max;   /* in bytes; 0: unlimited */
    double retry_after_s;    /* from the reply's Retry-After header; 0: none */
    const char *unsent_body; /* the part of the request body that libcurl has not read yet */
    size_t unsent_body_bytes;
};

int rr_http_client_init(void) {
    return curl_global_init(CURL_GLOBAL_DEFAULT) == CURLE_OK ? 0 : -EIO;
}

/* Callbacks for libcurl; `user` is the rr_http_client. */

/* Appends received bytes to the reply's body. Returns 0, which aborts the call, if the body would
 * exceed its limit. */
static size_t receive_body(char *data, size_t size, size_t count, void *user) {
    rr_http_client *client = user;
    if (client->reply_body_max && client->reply_body->len + size * count > client->reply_body_max) {
        return 0;
    }
    g_byte_array_append(client->reply_body, (const guint8 *)data, (guint)(size * count));
    return size * count;
}

/* Reads the Retry-After header and ignores all others. */
static size_t receive_header(char *data, size_t size, size_t count, void *user) {
    rr_http_client *client = user;
    char line[HEADER_LINE_SIZE];
    size_t length = size * count < sizeof line - 1 ? size * count : sizeof line - 1;
    memcpy(line, data, length);
    line[length] = 0;
    const size_t name_length = strlen(RETRY_AFTER_HEADER);
    if (g_ascii_strncasecmp(line, RETRY_AFTER_HEADER, name_length) == 0) {
        client->retry_after_s = g_ascii_strtod(line + name_length, NULL);
    }
    return size * count;
}

/* Copies the next part of the request body into libcurl's buffer. The body is passed by a callback
 * without a seek function to prevent automatic retries: when a kept-alive connection fails during a
 * request, libcurl would resend it, although the first copy may be delayed in the network and still
 * be executed later. As libcurl can't rewind the body, it reports the failure instead, and the
 * caller knows that the outcome is unknown. */
static size_t send_body(char *buffer, size_t size, size_t count, void *user) {
    rr_http_client *client = user;
    size_t length =
        size * count < client->unsent_body_bytes ? size * count : client->unsent_body_bytes;
    memcpy(buffer, client->unsent_body, length);
    client->unsent_body += length;
    client->unsent_body_bytes -= length;
    return length;
}

/* Progress callback: a nonzero return value aborts the call. */
static int abort_if_stopped(void *user, curl_off_t download_total, curl_off_t downloaded,
                            curl_off_t upload_total, curl_off_t uploaded) {
    const rr_http_client *client = user;
    (void)download_total;
    (void)downloaded;
    (void)upload_total;
    (void)uploaded;
    return client->stop && atomic_load(client->stop);
}

rr_http_client *rr_http_client_create(const atomic_bool *stop) {
    rr_http_client *client = g_new0(rr_http_client, 1);
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

void rr_http_client_destroy(rr_http_client *client) {
    if (!client) {
        return;
    }
    curl_easy_cleanup(client->curl);
    curl_slist_free_all(client->headers);
    g_byte_array_free(client->reply_body, TRUE);
    g_free(client);
}

static void set_method_and_body(rr_http_client *client, const struct rr_http_call *call) {
    curl_easy_setopt(client->curl, CURLOPT_HTTPHEADER, client->headers);
    if (strcmp(call->method, "GET") == 0) {
        curl_easy_setopt(client->curl, CURLOPT_HTTPGET, 1L);
        return;
    }
    client->unsent_body = call->body;
    client->unsent_body_bytes = call->body_bytes;
    curl_easy_setopt(client->curl, CURLOPT_POST, 1L);
    curl_easy_setopt(client->curl, CURLOPT_READFUNCTION, send_body);
    curl_easy_setopt(client->curl, CURLOPT_READDATA, client);
    curl_easy_setopt(client->curl, CURLOPT_POSTFIELDSIZE, (long)call->body_bytes);
    if (strcmp(call->method, "POST") != 0) {
        curl_easy_setopt(client->curl, CURLOPT_CUSTOMREQUEST, call->method);
    }
}

static void set_url_and_protocol(rr_http_client *client, const struct rr_http_call *call) {
    char url[URL_SIZE];
    g_snprintf(url, sizeof url, "http://%s:%u%s", call->endpoint->host, call->endpoint->port,
               call->path);
    curl_easy_setopt(client->curl, CURLOPT_URL, url);
    curl_easy_setopt(client->curl, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(client->curl, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(client->curl, CURLOPT_PROXY, "");
}

static void set_connection_options(rr_http_client *client, const struct rr_http_call *call) {
    long timeout_ms = (long)(call->timeout_s * 1000);
    curl_easy_setopt(client->curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(client->curl, CURLOPT_TIMEOUT_MS, timeout_ms);
    curl_easy_setopt(client->curl, CURLOPT_CONNECTTIMEOUT_MS, timeout_ms);
    curl_easy_setopt(client->curl, CURLOPT_MAXCONNECTS, CACHED_CONNECTIONS_MAX);
    if (call->use_new_connection) {
        curl_easy_setopt(client->curl, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(client->curl, CURLOPT_FORBID_REUSE, 1L);
    }
}

static void set_callbacks(rr_http_client *client) {
    curl_easy_setopt(client->curl, CURLOPT_WRITEFUNCTION, receive_body);
    curl_easy_setopt(client->curl, CURLOPT_WRITEDATA, client);
    curl_easy_setopt(client->curl, CURLOPT_HEADERFUNCTION, receive_header);
    curl_easy_setopt(client->curl, CURLOPT_HEADERDATA, client);
    curl_easy_setopt(client->curl, CURLOPT_XFERINFOFUNCTION, abort_if_stopped);
    curl_easy_setopt(client->curl, CURLOPT_XFERINFODATA, client);
    curl_easy_setopt(client->curl, CURLOPT_NOPROGRESS, 0L);
}

/* Returns the error of rr_http_client_call() for a failed transfer. A timeout before any byte of
 * the request was sent proves only on a new connection that the request was not sent; on a reused
 * one it proves nothing. */
static int error_from_curl_code(rr_http_client *client, CURLcode code, bool new_connection) {
    long request_bytes = 0;
    curl_easy_getinfo(client->curl, CURLINFO_REQUEST_SIZE, &request_bytes);
    switch (code) {
    case CURLE_COULDNT_CONNECT:
        return -ENOTCONN;
    case CURLE_OPERATION_TIMEDOUT:
        return new_connection && request_bytes == 0 ? -ENOTCONN : -ETIMEDOUT;
    case CURLE_ABORTED_BY_CALLBACK:
        return -ECANCELED;
    default:
        return -EIO;
    }
}

int rr_http_client_call(rr_http_client *client, const struct rr_http_call *call,
                        rr_http_reply *reply) {
    curl_easy_reset(client->curl); /* resets options, keeps connections open */
    g_byte_array_set_size(client->reply_body, 0);
    client->reply_body_max = call->reply_bytes_max;
    client->retry_after_s = 0;
    set_url_and_protocol(client, call);
    set_connection_options(client, call);
    set_callbacks(client);
    set_method_and_body(client, call);
    CURLcode code = curl_easy_perform(client->curl);
    if (code != CURLE_OK) {
        return error_from_curl_code(client, code, call->use_new_connection);
    }
    reply->status = 0;
    curl_easy_getinfo(client->curl, CURLINFO_RESPONSE_CODE, &reply->status);
    reply->body = client->reply_body;
    reply->retry_after_s = client->retry_after_s;
    return 0;
}
