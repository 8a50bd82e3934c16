/* The outgoing link to a peer: what has gathered for it goes out as frames, over a connection that
 * is made anew when it brings nothing across. */
#include "peer/internal.h"
#include "app/clock.h"
#include "app/log.h"
#include "app/usage.h"

#include <unistd.h>

#define GATHER_SHARE 0.0125 /* of a report interval: what else comes goes with the same send */
#define BEAT_S 0.5 /* lists of machines heard, and of peers: a silence is seen later by this */
#define PATIENCE_MAX_S 30.0

static bool has_news(struct link *l) {
    return !g_queue_is_empty(&l->queue) || l->suspects->len > 0 || l->demand ||
           rr_cancellations_pending(l->cancelled, l->losses, rr_steady_clock_s());
}

void wait_until(pthread_cond_t *c, pthread_mutex_t *m, double until) {
    struct timespec ts = {(time_t)until, (long)((until - (double)(time_t)until) * 1e9)};
    pthread_cond_timedwait(c, m, &ts);
}

bool rr_link_heard_lately(const struct link *l, double now) {
    return l->peer_digest_at > 0 && now - l->peer_digest_at < RR_PEER_HEARD_S;
}

static void put_list(struct link *l, unsigned hops, GByteArray *out, double now) {
    const rr_peers *p = l->owner;
    GHashTableIter it;
    gpointer v;
    guint at = rr_frame_begin(out, RR_FRAME_HEARTBEAT_DIGESTS);
    uint16_t hears = 0, n = 0;
    rr_frame_put_u8(out, (uint8_t)hops);
    for (size_t i = 0; i < p->config->peer_count; i++) {
        hears += rr_link_heard_lately(&p->links[i], now);
    }
    rr_frame_put_u16(out, hears);
    for (size_t i = 0; i < p->config->peer_count; i++) {
        if (rr_link_heard_lately(&p->links[i], now)) {
            rr_frame_put_text(out, p->config->peers[i].name);
        }
    }
    guint count_at = out->len;
    rr_frame_put_u16(out, 0);
    g_hash_table_iter_init(&it, l->digests[hops]);
    while (n < RR_PEER_LIST_MAX && g_hash_table_iter_next(&it, NULL, &v)) {
        const rr_heartbeat_digest *h = v;
        rr_frame_put_text(out, h->machine);
        rr_frame_put_u64(out, h->worker_epoch);
        rr_frame_put_u64(out, h->sequence);
        rr_frame_put_u64(out, h->hash);
        g_hash_table_iter_remove(&it);
        n++;
    }
    out->data[count_at] = (uint8_t)(n >> 8);
    out->data[count_at + 1] = (uint8_t)n;
    rr_frame_end(out, at);
}

/* Bounded by the machines there are: each is in a list once. */
static void put_rest_of_lists(struct link *l, GByteArray *out, double now) {
    for (unsigned hops = 0; hops < 2; hops++) {
        while (g_hash_table_size(l->digests[hops]) > 0) {
            put_list(l, hops, out, now);
        }
    }
}

static void put_suspects(struct link *l, GByteArray *out) {
    guint at = rr_frame_begin(out, RR_FRAME_SUSPECT);
    rr_frame_put_u16(out, (uint16_t)l->suspects->len);
    for (guint i = 0; i < l->suspects->len; i++) {
        rr_frame_put_text(out, g_ptr_array_index(l->suspects, i));
    }
    rr_frame_end(out, at);
    g_ptr_array_set_size(l->suspects, 0);
}

static void put_demand(struct link *l, GByteArray *out) {
    gsize len;
    const void *view = g_bytes_get_data(l->demand, &len);
    guint at = rr_frame_begin(out, RR_FRAME_DEMAND);
    g_byte_array_append(out, view, (guint)len);
    rr_frame_end(out, at);
    g_clear_pointer(&l->demand, g_bytes_unref);
}

/* All that is to be said to the peer now, as frames. False: stop. */
static bool gather(struct link *l, GByteArray *out, double *beat) {
    rr_peers *p = l->owner;
    pthread_mutex_lock(&p->lock);
    while (!atomic_load(p->stop) && !has_news(l) && rr_steady_clock_s() - *beat < BEAT_S) {
        wait_until(&l->wake, &p->lock, *beat + BEAT_S);
    }
    bool news = has_news(l);
    pthread_mutex_unlock(&p->lock);
    if (news) {
        rr_sleep(GATHER_SHARE * p->config->heartbeat_interval_s);
    }
    pthread_mutex_lock(&p->lock);
    GBytes *b;
    guint head = rr_frame_begin(out, RR_FRAME_SENT_AT);
    rr_frame_put_u64(out, (uint64_t)(rr_wall_clock_s() * 1000));
    rr_frame_end(out, head);
    while (out->len < RR_FRAME_BYTES_MAX && (b = g_queue_pop_head(&l->queue))) {
        gsize n;
        const void *data = g_bytes_get_data(b, &n);
        guint at = rr_frame_begin(out, RR_FRAME_HEARTBEAT);
        g_byte_array_append(out, data, (guint)n);
        rr_frame_end(out, at);
        g_bytes_unref(b);
    }
    double now = rr_steady_clock_s();
    if (now - *beat >= BEAT_S) {
        *beat = now;
        /* The first even if it is empty: it tells whom we hear. At 4,500 machines one list a beat
         * was not enough, and machines were told of seconds late. */
        put_list(l, 0, out, now);
        put_rest_of_lists(l, out, now);
    }
    if (l->suspects->len > 0) {
        put_suspects(l, out);
    }
    if (l->demand) {
        put_demand(l, out);
    }
    if (rr_cancellations_pending(l->cancelled, l->losses, now)) {
        rr_cancellations_put(l->cancelled, l->losses, out);
    }
    pthread_mutex_unlock(&p->lock);
    return !atomic_load(p->stop);
}

/* A report that waited for a peer to come back would be taken for fresh there: a machine that had
 * hung meanwhile seemed alive for as long again. */
static void forget_queue(struct link *l) {
    pthread_mutex_lock(&l->owner->lock);
    g_queue_clear_full(&l->queue, (GDestroyNotify)g_bytes_unref);
    g_hash_table_remove_all(l->digests[0]);
    g_hash_table_remove_all(l->digests[1]);
    g_ptr_array_set_size(l->suspects, 0);
    g_clear_pointer(&l->demand, g_bytes_unref);
    l->losses++;
    pthread_mutex_unlock(&l->owner->lock);
}

/* A connection may take what is sent and bring nothing across: after a cut the other side had given
 * it up, and no reset ever came back. The reports of a quarter of the machines were lost on one for
 * good, while a third controller's lines said that the machines were alive, so that their tasks
 * were neither seen to run nor placed anew. So the peer has to say that it hears us; where it does
 * not, or is not heard itself, the connection is made anew, less and less often. */
static bool is_dead(struct link *l, double now) {
    rr_peers *p = l->owner;
    pthread_mutex_lock(&p->lock);
    bool works = rr_link_heard_lately(l, now) && l->peer_hears_us;
    bool dead = !works && now - l->connected_at > l->patience;
    l->patience = works  ? RR_PEER_HEARD_S
                  : dead ? MIN(2 * l->patience, PATIENCE_MAX_S)
                         : l->patience;
    pthread_mutex_unlock(&p->lock);
    return dead;
}

static int link_send(struct link *l, int *fd, const GByteArray *frames) {
    const struct rr_peer_config *peer = &l->owner->config->peers[l->index];
    if (*fd < 0) {
        *fd = rr_peer_dial(NULL, &peer->endpoint, 1.0);
        if (*fd < 0) {
            return -EIO;
        }
        pthread_mutex_lock(&l->owner->lock);
        l->connected_at = rr_steady_clock_s();
        pthread_mutex_unlock(&l->owner->lock);
        GByteArray *hello = g_byte_array_new();
        rr_peer_put_hello(l->owner, hello);
        int rc = rr_peer_send(*fd, hello->data, hello->len);
        g_byte_array_free(hello, TRUE);
        if (rc != 0) {
            return rc;
        }
    }
    return rr_peer_send(*fd, frames->data, frames->len);
}

void *rr_link_main(void *arg) {
    struct link *l = arg;
    rr_usage_enter(RR_USAGE_PEERS);
    GByteArray *frames = g_byte_array_new();
    double beat = 0;
    int fd = -1;
    while (gather(l, frames, &beat)) {
        bool dead = fd >= 0 && is_dead(l, rr_steady_clock_s());
        if (dead || link_send(l, &fd, frames) != 0) {
            if (fd >= 0) {
                close(fd);
                rr_log(RR_INFO_LEVEL, "link to %s lost%s", l->owner->config->peers[l->index].name,
                       dead ? ": it does not say that it hears us" : "");
            }
            fd = -1;
            forget_queue(l);
            for (int i = 0; i < 5 && !atomic_load(l->owner->stop); i++) {
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
