/* Packs the queued output of a link into frames. */
#include "common/clock.h"
#include "peer/link.h"

bool rr_peer_link_has_output(struct rr_peer_link *link, double now) {
    return !g_queue_is_empty(&link->heartbeats) || link->suspects->len > 0 || link->demand ||
           rr_cancellations_has_pending(link->cancellations, link->delivery_generation, now);
}

/* Appends the present time, by which the receiver recognises stale frames. */
static void put_sent_at(GByteArray *out) {
    guint start = rr_frame_begin(out, RR_FRAME_SENT_AT);
    rr_frame_put_u64(out, (uint64_t)(rr_wall_clock_s() * 1000));
    rr_frame_end(out, start);
}

/* Moves queued heartbeats to `out`, until it holds RR_FRAME_BYTES_MAX bytes. */
static void put_heartbeats(struct rr_peer_link *link, GByteArray *out) {
    GBytes *payload;
    while (out->len < RR_FRAME_BYTES_MAX && (payload = g_queue_pop_head(&link->heartbeats))) {
        gsize length;
        const void *data = g_bytes_get_data(payload, &length);
        guint start = rr_frame_begin(out, RR_FRAME_HEARTBEAT);
        g_byte_array_append(out, data, (guint)length);
        rr_frame_end(out, start);
        g_bytes_unref(payload);
    }
}

/* Appends the names of the peers that this controller has recently received from. */
static void put_nodes_received_from(const rr_peers *peers, GByteArray *out, double now) {
    uint16_t count = 0;
    guint count_offset = out->len;
    rr_frame_put_u16(out, 0);
    for (size_t i = 0; i < peers->config->peer_count; i++) {
        if (rr_peer_received_recently(&peers->links[i], now)) {
            rr_frame_put_text(out, peers->config->peers[i].name);
            count++;
        }
    }
    rr_frame_set_u16(out, count_offset, count);
}

static void put_digest(const rr_heartbeat_digest *digest, GByteArray *out) {
    rr_frame_put_text(out, digest->machine);
    rr_frame_put_u64(out, digest->worker_epoch);
    rr_frame_put_u64(out, digest->sequence);
    rr_frame_put_u64(out, digest->hash);
}

/* Moves queued digests of these hops to one frame, as many as it may hold. */
static void put_digest_frame(struct rr_peer_link *link, unsigned hops, GByteArray *out,
                             double now) {
    guint start = rr_frame_begin(out, RR_FRAME_HEARTBEAT_DIGESTS);
    rr_frame_put_u8(out, (uint8_t)hops);
    put_nodes_received_from(link->peers, out, now);
    uint16_t count = 0;
    guint count_offset = out->len;
    rr_frame_put_u16(out, 0);
    GHashTableIter iterator;
    gpointer digest;
    g_hash_table_iter_init(&iterator, link->digests[hops]);
    while (count < RR_PEER_FRAME_MACHINES_MAX && g_hash_table_iter_next(&iterator, NULL, &digest)) {
        put_digest(digest, out);
        g_hash_table_iter_remove(&iterator);
        count++;
    }
    rr_frame_set_u16(out, count_offset, count);
    rr_frame_end(out, start);
}

/* Moves all queued digests to frames. There is always at least one, since it also names the nodes
 * that this controller receives from. A large fleet needs several, which are sent together so that
 * no machine's digest is delayed to a later interval. */
static void put_digests(struct rr_peer_link *link, GByteArray *out) {
    double now = rr_steady_clock_s();
    put_digest_frame(link, RR_PEER_DIRECT, out, now);
    for (unsigned hops = 0; hops < RR_PEER_HOPS_COUNT; hops++) {
        while (g_hash_table_size(link->digests[hops]) > 0) {
            put_digest_frame(link, hops, out, now);
        }
    }
}

static void put_suspects(struct rr_peer_link *link, GByteArray *out) {
    guint start = rr_frame_begin(out, RR_FRAME_SUSPECTS);
    rr_frame_put_u16(out, (uint16_t)link->suspects->len);
    for (guint i = 0; i < link->suspects->len; i++) {
        rr_frame_put_text(out, g_ptr_array_index(link->suspects, i));
    }
    rr_frame_end(out, start);
    g_ptr_array_set_size(link->suspects, 0);
}

static void put_demand(struct rr_peer_link *link, GByteArray *out) {
    gsize length;
    const void *view = g_bytes_get_data(link->demand, &length);
    guint start = rr_frame_begin(out, RR_FRAME_DEMAND);
    g_byte_array_append(out, view, (guint)length);
    rr_frame_end(out, start);
    g_clear_pointer(&link->demand, g_bytes_unref);
}

void rr_peer_link_take_output(struct rr_peer_link *link, bool with_digests, GByteArray *out) {
    put_sent_at(out);
    put_heartbeats(link, out);
    if (with_digests) {
        put_digests(link, out);
    }
    if (link->suspects->len > 0) {
        put_suspects(link, out);
    }
    if (link->demand) {
        put_demand(link, out);
    }
    if (rr_cancellations_has_pending(link->cancellations, link->delivery_generation,
                                     rr_steady_clock_s())) {
        rr_cancellations_put_frame(link->cancellations, link->delivery_generation, out);
    }
}
