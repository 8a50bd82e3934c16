/* The listeners, which accept connections, and the watcher, which adds a listener when all of them
 * have stalled. */
#include "common/clock.h"
#include "common/log.h"
#include "common/thread.h"
#include "http/server_internal.h"

#include <poll.h>
#include <unistd.h>

/* A connection's buffer for a request's headers and the part of its body that is being read. It
 * counts in full towards the process's memory, because libmicrohttpd touches all of it. */
#define CONNECTION_MEMORY_BYTES ((size_t)8 * 1024)
#define IDLE_CONNECTION_TIMEOUT_S 90u
/* A listener added after a stall may have at least this many connections, however many are open. */
#define ADDED_LISTENER_CONNECTIONS_MIN 8
#define STALL_CHECK_PERIOD_S 0.5
/* The listeners count as stalled after this many consecutive checks with connections waiting and
 * none accepted. */
#define STALLED_CHECKS_MAX 6

/* Callback of libmicrohttpd for the start and the end of a connection. */
static void on_connection_event(void *user_data, struct MHD_Connection *connection,
                                void **connection_state,
                                enum MHD_ConnectionNotificationCode event) {
    struct rr_listener *listener = user_data;
    rr_http_server *server = listener->server;
    (void)connection;
    (void)connection_state;
    if (event != MHD_CONNECTION_NOTIFY_STARTED) {
        atomic_fetch_sub(&server->open_connections, 1);
        return;
    }
    atomic_fetch_add(&server->open_connections, 1);
    if (server->on_accept) {
        server->on_accept(server->user_data);
    }
    atomic_fetch_add(&listener->accepted, 1);
}

bool rr_http_add_listener(rr_http_server *server, int fd, int connections_max) {
    unsigned count = atomic_load(&server->listener_count);
    if (fd < 0 || count == RR_LISTENERS_MAX) {
        return false;
    }
    struct rr_listener *listener = &server->listeners[count];
    listener->server = server;
    listener->daemon = MHD_start_daemon(
        MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION | MHD_USE_POLL, 0, NULL,
        NULL, rr_http_on_request, server, MHD_OPTION_LISTEN_SOCKET, fd,
        MHD_OPTION_THREAD_STACK_SIZE, RR_THREAD_STACK_BYTES, MHD_OPTION_CONNECTION_LIMIT,
        (unsigned)connections_max, MHD_OPTION_CONNECTION_TIMEOUT, IDLE_CONNECTION_TIMEOUT_S,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, CONNECTION_MEMORY_BYTES, MHD_OPTION_NOTIFY_COMPLETED,
        rr_http_on_completed, NULL, MHD_OPTION_NOTIFY_CONNECTION, on_connection_event, listener,
        MHD_OPTION_END);
    atomic_fetch_add(&server->listener_count, listener->daemon != NULL);
    return listener->daemon != NULL;
}

/* Returns the number of connections that all listeners have accepted so far. */
static unsigned count_accepted(const rr_http_server *server) {
    unsigned sum = 0;
    for (unsigned i = 0; i < atomic_load(&server->listener_count); i++) {
        sum += atomic_load(&server->listeners[i].accepted);
    }
    return sum;
}

/* Marks all listeners as stalled and starts another one, which may use the connections that are
 * left. */
static void add_listener_after_stall(rr_http_server *server) {
    for (unsigned i = 0; i < atomic_load(&server->listener_count); i++) {
        struct rr_listener *listener = &server->listeners[i];
        listener->stalled = true;
        listener->accepted_at_stall = atomic_load(&listener->accepted);
    }
    int connections_left = server->connections_max - atomic_load(&server->open_connections);
    bool added = rr_http_add_listener(server, dup(server->listen_fd),
                                      MAX(connections_left, ADDED_LISTENER_CONNECTIONS_MIN));
    rr_log(RR_ERROR_LEVEL, "HTTP listeners stalled with connections waiting: %s",
           added ? "started another listener" : "could not start another listener");
}

/* The watcher thread. The single accepting thread of a libmicrohttpd daemon may stop accepting
 * connections for good while the rest of the process works. Whatever the cause, it shows as
 * connections that wait on the socket; another listener then accepts from the same socket. */
static void *watch_listeners(void *argument) {
    rr_http_server *server = argument;
    unsigned accepted_before = 0, stalled_checks = 0;
    while (!atomic_load(&server->stopping)) {
        struct pollfd poll_fd = {server->listen_fd, POLLIN, 0};
        rr_sleep(STALL_CHECK_PERIOD_S);
        unsigned accepted = count_accepted(server);
        bool waiting = poll(&poll_fd, 1, 0) > 0 && (poll_fd.revents & POLLIN) != 0;
        /* At the limit, further connections are closed at once and not counted as accepted. */
        bool at_limit = atomic_load(&server->open_connections) >= server->connections_max;
        bool stalled = waiting && !at_limit && accepted == accepted_before;
        stalled_checks = stalled ? stalled_checks + 1 : 0;
        accepted_before = accepted;
        if (stalled_checks == STALLED_CHECKS_MAX) {
            add_listener_after_stall(server);
            stalled_checks = 0;
        }
    }
    return NULL;
}

void rr_http_start_watcher(rr_http_server *server) {
    server->watcher_running =
        rr_thread_start(&server->watcher, watch_listeners, server, false) == 0;
}

bool rr_http_stop_listeners(rr_http_server *server) {
    bool all_stopped = true;
    if (server->watcher_running) {
        pthread_join(server->watcher, NULL);
    }
    for (unsigned i = atomic_load(&server->listener_count); i > 0; i--) {
        struct rr_listener *listener = &server->listeners[i - 1];
        /* MHD_stop_daemon() joins the daemon's thread, so it would block on a stalled one. */
        if (listener->stalled && listener->accepted_at_stall == atomic_load(&listener->accepted)) {
            all_stopped = false;
        } else {
            MHD_stop_daemon(listener->daemon);
        }
    }
    return all_stopped;
}
