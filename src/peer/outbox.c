/* What goes to which peer: reports whole or as lines, suspects, cancellations, the demand. */
#include "peer/internal.h"
#include "app/clock.h"

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

static void queue_whole(struct link *l, GBytes *b) {
    if (g_queue_get_length(&l->queue) >= QUEUE_MAX) {
        g_bytes_unref(g_queue_pop_head(&l->queue));
        l->losses++; /* what was dropped is not there */
    }
    if (g_queue_is_empty(&l->queue)) {
        pthread_cond_signal(&l->wake);
    }
    g_queue_push_tail(&l->queue, g_bytes_ref(b));
}

static void queue_line(struct link *l, unsigned hops, const rr_heartbeat_digest *h) {
    rr_heartbeat_digest *copy = g_memdup2(h, sizeof *h);
    g_hash_table_replace(l->digests[hops], copy->machine, copy);
}

static gboolean unused(gpointer k, gpointer v, gpointer now) {
    (void)k;
    return *(double *)now - ((struct sent *)v)->used_at > SENT_KEEP_S;
}

static struct sent *sent_of(rr_peers *p, const char *machine, double now) {
    if (now - p->swept_at > SENT_KEEP_S) {
        p->swept_at = now;
        g_hash_table_foreach_remove(p->sent, unused, &now);
    }
    struct sent *s = g_hash_table_lookup(p->sent, machine);
    if (!s) {
        s = g_new0(struct sent, 1);
        g_hash_table_insert(p->sent, g_strdup(machine), s);
    }
    s->used_at = now;
    return s;
}

static GBytes *payload_of(unsigned hops, const void *body, size_t len) {
    uint8_t *payload = g_malloc(len + 1);
    payload[0] = (uint8_t)hops;
    memcpy(payload + 1, body, len);
    return g_bytes_new_take(payload, len + 1);
}

void rr_peers_send_heartbeat(rr_peers *p, uint32_t wanted, uint32_t rare,
                             const rr_heartbeat_digest *h, const void *body, size_t len) {
    if (p->config->peer_count == 0 || len + RR_FRAME_HEADER_BYTES + 1 > RR_FRAME_BYTES_MAX / 2) {
        return;
    }
    GBytes *whole = NULL;
    pthread_mutex_lock(&p->lock);
    double now = rr_steady_clock_s();
    struct sent *s = sent_of(p, h->machine, now);
    for (size_t i = 0; i < p->config->peer_count; i++) {
        struct link *l = &p->links[i];
        bool has = s->to[i].at > 0 && s->to[i].life == l->losses &&
                   s->to[i].worker_epoch == h->worker_epoch && s->to[i].hash == h->hash;
        double since = s->to[i].at > 0 ? now - s->to[i].at : 1e9;
        bool want = (wanted >> i & 1) ? !has || since > REFRESH_S
                                      : (rare >> i & 1) && !has && since > RARELY_S;
        if (!want) {
            queue_line(l, 0, h);
            continue;
        }
        whole = whole ? whole : payload_of(0, body, len);
        queue_whole(l, whole);
        s->to[i].worker_epoch = h->worker_epoch;
        s->to[i].hash = h->hash;
        s->to[i].life = l->losses;
        s->to[i].at = now;
    }
    pthread_mutex_unlock(&p->lock);
    if (whole) {
        g_bytes_unref(whole);
    }
}

void rr_peers_forward_heartbeats(rr_peers *p, int from, const rr_heartbeat_digest *list, size_t n,
                                 const void *body, size_t len) {
    GBytes *whole = NULL;
    if (from < 0 || len + RR_FRAME_HEADER_BYTES + 1 > RR_FRAME_BYTES_MAX / 2) {
        return;
    }
    pthread_mutex_lock(&p->lock);
    double now = rr_steady_clock_s();
    for (size_t i = 0; i < p->config->peer_count; i++) {
        struct link *l = &p->links[i];
        bool lacks = (int)i != from && rr_link_heard_lately(l, now) && !l->peer_hears[from];
        if (lacks && body) {
            whole = whole ? whole : payload_of(1, body, len);
            queue_whole(l, whole);
        }
        for (size_t k = 0; lacks && !body && k < n; k++) {
            queue_line(l, 1, &list[k]);
        }
    }
    pthread_mutex_unlock(&p->lock);
    if (whole) {
        g_bytes_unref(whole);
    }
}

void rr_peers_send_demand(rr_peers *p, const void *view, size_t len) {
    pthread_mutex_lock(&p->lock);
    for (size_t i = 0; i < p->config->peer_count; i++) {
        struct link *l = &p->links[i];
        g_clear_pointer(&l->demand, g_bytes_unref);
        l->demand = g_bytes_new(view, len);
        pthread_cond_signal(&l->wake);
    }
    pthread_mutex_unlock(&p->lock);
}

void rr_peers_send_suspects(rr_peers *p, const GPtrArray *names) {
    if (names->len == 0) {
        return;
    }
    pthread_mutex_lock(&p->lock);
    for (size_t i = 0; i < p->config->peer_count; i++) {
        struct link *l = &p->links[i];
        for (guint k = 0; k < names->len && l->suspects->len < RR_PEER_LIST_MAX; k++) {
            g_ptr_array_add(l->suspects, g_strdup(g_ptr_array_index(names, k)));
        }
        pthread_cond_signal(&l->wake);
    }
    pthread_mutex_unlock(&p->lock);
}

void rr_peers_send_cancellation(rr_peers *p, const char *job_id, double until) {
    pthread_mutex_lock(&p->lock);
    for (size_t i = 0; i < p->config->peer_count; i++) {
        rr_cancellations_add(p->links[i].cancelled, job_id, until);
        pthread_cond_signal(&p->links[i].wake);
    }
    pthread_mutex_unlock(&p->lock);
}
