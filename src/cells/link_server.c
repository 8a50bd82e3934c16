/* Listens for connections of neighbours and serves their requests. */
#include "cells/links.h"
#include "common/clock.h"
#include "common/log.h"
#include "common/thread.h"
#include "common/usage.h"
#include "net/socket.h"
#include "peer/stream.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define IDLE_TIMEOUT_S 60.0  /* a connection without requests is closed */
#define SOCKET_TIMEOUT_S 5.0 /* for one send or receive */
#define LISTEN_BACKLOG 64
#define STOP_CHECK_MS 500  /* interval between checks of *stop while listening */
#define ACCEPT_RETRY_S 0.1 /* after a failed accept, such as for lack of file descriptors */
#define UNKNOWN_PEER_LOG_INTERVAL_S 10.0

struct rr_cells_server {
    const rr_cells_settings *settings;
    const atomic_bool *stop;
    rr_cells_serve_fn serve;
    rr_cells_context_free_fn free_context;
    void *user;
    int listener; /* socket, or -errno if it could not be opened */
    pthread_t accept_thread;
    bool accept_thread_started;
    double unknown_peer_logged_at; /* steady clock, seconds; used by the accept thread only */
    pthread_mutex_t lock;
    /* Guarded by the lock: */
    pthread_cond_t connection_ended;
    int connection_count;
    rr_cells_server_stats stats;
};

/* An incoming connection, owned by its thread. */
struct connection {
    rr_cells_server *server;
    int fd;
    size_t neighbour; /* index into settings->neighbours */
};

/* Takes the lock. */
static void increment_counter(rr_cells_server *server, uint64_t *counter) {
    pthread_mutex_lock(&server->lock);
    (*counter)++;
    pthread_mutex_unlock(&server->lock);
}

/* ---- serving requests ---- */

/* Returns OK if the request could be unpacked, is for this cell, and is from the cell whose
 * networks the connection comes from. */
static enum rr_cells_status check_request(const struct connection *connection, int unpack_result,
                                          const rr_cells_request *request) {
    const rr_cells_settings *settings = connection->server->settings;
    if (unpack_result != 0) {
        return unpack_result == -EPROTO ? RR_CELLS_VERSION_UNKNOWN : RR_CELLS_MALFORMED;
    }
    bool names_match = strcmp(request->to, settings->name) == 0 &&
                       strcmp(request->from, settings->neighbours[connection->neighbour].name) == 0;
    return names_match ? RR_CELLS_OK : RR_CELLS_WRONG_CELL;
}

/* Sets the reply's status. If the status is OK, the request callback fills in the reply. */
static void answer_request(struct connection *connection, void **context,
                           const rr_frame_reader *payload, rr_cells_reply *reply) {
    rr_cells_server *server = connection->server;
    rr_cells_request request;
    int unpack_result = rr_cells_request_unpack(payload->next, payload->bytes_left, &request);
    reply->status = check_request(connection, unpack_result, &request);
    if (reply->status == RR_CELLS_OK) {
        server->serve(server->user, context, connection->neighbour, &request, reply);
    } else {
        increment_counter(server, &server->stats.refused_requests);
        rr_log(RR_DEBUG_LEVEL, "cells: refused a request from neighbour %s: %s",
               server->settings->neighbours[connection->neighbour].name,
               rr_cells_status_name(reply->status));
    }
    rr_cells_request_clear(&request);
}

static bool send_reply(const struct connection *connection, const rr_cells_reply *reply) {
    GByteArray *frame = g_byte_array_new();
    rr_cells_reply_pack(reply, frame);
    bool sent = rr_stream_send(connection->fd, frame->data, frame->len) == 0;
    g_byte_array_free(frame, TRUE);
    return sent;
}

/* Answers one frame. False: the connection has to be closed. */
static bool serve_frame(struct connection *connection, void **context, uint8_t type,
                        const rr_frame_reader *payload) {
    if (type != RR_FRAME_CELLS) {
        increment_counter(connection->server, &connection->server->stats.refused_requests);
        return false;
    }
    rr_cells_reply reply;
    rr_cells_reply_init(&reply);
    answer_request(connection, context, payload, &reply);
    bool sent = send_reply(connection, &reply);
    rr_cells_reply_clear(&reply);
    return sent;
}

/* Makes room for another connection. Called last by a connection's thread, as
 * rr_cells_server_destroy() frees the object once no connection is left. */
static void release_connection(rr_cells_server *server) {
    pthread_mutex_lock(&server->lock);
    server->connection_count--;
    pthread_cond_broadcast(&server->connection_ended);
    pthread_mutex_unlock(&server->lock);
}

/* ---- connections ---- */

static void *connection_main(void *argument) {
    struct connection *connection = argument;
    rr_cells_server *server = connection->server;
    struct rr_receive_buffer receive_buffer;
    rr_frame_reader payload;
    uint8_t type;
    void *context = NULL;
    rr_usage_register_thread(RR_USAGE_CELLS);
    rr_receive_buffer_init(&receive_buffer, connection->fd);
    rr_stream_set_options(connection->fd, SOCKET_TIMEOUT_S);
    while (rr_stream_receive_frame(server->stop, &receive_buffer, &type, &payload,
                                   IDLE_TIMEOUT_S) == 0 &&
           serve_frame(connection, &context, type, &payload)) {
    }
    close(connection->fd);
    rr_receive_buffer_clear(&receive_buffer);
    if (context) {
        server->free_context(context);
    }
    rr_usage_unregister_thread();
    g_free(connection);
    release_connection(server);
    return NULL;
}

/* Returns the index of the neighbour whose networks contain the address, or -1. */
static int find_neighbour_by_address(const rr_cells_settings *settings,
                                     const struct in_addr *address) {
    for (size_t i = 0; i < settings->neighbour_count; i++) {
        if (rr_networks_contain(settings->neighbours[i].networks, address)) {
            return (int)i;
        }
    }
    return -1;
}

/* Logs the address, at most once in UNKNOWN_PEER_LOG_INTERVAL_S. */
static void log_unknown_peer(rr_cells_server *server, const struct in_addr *address) {
    char text[INET_ADDRSTRLEN] = "";
    if (rr_steady_clock_s() - server->unknown_peer_logged_at >= UNKNOWN_PEER_LOG_INTERVAL_S) {
        server->unknown_peer_logged_at = rr_steady_clock_s();
        inet_ntop(AF_INET, address, text, sizeof text);
        rr_log(RR_INFO_LEVEL,
               "cells: closed a connection from %s, an address in no neighbour's networks", text);
    }
}

/* Counts one more connection, unless RR_CELLS_CONNECTIONS_MAX are open. Returns whether it was
 * counted. */
static bool reserve_connection(rr_cells_server *server) {
    pthread_mutex_lock(&server->lock);
    bool reserved = server->connection_count < RR_CELLS_CONNECTIONS_MAX;
    server->connection_count += reserved;
    server->stats.connections_over_limit += !reserved;
    pthread_mutex_unlock(&server->lock);
    return reserved;
}

/* Starts a thread for the connection, or closes the socket if the address belongs to no neighbour,
 * too many connections are open, or the thread can't be started. */
static void start_connection(rr_cells_server *server, int fd, const struct in_addr *address) {
    int neighbour = find_neighbour_by_address(server->settings, address);
    if (neighbour < 0) {
        increment_counter(server, &server->stats.unknown_peer_connections);
        log_unknown_peer(server, address);
        close(fd);
        return;
    }
    if (!reserve_connection(server)) {
        close(fd);
        return;
    }
    struct connection *connection = g_new0(struct connection, 1);
    *connection = (struct connection){server, fd, (size_t)neighbour};
    if (rr_thread_start(NULL, connection_main, connection, true) != 0) {
        close(fd);
        g_free(connection);
        release_connection(server);
    }
}

/* ---- listener ---- */

static void *accept_main(void *argument) {
    rr_cells_server *server = argument;
    while (!atomic_load(server->stop)) {
        struct pollfd listener_poll = {server->listener, POLLIN, 0};
        struct sockaddr_in from;
        socklen_t size = sizeof from;
        if (poll(&listener_poll, 1, STOP_CHECK_MS) <= 0) {
            continue;
        }
        int fd = accept4(server->listener, (struct sockaddr *)&from, &size, SOCK_CLOEXEC);
        if (fd >= 0) {
            start_connection(server, fd, &from.sin_addr);
        } else {
            rr_sleep(ACCEPT_RETRY_S);
        }
    }
    return NULL;
}

int rr_cells_server_start(const rr_cells_settings *settings, const atomic_bool *stop,
                          rr_cells_serve_fn serve, rr_cells_context_free_fn free_context,
                          void *user, rr_cells_server **out) {
    rr_cells_server *server = g_new0(rr_cells_server, 1);
    server->settings = settings;
    server->stop = stop;
    server->serve = serve;
    server->free_context = free_context;
    server->user = user;
    server->unknown_peer_logged_at = -UNKNOWN_PEER_LOG_INTERVAL_S;
    pthread_mutex_init(&server->lock, NULL);
    pthread_cond_init(&server->connection_ended, NULL);
    server->listener = rr_socket_listen(&settings->listen_endpoint, LISTEN_BACKLOG);
    int rc = server->listener < 0 ? server->listener : 0;
    if (rc == 0) {
        rc = rr_thread_start(&server->accept_thread, accept_main, server, false);
        server->accept_thread_started = rc == 0;
    }
    if (rc != 0) {
        rr_cells_server_destroy(server);
        server = NULL;
    }
    *out = server;
    return rc;
}

void rr_cells_server_destroy(rr_cells_server *server) {
    if (!server) {
        return;
    }
    if (server->accept_thread_started) {
        pthread_join(server->accept_thread, NULL);
    }
    pthread_mutex_lock(&server->lock);
    while (server->connection_count > 0) {
        pthread_cond_wait(&server->connection_ended, &server->lock);
    }
    pthread_mutex_unlock(&server->lock);
    if (server->listener >= 0) {
        close(server->listener);
    }
    pthread_mutex_destroy(&server->lock);
    pthread_cond_destroy(&server->connection_ended);
    g_free(server);
}

void rr_cells_server_get_stats(rr_cells_server *server, rr_cells_server_stats *out) {
    pthread_mutex_lock(&server->lock);
    *out = server->stats;
    pthread_mutex_unlock(&server->lock);
}
