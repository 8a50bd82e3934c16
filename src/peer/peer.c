#include "peer/peer.h"
#include "app/clock.h"
#include "app/log.h"
#include "app/thread.h"
#include "app/usage.h"
#include "net/socket.h"
#include "peer/cancellations.h"
#include "peer/frame.h"
#include "worker/worker.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define QUEUE_MAX 256
#define IDLE_S 20

#define GATHER_SHARE 0.0125 /* of a report interval: what else comes goes with the same send */
#define BEAT_S 0.5  /* lists of machines heard, and of peers: a silence is seen later by this */
#define HEARS_S 4.0 /* a peer heard not longer ago is heard */
#define PATIENCE_MAX_S 30.0
#define LIST_MAX 512 /* machines in a frame */
#define RARELY_S 15.0
#define REFRESH_S 30.0 /* a content is sent again after this, whatever was sent before */
#define SENT_KEEP_S 120.0

struct link {
    rr_peers *owner;
    int index;
    pthread_t thread;
    bool started;
    pthread_cond_t wake;
    GQueue queue;         /* GBytes*: payloads of report frames */
    GHashTable *heard[2]; /* machine -> rr_heard, by hops */
    GPtrArray *suspects;  /* char* */
    rr_cancellations *cancelled;
    GBytes *demand;  /* to be told, NULL: none */
    unsigned life;   /* counts losses: what was sent before may not have arrived */
    double up_at;    /* since when our connection to it stands */
    double patience; /* how long it may stand without a sign that it works */
    /* What the peer last said of whom it hears, by index of ours. */
    double
        heard_at; /* when it last said so: on its link to us, nothing else shows that that works */
    bool hears[RR_MAX_NODES], hears_us;
};

/* What each peer was last sent of a machine. */
struct sent {
    struct {
        uint64_t worker_epoch, hash;
        unsigned life;
        double at; /* 0: never */
    } to[RR_MAX_NODES];
    double used_at;
};

struct rr_peers {
    const struct rr_config *cfg;
    struct rr_peer_events ev;
    const atomic_bool *stop;
    pthread_mutex_t lock;
    pthread_cond_t wake; /* connections end */
    GHashTable *sent;    /* machine -> struct sent */
    double swept_at;
    struct link links[RR_MAX_NODES];
    int listener;
    pthread_t acceptor;
    bool accepting;
    int conns; /* running connection threads, under lock */
};

struct conn {
    rr_peers *owner;
    int fd, peer; /* -1: not greeted yet */
    bool late;    /* what comes now was sent long ago */
};

/* ---- sockets ---- */

static void set_timeouts(int fd, double seconds) {
    struct timeval tv = {(time_t)seconds, (suseconds_t)((seconds - (double)(time_t)seconds) * 1e6)};
    int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof tv);
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof tv);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

/* Linux bounds a blocking connect() by the send timeout. */
static int dial(const struct rr_endpoint *to, double timeout_s) {
    struct sockaddr_in a;
    rr_sockaddr(to, &a);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return -errno;
    }
    set_timeouts(fd, timeout_s);
    if (connect(fd, (struct sockaddr *)&a, sizeof a) != 0) {
        int rc = -errno;
        close(fd);
        return rc;
    }
    return fd;
}

static int send_all(int fd, const void *data, size_t len) {
    const char *p = data;
    while (len > 0) {
        ssize_t n = send(fd, p, len, MSG_NOSIGNAL);
        if (n <= 0) {
            if (n < 0 && errno == EINTR) {
                continue;
            }
            return -EIO;
        }
        p += n;
        len -= (size_t)n;
    }
    return 0;
}

/* Bytes read from a connection and not yet taken: one read brings many frames. */
struct inbox {
    int fd;
    GByteArray *buf;
    guint at;
};

static void inbox_init(struct inbox *in, int fd) {
    in->fd = fd;
    in->buf = g_byte_array_new();
    in->at = 0;
}

static void inbox_clear(struct inbox *in) {
    g_byte_array_free(in->buf, TRUE);
}

/* Until len bytes are there. Waits in slices so that a stop is seen; -EIO at the end of the stream
 * or of the time. */
static int inbox_fill(const rr_peers *p, struct inbox *in, guint len, double timeout_s) {
    double until = rr_now() + timeout_s;
    if (in->at > 0 && in->buf->len - in->at < len) {
        g_byte_array_remove_range(in->buf, 0, in->at);
        in->at = 0;
    }
    while (in->buf->len - in->at < len) {
        struct pollfd pf = {in->fd, POLLIN, 0};
        double left = until - rr_now();
        if (atomic_load(p->stop) || left <= 0) {
            return -EIO;
        }
        int n = poll(&pf, 1, left < 2 ? (int)(left * 1000) + 1 : 2000);
        if (n == 0 || (n < 0 && errno == EINTR)) {
            continue;
        }
        guint had = in->buf->len, room = len > 16384 ? len : 16384;
        g_byte_array_set_size(in->buf, had + room);
        ssize_t got = recv(in->fd, in->buf->data + had, room, 0);
        g_byte_array_set_size(in->buf, had + (got > 0 ? (guint)got : 0));
        if (got <= 0) {
            return -EIO;
        }
    }
    return 0;
}

/* The next frame's payload, in the inbox until the next call. */
static int recv_frame(const rr_peers *p, struct inbox *in, uint8_t *type, rr_unpack *u,
                      double timeout_s) {
    uint32_t len = 0;
    int rc = inbox_fill(p, in, RR_FRAME_HEAD, timeout_s);
    if (rc == 0) {
        rc = rr_frame_head(in->buf->data + in->at, type, &len);
    }
    if (rc == 0) {
        rc = inbox_fill(p, in, RR_FRAME_HEAD + len, timeout_s);
    }
    if (rc == 0) {
        *u = (rr_unpack){in->buf->data + in->at + RR_FRAME_HEAD, len, false};
        in->at += RR_FRAME_HEAD + len;
    }
    return rc;
}

static void frame_hello(const rr_peers *p, GByteArray *b) {
    guint at = rr_frame_begin(b, RR_FRAME_HELLO);
    rr_frame_text(b, p->cfg->node_name);
    rr_frame_end(b, at);
}

/* ---- outgoing links ---- */

static bool has_news(struct link *l) {
    return !g_queue_is_empty(&l->queue) || l->suspects->len > 0 || l->demand ||
           rr_cancellations_pending(l->cancelled, l->life, rr_now());
}

static void wait_for(pthread_cond_t *c, pthread_mutex_t *m, double until) {
    struct timespec ts = {(time_t)until, (long)((until - (double)(time_t)until) * 1e9)};
    pthread_cond_timedwait(c, m, &ts);
}

static bool heard_lately(const struct link *l, double now) {
    return l->heard_at > 0 && now - l->heard_at < HEARS_S;
}

static void put_list(struct link *l, unsigned hops, GByteArray *out, double now) {
    const rr_peers *p = l->owner;
    GHashTableIter it;
    gpointer v;
    guint at = rr_frame_begin(out, RR_FRAME_HEARD);
    uint16_t hears = 0, n = 0;
    rr_frame_u8(out, (uint8_t)hops);
    for (size_t i = 0; i < p->cfg->npeers; i++) {
        hears += heard_lately(&p->links[i], now);
    }
    rr_frame_u16(out, hears);
    for (size_t i = 0; i < p->cfg->npeers; i++) {
        if (heard_lately(&p->links[i], now)) {
            rr_frame_text(out, p->cfg->peers[i].name);
        }
    }
    guint count_at = out->len;
    rr_frame_u16(out, 0);
    g_hash_table_iter_init(&it, l->heard[hops]);
    while (n < LIST_MAX && g_hash_table_iter_next(&it, NULL, &v)) {
        const rr_heard *h = v;
        rr_frame_text(out, h->machine);
        rr_frame_u64(out, h->worker_epoch);
        rr_frame_u64(out, h->sequence);
        rr_frame_u64(out, h->hash);
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
        while (g_hash_table_size(l->heard[hops]) > 0) {
            put_list(l, hops, out, now);
        }
    }
}

static void put_suspects(struct link *l, GByteArray *out) {
    guint at = rr_frame_begin(out, RR_FRAME_SUSPECT);
    rr_frame_u16(out, (uint16_t)l->suspects->len);
    for (guint i = 0; i < l->suspects->len; i++) {
        rr_frame_text(out, g_ptr_array_index(l->suspects, i));
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
    while (!atomic_load(p->stop) && !has_news(l) && rr_now() - *beat < BEAT_S) {
        wait_for(&l->wake, &p->lock, *beat + BEAT_S);
    }
    bool news = has_news(l);
    pthread_mutex_unlock(&p->lock);
    if (news) {
        rr_sleep(GATHER_SHARE * p->cfg->report_s);
    }
    pthread_mutex_lock(&p->lock);
    GBytes *b;
    guint head = rr_frame_begin(out, RR_FRAME_SENT_AT);
    rr_frame_u64(out, (uint64_t)(rr_wall() * 1000));
    rr_frame_end(out, head);
    while (out->len < RR_FRAME_MAX && (b = g_queue_pop_head(&l->queue))) {
        gsize n;
        const void *data = g_bytes_get_data(b, &n);
        guint at = rr_frame_begin(out, RR_FRAME_REPORT);
        g_byte_array_append(out, data, (guint)n);
        rr_frame_end(out, at);
        g_bytes_unref(b);
    }
    double now = rr_now();
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
    if (rr_cancellations_pending(l->cancelled, l->life, now)) {
        rr_cancellations_put(l->cancelled, l->life, out);
    }
    pthread_mutex_unlock(&p->lock);
    return !atomic_load(p->stop);
}

/* A report that waited for a peer to come back would be taken for fresh there: a machine that had
 * hung meanwhile seemed alive for as long again. */
static void forget_queue(struct link *l) {
    pthread_mutex_lock(&l->owner->lock);
    g_queue_clear_full(&l->queue, (GDestroyNotify)g_bytes_unref);
    g_hash_table_remove_all(l->heard[0]);
    g_hash_table_remove_all(l->heard[1]);
    g_ptr_array_set_size(l->suspects, 0);
    g_clear_pointer(&l->demand, g_bytes_unref);
    l->life++;
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
    bool works = heard_lately(l, now) && l->hears_us;
    bool dead = !works && now - l->up_at > l->patience;
    l->patience = works ? HEARS_S : dead ? MIN(2 * l->patience, PATIENCE_MAX_S) : l->patience;
    pthread_mutex_unlock(&p->lock);
    return dead;
}

static int link_send(struct link *l, int *fd, const GByteArray *frames) {
    const struct rr_peer_config *peer = &l->owner->cfg->peers[l->index];
    if (*fd < 0) {
        *fd = dial(&peer->endpoint, 1.0);
        if (*fd < 0) {
            return -EIO;
        }
        pthread_mutex_lock(&l->owner->lock);
        l->up_at = rr_now();
        pthread_mutex_unlock(&l->owner->lock);
        GByteArray *hello = g_byte_array_new();
        frame_hello(l->owner, hello);
        int rc = send_all(*fd, hello->data, hello->len);
        g_byte_array_free(hello, TRUE);
        if (rc != 0) {
            return rc;
        }
    }
    return send_all(*fd, frames->data, frames->len);
}

static void *link_main(void *arg) {
    struct link *l = arg;
    rr_usage_enter(RR_USE_PEERS);
    GByteArray *frames = g_byte_array_new();
    double beat = 0;
    int fd = -1;
    while (gather(l, frames, &beat)) {
        bool dead = fd >= 0 && is_dead(l, rr_now());
        if (dead || link_send(l, &fd, frames) != 0) {
            if (fd >= 0) {
                close(fd);
                rr_log(RR_INFO_LEVEL, "link to %s lost%s", l->owner->cfg->peers[l->index].name,
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

/* ---- what goes to whom; under the lock ---- */

static void queue_whole(struct link *l, GBytes *b) {
    if (g_queue_get_length(&l->queue) >= QUEUE_MAX) {
        g_bytes_unref(g_queue_pop_head(&l->queue));
        l->life++; /* what was dropped is not there */
    }
    if (g_queue_is_empty(&l->queue)) {
        pthread_cond_signal(&l->wake);
    }
    g_queue_push_tail(&l->queue, g_bytes_ref(b));
}

static void queue_line(struct link *l, unsigned hops, const rr_heard *h) {
    rr_heard *copy = g_memdup2(h, sizeof *h);
    g_hash_table_replace(l->heard[hops], copy->machine, copy);
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

void rr_peers_report(rr_peers *p, uint32_t wanted, uint32_t rare, const rr_heard *h,
                     const void *body, size_t len) {
    if (p->cfg->npeers == 0 || len + RR_FRAME_HEAD + 1 > RR_FRAME_MAX / 2) {
        return;
    }
    GBytes *whole = NULL;
    pthread_mutex_lock(&p->lock);
    double now = rr_now();
    struct sent *s = sent_of(p, h->machine, now);
    for (size_t i = 0; i < p->cfg->npeers; i++) {
        struct link *l = &p->links[i];
        bool has = s->to[i].at > 0 && s->to[i].life == l->life &&
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
        s->to[i].life = l->life;
        s->to[i].at = now;
    }
    pthread_mutex_unlock(&p->lock);
    if (whole) {
        g_bytes_unref(whole);
    }
}

void rr_peers_pass_on(rr_peers *p, int from, const rr_heard *list, size_t n, const void *body,
                      size_t len) {
    GBytes *whole = NULL;
    if (from < 0 || len + RR_FRAME_HEAD + 1 > RR_FRAME_MAX / 2) {
        return;
    }
    pthread_mutex_lock(&p->lock);
    double now = rr_now();
    for (size_t i = 0; i < p->cfg->npeers; i++) {
        struct link *l = &p->links[i];
        bool lacks = (int)i != from && heard_lately(l, now) && !l->hears[from];
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

void rr_peers_demand(rr_peers *p, const void *view, size_t len) {
    pthread_mutex_lock(&p->lock);
    for (size_t i = 0; i < p->cfg->npeers; i++) {
        struct link *l = &p->links[i];
        g_clear_pointer(&l->demand, g_bytes_unref);
        l->demand = g_bytes_new(view, len);
        pthread_cond_signal(&l->wake);
    }
    pthread_mutex_unlock(&p->lock);
}

void rr_peers_suspects(rr_peers *p, const GPtrArray *names) {
    if (names->len == 0) {
        return;
    }
    pthread_mutex_lock(&p->lock);
    for (size_t i = 0; i < p->cfg->npeers; i++) {
        struct link *l = &p->links[i];
        for (guint k = 0; k < names->len && l->suspects->len < LIST_MAX; k++) {
            g_ptr_array_add(l->suspects, g_strdup(g_ptr_array_index(names, k)));
        }
        pthread_cond_signal(&l->wake);
    }
    pthread_mutex_unlock(&p->lock);
}

void rr_peers_cancelled(rr_peers *p, const char *job_id, double until) {
    pthread_mutex_lock(&p->lock);
    for (size_t i = 0; i < p->cfg->npeers; i++) {
        rr_cancellations_add(p->links[i].cancelled, job_id, until);
        pthread_cond_signal(&p->links[i].wake);
    }
    pthread_mutex_unlock(&p->lock);
}

/* ---- incoming connections ---- */

static int peer_index(const rr_peers *p, const char *name) {
    for (size_t i = 0; i < p->cfg->npeers; i++) {
        if (strcmp(p->cfg->peers[i].name, name) == 0) {
            return (int)i;
        }
    }
    return -1;
}

static int serve_relay(int fd, rr_client *client, rr_unpack *u) {
    char addr[64];
    uint32_t n;
    if (!rr_unpack_text(u, addr, sizeof addr)) {
        return -EBADMSG;
    }
    uint32_t ms = rr_unpack_u32(u);
    const uint8_t *body = rr_unpack_bytes(u, &n);
    if (u->bad || ms > 10000) {
        return -EBADMSG;
    }
    rr_reply reply = {0};
    int rc = rr_worker_call(client, addr, n ? body : NULL, n, ms / 1000.0, &reply);
    GByteArray *out = g_byte_array_new();
    guint at = rr_frame_begin(out, RR_FRAME_ANSWER);
    rr_frame_u8(out, rc == 0 ? 0 : rc == -ENOTCONN ? 1 : 2);
    rr_frame_u16(out, rc == 0 ? (uint16_t)reply.status : 0);
    rr_frame_bytes(out, rc == 0 ? reply.body->data : NULL, rc == 0 ? reply.body->len : 0);
    rr_frame_end(out, at);
    rc = send_all(fd, out->data, out->len);
    g_byte_array_free(out, TRUE);
    return rc;
}

static int serve_resign(rr_peers *p, int fd, rr_unpack *u) {
    bool end = rr_unpack_u8(u) != 0;
    uint64_t tether = rr_unpack_u64(u);
    if (u->bad) {
        return -EBADMSG;
    }
    GByteArray *out = g_byte_array_new();
    guint at = rr_frame_begin(out, RR_FRAME_ANSWER);
    rr_frame_u8(out, p->ev.resign(p->ev.user, tether, end) ? 0 : 1);
    rr_frame_end(out, at);
    int rc = send_all(fd, out->data, out->len);
    g_byte_array_free(out, TRUE);
    return rc;
}

/* The nodes that the peer hears, then the machines. */
static int serve_heard(rr_peers *p, int peer, rr_unpack *u) {
    struct link *l = &p->links[peer];
    bool hears[RR_MAX_NODES] = {false}, hears_us = false;
    char name[RR_NAME];
    unsigned hops = rr_unpack_u8(u);
    uint16_t nodes = rr_unpack_u16(u);
    for (uint16_t i = 0; i < nodes && rr_unpack_text(u, name, sizeof name); i++) {
        int k = peer_index(p, name);
        if (k >= 0) {
            hears[k] = true;
        }
        hears_us = hears_us || strcmp(name, p->cfg->node_name) == 0;
    }
    uint16_t n = rr_unpack_u16(u);
    if (u->bad || n > LIST_MAX || hops > 1) {
        return -EBADMSG;
    }
    rr_heard *list = g_new0(rr_heard, n + 1);
    for (uint16_t i = 0; i < n && !u->bad; i++) {
        rr_unpack_text(u, list[i].machine, sizeof list[i].machine);
        list[i].worker_epoch = rr_unpack_u64(u);
        list[i].sequence = rr_unpack_u64(u);
        list[i].hash = rr_unpack_u64(u);
    }
    if (!u->bad) {
        pthread_mutex_lock(&p->lock);
        memcpy(l->hears, hears, sizeof hears);
        l->hears_us = hears_us;
        l->heard_at = rr_now();
        pthread_mutex_unlock(&p->lock);
        p->ev.heard(p->ev.user, peer, hops, list, n);
    }
    g_free(list);
    return u->bad ? -EBADMSG : 0;
}

static int serve_suspects(rr_peers *p, rr_unpack *u) {
    char machine[RR_ID];
    uint16_t n = rr_unpack_u16(u);
    for (uint16_t i = 0; i < n && rr_unpack_text(u, machine, sizeof machine); i++) {
        p->ev.suspect(p->ev.user, machine);
    }
    return u->bad ? -EBADMSG : 0;
}

/* However late it comes: stopping a cancelled job's tasks is right at any time. */
static int serve_cancelled(rr_peers *p, rr_unpack *u) {
    char job_id[RR_ID];
    uint16_t n = rr_unpack_u16(u);
    for (uint16_t i = 0; i < n && rr_unpack_text(u, job_id, sizeof job_id); i++) {
        if (rr_ref_valid(job_id)) {
            p->ev.cancelled(p->ev.user, job_id);
        }
    }
    return u->bad ? -EBADMSG : 0;
}

/* Held up by a cut, or unread while this process stood still: a machine heard then may be dead now,
 * and would seem alive for as long again. The time of day tells, within its bound. */
static bool sent_long_ago(const rr_peers *p, rr_unpack *u) {
    double sent = (double)rr_unpack_u64(u) / 1000;
    return rr_wall() - sent > p->cfg->report_s + 2 * p->cfg->clock_off_s;
}

static int serve(struct conn *c, rr_client *client, uint8_t type, rr_unpack *u) {
    rr_peers *p = c->owner;
    char name[RR_NAME];
    if (type == RR_FRAME_HELLO) {
        c->peer = rr_unpack_text(u, name, sizeof name) ? peer_index(p, name) : -1;
        return c->peer >= 0 ? 0 : -EBADMSG;
    }
    if (c->peer < 0) {
        return -EBADMSG;
    }
    switch (type) {
    case RR_FRAME_SENT_AT:
        c->late = sent_long_ago(p, u);
        return u->bad ? -EBADMSG : 0;
    case RR_FRAME_REPORT:
        if (u->left < 2) {
            return -EBADMSG;
        }
        if (!c->late) {
            p->ev.report(p->ev.user, c->peer, u->p[0], u->p + 1, u->left - 1);
        }
        return 0;
    case RR_FRAME_HEARD:
        return c->late ? 0 : serve_heard(p, c->peer, u);
    case RR_FRAME_SUSPECT:
        return c->late ? 0 : serve_suspects(p, u);
    case RR_FRAME_CANCELLED:
        return serve_cancelled(p, u);
    case RR_FRAME_DEMAND:
        /* Malformed or not, the link's other frames are good: the hearer drops and counts it. */
        if (!c->late && c->peer >= 0) {
            p->ev.demand(p->ev.user, c->peer, u->p, u->left);
        }
        return 0;
    case RR_FRAME_RELAY:
        return serve_relay(c->fd, client, u);
    case RR_FRAME_RESIGN:
        return serve_resign(p, c->fd, u);
    default:
        return -EBADMSG; /* this link only */
    }
}

static void *conn_main(void *arg) {
    struct conn *c = arg;
    rr_peers *p = c->owner;
    rr_client *client = rr_client_create(p->stop);
    struct inbox in;
    rr_unpack u;
    uint8_t type;
    rr_usage_enter(RR_USE_PEERS);
    inbox_init(&in, c->fd);
    set_timeouts(c->fd, 5);
    while (client && recv_frame(p, &in, &type, &u, IDLE_S) == 0 &&
           serve(c, client, type, &u) == 0) {
    }
    close(c->fd);
    inbox_clear(&in);
    rr_client_destroy(client);
    rr_usage_leave();
    pthread_mutex_lock(&p->lock);
    p->conns--;
    pthread_cond_broadcast(&p->wake);
    pthread_mutex_unlock(&p->lock);
    g_free(c);
    return NULL;
}

static void take_conn(rr_peers *p, int fd) {
    struct conn *c = g_new0(struct conn, 1);
    c->owner = p;
    c->fd = fd;
    c->peer = -1;
    pthread_mutex_lock(&p->lock);
    bool ok = p->conns < RR_PEER_CONNS;
    p->conns += ok;
    pthread_mutex_unlock(&p->lock);
    if (ok && rr_thread_start(NULL, conn_main, c, true) == 0) {
        return;
    }
    if (ok) {
        pthread_mutex_lock(&p->lock);
        p->conns--;
        pthread_mutex_unlock(&p->lock);
    }
    close(fd);
    g_free(c);
}

static void *acceptor_main(void *arg) {
    rr_peers *p = arg;
    while (!atomic_load(p->stop)) {
        struct pollfd pf = {p->listener, POLLIN, 0};
        if (poll(&pf, 1, 1000) <= 0) {
            continue;
        }
        int fd = accept4(p->listener, NULL, NULL, SOCK_CLOEXEC);
        if (fd >= 0) {
            take_conn(p, fd);
        } else {
            rr_sleep(0.1); /* out of sockets: not a loop */
        }
    }
    return NULL;
}

/* ---- asking a peer ---- */

/* A connection of its own to the peer, greeted; -errno if it can't be reached. */
static int dial_peer(rr_peers *p, int peer, GByteArray *f) {
    int fd = dial(&p->cfg->peers[peer].endpoint, 1.0);
    if (fd < 0) {
        return fd;
    }
    frame_hello(p, f); /* goes with what follows */
    return fd;
}

bool rr_peers_resign(rr_peers *p, int peer, uint64_t tether, bool end) {
    GByteArray *f = g_byte_array_new();
    uint8_t type;
    bool yes = false;
    struct inbox in;
    rr_unpack u;
    int fd = dial_peer(p, peer, f);
    inbox_init(&in, fd);
    if (fd >= 0) {
        guint at = rr_frame_begin(f, RR_FRAME_RESIGN);
        rr_frame_u8(f, end);
        rr_frame_u64(f, tether);
        rr_frame_end(f, at);
        if (send_all(fd, f->data, f->len) == 0 && recv_frame(p, &in, &type, &u, 2.0) == 0 &&
            type == RR_FRAME_ANSWER) {
            yes = rr_unpack_u8(&u) == 0 && !u.bad;
        }
        close(fd);
    }
    inbox_clear(&in);
    g_byte_array_free(f, TRUE);
    return yes;
}

int rr_peers_relay(rr_peers *p, int peer, const char *addr, const void *body, size_t len,
                   double timeout_s, rr_relayed *out) {
    GByteArray *f = g_byte_array_new();
    int rc = -ENOTCONN;
    uint8_t type;
    out->body = NULL;
    struct inbox in;
    rr_unpack u;
    int fd = dial_peer(p, peer, f);
    inbox_init(&in, fd);
    if (fd < 0) {
        goto end;
    }
    guint at = rr_frame_begin(f, RR_FRAME_RELAY);
    rr_frame_text(f, addr);
    rr_frame_u32(f, (uint32_t)(timeout_s * 1000));
    rr_frame_bytes(f, body, (uint32_t)len);
    rr_frame_end(f, at);
    rc = -EIO;
    if (send_all(fd, f->data, f->len) != 0 || recv_frame(p, &in, &type, &u, timeout_s + 1) != 0 ||
        type != RR_FRAME_ANSWER) {
        goto end;
    }
    uint8_t how = rr_unpack_u8(&u);
    out->status = rr_unpack_u16(&u);
    uint32_t n;
    const uint8_t *b = rr_unpack_bytes(&u, &n);
    if (u.bad) {
        goto end;
    }
    rc = how == 0 ? 0 : how == 1 ? -ENOTCONN : -EIO;
    if (rc == 0) {
        out->body = g_byte_array_new();
        g_byte_array_append(out->body, b, n);
    }
end:
    if (fd >= 0) {
        close(fd);
    }
    inbox_clear(&in);
    g_byte_array_free(f, TRUE);
    return rc;
}

/* ---- life ---- */

rr_peers *rr_peers_create(const struct rr_config *cfg, const struct rr_peer_events *ev,
                          const atomic_bool *stop) {
    rr_peers *p = g_new0(rr_peers, 1);
    p->cfg = cfg;
    p->ev = *ev;
    p->stop = stop;
    p->listener = -1;
    pthread_mutex_init(&p->lock, NULL);
    pthread_cond_init(&p->wake, NULL);
    p->sent = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    pthread_condattr_t steady;
    pthread_condattr_init(&steady);
    pthread_condattr_setclock(&steady, CLOCK_MONOTONIC);
    for (int i = 0; i < RR_MAX_NODES; i++) {
        g_queue_init(&p->links[i].queue);
        pthread_cond_init(&p->links[i].wake, &steady);
        p->links[i].heard[0] = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
        p->links[i].heard[1] = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
        p->links[i].suspects = g_ptr_array_new_with_free_func(g_free);
        p->links[i].cancelled = rr_cancellations_create();
        p->links[i].owner = p;
        p->links[i].patience = HEARS_S;
        p->links[i].index = i;
    }
    pthread_condattr_destroy(&steady);
    return p;
}

int rr_peers_start(rr_peers *p) {
    int fd = rr_socket_bind(&p->cfg->peer_listen, 0);
    if (fd < 0) {
        return fd;
    }
    if (listen(fd, 64) != 0) {
        int rc = -errno;
        close(fd);
        return rc;
    }
    p->listener = fd;
    p->accepting = rr_thread_start(&p->acceptor, acceptor_main, p, false) == 0;
    for (size_t i = 0; i < p->cfg->npeers; i++) {
        p->links[i].started =
            rr_thread_start(&p->links[i].thread, link_main, &p->links[i], false) == 0;
    }
    return p->accepting ? 0 : -EAGAIN;
}

void rr_peers_stop(rr_peers *p) {
    pthread_mutex_lock(&p->lock);
    for (size_t i = 0; i < p->cfg->npeers; i++) {
        pthread_cond_signal(&p->links[i].wake);
    }
    pthread_mutex_unlock(&p->lock);
    if (p->accepting) {
        pthread_join(p->acceptor, NULL);
    }
    for (size_t i = 0; i < p->cfg->npeers; i++) {
        if (p->links[i].started) {
            pthread_join(p->links[i].thread, NULL);
        }
    }
    pthread_mutex_lock(&p->lock);
    while (p->conns > 0) {
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
    for (int i = 0; i < RR_MAX_NODES; i++) {
        g_queue_clear_full(&p->links[i].queue, (GDestroyNotify)g_bytes_unref);
        g_hash_table_destroy(p->links[i].heard[0]);
        g_hash_table_destroy(p->links[i].heard[1]);
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
