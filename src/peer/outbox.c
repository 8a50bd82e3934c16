/* Queues output for the peers and decides what each of them gets: heartbeats in full or as digests,
 * suspect machines, cancellations and the demand for admission. Called from any thread. */
#include "common/clock.h"
#include "peer/peer_state.h"

#include <string.h>

#define QUEUED_HEARTBEATS_MAX 256
/* Shortest time between two full heartbeats of a machine to a peer that needs them occasionally. */
#define OCCASIONAL_INTERVAL_S 15.0
/* Time after which a subscriber gets a heartbeat in full again, even with unchanged content. */
#define REFRESH_INTERVAL_S 30.0
/* Time after which the record of a machine's sends is removed if it was not used. */
#define MACHINE_SENDS_TTL_S 120.0
/* Limit of a heartbeat frame, header included. Larger heartbeats are not sent to peers. */
#define HEARTBEAT_BYTES_MAX (RR_FRAME_BYTES_MAX / 2)

/* The last heartbeat of a machine that was sent to one peer in full. */
struct full_send {
    uint64_t worker_epoch, hash;
    unsigned delivery_generation; /* of the peer's link when it was queued */
    double queued_at;             /* by the steady clock, in seconds; 0: never */
};

/* The last heartbeats of a machine that were sent in full, for each peer. */
struct machine_sends {
    struct full_send to_peer[RR_CONTROLLERS_MAX]; /* by the peer's index */
    double last_used_at;                          /* by the steady clock, in seconds */
};

/* The caller of this and the following static functions holds the peers' lock. */

/* Queues a heartbeat in full. A full queue drops its oldest one; a new delivery generation then
 * makes everything that was sent count as lost, so that it is sent again. */
static void queue_heartbeat(struct rr_peer_link *link, GBytes *payload) {
    if (g_queue_get_length(&link->heartbeats) >= QUEUED_HEARTBEATS_MAX) {
        g_bytes_unref(g_queue_pop_head(&link->heartbeats));
        link->delivery_generation++;
    }
    if (g_queue_is_empty(&link->heartbeats)) {
        pthread_cond_signal(&link->wake);
    }
    g_queue_push_tail(&link->heartbeats, g_bytes_ref(payload));
}

/* Queues a digest, which replaces an earlier one of the machine. Does not wake the link's thread,
 * because digests are sent periodically. */
static void queue_digest(struct rr_peer_link *link, unsigned hops,
                         const rr_heartbeat_digest *digest) {
    rr_heartbeat_digest *copy = g_memdup2(digest, sizeof *digest);
    g_hash_table_replace(link->digests[hops], copy->machine, copy);
}

/* Whether the record of a machine's sends can be removed; for g_hash_table_foreach_remove(). */
static gboolean is_send_record_expired(gpointer key, gpointer value, gpointer now) {
    (void)key;
    return *(double *)now - ((struct machine_sends *)value)->last_used_at > MACHINE_SENDS_TTL_S;
}

/* Finds or creates the record of a machine, which the table owns. From time to time, removes
 * expired records first. */
static struct machine_sends *get_or_create_send_record(rr_peers *peers, const char *machine,
                                                       double now) {
    if (now - peers->sent_heartbeats_swept_at > MACHINE_SENDS_TTL_S) {
        peers->sent_heartbeats_swept_at = now;
        g_hash_table_foreach_remove(peers->sent_heartbeats, is_send_record_expired, &now);
    }
    struct machine_sends *sent = g_hash_table_lookup(peers->sent_heartbeats, machine);
    if (!sent) {
        sent = g_new0(struct machine_sends, 1);
        g_hash_table_insert(peers->sent_heartbeats, g_strdup(machine), sent);
    }
    sent->last_used_at = now;
    return sent;
}

/* Creates the payload of a heartbeat frame, owned by the caller. */
static GBytes *make_heartbeat_payload(unsigned hops, const void *body, size_t length) {
    uint8_t *payload = g_malloc(length + 1);
    payload[0] = (uint8_t)hops;
    memcpy(payload + 1, body, length);
    return g_bytes_new_take(payload, length + 1);
}

static bool heartbeat_fits_frame(size_t body_length) {
    return body_length + RR_FRAME_HEADER_BYTES + 1 <= HEARTBEAT_BYTES_MAX;
}

/* Whether the peer was sent a heartbeat of the digest's content that does not count as lost. */
static bool peer_was_sent_content(const struct full_send *sent, const struct rr_peer_link *link,
                                  const rr_heartbeat_digest *digest) {
    return sent->queued_at > 0 && sent->delivery_generation == link->delivery_generation &&
           sent->worker_epoch == digest->worker_epoch && sent->hash == digest->hash;
}

/* Whether a peer gets the heartbeat in full: a subscriber if the content is new to it or was sent
 * more than REFRESH_INTERVAL_S ago; an occasional receiver if the content is new to it, at least
 * OCCASIONAL_INTERVAL_S after the last one; other peers never. */
static bool needs_full_heartbeat(const struct full_send *sent, const struct rr_peer_link *link,
                                 const rr_heartbeat_digest *digest, bool subscribed,
                                 bool occasional, double now) {
    bool has_content = peer_was_sent_content(sent, link, digest);
    bool never_sent = sent->queued_at <= 0;
    if (subscribed) {
        return !has_content || now - sent->queued_at > REFRESH_INTERVAL_S;
    }
    return occasional && !has_content &&
           (never_sent || now - sent->queued_at > OCCASIONAL_INTERVAL_S);
}

void rr_peers_send_heartbeat(rr_peers *peers, uint32_t subscribers, uint32_t occasional,
                             const rr_heartbeat_digest *digest, const void *body, size_t length) {
    if (peers->config->peer_count == 0 || !heartbeat_fits_frame(length)) {
        return;
    }
    GBytes *payload = NULL; /* created for the first peer that gets the heartbeat in full */
    pthread_mutex_lock(&peers->lock);
    double now = rr_steady_clock_s();
    struct machine_sends *sent = get_or_create_send_record(peers, digest->machine, now);
    for (size_t i = 0; i < peers->config->peer_count; i++) {
        struct rr_peer_link *link = &peers->links[i];
        if (!needs_full_heartbeat(&sent->to_peer[i], link, digest, subscribers >> i & 1,
                                  occasional >> i & 1, now)) {
            queue_digest(link, RR_PEER_DIRECT, digest);
            continue;
        }
        payload = payload ? payload : make_heartbeat_payload(RR_PEER_DIRECT, body, length);
        queue_heartbeat(link, payload);
        sent->to_peer[i] =
            (struct full_send){digest->worker_epoch, digest->hash, link->delivery_generation, now};
    }
    pthread_mutex_unlock(&peers->lock);
    if (payload) {
        g_bytes_unref(payload);
    }
}

void rr_peers_forward_heartbeats(rr_peers *peers, int from, const rr_heartbeat_digest *digests,
                                 size_t count, const void *body, size_t length) {
    if (from < 0 || !heartbeat_fits_frame(length)) {
        return;
    }
    GBytes *payload = NULL;
    pthread_mutex_lock(&peers->lock);
    double now = rr_steady_clock_s();
    for (size_t i = 0; i < peers->config->peer_count; i++) {
        struct rr_peer_link *link = &peers->links[i];
        if ((int)i == from || !rr_peer_received_recently(link, now) ||
            link->peer_receives_from[from]) {
            continue;
        }
        if (body) {
            payload = payload ? payload : make_heartbeat_payload(RR_PEER_FORWARDED, body, length);
            queue_heartbeat(link, payload);
            continue;
        }
        for (size_t k = 0; k < count; k++) {
            queue_digest(link, RR_PEER_FORWARDED, &digests[k]);
        }
    }
    pthread_mutex_unlock(&peers->lock);
    if (payload) {
        g_bytes_unref(payload);
    }
}

void rr_peers_send_demand(rr_peers *peers, const void *demand_view, size_t length) {
    pthread_mutex_lock(&peers->lock);
    for (size_t i = 0; i < peers->config->peer_count; i++) {
        struct rr_peer_link *link = &peers->links[i];
        g_clear_pointer(&link->demand, g_bytes_unref);
        link->demand = g_bytes_new(demand_view, length);
        pthread_cond_signal(&link->wake);
    }
    pthread_mutex_unlock(&peers->lock);
}

void rr_peers_send_suspects(rr_peers *peers, const GPtrArray *machines) {
    if (machines->len == 0) {
        return;
    }
    pthread_mutex_lock(&peers->lock);
    for (size_t i = 0; i < peers->config->peer_count; i++) {
        struct rr_peer_link *link = &peers->links[i];
        for (guint k = 0; k < machines->len && link->suspects->len < RR_PEER_FRAME_MACHINES_MAX;
             k++) {
            g_ptr_array_add(link->suspects, g_strdup(g_ptr_array_index(machines, k)));
        }
        pthread_cond_signal(&link->wake);
    }
    pthread_mutex_unlock(&peers->lock);
}

void rr_peers_send_cancellation(rr_peers *peers, const char *job_id, double expires_at) {
    pthread_mutex_lock(&peers->lock);
    for (size_t i = 0; i < peers->config->peer_count; i++) {
        rr_cancellations_add(peers->links[i].cancellations, job_id, expires_at);
        pthread_cond_signal(&peers->links[i].wake);
    }
    pthread_mutex_unlock(&peers->lock);
}
