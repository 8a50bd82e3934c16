/* Creates, starts and stops the links between controllers. */
#include "common/thread.h"
#include "net/socket.h"
#include "peer/link.h"
#include "peer/listener.h"

#include <errno.h>
#include <unistd.h>

#define LISTEN_BACKLOG 64 /* connections that wait to be accepted */

rr_peers *rr_peers_create(const struct rr_config *config, const struct rr_peer_events *events,
                          const atomic_bool *stop) {
    rr_peers *peers = g_new0(rr_peers, 1);
    peers->config = config;
    peers->events = *events;
    peers->stop = stop;
    peers->listener_fd = -1;
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
    peers->listener_fd = fd;
    peers->listener_started =
        rr_thread_start(&peers->listener_thread, rr_peer_listener_main, peers, false) == 0;
    for (size_t i = 0; i < peers->config->peer_count; i++) {
        struct rr_peer_link *link = &peers->links[i];
        link->thread_started = rr_thread_start(&link->thread, rr_peer_link_main, link, false) == 0;
    }
    return peers->listener_started ? 0 : -EAGAIN;
}

/* Wakes the threads of all links, so that they see the stop flag. */
static void wake_links(rr_peers *peers) {
    pthread_mutex_lock(&peers->lock);
    for (size_t i = 0; i < peers->config->peer_count; i++) {
        pthread_cond_signal(&peers->links[i].wake);
    }
    pthread_mutex_unlock(&peers->lock);
}

/* Waits until all connection threads have ended. They are detached and can't be joined, so they are
 * counted instead. */
static void wait_for_connections(rr_peers *peers) {
    pthread_mutex_lock(&peers->lock);
    while (peers->connection_count > 0) {
        pthread_cond_wait(&peers->connection_ended, &peers->lock);
    }
    pthread_mutex_unlock(&peers->lock);
}

void rr_peers_stop(rr_peers *peers) {
    wake_links(peers);
    if (peers->listener_started) {
        pthread_join(peers->listener_thread, NULL);
    }
    for (size_t i = 0; i < peers->config->peer_count; i++) {
        if (peers->links[i].thread_started) {
            pthread_join(peers->links[i].thread, NULL);
        }
    }
    wait_for_connections(peers);
}

void rr_peers_destroy(rr_peers *peers) {
    if (!peers) {
        return;
    }
    if (peers->listener_fd >= 0) {
        close(peers->listener_fd);
    }
    for (int i = 0; i < RR_CONTROLLERS_MAX; i++) {
        rr_peer_link_clear(&peers->links[i]);
    }
    g_hash_table_destroy(peers->sent_heartbeats);
    pthread_mutex_destroy(&peers->lock);
    pthread_cond_destroy(&peers->connection_ended);
    g_free(peers);
}
