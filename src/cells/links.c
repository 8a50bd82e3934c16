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

struct rr_cells_links {
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
    rr_cells_links_stats stats;
};

/* An incoming connection, owned by its thread. */
struct connection {
    rr_cells_links *links;
    int fd;
    size_t neighbour; /* index of the settings */
};

/* Takes the lock. */
static void increment_counter(rr_cells_links *links, uint64_t *counter) {
    pthread_mutex_lock(&links->lock);
    (*counter)++;
    pthread_mutex_unlock(&links->lock);
}

/* ---- serving requests ---- */

/* Returns OK if the request could be unpacked, is for this cell, and is from the cell whose
 * networks the connection comes from. */
static enum rr_cells_status check_request(const struct connection *connection, int unpack_result,
                                          const rr_cells_request *request) {
    const rr_cells_settings *settings = connection->links->settings;
    if (unpack_result != 0) {
        return unpack_result == -EPROTO ? RR_CELLS_VERSION_UNKNOWN : RR_CELLS_MALFORMED;
    }
    bool names_match = strcmp(request->to, settings->name) == 0 &&
                       strcmp(request->from, settings->neighbours[connection->neighbour].name) == 0;
    return names_match ? RR_CELLS_OK : RR_CELLS_WRONG_CELL;
}

/* Sets the reply's status. If it is OK, calls back for the rest of the reply. */
static void answer_request(struct connection *connection, void **context,
                           const rr_frame_reader *payload, rr_cells_reply *reply) {
    rr_cells_links *links = connection->links;
    rr_cells_request request;
    int unpack_result = rr_cells_request_unpack(payload->next, payload->bytes_left, &request);
    reply->status = check_request(connection, unpack_result, &request);
    if (reply->status == RR_CELLS_OK) {
        links->serve(links->user, context, connection->neighbour, &request, reply);
    } else {
        increment_counter(links, &links->stats.refused);
        rr_log(RR_DEBUG_LEVEL, "cells: refused a request from neighbour %s: %s",
               links->settings->neighbours[connection->neighbour].name,
               rr_cells_status_name(reply->status));
    }
    rr_cells_request_clear(&request);
}

static bool send_reply(const struct connection *connection, const rr_cells_reply *reply) {
    GByteArray *frame = g_byte_array_new();
    rr_cells_reply_pack(reply, frame);
    bool sent = rr_peer_send(connection->fd, frame->data, frame->len) == 0;
    g_byte_array_free(frame, TRUE);
    return sent;
}

/* Answers one frame. False: the connection has to be closed. */
static bool serve_frame(struct connection *connection, void **context, uint8_t type,
                        const rr_frame_reader *payload) {
    if (type != RR_FRAME_CELLS) {
        increment_counter(connection->links, &connection->links->stats.refused);
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
 * rr_cells_links_destroy() frees the object once no connection is left. */
static void release_connection(rr_cells_links *links) {
    pthread_mutex_lock(&links->lock);
    links->connection_count--;
    pthread_cond_broadcast(&links->connection_ended);
    pthread_mutex_unlock(&links->lock);
}

/* ---- connections ---- */

static void *connection_main(void *argument) {
    struct connection *connection = argument;
    rr_cells_links *links = connection->links;
    struct rr_inbox inbox;
    rr_frame_reader payload;
    uint8_t type;
    void *context = NULL;
    rr_usage_enter(RR_USAGE_CELLS);
    rr_inbox_init(&inbox, connection->fd);
    rr_peer_set_timeouts(connection->fd, SOCKET_TIMEOUT_S);
    while (rr_peer_receive(links->stop, &inbox, &type, &payload, IDLE_TIMEOUT_S) == 0 &&
           serve_frame(connection, &context, type, &payload)) {
    }
    close(connection->fd);
    rr_inbox_clear(&inbox);
    if (context) {
        links->free_context(context);
    }
    rr_usage_leave();
    g_free(connection);
    release_connection(links);
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
static void log_unknown_peer(rr_cells_links *links, const struct in_addr *address) {
    char text[INET_ADDRSTRLEN] = "";
    if (rr_steady_clock_s() - links->unknown_peer_logged_at >= UNKNOWN_PEER_LOG_INTERVAL_S) {
        links->unknown_peer_logged_at = rr_steady_clock_s();
        inet_ntop(AF_INET, address, text, sizeof text);
        rr_log(RR_INFO_LEVEL,
               "cells: closed a connection from %s, an address in no neighbour's networks", text);
    }
}

/* Counts one more connection, unless RR_CELLS_CONNECTIONS are open. Returns whether it did. */
static bool reserve_connection(rr_cells_links *links) {
    pthread_mutex_lock(&links->lock);
    bool reserved = links->connection_count < RR_CELLS_CONNECTIONS;
    links->connection_count += reserved;
    links->stats.crowded += !reserved;
    pthread_mutex_unlock(&links->lock);
    return reserved;
}

/* Starts a thread for the connection, or closes the socket if the address belongs to no neighbour,
 * too many connections are open, or the thread can't be started. */
static void start_connection(rr_cells_links *links, int fd, const struct in_addr *address) {
    int neighbour = find_neighbour_by_address(links->settings, address);
    if (neighbour < 0) {
        increment_counter(links, &links->stats.unknown_peers);
        log_unknown_peer(links, address);
        close(fd);
        return;
    }
    if (!reserve_connection(links)) {
        close(fd);
        return;
    }
    struct connection *connection = g_new0(struct connection, 1);
    *connection = (struct connection){links, fd, (size_t)neighbour};
    if (rr_thread_start(NULL, connection_main, connection, true) != 0) {
        close(fd);
        g_free(connection);
        release_connection(links);
    }
}

/* ---- listener ---- */

static void *accept_main(void *argument) {
    rr_cells_links *links = argument;
    while (!atomic_load(links->stop)) {
        struct pollfd listener_poll = {links->listener, POLLIN, 0};
        struct sockaddr_in from;
        socklen_t size = sizeof from;
        if (poll(&listener_poll, 1, STOP_CHECK_MS) <= 0) {
            continue;
        }
        int fd = accept4(links->listener, (struct sockaddr *)&from, &size, SOCK_CLOEXEC);
        if (fd >= 0) {
            start_connection(links, fd, &from.sin_addr);
        } else {
            rr_sleep(ACCEPT_RETRY_S);
        }
    }
    return NULL;
}

int rr_cells_links_start(const rr_cells_settings *settings, const atomic_bool *stop,
                         rr_cells_serve_fn serve, rr_cells_context_free_fn free_context, void *user,
                         rr_cells_links **out) {
    rr_cells_links *links = g_new0(rr_cells_links, 1);
    links->settings = settings;
    links->stop = stop;
    links->serve = serve;
    links->free_context = free_context;
    links->user = user;
    links->unknown_peer_logged_at = -UNKNOWN_PEER_LOG_INTERVAL_S;
    pthread_mutex_init(&links->lock, NULL);
    pthread_cond_init(&links->connection_ended, NULL);
    links->listener = rr_socket_listen(&settings->listen, LISTEN_BACKLOG);
    int rc = links->listener < 0 ? links->listener : 0;
    if (rc == 0) {
        rc = rr_thread_start(&links->accept_thread, accept_main, links, false);
        links->accept_thread_started = rc == 0;
    }
    if (rc != 0) {
        rr_cells_links_destroy(links);
        links = NULL;
    }
    *out = links;
    return rc;
}

void rr_cells_links_destroy(rr_cells_links *links) {
    if (!links) {
        return;
    }
    if (links->accept_thread_started) {
        pthread_join(links->accept_thread, NULL);
    }
    pthread_mutex_lock(&links->lock);
    while (links->connection_count > 0) {
        pthread_cond_wait(&links->connection_ended, &links->lock);
    }
    pthread_mutex_unlock(&links->lock);
    if (links->listener >= 0) {
        close(links->listener);
    }
    pthread_mutex_destroy(&links->lock);
    pthread_cond_destroy(&links->connection_ended);
    g_free(links);
}

void rr_cells_links_get_stats(rr_cells_links *links, rr_cells_links_stats *out) {
    pthread_mutex_lock(&links->lock);
    *out = links->stats;
    pthread_mutex_unlock(&links->lock);
}
