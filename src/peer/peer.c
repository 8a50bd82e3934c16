/* The life of the links between controllers. */
#include "peer/peers_internal.h"
#include "common/thread.h"
#include "net/socket.h"

#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#define BACKLOG 64

rr_peers *rr_peers_create(const struct rr_config *config, const struct rr_peer_events *events,
                          const atomic_bool *stop) {
    rr_peers *peers = g_new0(rr_peers, 1);
    peers->config = config;
    peers->events = *events;
    peers->stop = stop;
    peers->listener = -1;
    pthread_mutex_init(&peers->lock, NULL);
    pthread_cond_init(&peers->wake, NULL);
    peers->sent = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    pthread_condattr_t steady;
    pthread_condattr_init(&steady);
    pthread_condattr_setclock(&steady, CLOCK_MONOTONIC);
    for (int i = 0; i < RR_CONTROLLERS_MAX; i++) {
        g_queue_init(&peers->links[i].queue);
        pthread_cond_init(&peers->links[i].wake, &steady);
        peers->links[i].digests[0] = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
        peers->links[i].digests[1] = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
        peers->links[i].suspects = g_ptr_array_new_with_free_func(g_free);
        peers->links[i].cancelled = rr_cancellations_create();
        peers->links[i].owner = peers;
        peers->links[i].patience = RR_PEER_HEARD_S;
        peers->links[i].index = i;
    }
    pthread_condattr_destroy(&steady);
    return peers;
}

void rr_peer_put_hello(const rr_peers *peers, GByteArray *buffer) {
    guint start = rr_frame_begin(buffer, RR_FRAME_HELLO);
    rr_frame_put_text(buffer, peers->config->node_name);
    rr_frame_end(buffer, start);
}

int rr_peers_start(rr_peers *peers) {
    int fd = rr_socket_listen(&peers->config->peer_listen, BACKLOG);
    if (fd < 0) {
        return fd;
    }
    peers->listener = fd;
    peers->accepting = rr_thread_start(&peers->acceptor, rr_peer_listener_main, peers, false) == 0;
    for (size_t i = 0; i < peers->config->peer_count; i++) {
        peers->links[i].started =
            rr_thread_start(&peers->links[i].thread, rr_link_main, &peers->links[i], false) == 0;
    }
    return peers->accepting ? 0 : -EAGAIN;
}

void rr_peers_stop(rr_peers *peers) {
    pthread_mutex_lock(&peers->lock);
    for (size_t i = 0; i < peers->config->peer_count; i++) {
        pthread_cond_signal(&peers->links[i].wake);
    }
    pthread_mutex_unlock(&peers->lock);
    if (peers->accepting) {
        pthread_join(peers->acceptor, NULL);
    }
    for (size_t i = 0; i < peers->config->peer_count; i++) {
        if (peers->links[i].started) {
            pthread_join(peers->links[i].thread, NULL);
        }
    }
    pthread_mutex_lock(&peers->lock);
    while (peers->connection_count > 0) {
        pthread_cond_wait(&peers->wake, &peers->lock);
    }
    pthread_mutex_unlock(&peers->lock);
}

void rr_peers_destroy(rr_peers *peers) {
    if (!peers) {
        return;
    }
    if (peers->listener >= 0) {
        close(peers->listener);
    }
    for (int i = 0; i < RR_CONTROLLERS_MAX; i++) {
        g_queue_clear_full(&peers->links[i].queue, (GDestroyNotify)g_bytes_unref);
        g_hash_table_destroy(peers->links[i].digests[0]);
        g_hash_table_destroy(peers->links[i].digests[1]);
        g_ptr_array_free(peers->links[i].suspects, TRUE);
        rr_cancellations_destroy(peers->links[i].cancelled);
        g_clear_pointer(&peers->links[i].demand, g_bytes_unref);
        pthread_cond_destroy(&peers->links[i].wake);
    }
    g_hash_table_destroy(peers->sent);
    pthread_mutex_destroy(&peers->lock);
    pthread_cond_destroy(&peers->wake);
    g_free(peers);
}
