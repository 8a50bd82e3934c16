/* The life of the links between controllers. */
#include "peer/internal.h"
#include "app/thread.h"
#include "net/socket.h"

#include <errno.h>
#include <sys/socket.h>
#include <unistd.h>

#define BACKLOG 64

rr_peers *rr_peers_create(const struct rr_config *cfg, const struct rr_peer_events *ev,
                          const atomic_bool *stop) {
    rr_peers *p = g_new0(rr_peers, 1);
    p->config = cfg;
    p->events = *ev;
    p->stop = stop;
    p->listener = -1;
    pthread_mutex_init(&p->lock, NULL);
    pthread_cond_init(&p->wake, NULL);
    p->sent = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    pthread_condattr_t steady;
    pthread_condattr_init(&steady);
    pthread_condattr_setclock(&steady, CLOCK_MONOTONIC);
    for (int i = 0; i < RR_CONTROLLERS_MAX; i++) {
        g_queue_init(&p->links[i].queue);
        pthread_cond_init(&p->links[i].wake, &steady);
        p->links[i].digests[0] = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
        p->links[i].digests[1] = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
        p->links[i].suspects = g_ptr_array_new_with_free_func(g_free);
        p->links[i].cancelled = rr_cancellations_create();
        p->links[i].owner = p;
        p->links[i].patience = RR_PEER_HEARD_S;
        p->links[i].index = i;
    }
    pthread_condattr_destroy(&steady);
    return p;
}

void rr_peer_put_hello(const rr_peers *p, GByteArray *b) {
    guint at = rr_frame_begin(b, RR_FRAME_HELLO);
    rr_frame_put_text(b, p->config->node_name);
    rr_frame_end(b, at);
}

int rr_peers_start(rr_peers *p) {
    int fd = rr_socket_listen(&p->config->peer_listen, BACKLOG);
    if (fd < 0) {
        return fd;
    }
    p->listener = fd;
    p->accepting = rr_thread_start(&p->acceptor, rr_peer_listener_main, p, false) == 0;
    for (size_t i = 0; i < p->config->peer_count; i++) {
        p->links[i].started =
            rr_thread_start(&p->links[i].thread, rr_link_main, &p->links[i], false) == 0;
    }
    return p->accepting ? 0 : -EAGAIN;
}

void rr_peers_stop(rr_peers *p) {
    pthread_mutex_lock(&p->lock);
    for (size_t i = 0; i < p->config->peer_count; i++) {
        pthread_cond_signal(&p->links[i].wake);
    }
    pthread_mutex_unlock(&p->lock);
    if (p->accepting) {
        pthread_join(p->acceptor, NULL);
    }
    for (size_t i = 0; i < p->config->peer_count; i++) {
        if (p->links[i].started) {
            pthread_join(p->links[i].thread, NULL);
        }
    }
    pthread_mutex_lock(&p->lock);
    while (p->connection_count > 0) {
        pthread_cond_wait(&p->wake, &p->lock);
    }
    pthread_mutex_unlock(&p->lock);
}

void rr_peers_destroy(rr_peers *p) {
    if (!p) {
        return;
    }
    if (p->listener >= 0) {
        close(p->listener);
    }
    for (int i = 0; i < RR_CONTROLLERS_MAX; i++) {
        g_queue_clear_full(&p->links[i].queue, (GDestroyNotify)g_bytes_unref);
        g_hash_table_destroy(p->links[i].digests[0]);
        g_hash_table_destroy(p->links[i].digests[1]);
        g_ptr_array_free(p->links[i].suspects, TRUE);
        rr_cancellations_destroy(p->links[i].cancelled);
        g_clear_pointer(&p->links[i].demand, g_bytes_unref);
        pthread_cond_destroy(&p->links[i].wake);
    }
    g_hash_table_destroy(p->sent);
    pthread_mutex_destroy(&p->lock);
    pthread_cond_destroy(&p->wake);
    g_free(p);
}
