/* Reads requests, calls the handler for each and sends its response. */
#include "http/server_internal.h"

#include <string.h>

/* Near the limit is more than this share of the allowed connections in use. Workers' connections
 * are then closed after their responses, so that users and health checks can still connect. */
#define NEAR_LIMIT_SHARE 0.75
#define STATUS_PAYLOAD_TOO_LARGE 413

/* The body of a request while it is being received. */
struct upload {
    GByteArray *body;
    bool too_large; /* larger than RR_BODY_BYTES_MAX, as declared or as received */
};

/* Queues the response; close: the connection is closed after it. */
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
        char seconds[16];
        g_snprintf(seconds, sizeof seconds, "%d", response->retry_after_s);
        MHD_add_response_header(reply, "Retry-After", seconds);
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

static bool declares_too_large_body(struct MHD_Connection *connection) {
    const char *length = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "Content-Length");
    return length && g_ascii_strtoull(length, NULL, 10) > RR_BODY_BYTES_MAX;
}

static struct upload *create_upload(struct MHD_Connection *connection) {
    struct upload *upload = g_new0(struct upload, 1);
    upload->body = g_byte_array_new();
    upload->too_large = declares_too_large_body(connection);
    return upload;
}

/* Appends received data; of a body that is too large nothing more is kept. */
static void append_data(struct upload *upload, const char *data, size_t length) {
    if (!upload->too_large && upload->body->len + length <= RR_BODY_BYTES_MAX) {
        g_byte_array_append(upload->body, (const guint8 *)data, (guint)length);
    } else {
        upload->too_large = true;
    }
}

/* Responds to a request that was received whole, or whose body is too large. */
static enum MHD_Result handle_request(rr_http_server *server, struct MHD_Connection *connection,
                                      const char *path, const char *method,
                                      const struct upload *upload) {
    struct rr_http_request request = {method, path, upload->body->data, upload->body->len};
    struct rr_http_response response = {.status = STATUS_PAYLOAD_TOO_LARGE};
    if (atomic_load(&server->stopping)) {
        return MHD_NO;
    }
    rr_encoder_init(&response.body);
    if (!upload->too_large) {
        server->handler(server->user_data, &request, &response);
    }
    bool near_limit =
        atomic_load(&server->open_connections) > NEAR_LIMIT_SHARE * server->connections_max;
    enum MHD_Result result =
        send_response(connection, &response, response.close_if_near_limit && near_limit);
    rr_encoder_clear(&response.body);
    return result;
}

/* libmicrohttpd calls this once after the headers, then for each part of the body, and once without
 * data at the end. */
enum MHD_Result rr_http_on_request(void *user_data, struct MHD_Connection *connection,
                                   const char *path, const char *method, const char *version,
                                   const char *data, size_t *length, void **request_state) {
    struct upload *upload = *request_state;
    (void)version;
    if (!upload) {
        *request_state = upload = create_upload(connection);
        /* A body whose declared length is too large is refused before it is read. */
        if (!upload->too_large) {
            return MHD_YES;
        }
    } else if (*length > 0) {
        append_data(upload, data, *length);
        *length = 0;
        return MHD_YES;
    }
    return handle_request(user_data, connection, path, method, upload);
}

void rr_http_on_completed(void *user_data, struct MHD_Connection *connection, void **request_state,
                          enum MHD_RequestTerminationCode reason) {
    struct upload *upload = *request_state;
    (void)user_data;
    (void)connection;
    (void)reason;
    if (upload) {
        g_byte_array_free(upload->body, TRUE);
        g_free(upload);
        *request_state = NULL;
    }
}
