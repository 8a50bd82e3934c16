/* Creation, start and stop of the links between controllers. */
#include "common/thread.h"
#include "net/socket.h"
#include "peer/link.h"
#include "peer/listener.h"

#include <errno.h>
#include <unistd.h>

#define LISTEN_BACKLOG 64

rr_peers *rr_peers_create(const struct rr_config *config, const struct rr_peer_events *events,
                          const atomic_bool *stop) {
    rr_peers *peers = g_new0(rr_peers, 1);
    peers->config = config;
    peers->events = *events;
    peers->stop = stop;
    peers->listener = -1;
    pthread_mutex_init(&peers->lock, NULL);
    pthread_cond_init(&peers->connection_ended, NULL);
    peers->sent_heartbeats = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    pthread_condattr_t steady;
    pthread_condattr_init(&steady);
    pthread_condattr_setclock(&steady, CLOCK_MONOTONIC);
    for (int i = 0; i < RR_CONTROLLERS_MAX; i++) {
        rr_peer_link_init(&peers->links[i], peers, i, &steady);
    }
    pthread_condattr_destroy(&steady);
    return peers;
}

int rr_peers_start(rr_peers *peers) {
    int fd = rr_socket_listen(&peers->config->peer_listen, LISTEN_BACKLOG);
    if (fd < 0) {
        return fd;
    }
    peers->listener = fd;
    peers->accepting = rr_thread_start(&peers->acceptor, rr_peer_listener_main, peers, false) == 0;
    for (size_t i = 0; i < peers->config->peer_count; i++) {
        struct rr_peer_link *link = &peers->links[i];
        link->started = rr_thread_start(&link->thread, rr_peer_link_main, link, false) == 0;
    }
    return peers->accepting ? 0 : -EAGAIN;
}

static void wake_links(rr_peers *peers) {
    pthread_mutex_lock(&peers->lock);
    for (size_t i = 0; i < peers->config->peer_count; i++) {
        pthread_cond_signal(&peers->links[i].wake);
    }
    pthread_mutex_unlock(&peers->lock);
}

/* Connection threads are detached: their count says when the last has ended. */
static void wait_for_connections(rr_peers *peers) {
    pthread_mutex_lock(&peers->lock);
    while (peers->connection_count > 0) {
        pthread_cond_wait(&peers->connection_ended, &peers->lock);
    }
    pthread_mutex_unlock(&peers->lock);
}

void rr_peers_stop(rr_peers *peers) {
    wake_links(peers);
    if (peers->accepting) {
        pthread_join(peers->acceptor, NULL);
    }
    for (size_t i = 0; i < peers->config->peer_count; i++) {
        if (peers->links[i].started) {
            pthread_join(peers->links[i].thread, NULL);
        }
    }
    wait_for_connections(peers);
}

void rr_peers_destroy(rr_peers *peers) {
    if (!peers) {
        return;
    }
    if (peers->listener >= 0) {
        close(peers->listener);
    }
    for (int i = 0; i < RR_CONTROLLERS_MAX; i++) {
        rr_peer_link_clear(&peers->links[i]);
    }
    g_hash_table_destroy(peers->sent_heartbeats);
    pthread_mutex_destroy(&peers->lock);
    pthread_cond_destroy(&peers->connection_ended);
    g_free(peers);
}
