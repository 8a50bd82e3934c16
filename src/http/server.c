#include "http/server.h"
#include "common/clock.h"
#include "common/log.h"
#include "common/thread.h"
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

static enum MHD_Result send_response(struct MHD_Connection *connection,
                                     struct rr_http_response *response, bool close) {
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

static bool declared_too_large(struct MHD_Connection *connection) {
    const char *name = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "Content-Length");
    return name && g_ascii_strtoull(name, NULL, 10) > RR_BODY_BYTES_MAX;
}

static enum MHD_Result on_request(void *cls, struct MHD_Connection *connection, const char *url,
                                  const char *method, const char *version, const char *data,
                                  size_t *length, void **state) {
    rr_http_server *server = cls;
    struct upload *upload = *state;
    (void)version;
    if (!upload) {
        *state = upload = g_new0(struct upload, 1);
        upload->body = g_byte_array_new();
        upload->too_large = declared_too_large(connection);
        /* Refused by its declared length: answered before a byte of it is read. */
        if (!upload->too_large) {
            return MHD_YES;
        }
    } else if (*length > 0) {
        if (!upload->too_large && upload->body->len + *length <= RR_BODY_BYTES_MAX) {
            g_byte_array_append(upload->body, (const guint8 *)data, (guint)*length);
        } else {
            upload->too_large = true;
        }
        *length = 0;
        return MHD_YES;
    }
    struct rr_http_request request = {method, url, upload->body->data, upload->body->len};
    struct rr_http_response response = {.status = 413};
    rr_encoder_init(&response.body);
    if (atomic_load(&server->stop)) {
        return MHD_NO;
    }
    if (!upload->too_large) {
        server->callback(server->user, &request, &response);
    }
    /* All workers may be here when the other controllers are gone, more than there are threads:
     * those that come now are served and make room, so that users and health checks get in. */
    bool crowded = atomic_load(&server->open) > CROWDED_SHARE * server->most;
    enum MHD_Result result = send_response(connection, &response, response.yields && crowded);
    rr_encoder_clear(&response.body);
    return result;
}

static void on_completed(void *cls, struct MHD_Connection *connection, void **state,
                         enum MHD_RequestTerminationCode why) {
    struct upload *upload = *state;
    (void)cls;
    (void)connection;
    (void)why;
    if (upload) {
        g_byte_array_free(upload->body, TRUE);
        g_free(upload);
        *state = NULL;
    }
}

static void on_connection(void *cls, struct MHD_Connection *connection, void **state,
                          enum MHD_ConnectionNotificationCode what) {
    struct listener *listener = cls;
    rr_http_server *server = listener->owner;
    (void)connection;
    (void)state;
    if (what != MHD_CONNECTION_NOTIFY_STARTED) {
        atomic_fetch_sub(&server->open, 1);
        return;
    }
    atomic_fetch_add(&server->open, 1);
    if (server->accepted) {
        server->accepted(server->user);
    }
    atomic_fetch_add(&listener->taken, 1);
}

/* Each connection has a thread, a socket and some memory, and each of the three has a limit for the
 * whole process: what the rest of it needs comes off first. */
int rr_http_server_connections_max(const struct rr_config *config, int other_threads,
                                   int other_sockets) {
    double by_memory = MEMORY_SHARE * config->ram_mb * 1024 / RR_CONNECTION_KB;
    int most = config->tuning.max_threads - other_threads;
    most = MIN(most, config->max_sockets - other_sockets);
    most = MIN(most, by_memory < 1e6 ? (int)by_memory : 1000000);
    return MIN(most, config->tuning.max_connections);
}

int rr_http_server_connections(const rr_http_server *server) {
    return atomic_load(&server->open);
}

unsigned rr_http_server_listeners(const rr_http_server *server) {
    return atomic_load(&server->listener_count);
}

/* Takes the descriptor over. */
static bool add_listener(rr_http_server *server, int fd, int most) {
    unsigned count = atomic_load(&server->listener_count);
    if (fd < 0 || count == LISTENERS_MAX) {
        return false;
    }
    struct listener *listener = &server->listeners[count];
    listener->owner = server;
    listener->daemon = MHD_start_daemon(
        MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL, 0, NULL,
        NULL, on_request, server, MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_THREAD_STACK_SIZE,
        RR_THREAD_STACK_BYTES, MHD_OPTION_CONNECTION_LIMIT, (unsigned)most,
        MHD_OPTION_CONNECTION_TIMEOUT, 90u, MHD_OPTION_CONNECTION_MEMORY_LIMIT, CONNECTION_MEMORY,
        MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL, MHD_OPTION_NOTIFY_CONNECTION,
        on_connection, listener, MHD_OPTION_END);
    atomic_fetch_add(&server->listener_count, listener->daemon != NULL);
    return listener->daemon != NULL;
}

static unsigned taken(const rr_http_server *server) {
    unsigned sum = 0;
    for (unsigned i = 0; i < atomic_load(&server->listener_count); i++) {
        sum += atomic_load(&server->listeners[i].taken);
    }
    return sum;
}

static void replace_still(rr_http_server *server) {
    for (unsigned i = 0; i < atomic_load(&server->listener_count); i++) {
        struct listener *listener = &server->listeners[i];
        listener->still = true;
        listener->still_at = atomic_load(&listener->taken);
    }
    int left = server->most - atomic_load(&server->open);
    bool succeeded = add_listener(server, dup(server->fd), left > 8 ? left : 8);
    rr_log(RR_ERROR_LEVEL, "connections wait and none is taken: %s",
           succeeded ? "another listener begins" : "no listener can be added");
}

/* One thread takes all connections and joins those that ended; twice it stood still for good, the
 * process otherwise well, and nobody reached this controller any more (seen in simulated days only;
 * 400,000 connections on loopback did not show it). Waiting connections that nobody takes show it,
 * whatever the cause; another listener then goes on with the same socket. */
static void *watch(void *arg) {
    rr_http_server *server = arg;
    unsigned before = 0, looks = 0;
    while (!atomic_load(&server->stop)) {
        struct pollfd poll_fd = {server->fd, POLLIN, 0};
        rr_sleep(LOOK_S);
        unsigned now = taken(server);
        bool waits = poll(&poll_fd, 1, 0) > 0 && (poll_fd.revents & POLLIN) != 0;
        /* At the bound each is closed at once, which is not counted as taken. */
        bool full = atomic_load(&server->open) >= server->most;
        looks = waits && !full && now == before ? looks + 1 : 0;
        before = now;
        if (looks == LOOKS) {
            replace_still(server);
            looks = 0;
        }
    }
    return NULL;
}

rr_http_server *rr_http_server_create(const struct rr_config *config, int most,
                                      rr_http_handler_fn handler, void (*accepted)(void *user),
                                      void *user) {
    rr_http_server *server = g_new0(rr_http_server, 1);
    server->callback = handler;
    server->user = user;
    server->accepted = accepted;
    server->most = most;
    server->fd = rr_socket_bind(&config->bind, SOCK_NONBLOCK);
    if (server->fd < 0) {
        g_free(server);
        return NULL;
    }
    return server;
}

int rr_http_server_listen(rr_http_server *server) {
    if (listen(server->fd, SOMAXCONN) != 0) {
        return -errno;
    }
    if (!add_listener(server, server->fd, server->most)) {
        return -EAGAIN;
    }
    server->watched = rr_thread_start(&server->watcher, watch, server, false) == 0;
    return 0;
}

/* A listener that still stands still can't be stopped: what it holds is left to the process's end.
 */
void rr_http_server_stop(rr_http_server *server) {
    bool leave = false;
    if (!server) {
        return;
    }
    atomic_store(&server->stop, true);
    if (server->watched) {
        pthread_join(server->watcher, NULL);
    }
    if (atomic_load(&server->listener_count) == 0) {
        close(server->fd);
    }
    for (unsigned i = atomic_load(&server->listener_count); i > 0; i--) {
        struct listener *listener = &server->listeners[i - 1];
        if (listener->still && listener->still_at == atomic_load(&listener->taken)) {
            leave = true;
        } else {
            MHD_stop_daemon(listener->daemon);
        }
    }
    if (!leave) {
        g_free(server);
    }
}
