#include "http/server.h"
#include "http/server_internal.h"
#include "net/socket.h"

#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

/* The share of the process's memory limit that connections may take. */
#define CONNECTIONS_MEMORY_SHARE 0.65
/* Keeps the number of connections that memory allows within the range of int. */
#define CONNECTIONS_BY_MEMORY_MAX 1000000
#define KB_PER_MB 1024

int rr_http_server_connections_max(const struct rr_config *config, int other_threads,
                                   int other_sockets) {
    double memory_max = CONNECTIONS_MEMORY_SHARE * config->ram_mb * KB_PER_MB / RR_CONNECTION_KB;
    int connections_max = config->tuning.max_threads - other_threads;
    connections_max = MIN(connections_max, config->max_sockets - other_sockets);
    connections_max = MIN(connections_max, (int)MIN(memory_max, CONNECTIONS_BY_MEMORY_MAX));
    return MIN(connections_max, config->tuning.max_connections);
}

int rr_http_server_connection_count(const rr_http_server *server) {
    return atomic_load(&server->open_connections);
}

unsigned rr_http_server_listener_count(const rr_http_server *server) {
    return atomic_load(&server->listener_count);
}

rr_http_server *rr_http_server_create(const struct rr_config *config, int connections_max,
                                      rr_http_handler_fn handler,
                                      void (*on_accept)(void *user_data), void *user_data) {
    rr_http_server *server = g_new0(rr_http_server, 1);
    server->handler = handler;
    server->user_data = user_data;
    server->on_accept = on_accept;
    server->connections_max = connections_max;
    server->listen_fd = rr_socket_bind(&config->bind, SOCK_NONBLOCK);
    if (server->listen_fd < 0) {
        g_free(server);
        return NULL;
    }
    return server;
}

int rr_http_server_listen(rr_http_server *server) {
    if (listen(server->listen_fd, SOMAXCONN) != 0) {
        return -errno;
    }
    if (!rr_http_add_listener(server, server->listen_fd, server->connections_max)) {
        return -EAGAIN;
    }
    rr_http_start_watcher(server);
    return 0;
}

void rr_http_server_stop(rr_http_server *server) {
    if (!server) {
        return;
    }
    atomic_store(&server->stopping, true);
    bool was_listening = atomic_load(&server->listener_count) > 0;
    bool all_stopped = rr_http_stop_listeners(server);
    if (!was_listening) {
        close(server->listen_fd);
    }
    /* A listener that could not be stopped continues to use *server until the process ends. */
    if (all_stopped) {
        g_free(server);
    }
}
