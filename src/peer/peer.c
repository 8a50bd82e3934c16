#include "peer/peer.h"
#include "app/clock.h"
#include "app/log.h"
#include "peer/frame.h"
#include "worker/worker.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define QUEUE_MAX 256
#define STACK (256 * 1024)
#define CONNS_MAX 64
#define IDLE_S 20

struct link {
    rr_peers *owner;
    int index;
    pthread_t thread;
    bool started;
    GQueue queue; /* GBytes* */
};

struct rr_peers {
    const struct rr_config *cfg;
    struct rr_peer_events ev;
    const atomic_bool *stop;
    pthread_mutex_t lock;
    pthread_cond_t wake;
    struct link links[RR_MAX_NODES];
    int listener;
    pthread_t acceptor;
    bool accepting;
    int conns; /* running connection threads, under lock */
};

struct conn {
    rr_peers *owner;
    int fd;
};

/* ---- sockets ---- */

static void set_timeouts(int fd, double seconds) {
    struct timeval tv = {(time_t)seconds, (suseconds_t)((seconds - (double)(time_t)seconds) * 1e6)};
    int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof tv);
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof tv);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

static void to_sockaddr(const struct rr_endpoint *e, struct sockaddr_in *a) {
    memset(a, 0, sizeof *a);
    a->sin_family = AF_INET;
    a->sin_port = htons(e->port);
    inet_pton(AF_INET, e->host, &a->sin_addr);
}

/* Linux bounds a blocking connect() by the send timeout. */
static int dial(const struct rr_endpoint *to, double timeout_s) {
    struct sockaddr_in a;
    to_sockaddr(to, &a);
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

/* Waits in slices so that a stop is seen; -EIO at the end of the stream or of the time. */
static int recv_all(const rr_peers *p, int fd, void *data, size_t len, double timeout_s) {
    char *at = data;
    double until = rr_now() + timeout_s;
    while (len > 0) {
        struct pollfd pf = {fd, POLLIN, 0};
        if (atomic_load(p->stop) || rr_now() > until) {
            return -EIO;
        }
        int n = poll(&pf, 1, 500);
        if (n == 0 || (n < 0 && errno == EINTR)) {
            continue;
        }
        ssize_t got = recv(fd, at, len, 0);
        if (got <= 0) {
            return -EIO;
        }
        at += got;
        len -= (size_t)got;
    }
    return 0;
}

static int recv_frame(const rr_peers *p, int fd, uint8_t *type, GByteArray *into,
                      double timeout_s) {
    uint8_t head[RR_FRAME_HEAD];
    uint32_t len;
    int rc = recv_all(p, fd, head, sizeof head, timeout_s);
    if (rc == 0) {
        rc = rr_frame_head(head, type, &len);
    }
    if (rc != 0) {
        return rc;
    }
    g_byte_array_set_size(into, len);
    return recv_all(p, fd, into->data, len, timeout_s);
}

static void frame_hello(const rr_peers *p, GByteArray *b) {
    rr_frame_begin(b, RR_FRAME_HELLO);
    rr_frame_bytes(b, p->cfg->node_name, (uint32_t)strlen(p->cfg->node_name));
    rr_frame_end(b);
}

/* ---- outgoing links ---- */

static GBytes *next_report(struct link *l) {
    rr_peers *p = l->owner;
    pthread_mutex_lock(&p->lock);
    while (!atomic_load(p->stop) && g_queue_is_empty(&l->queue)) {
        pthread_cond_wait(&p->wake, &p->lock);
    }
    GBytes *b = g_queue_pop_head(&l->queue);
    pthread_mutex_unlock(&p->lock);
    return b;
}

/* A report that waited for a peer to come back would be taken for fresh there: a machine that had
 * hung meanwhile seemed alive for as long again. */
static void forget_queue(struct link *l) {
    pthread_mutex_lock(&l->owner->lock);
    g_queue_clear_full(&l->queue, (GDestroyNotify)g_bytes_unref);
    pthread_mutex_unlock(&l->owner->lock);
}

static int link_send(struct link *l, int *fd, GByteArray *frame, GBytes *report) {
    const struct rr_peer_config *peer = &l->owner->cfg->peers[l->index];
    gsize n;
    const void *data = g_bytes_get_data(report, &n);
    if (*fd < 0) {
        *fd = dial(&peer->endpoint, 1.0);
        if (*fd < 0) {
            return -EIO;
        }
        frame_hello(l->owner, frame);
        if (send_all(*fd, frame->data, frame->len) != 0) {
            return -EIO;
        }
    }
    rr_frame_begin(frame, RR_FRAME_REPORT);
    g_byte_array_append(frame, data, (guint)n);
    rr_frame_end(frame);
    return send_all(*fd, frame->data, frame->len);
}

static void *link_main(void *arg) {
    struct link *l = arg;
    GByteArray *frame = g_byte_array_new();
    int fd = -1;
    GBytes *report;
    while ((report = next_report(l))) {
        if (link_send(l, &fd, frame, report) != 0) {
            if (fd >= 0) {
                close(fd);
            }
            fd = -1;
            forget_queue(l);
            for (int i = 0; i < 5 && !atomic_load(l->owner->stop); i++) {
                rr_sleep(0.1);
            }
        }
        g_bytes_unref(report);
    }
    if (fd >= 0) {
        close(fd);
    }
    g_byte_array_free(frame, TRUE);
    return NULL;
}

void rr_peers_report(rr_peers *p, int except, unsigned hops, const void *body, size_t len) {
    if (p->cfg->npeers == 0 || len + RR_FRAME_HEAD + 1 > RR_FRAME_MAX) {
        return;
    }
    uint8_t *payload = g_malloc(len + 1);
    payload[0] = (uint8_t)hops;
    memcpy(payload + 1, body, len);
    GBytes *b = g_bytes_new_take(payload, len + 1);
    pthread_mutex_lock(&p->lock);
    for (size_t i = 0; i < p->cfg->npeers; i++) {
        GQueue *q = &p->links[i].queue;
        if ((int)i == except) {
            continue;
        }
        if (g_queue_get_length(q) >= QUEUE_MAX) {
            g_bytes_unref(g_queue_pop_head(q));
        }
        g_queue_push_tail(q, g_bytes_ref(b));
    }
    pthread_cond_broadcast(&p->wake);
    pthread_mutex_unlock(&p->lock);
    g_bytes_unref(b);
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

static int serve_relay(int fd, rr_client *client, const GByteArray *in) {
    rr_unpack u = {in->data, in->len, false};
    char addr[64];
    uint32_t n;
    if (!rr_unpack_text(&u, addr, sizeof addr)) {
        return -EBADMSG;
    }
    uint32_t ms = rr_unpack_u32(&u);
    const uint8_t *body = rr_unpack_bytes(&u, &n);
    if (u.bad || ms > 10000) {
        return -EBADMSG;
    }
    rr_reply reply = {0};
    int rc = rr_worker_call(client, addr, n ? body : NULL, n, ms / 1000.0, &reply);
    GByteArray *out = g_byte_array_new();
    rr_frame_begin(out, RR_FRAME_ANSWER);
    rr_frame_u8(out, rc == 0 ? 0 : rc == -ENOTCONN ? 1 : 2);
    rr_frame_u16(out, rc == 0 ? (uint16_t)reply.status : 0);
    rr_frame_bytes(out, rc == 0 ? reply.body->data : NULL, rc == 0 ? reply.body->len : 0);
    rr_frame_end(out);
    rc = send_all(fd, out->data, out->len);
    g_byte_array_free(out, TRUE);
    return rc;
}

static int serve_resign(rr_peers *p, int fd, const GByteArray *in) {
    rr_unpack u = {in->data, in->len, false};
    bool end = rr_unpack_u8(&u) != 0;
    uint64_t tether = (uint64_t)rr_unpack_u32(&u) << 32;
    tether |= rr_unpack_u32(&u);
    if (u.bad) {
        return -EBADMSG;
    }
    GByteArray *out = g_byte_array_new();
    rr_frame_begin(out, RR_FRAME_ANSWER);
    rr_frame_u8(out, p->ev.resign(p->ev.user, tether, end) ? 0 : 1);
    rr_frame_end(out);
    int rc = send_all(fd, out->data, out->len);
    g_byte_array_free(out, TRUE);
    return rc;
}

static void *conn_main(void *arg) {
    struct conn *c = arg;
    rr_peers *p = c->owner;
    rr_client *client = rr_client_create(p->stop);
    GByteArray *in = g_byte_array_new();
    char name[RR_NAME];
    uint8_t type;
    int peer = -1;
    set_timeouts(c->fd, 5);
    while (client && recv_frame(p, c->fd, &type, in, IDLE_S) == 0) {
        rr_unpack u = {in->data, in->len, false};
        if (type == RR_FRAME_HELLO && rr_unpack_text(&u, name, sizeof name)) {
            peer = peer_index(p, name);
        } else if (type == RR_FRAME_REPORT && peer >= 0 && in->len > 1) {
            p->ev.report(p->ev.user, peer, in->data[0], in->data + 1, in->len - 1);
        } else if (peer < 0 || (type == RR_FRAME_RELAY    ? serve_relay(c->fd, client, in)
                                : type == RR_FRAME_RESIGN ? serve_resign(p, c->fd, in)
                                                          : -EBADMSG) != 0) {
            break;
        }
    }
    close(c->fd);
    g_byte_array_free(in, TRUE);
    rr_client_destroy(client);
    pthread_mutex_lock(&p->lock);
    p->conns--;
    pthread_cond_broadcast(&p->wake);
    pthread_mutex_unlock(&p->lock);
    g_free(c);
    return NULL;
}

static int spawn(pthread_t *t, void *(*fn)(void *), void *arg, bool detached) {
    pthread_attr_t a;
    pthread_t local;
    pthread_attr_init(&a);
    pthread_attr_setstacksize(&a, STACK);
    pthread_attr_setdetachstate(&a, detached ? PTHREAD_CREATE_DETACHED : PTHREAD_CREATE_JOINABLE);
    int rc = pthread_create(t ? t : &local, &a, fn, arg);
    pthread_attr_destroy(&a);
    return -rc;
}

static void take_conn(rr_peers *p, int fd) {
    struct conn *c = g_new0(struct conn, 1);
    c->owner = p;
    c->fd = fd;
    pthread_mutex_lock(&p->lock);
    bool ok = p->conns < CONNS_MAX;
    p->conns += ok;
    pthread_mutex_unlock(&p->lock);
    if (ok && spawn(NULL, conn_main, c, true) == 0) {
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
    frame_hello(p, f);
    if (send_all(fd, f->data, f->len) != 0) {
        close(fd);
        return -ENOTCONN;
    }
    return fd;
}

bool rr_peers_resign(rr_peers *p, int peer, uint64_t tether, bool end) {
    GByteArray *f = g_byte_array_new();
    uint8_t type;
    bool yes = false;
    int fd = dial_peer(p, peer, f);
    if (fd >= 0) {
        rr_frame_begin(f, RR_FRAME_RESIGN);
        rr_frame_u8(f, end);
        rr_frame_u32(f, (uint32_t)(tether >> 32));
        rr_frame_u32(f, (uint32_t)tether);
        rr_frame_end(f);
        if (send_all(fd, f->data, f->len) == 0 && recv_frame(p, fd, &type, f, 2.0) == 0 &&
            type == RR_FRAME_ANSWER) {
            rr_unpack u = {f->data, f->len, false};
            yes = rr_unpack_u8(&u) == 0 && !u.bad;
        }
        close(fd);
    }
    g_byte_array_free(f, TRUE);
    return yes;
}

int rr_peers_relay(rr_peers *p, int peer, const char *addr, const void *body, size_t len,
                   double timeout_s, rr_relayed *out) {
    GByteArray *f = g_byte_array_new();
    int rc = -ENOTCONN;
    uint8_t type;
    out->body = NULL;
    int fd = dial_peer(p, peer, f);
    if (fd < 0) {
        goto end;
    }
    rr_frame_begin(f, RR_FRAME_RELAY);
    rr_frame_bytes(f, addr, (uint32_t)strlen(addr));
    rr_frame_u32(f, (uint32_t)(timeout_s * 1000));
    rr_frame_bytes(f, body, (uint32_t)len);
    rr_frame_end(f);
    rc = -EIO;
    if (send_all(fd, f->data, f->len) != 0 || recv_frame(p, fd, &type, f, timeout_s + 1) != 0 ||
        type != RR_FRAME_ANSWER) {
        goto end;
    }
    rr_unpack u = {f->data, f->len, false};
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
    for (int i = 0; i < RR_MAX_NODES; i++) {
        g_queue_init(&p->links[i].queue);
        p->links[i].owner = p;
        p->links[i].index = i;
    }
    return p;
}

static int listen_on(const struct rr_endpoint *e) {
    struct sockaddr_in a;
    int one = 1;
    to_sockaddr(e, &a);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return -errno;
    }
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
    if (bind(fd, (struct sockaddr *)&a, sizeof a) != 0 || listen(fd, 64) != 0) {
        int rc = -errno;
        close(fd);
        return rc;
    }
    return fd;
}

int rr_peers_start(rr_peers *p) {
    int fd = listen_on(&p->cfg->peer_listen);
    if (fd < 0) {
        return fd;
    }
    p->listener = fd;
    p->accepting = spawn(&p->acceptor, acceptor_main, p, false) == 0;
    for (size_t i = 0; i < p->cfg->npeers; i++) {
        p->links[i].started = spawn(&p->links[i].thread, link_main, &p->links[i], false) == 0;
    }
    return p->accepting ? 0 : -EAGAIN;
}

void rr_peers_stop(rr_peers *p) {
    pthread_mutex_lock(&p->lock);
    pthread_cond_broadcast(&p->wake);
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
    }
    pthread_mutex_destroy(&p->lock);
    pthread_cond_destroy(&p->wake);
    g_free(p);
}
