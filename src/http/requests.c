/* Reads one request, has the handler answer it and sends the response. */
#include "http/server_internal.h"

#include <string.h>

/* Of the connections: with more, workers' connections are closed after their response, so that
 * users and health checks get in. */
#define CROWDED_SHARE 0.75
#define PAYLOAD_TOO_LARGE 413

/* A request's body as it arrives. */
struct upload {
    GByteArray *body;
    bool too_large;
};

static enum MHD_Result send_response(struct MHD_Connection *connection,
                                     const struct rr_http_response *response, bool close) {
    struct MHD_Response *reply = MHD_create_response_from_buffer(
        response->body.buffer.size, response->body.buffer.data, MHD_RESPMEM_MUST_COPY);
    if (!reply) {
        return MHD_NO;
    }
    if (response->body.buffer.size) {
        MHD_add_response_header(reply, "Content-Type", "application/msgpack");
    }
    if (response->retry_after_s > 0) {
        char text[16];
        g_snprintf(text, sizeof text, "%d", response->retry_after_s);
        MHD_add_response_header(reply, "Retry-After", text);
    }
    if (response->allow) {
        MHD_add_response_header(reply, "Allow", response->allow);
    }
    if (close) {
        MHD_add_response_header(reply, "Connection", "close");
    }
    enum MHD_Result result = MHD_queue_response(connection, (unsigned)response->status, reply);
    MHD_destroy_response(reply);
    return result;
}

static bool is_declared_too_large(struct MHD_Connection *connection) {
    const char *length = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "Content-Length");
    return length && g_ascii_strtoull(length, NULL, 10) > RR_BODY_BYTES_MAX;
}

static struct upload *begin_upload(struct MHD_Connection *connection) {
    struct upload *upload = g_new0(struct upload, 1);
    upload->body = g_byte_array_new();
    upload->too_large = is_declared_too_large(connection);
    return upload;
}

static void append_data(struct upload *upload, const char *data, size_t length) {
    if (!upload->too_large && upload->body->len + length <= RR_BODY_BYTES_MAX) {
        g_byte_array_append(upload->body, (const guint8 *)data, (guint)length);
    } else {
        upload->too_large = true;
    }
}

static enum MHD_Result answer_request(rr_http_server *server, struct MHD_Connection *connection,
                                      const char *path, const char *method,
                                      const struct upload *upload) {
    struct rr_http_request request = {method, path, upload->body->data, upload->body->len};
    struct rr_http_response response = {.status = PAYLOAD_TOO_LARGE};
    if (atomic_load(&server->stop)) {
        return MHD_NO;
    }
    rr_encoder_init(&response.body);
    if (!upload->too_large) {
        server->handler(server->user, &request, &response);
    }
    bool crowded = atomic_load(&server->open_connections) > CROWDED_SHARE * server->connections_max;
    enum MHD_Result result = send_response(connection, &response, response.yields && crowded);
    rr_encoder_clear(&response.body);
    return result;
}

/* libmicrohttpd calls this first for the headers, then for each part of the body, then with no
 * data.
 */
enum MHD_Result rr_http_on_request(void *user, struct MHD_Connection *connection, const char *path,
                                   const char *method, const char *version, const char *data,
                                   size_t *length, void **state) {
    struct upload *upload = *state;
    (void)version;
    if (!upload) {
        *state = upload = begin_upload(connection);
        /* A body that is declared too large is refused before it is read. */
        if (!upload->too_large) {
            return MHD_YES;
        }
    } else if (*length > 0) {
        append_data(upload, data, *length);
        *length = 0;
        return MHD_YES;
    }
    return answer_request(user, connection, path, method, upload);
}

void rr_http_on_completed(void *user, struct MHD_Connection *connection, void **state,
                          enum MHD_RequestTerminationCode reason) {
    struct upload *upload = *state;
    (void)user;
    (void)connection;
    (void)reason;
    if (upload) {
        g_byte_array_free(upload->body, TRUE);
        g_free(upload);
        *state = NULL;
    }
}
