/* Decides what goes to which peer, and queues it: heartbeats in full or as digests, suspects,
 * cancellations, the demand. Called from any thread. */
#include "common/clock.h"
#include "peer/peer_state.h"

#include <string.h>

#define QUEUED_HEARTBEATS_MAX 256
#define OCCASIONAL_INTERVAL_S 15.0 /* between new contents to a peer that rarely needs them */
#define REFRESH_INTERVAL_S 30.0    /* after which even an unchanged content is sent again */
#define SENT_KEPT_S 120.0
#define HEARTBEAT_BYTES_MAX (RR_FRAME_BYTES_MAX / 2)

/* The heartbeat of one machine that was last sent in full to a peer. */
struct sent_content {
    uint64_t worker_epoch, hash;
    unsigned generation; /* of the link that sent it */
    double at;           /* 0: never */
};

struct sent_heartbeat {
    struct sent_content to[RR_CONTROLLERS_MAX]; /* by the peer's index */
    double used_at;
};

/* Caller holds the lock, here and below. A full queue drops its oldest heartbeat; then all that was
 * sent counts as lost, so that contents are sent again. */
static void queue_heartbeat(struct rr_peer_link *link, GBytes *payload) {
    if (g_queue_get_length(&link->heartbeats) >= QUEUED_HEARTBEATS_MAX) {
        g_bytes_unref(g_queue_pop_head(&link->heartbeats));
        link->generation++;
    }
    if (g_queue_is_empty(&link->heartbeats)) {
        pthread_cond_signal(&link->wake);
    }
    g_queue_push_tail(&link->heartbeats, g_bytes_ref(payload));
}

/* Digests go with the next periodic list, so nothing is woken. */
static void queue_digest(struct rr_peer_link *link, unsigned hops,
                         const rr_heartbeat_digest *digest) {
    rr_heartbeat_digest *copy = g_memdup2(digest, sizeof *digest);
    g_hash_table_replace(link->digests[hops], copy->machine, copy);
}

static gboolean is_unused(gpointer key, gpointer value, gpointer now) {
    (void)key;
    return *(double *)now - ((struct sent_heartbeat *)value)->used_at > SENT_KEPT_S;
}

static struct sent_heartbeat *find_sent(rr_peers *peers, const char *machine, double now) {
    if (now - peers->sent_heartbeats_swept_at > SENT_KEPT_S) {
        peers->sent_heartbeats_swept_at = now;
        g_hash_table_foreach_remove(peers->sent_heartbeats, is_unused, &now);
    }
    struct sent_heartbeat *sent = g_hash_table_lookup(peers->sent_heartbeats, machine);
    if (!sent) {
        sent = g_new0(struct sent_heartbeat, 1);
        g_hash_table_insert(peers->sent_heartbeats, g_strdup(machine), sent);
    }
    sent->used_at = now;
    return sent;
}

/* The frame's payload, owned by the caller. */
static GBytes *heartbeat_payload(unsigned hops, const void *body, size_t length) {
    uint8_t *payload = g_malloc(length + 1);
    payload[0] = (uint8_t)hops;
    memcpy(payload + 1, body, length);
    return g_bytes_new_take(payload, length + 1);
}

static bool fits_frame(size_t body_length) {
    return body_length + RR_FRAME_HEADER_BYTES + 1 <= HEARTBEAT_BYTES_MAX;
}

static bool has_content(const struct sent_content *sent, const struct rr_peer_link *link,
                        const rr_heartbeat_digest *digest) {
    return sent->at > 0 && sent->generation == link->generation &&
           sent->worker_epoch == digest->worker_epoch && sent->hash == digest->hash;
}

/* Whether a peer gets the heartbeat in full. wanted, occasional: whether it needs it. */
static bool needs_full(const struct sent_content *sent, const struct rr_peer_link *link,
                       const rr_heartbeat_digest *digest, bool wanted, bool occasional,
                       double now) {
    bool known = has_content(sent, link, digest);
    bool never_sent = sent->at <= 0;
    if (wanted) {
        return !known || now - sent->at > REFRESH_INTERVAL_S;
    }
    return occasional && !known && (never_sent || now - sent->at > OCCASIONAL_INTERVAL_S);
}

void rr_peers_send_heartbeat(rr_peers *peers, uint32_t wanted, uint32_t rare,
                             const rr_heartbeat_digest *digest, const void *body, size_t length) {
    if (peers->config->peer_count == 0 || !fits_frame(length)) {
        return;
    }
    GBytes *payload = NULL; /* made for the first peer that needs it */
    pthread_mutex_lock(&peers->lock);
    double now = rr_steady_clock_s();
    struct sent_heartbeat *sent = find_sent(peers, digest->machine, now);
    for (size_t i = 0; i < peers->config->peer_count; i++) {
        struct rr_peer_link *link = &peers->links[i];
        if (!needs_full(&sent->to[i], link, digest, wanted >> i & 1, rare >> i & 1, now)) {
            queue_digest(link, RR_PEER_DIRECT, digest);
            continue;
        }
        payload = payload ? payload : heartbeat_payload(RR_PEER_DIRECT, body, length);
        queue_heartbeat(link, payload);
        sent->to[i] =
            (struct sent_content){digest->worker_epoch, digest->hash, link->generation, now};
    }
    pthread_mutex_unlock(&peers->lock);
    if (payload) {
        g_bytes_unref(payload);
    }
}

void rr_peers_forward_heartbeats(rr_peers *peers, int from, const rr_heartbeat_digest *list,
                                 size_t count, const void *body, size_t length) {
    if (from < 0 || !fits_frame(length)) {
        return;
    }
    GBytes *payload = NULL;
    pthread_mutex_lock(&peers->lock);
    double now = rr_steady_clock_s();
    for (size_t i = 0; i < peers->config->peer_count; i++) {
        struct rr_peer_link *link = &peers->links[i];
        if ((int)i == from || !rr_peer_received_lately(link, now) || link->peer_receives[from]) {
            continue;
        }
        if (body) {
            payload = payload ? payload : heartbeat_payload(RR_PEER_FORWARDED, body, length);
            queue_heartbeat(link, payload);
            continue;
        }
        for (size_t k = 0; k < count; k++) {
            queue_digest(link, RR_PEER_FORWARDED, &list[k]);
        }
    }
    pthread_mutex_unlock(&peers->lock);
    if (payload) {
        g_bytes_unref(payload);
    }
}

void rr_peers_send_demand(rr_peers *peers, const void *view, size_t length) {
    pthread_mutex_lock(&peers->lock);
    for (size_t i = 0; i < peers->config->peer_count; i++) {
        struct rr_peer_link *link = &peers->links[i];
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
        struct rr_peer_link *link = &peers->links[i];
        for (guint k = 0; k < names->len && link->suspects->len < RR_PEER_DIGESTS_MAX; k++) {
            g_ptr_array_add(link->suspects, g_strdup(g_ptr_array_index(names, k)));
        }
        pthread_cond_signal(&link->wake);
    }
    pthread_mutex_unlock(&peers->lock);
}

void rr_peers_send_cancellation(rr_peers *peers, const char *job_id, double until) {
    pthread_mutex_lock(&peers->lock);
    for (size_t i = 0; i < peers->config->peer_count; i++) {
        rr_cancellations_add(peers->links[i].cancellations, job_id, until);
        pthread_cond_signal(&peers->links[i].wake);
    }
    pthread_mutex_unlock(&peers->lock);
}
