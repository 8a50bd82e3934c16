/* What goes to which peer: reports whole or as lines, suspects, cancellations, the demand. */
#include "peer/peers_internal.h"
#include "common/clock.h"

#include <string.h>

#define QUEUE_MAX 256
#define RARELY_S 15.0
#define REFRESH_S 30.0 /* a content is sent again after this, whatever was sent before */
#define SENT_KEEP_S 120.0

/* What each peer was last sent of a machine. */
struct sent {
    struct {
        uint64_t worker_epoch, hash;
        unsigned life;
        double at; /* 0: never */
    } to[RR_CONTROLLERS_MAX];
    double used_at;
};

static void queue_whole(struct link *link, GBytes *bytes) {
    if (g_queue_get_length(&link->queue) >= QUEUE_MAX) {
        g_bytes_unref(g_queue_pop_head(&link->queue));
        link->losses++; /* what was dropped is not there */
    }
    if (g_queue_is_empty(&link->queue)) {
        pthread_cond_signal(&link->wake);
    }
    g_queue_push_tail(&link->queue, g_bytes_ref(bytes));
}

static void queue_line(struct link *link, unsigned hops, const rr_heartbeat_digest *digest) {
    rr_heartbeat_digest *copy = g_memdup2(digest, sizeof *digest);
    g_hash_table_replace(link->digests[hops], copy->machine, copy);
}

static gboolean unused(gpointer key, gpointer value, gpointer now) {
    (void)key;
    return *(double *)now - ((struct sent *)value)->used_at > SENT_KEEP_S;
}

static struct sent *sent_of(rr_peers *peers, const char *machine, double now) {
    if (now - peers->swept_at > SENT_KEEP_S) {
        peers->swept_at = now;
        g_hash_table_foreach_remove(peers->sent, unused, &now);
    }
    struct sent *sent = g_hash_table_lookup(peers->sent, machine);
    if (!sent) {
        sent = g_new0(struct sent, 1);
        g_hash_table_insert(peers->sent, g_strdup(machine), sent);
    }
    sent->used_at = now;
    return sent;
}

static GBytes *payload_of(unsigned hops, const void *body, size_t length) {
    uint8_t *payload = g_malloc(length + 1);
    payload[0] = (uint8_t)hops;
    memcpy(payload + 1, body, length);
    return g_bytes_new_take(payload, length + 1);
}

void rr_peers_send_heartbeat(rr_peers *peers, uint32_t wanted, uint32_t rare,
                             const rr_heartbeat_digest *digest, const void *body, size_t length) {
    if (peers->config->peer_count == 0 ||
        length + RR_FRAME_HEADER_BYTES + 1 > RR_FRAME_BYTES_MAX / 2) {
        return;
    }
    GBytes *whole = NULL;
    pthread_mutex_lock(&peers->lock);
    double now = rr_steady_clock_s();
    struct sent *sent = sent_of(peers, digest->machine, now);
    for (size_t i = 0; i < peers->config->peer_count; i++) {
        struct link *link = &peers->links[i];
        bool has = sent->to[i].at > 0 && sent->to[i].life == link->losses &&
                   sent->to[i].worker_epoch == digest->worker_epoch &&
                   sent->to[i].hash == digest->hash;
        double since = sent->to[i].at > 0 ? now - sent->to[i].at : 1e9;
        bool want = (wanted >> i & 1) ? !has || since > REFRESH_S
                                      : (rare >> i & 1) && !has && since > RARELY_S;
        if (!want) {
            queue_line(link, 0, digest);
            continue;
        }
        whole = whole ? whole : payload_of(0, body, length);
        queue_whole(link, whole);
        sent->to[i].worker_epoch = digest->worker_epoch;
        sent->to[i].hash = digest->hash;
        sent->to[i].life = link->losses;
        sent->to[i].at = now;
    }
    pthread_mutex_unlock(&peers->lock);
    if (whole) {
        g_bytes_unref(whole);
    }
}

void rr_peers_forward_heartbeats(rr_peers *peers, int from, const rr_heartbeat_digest *list,
                                 size_t count, const void *body, size_t length) {
    GBytes *whole = NULL;
    if (from < 0 || length + RR_FRAME_HEADER_BYTES + 1 > RR_FRAME_BYTES_MAX / 2) {
        return;
    }
    pthread_mutex_lock(&peers->lock);
    double now = rr_steady_clock_s();
    for (size_t i = 0; i < peers->config->peer_count; i++) {
        struct link *link = &peers->links[i];
        bool lacks = (int)i != from && rr_link_heard_lately(link, now) && !link->peer_hears[from];
        if (lacks && body) {
            whole = whole ? whole : payload_of(1, body, length);
            queue_whole(link, whole);
        }
        for (size_t k = 0; lacks && !body && k < count; k++) {
            queue_line(link, 1, &list[k]);
        }
    }
    pthread_mutex_unlock(&peers->lock);
    if (whole) {
        g_bytes_unref(whole);
    }
}

void rr_peers_send_demand(rr_peers *peers, const void *view, size_t length) {
    pthread_mutex_lock(&peers->lock);
    for (size_t i = 0; i < peers->config->peer_count; i++) {
        struct link *link = &peers->links[i];
        g_clear_pointer(&link->demand, g_bytes_unref);
        link->demand = g_bytes_new(view, length);
        pthread_cond_signal(&link->wake);
    }
    pthread_mutex_unlock(&peers->lock);
}

void rr_peers_send_suspects(rr_peers *peers, const GPtrArray *names) {
    if (names->len == 0) {
        return;
    }
    pthread_mutex_lock(&peers->lock);
    for (size_t i = 0; i < peers->config->peer_count; i++) {
        struct link *link = &peers->links[i];
        for (guint k = 0; k < names->len && link->suspects->len < RR_PEER_LIST_MAX; k++) {
            g_ptr_array_add(link->suspects, g_strdup(g_ptr_array_index(names, k)));
        }
        pthread_cond_signal(&link->wake);
    }
    pthread_mutex_unlock(&peers->lock);
}

void rr_peers_send_cancellation(rr_peers *peers, const char *job_id, double until) {
    pthread_mutex_lock(&peers->lock);
    for (size_t i = 0; i < peers->config->peer_count; i++) {
        rr_cancellations_add(peers->links[i].cancelled, job_id, until);
        pthread_cond_signal(&peers->links[i].wake);
    }
    pthread_mutex_unlock(&peers->lock);
}
