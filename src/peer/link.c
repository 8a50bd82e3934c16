/* The outgoing link to a peer: what has gathered for it goes out as frames, over a connection that
 * is made anew when it brings nothing across. */
#include "peer/peers_internal.h"
#include "common/clock.h"
#include "common/log.h"
#include "common/usage.h"

#include <unistd.h>

#define GATHER_SHARE 0.0125 /* of a report interval: what else comes goes with the same send */
#define BEAT_S 0.5 /* lists of machines heard, and of peers: a silence is seen later by this */
#define PATIENCE_MAX_S 30.0

static bool has_news(struct link *link) {
    return !g_queue_is_empty(&link->queue) || link->suspects->len > 0 || link->demand ||
           rr_cancellations_pending(link->cancelled, link->losses, rr_steady_clock_s());
}

void wait_until(pthread_cond_t *condition, pthread_mutex_t *mutex, double until) {
    struct timespec time = {(time_t)until, (long)((until - (double)(time_t)until) * 1e9)};
    pthread_cond_timedwait(condition, mutex, &time);
}

bool rr_link_heard_lately(const struct link *link, double now) {
    return link->peer_digest_at > 0 && now - link->peer_digest_at < RR_PEER_HEARD_S;
}

static void put_list(struct link *link, unsigned hops, GByteArray *out, double now) {
    const rr_peers *peers = link->owner;
    GHashTableIter iter;
    gpointer value;
    guint start = rr_frame_begin(out, RR_FRAME_HEARTBEAT_DIGESTS);
    uint16_t hears = 0, count = 0;
    rr_frame_put_u8(out, (uint8_t)hops);
    for (size_t i = 0; i < peers->config->peer_count; i++) {
        hears += rr_link_heard_lately(&peers->links[i], now);
    }
    rr_frame_put_u16(out, hears);
    for (size_t i = 0; i < peers->config->peer_count; i++) {
        if (rr_link_heard_lately(&peers->links[i], now)) {
            rr_frame_put_text(out, peers->config->peers[i].name);
        }
    }
    guint count_at = out->len;
    rr_frame_put_u16(out, 0);
    g_hash_table_iter_init(&iter, link->digests[hops]);
    while (count < RR_PEER_LIST_MAX && g_hash_table_iter_next(&iter, NULL, &value)) {
        const rr_heartbeat_digest *digest = value;
        rr_frame_put_text(out, digest->machine);
        rr_frame_put_u64(out, digest->worker_epoch);
        rr_frame_put_u64(out, digest->sequence);
        rr_frame_put_u64(out, digest->hash);
        g_hash_table_iter_remove(&iter);
        count++;
    }
    out->data[count_at] = (uint8_t)(count >> 8);
    out->data[count_at + 1] = (uint8_t)count;
    rr_frame_end(out, start);
}

/* Bounded by the machines there are: each is in a list once. */
static void put_rest_of_lists(struct link *link, GByteArray *out, double now) {
    for (unsigned hops = 0; hops < 2; hops++) {
        while (g_hash_table_size(link->digests[hops]) > 0) {
            put_list(link, hops, out, now);
        }
    }
}

static void put_suspects(struct link *link, GByteArray *out) {
    guint start = rr_frame_begin(out, RR_FRAME_SUSPECT);
    rr_frame_put_u16(out, (uint16_t)link->suspects->len);
    for (guint i = 0; i < link->suspects->len; i++) {
        rr_frame_put_text(out, g_ptr_array_index(link->suspects, i));
    }
    rr_frame_end(out, start);
    g_ptr_array_set_size(link->suspects, 0);
}

static void put_demand(struct link *link, GByteArray *out) {
    gsize length;
    const void *view = g_bytes_get_data(link->demand, &length);
    guint start = rr_frame_begin(out, RR_FRAME_DEMAND);
    g_byte_array_append(out, view, (guint)length);
    rr_frame_end(out, start);
    g_clear_pointer(&link->demand, g_bytes_unref);
}

/* All that is to be said to the peer now, as frames. False: stop. */
static bool gather(struct link *link, GByteArray *out, double *beat) {
    rr_peers *peers = link->owner;
    pthread_mutex_lock(&peers->lock);
    while (!atomic_load(peers->stop) && !has_news(link) && rr_steady_clock_s() - *beat < BEAT_S) {
        wait_until(&link->wake, &peers->lock, *beat + BEAT_S);
    }
    bool news = has_news(link);
    pthread_mutex_unlock(&peers->lock);
    if (news) {
        rr_sleep(GATHER_SHARE * peers->config->heartbeat_interval_s);
    }
    pthread_mutex_lock(&peers->lock);
    GBytes *bytes;
    guint head = rr_frame_begin(out, RR_FRAME_SENT_AT);
    rr_frame_put_u64(out, (uint64_t)(rr_wall_clock_s() * 1000));
    rr_frame_end(out, head);
    while (out->len < RR_FRAME_BYTES_MAX && (bytes = g_queue_pop_head(&link->queue))) {
        gsize count;
        const void *data = g_bytes_get_data(bytes, &count);
        guint start = rr_frame_begin(out, RR_FRAME_HEARTBEAT);
        g_byte_array_append(out, data, (guint)count);
        rr_frame_end(out, start);
        g_bytes_unref(bytes);
    }
    double now = rr_steady_clock_s();
    if (now - *beat >= BEAT_S) {
        *beat = now;
        /* The first even if it is empty: it tells whom we hear. At 4,500 machines one list a beat
         * was not enough, and machines were told of seconds late. */
        put_list(link, 0, out, now);
        put_rest_of_lists(link, out, now);
    }
    if (link->suspects->len > 0) {
        put_suspects(link, out);
    }
    if (link->demand) {
        put_demand(link, out);
    }
    if (rr_cancellations_pending(link->cancelled, link->losses, now)) {
        rr_cancellations_put(link->cancelled, link->losses, out);
    }
    pthread_mutex_unlock(&peers->lock);
    return !atomic_load(peers->stop);
}

/* A report that waited for a peer to come back would be taken for fresh there: a machine that had
 * hung meanwhile seemed alive for as long again. */
static void forget_queue(struct link *link) {
    pthread_mutex_lock(&link->owner->lock);
    g_queue_clear_full(&link->queue, (GDestroyNotify)g_bytes_unref);
    g_hash_table_remove_all(link->digests[0]);
    g_hash_table_remove_all(link->digests[1]);
    g_ptr_array_set_size(link->suspects, 0);
    g_clear_pointer(&link->demand, g_bytes_unref);
    link->losses++;
    pthread_mutex_unlock(&link->owner->lock);
}

/* A connection may take what is sent and bring nothing across: after a cut the other side had given
 * it up, and no reset ever came back. The reports of a quarter of the machines were lost on one for
 * good, while a third controller's lines said that the machines were alive, so that their tasks
 * were neither seen to run nor placed anew. So the peer has to say that it hears us; where it does
 * not, or is not heard itself, the connection is made anew, less and less often. */
static bool is_dead(struct link *link, double now) {
    rr_peers *peers = link->owner;
    pthread_mutex_lock(&peers->lock);
    bool works = rr_link_heard_lately(link, now) && link->peer_hears_us;
    bool dead = !works && now - link->connected_at > link->patience;
    link->patience = works  ? RR_PEER_HEARD_S
                     : dead ? MIN(2 * link->patience, PATIENCE_MAX_S)
                            : link->patience;
    pthread_mutex_unlock(&peers->lock);
    return dead;
}

static int link_send(struct link *link, int *fd, const GByteArray *frames) {
    const struct rr_peer_config *peer = &link->owner->config->peers[link->index];
    if (*fd < 0) {
        *fd = rr_peer_dial(NULL, &peer->endpoint, 1.0);
        if (*fd < 0) {
            return -EIO;
        }
        pthread_mutex_lock(&link->owner->lock);
        link->connected_at = rr_steady_clock_s();
        pthread_mutex_unlock(&link->owner->lock);
        GByteArray *hello = g_byte_array_new();
        rr_peer_put_hello(link->owner, hello);
        int rc = rr_peer_send(*fd, hello->data, hello->len);
        g_byte_array_free(hello, TRUE);
        if (rc != 0) {
            return rc;
        }
    }
    return rr_peer_send(*fd, frames->data, frames->len);
}

void *rr_link_main(void *arg) {
    struct link *link = arg;
    rr_usage_enter(RR_USAGE_PEERS);
    GByteArray *frames = g_byte_array_new();
    double beat = 0;
    int fd = -1;
    while (gather(link, frames, &beat)) {
        bool dead = fd >= 0 && is_dead(link, rr_steady_clock_s());
        if (dead || link_send(link, &fd, frames) != 0) {
            if (fd >= 0) {
                close(fd);
                rr_log(RR_INFO_LEVEL, "link to %s lost%s",
                       link->owner->config->peers[link->index].name,
                       dead ? ": it does not say that it hears us" : "");
            }
            fd = -1;
            forget_queue(link);
            for (int i = 0; i < 5 && !atomic_load(link->owner->stop); i++) {
                rr_sleep(0.1);
            }
        }
        g_byte_array_set_size(frames, 0);
    }
    if (fd >= 0) {
        close(fd);
    }
    g_byte_array_free(frames, TRUE);
    rr_usage_leave();
    return NULL;
}
