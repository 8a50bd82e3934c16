/* Accepts connections from peers and serves each on its own thread. */
#include "peer/listener.h"
#include "common/clock.h"
#include "common/thread.h"
#include "common/usage.h"
#include "peer/stream.h"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#define IDLE_TIMEOUT_S 20    /* a connection is closed after this time without a frame */
#define TRANSFER_TIMEOUT_S 5 /* timeout of one send or receive */
#define STOP_CHECK_MS 1000   /* interval between checks of the stop flag */
#define ACCEPT_RETRY_S 0.1   /* pause after a failed accept, such as for lack of descriptors */

/* Gives back a reserved connection and wakes rr_peers_stop(). */
static void release_connection(rr_peers *peers) {
    pthread_mutex_lock(&peers->lock);
    peers->connection_count--;
    pthread_cond_broadcast(&peers->connection_ended);
    pthread_mutex_unlock(&peers->lock);
}

/* The thread of a connection, which it owns: handles frames until the peer closes, a frame is
 * malformed or the peers are stopped. */
static void *connection_main(void *arg) {
    struct rr_peer_connection *connection = arg;
    rr_peers *peers = connection->peers;
    struct rr_receive_buffer receive_buffer;
    rr_frame_reader reader;
    uint8_t type;
    rr_usage_register_thread(RR_USAGE_PEERS);
    connection->client = rr_http_client_create(peers->stop);
    rr_receive_buffer_init(&receive_buffer, connection->fd);
    rr_stream_set_options(connection->fd, TRANSFER_TIMEOUT_S);
    while (connection->client &&
           rr_stream_receive_frame(peers->stop, &receive_buffer, &type, &reader, IDLE_TIMEOUT_S) ==
               0 &&
           rr_peer_handle_frame(connection, type, &reader) == 0) {
    }
    close(connection->fd);
    rr_receive_buffer_clear(&receive_buffer);
    rr_http_client_destroy(connection->client);
    g_free(connection);
    rr_usage_unregister_thread();
    release_connection(peers);
    return NULL;
}

/* Counts a new connection. Returns false if RR_PEER_CONNECTIONS_MAX is reached. */
static bool reserve_connection(rr_peers *peers) {
    pthread_mutex_lock(&peers->lock);
    bool reserved = peers->connection_count < RR_PEER_CONNECTIONS_MAX;
    peers->connection_count += reserved;
    pthread_mutex_unlock(&peers->lock);
    return reserved;
}

/* Starts a thread that takes over the socket, or closes the socket if that is not possible. */
static void start_connection(rr_peers *peers, int fd) {
    if (!reserve_connection(peers)) {
        close(fd);
        return;
    }
    struct rr_peer_connection *connection = g_new0(struct rr_peer_connection, 1);
    connection->peers = peers;
    connection->fd = fd;
    connection->peer = -1;
    if (rr_thread_start(NULL, connection_main, connection, true) != 0) {
        close(fd);
        g_free(connection);
        release_connection(peers);
    }
}

void *rr_peer_listener_main(void *arg) {
    rr_peers *peers = arg;
    while (!atomic_load(peers->stop)) {
        struct pollfd poll_fd = {peers->listener_fd, POLLIN, 0};
        if (poll(&poll_fd, 1, STOP_CHECK_MS) <= 0) {
            continue;
        }
        int fd = accept4(peers->listener_fd, NULL, NULL, SOCK_CLOEXEC);
        if (fd >= 0) {
            start_connection(peers, fd);
        } else {
            rr_sleep(ACCEPT_RETRY_S);
        }
    }
    return NULL;
}
