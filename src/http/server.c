#include "http/server.h"
#include "http/server_internal.h"
#include "net/socket.h"

#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

/* Part of the process's memory limit that connections may take. */
#define CONNECTIONS_MEMORY_SHARE 0.65
#define CONNECTIONS_BY_MEMORY_MAX 1000000

int rr_http_server_connections_max(const struct rr_config *config, int other_threads,
                                   int other_sockets) {
    double by_memory = CONNECTIONS_MEMORY_SHARE * config->ram_mb * 1024 / RR_CONNECTION_KB;
    int max = config->tuning.max_threads - other_threads;
    max = MIN(max, config->max_sockets - other_sockets);
    max = MIN(max, (int)MIN(by_memory, CONNECTIONS_BY_MEMORY_MAX));
    return MIN(max, config->tuning.max_connections);
}

int rr_http_server_connections(const rr_http_server *server) {
    return atomic_load(&server->open_connections);
}

unsigned rr_http_server_listeners(const rr_http_server *server) {
    return atomic_load(&server->listener_count);
}

rr_http_server *rr_http_server_create(const struct rr_config *config, int connections_max,
                                      rr_http_handler_fn handler, void (*on_accept)(void *user),
                                      void *user) {
    rr_http_server *server = g_new0(rr_http_server, 1);
    server->handler = handler;
    server->user = user;
    server->on_accept = on_accept;
    server->connections_max = connections_max;
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
    if (!rr_http_add_listener(server, server->fd, server->connections_max)) {
        return -EAGAIN;
    }
    rr_http_start_watcher(server);
    return 0;
}

void rr_http_server_stop(rr_http_server *server) {
    if (!server) {
        return;
    }
    atomic_store(&server->stop, true);
    bool was_listening = atomic_load(&server->listener_count) > 0;
    bool all_stopped = rr_http_stop_listeners(server);
    if (!was_listening) {
        close(server->fd);
    }
    /* A listener that could not be stopped uses *server until the process ends. */
    if (all_stopped) {
        g_free(server);
    }
}
