#include "http/door.h"
#include "app/clock.h"
#include "app/log.h"
#include "app/thread.h"
#include "net/socket.h"

#include <errno.h>
#include <microhttpd.h>
#include <poll.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* For a request's head and the part of its body that is being read; the library touches all of it,
 * so that 24 KB of it were half of what a connection took. */
#define CONNECTION_MEMORY ((size_t)8 * 1024)
#define MEMORY_SHARE 0.65  /* of the process's limit that connections may take */
#define CROWDED_SHARE 0.75 /* of the connections; the rest is for users and health checks */
#define LISTENERS_MAX 8
#define LOOK_S 0.5 /* the watcher's pause, */
#define LOOKS 6    /* and how many in a row show connections waiting and none taken */

/* A library daemon: one thread that takes connections and clears those that ended. */
struct listener {
    rr_http_server *owner;
    struct MHD_Daemon *daemon;
    atomic_uint taken; /* connections so far */
    unsigned still_at; /* taken when it was found standing still, */
    bool still;        /* if it was */
};

struct rr_http_server {
    struct listener listeners[LISTENERS_MAX];
    atomic_uint listener_count;
    int fd; /* all listeners' */
    int most;
    atomic_int open; /* connections; each has a thread */
    atomic_bool stop;
    pthread_t watcher;
    bool watched;
    void (*accepted)(void *user);
    rr_http_handler_fn callback;
    void *user;
};

struct upload {
    GByteArray *body;
    bool too_large;
};

static enum MHD_Result send_response(struct MHD_Connection *conn, struct rr_http_response *rs,
                                     bool close) {
    struct MHD_Response *r = MHD_create_response_from_buffer(
        rs->body.buffer.size, rs->body.buffer.data, MHD_RESPMEM_MUST_COPY);
    if (!r) {
        return MHD_NO;
    }
    if (rs->body.buffer.size) {
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
    return n && g_ascii_strtoull(n, NULL, 10) > RR_BODY_BYTES_MAX;
}

static enum MHD_Result on_request(void *cls, struct MHD_Connection *conn, const char *url,
                                  const char *method, const char *version, const char *data,
                                  size_t *len, void **state) {
    rr_http_server *d = cls;
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
        if (!up->too_large && up->body->len + *len <= RR_BODY_BYTES_MAX) {
            g_byte_array_append(up->body, (const guint8 *)data, (guint)*len);
        } else {
            up->too_large = true;
        }
        *len = 0;
        return MHD_YES;
    }
    struct rr_http_request rq = {method, url, up->body->data, up->body->len};
    struct rr_http_response rs = {.status = 413};
    rr_encoder_init(&rs.body);
    if (atomic_load(&d->stop)) {
        return MHD_NO;
    }
    if (!up->too_large) {
        d->callback(d->user, &rq, &rs);
    }
    /* All workers may be here when the other controllers are gone, more than there are threads:
     * those that come now are served and make room, so that users and health checks get in. */
    bool crowded = atomic_load(&d->open) > CROWDED_SHARE * d->most;
    enum MHD_Result ok = send_response(conn, &rs, rs.yields && crowded);
    rr_encoder_clear(&rs.body);
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
    struct listener *l = cls;
    rr_http_server *d = l->owner;
    (void)conn;
    (void)state;
    if (what != MHD_CONNECTION_NOTIFY_STARTED) {
        atomic_fetch_sub(&d->open, 1);
        return;
    }
    atomic_fetch_add(&d->open, 1);
    if (d->accepted) {
        d->accepted(d->user);
    }
    atomic_fetch_add(&l->taken, 1);
}

/* Each connection has a thread, a socket and some memory, and each of the three has a limit for the
 * whole process: what the rest of it needs comes off first. */
int rr_http_server_connections_max(const struct rr_config *cfg, int other_threads,
                                   int other_sockets) {
    double by_memory = MEMORY_SHARE * cfg->ram_mb * 1024 / RR_CONNECTION_KB;
    int most = cfg->tuning.max_threads - other_threads;
    most = MIN(most, cfg->max_sockets - other_sockets);
    most = MIN(most, by_memory < 1e6 ? (int)by_memory : 1000000);
    return MIN(most, cfg->tuning.max_connections);
}

int rr_http_server_connections(const rr_http_server *d) {
    return atomic_load(&d->open);
}

unsigned rr_http_server_listeners(const rr_http_server *d) {
    return atomic_load(&d->listener_count);
}

/* Takes the descriptor over. */
static bool add_listener(rr_http_server *d, int fd, int most) {
    unsigned n = atomic_load(&d->listener_count);
    if (fd < 0 || n == LISTENERS_MAX) {
        return false;
    }
    struct listener *l = &d->listeners[n];
    l->owner = d;
    l->daemon = MHD_start_daemon(
        MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL, 0, NULL,
        NULL, on_request, d, MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_THREAD_STACK_SIZE,
        RR_THREAD_STACK_BYTES, MHD_OPTION_CONNECTION_LIMIT, (unsigned)most,
        MHD_OPTION_CONNECTION_TIMEOUT, 90u, MHD_OPTION_CONNECTION_MEMORY_LIMIT, CONNECTION_MEMORY,
        MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL, MHD_OPTION_NOTIFY_CONNECTION,
        on_connection, l, MHD_OPTION_END);
    atomic_fetch_add(&d->listener_count, l->daemon != NULL);
    return l->daemon != NULL;
}

static unsigned taken(const rr_http_server *d) {
    unsigned sum = 0;
    for (unsigned i = 0; i < atomic_load(&d->listener_count); i++) {
        sum += atomic_load(&d->listeners[i].taken);
    }
    return sum;
}

static void replace_still(rr_http_server *d) {
    for (unsigned i = 0; i < atomic_load(&d->listener_count); i++) {
        struct listener *l = &d->listeners[i];
        l->still = true;
        l->still_at = atomic_load(&l->taken);
    }
    int left = d->most - atomic_load(&d->open);
    bool ok = add_listener(d, dup(d->fd), left > 8 ? left : 8);
    rr_log(RR_ERROR_LEVEL, "connections wait and none is taken: %s",
           ok ? "another listener begins" : "no listener can be added");
}

/* One thread takes all connections and joins those that ended; twice it stood still for good, the
 * process otherwise well, and nobody reached this controller any more (seen in simulated days only;
 * 400,000 connections on loopback did not show it). Waiting connections that nobody takes show it,
 * whatever the cause; another listener then goes on with the same socket. */
static void *watch(void *arg) {
    rr_http_server *d = arg;
    unsigned before = 0, looks = 0;
    while (!atomic_load(&d->stop)) {
        struct pollfd pf = {d->fd, POLLIN, 0};
        rr_sleep(LOOK_S);
        unsigned now = taken(d);
        bool waits = poll(&pf, 1, 0) > 0 && (pf.revents & POLLIN) != 0;
        /* At the bound each is closed at once, which is not counted as taken. */
        bool full = atomic_load(&d->open) >= d->most;
        looks = waits && !full && now == before ? looks + 1 : 0;
        before = now;
        if (looks == LOOKS) {
            replace_still(d);
            looks = 0;
        }
    }
    return NULL;
}

rr_http_server *rr_http_server_create(const struct rr_config *cfg, int most, rr_http_handler_fn fn,
                                      void (*accepted)(void *user), void *user) {
    rr_http_server *d = g_new0(rr_http_server, 1);
    d->callback = fn;
    d->user = user;
    d->accepted = accepted;
    d->most = most;
    d->fd = rr_socket_bind(&cfg->bind, SOCK_NONBLOCK);
    if (d->fd < 0) {
        g_free(d);
        return NULL;
    }
    return d;
}

int rr_http_server_listen(rr_http_server *d) {
    if (listen(d->fd, SOMAXCONN) != 0) {
        return -errno;
    }
    if (!add_listener(d, d->fd, d->most)) {
        return -EAGAIN;
    }
    d->watched = rr_thread_start(&d->watcher, watch, d, false) == 0;
    return 0;
}

/* A listener that still stands still can't be stopped: what it holds is left to the process's end.
 */
void rr_http_server_stop(rr_http_server *d) {
    bool leave = false;
    if (!d) {
        return;
    }
    atomic_store(&d->stop, true);
    if (d->watched) {
        pthread_join(d->watcher, NULL);
    }
    if (atomic_load(&d->listener_count) == 0) {
        close(d->fd);
    }
    for (unsigned i = atomic_load(&d->listener_count); i > 0; i--) {
        struct listener *l = &d->listeners[i - 1];
        if (l->still && l->still_at == atomic_load(&l->taken)) {
            leave = true;
        } else {
            MHD_stop_daemon(l->daemon);
        }
    }
    if (!leave) {
        g_free(d);
    }
}
