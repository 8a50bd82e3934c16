#include "http/door.h"

#include <arpa/inet.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdatomic.h>
#include <string.h>

#define STACK (256 * 1024)
#define CONNECTION_MEMORY (24 * 1024)
/* A connection's touched stack, buffers and what it makes the rest hold: 2,037 of them took 110 MB
 * (simulated). */
#define CONNECTION_KB 64
#define MEMORY_SHARE 0.65  /* of the process's limit that connections may take */
#define CROWDED_SHARE 0.75 /* of the connections; the rest is for users and health checks */

struct rr_door {
    struct MHD_Daemon *daemon;
    int most;
    atomic_int open; /* connections; each has a thread */
    rr_handler_fn fn;
    void *user;
};

struct upload {
    GByteArray *body;
    bool too_large;
};

static enum MHD_Result send_response(struct MHD_Connection *conn, struct rr_response *rs,
                                     bool close) {
    struct MHD_Response *r = MHD_create_response_from_buffer(rs->body.buf.size, rs->body.buf.data,
                                                             MHD_RESPMEM_MUST_COPY);
    if (!r) {
        return MHD_NO;
    }
    if (rs->body.buf.size) {
        MHD_add_response_header(r, "Content-Type", "application/msgpack");
    }
    if (rs->retry_after_s > 0) {
        char text[16];
        g_snprintf(text, sizeof text, "%d", rs->retry_after_s);
        MHD_add_response_header(r, "Retry-After", text);
    }
    if (rs->allow) {
        MHD_add_response_header(r, "Allow", rs->allow);
    }
    if (close) {
        MHD_add_response_header(r, "Connection", "close");
    }
    enum MHD_Result ok = MHD_queue_response(conn, (unsigned)rs->status, r);
    MHD_destroy_response(r);
    return ok;
}

static bool declared_too_large(struct MHD_Connection *conn) {
    const char *n = MHD_lookup_connection_value(conn, MHD_HEADER_KIND, "Content-Length");
    return n && g_ascii_strtoull(n, NULL, 10) > RR_BODY_MAX;
}

static enum MHD_Result on_request(void *cls, struct MHD_Connection *conn, const char *url,
                                  const char *method, const char *version, const char *data,
                                  size_t *len, void **state) {
    rr_door *d = cls;
    struct upload *up = *state;
    (void)version;
    if (!up) {
        *state = up = g_new0(struct upload, 1);
        up->body = g_byte_array_new();
        up->too_large = declared_too_large(conn);
        /* Refused by its declared length: answered before a byte of it is read. */
        if (!up->too_large) {
            return MHD_YES;
        }
    } else if (*len > 0) {
        if (!up->too_large && up->body->len + *len <= RR_BODY_MAX) {
            g_byte_array_append(up->body, (const guint8 *)data, (guint)*len);
        } else {
            up->too_large = true;
        }
        *len = 0;
        return MHD_YES;
    }
    struct rr_request rq = {method, url, up->body->data, up->body->len};
    struct rr_response rs = {.status = 413};
    rr_out_init(&rs.body);
    if (!up->too_large) {
        d->fn(d->user, &rq, &rs);
    }
    /* All workers may be here when the other controllers are gone, more than there are threads:
     * those that come now are served and make room, so that users and health checks get in. */
    bool crowded = atomic_load(&d->open) > CROWDED_SHARE * d->most;
    enum MHD_Result ok = send_response(conn, &rs, rs.yields && crowded);
    rr_out_clear(&rs.body);
    return ok;
}

static void on_completed(void *cls, struct MHD_Connection *conn, void **state,
                         enum MHD_RequestTerminationCode why) {
    struct upload *up = *state;
    (void)cls;
    (void)conn;
    (void)why;
    if (up) {
        g_byte_array_free(up->body, TRUE);
        g_free(up);
        *state = NULL;
    }
}

static void on_connection(void *cls, struct MHD_Connection *conn, void **state,
                          enum MHD_ConnectionNotificationCode what) {
    rr_door *d = cls;
    (void)conn;
    (void)state;
    atomic_fetch_add(&d->open, what == MHD_CONNECTION_NOTIFY_STARTED ? 1 : -1);
}

/* Each connection has a thread, a socket and some memory, and each of the three has a limit for the
 * whole process: what the rest of it needs comes off first. */
int rr_door_limit(const struct rr_config *cfg, int other_threads, int other_sockets) {
    double by_memory = MEMORY_SHARE * cfg->ram_mb * 1024 / CONNECTION_KB;
    int most = cfg->tune.max_threads - other_threads;
    most = MIN(most, cfg->max_sockets - other_sockets);
    most = MIN(most, by_memory < 1e6 ? (int)by_memory : 1000000);
    most = MIN(most, cfg->tune.max_connections);
    return MAX(most, 8);
}

int rr_door_open(const rr_door *d) {
    return atomic_load(&d->open);
}

rr_door *rr_door_start(const struct rr_config *cfg, int most, rr_handler_fn fn, void *user) {
    rr_door *d = g_new0(rr_door, 1);
    struct sockaddr_in a = {.sin_family = AF_INET, .sin_port = htons(cfg->bind.port)};
    inet_pton(AF_INET, cfg->bind.host, &a.sin_addr);
    d->fn = fn;
    d->most = most;
    d->user = user;
    d->daemon = MHD_start_daemon(
        MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL, 0, NULL,
        NULL, on_request, d, MHD_OPTION_SOCK_ADDR, (struct sockaddr *)&a,
        MHD_OPTION_THREAD_STACK_SIZE, (size_t)STACK, MHD_OPTION_CONNECTION_LIMIT, (unsigned)most,
        MHD_OPTION_CONNECTION_TIMEOUT, 90u, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        (size_t)CONNECTION_MEMORY, MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
        MHD_OPTION_NOTIFY_CONNECTION, on_connection, d, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
        MHD_OPTION_END);
    if (!d->daemon) {
        g_free(d);
        return NULL;
    }
    return d;
}

void rr_door_stop(rr_door *d) {
    if (d) {
        MHD_stop_daemon(d->daemon);
        g_free(d);
    }
}
