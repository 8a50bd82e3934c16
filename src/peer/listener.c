/* Accepts connections from peers, each with a thread of its own. */
#include "peer/listener.h"
#include "common/clock.h"
#include "common/thread.h"
#include "common/usage.h"
#include "peer/stream.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#define IDLE_TIMEOUT_S 20
#define TRANSFER_TIMEOUT_S 5 /* of one send or receive */
#define STOP_CHECK_MS 1000
#define ACCEPT_RETRY_S 0.1 /* after a failure, such as having no free descriptors */

static void connection_ended(rr_peers *peers) {
    pthread_mutex_lock(&peers->lock);
    peers->connection_count--;
    pthread_cond_broadcast(&peers->connection_ended);
    pthread_mutex_unlock(&peers->lock);
}

static void *connection_main(void *arg) {
    struct rr_peer_connection *connection = arg;
    rr_peers *peers = connection->owner;
    struct rr_inbox inbox;
    rr_frame_reader reader;
    uint8_t type;
    rr_usage_enter(RR_USAGE_PEERS);
    connection->client = rr_client_create(peers->stop);
    rr_inbox_init(&inbox, connection->fd);
    rr_peer_set_timeouts(connection->fd, TRANSFER_TIMEOUT_S);
    while (connection->client &&
           rr_peer_receive(peers->stop, &inbox, &type, &reader, IDLE_TIMEOUT_S) == 0 &&
           rr_peer_take_frame(connection, type, &reader) == 0) {
    }
    close(connection->fd);
    rr_inbox_clear(&inbox);
    rr_client_destroy(connection->client);
    g_free(connection);
    rr_usage_leave();
    connection_ended(peers);
    return NULL;
}

/* Counts one more connection if there may be one. */
static bool reserve_connection(rr_peers *peers) {
    pthread_mutex_lock(&peers->lock);
    bool reserved = peers->connection_count < RR_PEER_CONNECTIONS_MAX;
    peers->connection_count += reserved;
    pthread_mutex_unlock(&peers->lock);
    return reserved;
}

/* Starts the connection's thread, or closes the socket. */
static void start_connection(rr_peers *peers, int fd) {
    if (!reserve_connection(peers)) {
        close(fd);
        return;
    }
    struct rr_peer_connection *connection = g_new0(struct rr_peer_connection, 1);
    connection->owner = peers;
    connection->fd = fd;
    connection->peer = -1;
    if (rr_thread_start(NULL, connection_main, connection, true) != 0) {
        close(fd);
        g_free(connection);
        connection_ended(peers);
    }
}

void *rr_peer_listener_main(void *arg) {
    rr_peers *peers = arg;
    while (!atomic_load(peers->stop)) {
        struct pollfd poll_fd = {peers->listener, POLLIN, 0};
        if (poll(&poll_fd, 1, STOP_CHECK_MS) <= 0) {
            continue;
        }
        int fd = accept4(peers->listener, NULL, NULL, SOCK_CLOEXEC);
        if (fd >= 0) {
            start_connection(peers, fd);
        } else {
            rr_sleep(ACCEPT_RETRY_S);
        }
    }
    return NULL;
}
