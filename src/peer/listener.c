/* Incoming connections: what peers say on them, a thread each. */
#include "peer/internal.h"
#include "app/clock.h"
#include "app/thread.h"
#include "app/usage.h"
#include "worker/worker.h"

#include <errno.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define IDLE_S 20

struct connection {
    rr_peers *owner;
    int fd, peer; /* -1: not greeted yet */
    bool late;    /* what comes now was sent long ago */
};

static int peer_index(const rr_peers *p, const char *name) {
    for (size_t i = 0; i < p->config->peer_count; i++) {
        if (strcmp(p->config->peers[i].name, name) == 0) {
            return (int)i;
        }
    }
    return -1;
}

static int serve_relay(int fd, rr_client *client, rr_frame_reader *u) {
    char addr[64];
    uint32_t n;
    if (!rr_frame_read_text(u, addr, sizeof addr)) {
        return -EBADMSG;
    }
    uint32_t ms = rr_frame_read_u32(u);
    const uint8_t *body = rr_frame_read_bytes(u, &n);
    if (u->malformed || ms > 10000) {
        return -EBADMSG;
    }
    rr_reply reply = {0};
    int rc = rr_worker_call(client, addr, n ? body : NULL, n, ms / 1000.0, &reply);
    GByteArray *out = g_byte_array_new();
    guint at = rr_frame_begin(out, RR_FRAME_ANSWER);
    rr_frame_put_u8(out, rc == 0 ? 0 : rc == -ENOTCONN ? 1 : 2);
    rr_frame_put_u16(out, rc == 0 ? (uint16_t)reply.status : 0);
    rr_frame_put_bytes(out, rc == 0 ? reply.body->data : NULL, rc == 0 ? reply.body->len : 0);
    rr_frame_end(out, at);
    rc = rr_peer_send(fd, out->data, out->len);
    g_byte_array_free(out, TRUE);
    return rc;
}

static int serve_resign(rr_peers *p, int fd, rr_frame_reader *u) {
    bool end = rr_frame_read_u8(u) != 0;
    uint64_t tether = rr_frame_read_u64(u);
    if (u->malformed) {
        return -EBADMSG;
    }
    GByteArray *out = g_byte_array_new();
    guint at = rr_frame_begin(out, RR_FRAME_ANSWER);
    rr_frame_put_u8(out, p->events.resign(p->events.user, tether, end) ? 0 : 1);
    rr_frame_end(out, at);
    int rc = rr_peer_send(fd, out->data, out->len);
    g_byte_array_free(out, TRUE);
    return rc;
}

/* The nodes that the peer hears, then the machines. */
static int serve_heartbeat_digests(rr_peers *p, int peer, rr_frame_reader *u) {
    struct link *l = &p->links[peer];
    bool hears[RR_CONTROLLERS_MAX] = {false}, hears_us = false;
    char name[RR_NAME_SIZE];
    unsigned hops = rr_frame_read_u8(u);
    uint16_t nodes = rr_frame_read_u16(u);
    for (uint16_t i = 0; i < nodes && rr_frame_read_text(u, name, sizeof name); i++) {
        int k = peer_index(p, name);
        if (k >= 0) {
            hears[k] = true;
        }
        hears_us = hears_us || strcmp(name, p->config->node_name) == 0;
    }
    uint16_t n = rr_frame_read_u16(u);
    if (u->malformed || n > RR_PEER_LIST_MAX || hops > 1) {
        return -EBADMSG;
    }
    rr_heartbeat_digest *list = g_new0(rr_heartbeat_digest, n + 1);
    for (uint16_t i = 0; i < n && !u->malformed; i++) {
        rr_frame_read_text(u, list[i].machine, sizeof list[i].machine);
        list[i].worker_epoch = rr_frame_read_u64(u);
        list[i].sequence = rr_frame_read_u64(u);
        list[i].hash = rr_frame_read_u64(u);
    }
    if (!u->malformed) {
        pthread_mutex_lock(&p->lock);
        memcpy(l->peer_hears, hears, sizeof hears);
        l->peer_hears_us = hears_us;
        l->peer_digest_at = rr_steady_clock_s();
        pthread_mutex_unlock(&p->lock);
        p->events.heartbeat_digests(p->events.user, peer, hops, list, n);
    }
    g_free(list);
    return u->malformed ? -EBADMSG : 0;
}

static int serve_suspects(rr_peers *p, rr_frame_reader *u) {
    char machine[RR_ID_SIZE];
    uint16_t n = rr_frame_read_u16(u);
    for (uint16_t i = 0; i < n && rr_frame_read_text(u, machine, sizeof machine); i++) {
        p->events.suspect(p->events.user, machine);
    }
    return u->malformed ? -EBADMSG : 0;
}

/* However late it comes: stopping a cancelled job's tasks is right at any time. */
static int serve_cancelled(rr_peers *p, rr_frame_reader *u) {
    char job_id[RR_ID_SIZE];
    uint16_t n = rr_frame_read_u16(u);
    for (uint16_t i = 0; i < n && rr_frame_read_text(u, job_id, sizeof job_id); i++) {
        if (rr_job_id_valid(job_id)) {
            p->events.cancelled(p->events.user, job_id);
        }
    }
    return u->malformed ? -EBADMSG : 0;
}

/* Held up by a cut, or unread while this process stood still: a machine heard then may be dead now,
 * and would seem alive for as long again. The time of day tells, within its bound. */
static bool sent_long_ago(const rr_peers *p, rr_frame_reader *u) {
    double sent = (double)rr_frame_read_u64(u) / 1000;
    return rr_wall_clock_s() - sent > p->config->heartbeat_interval_s + 2 * p->config->clock_off_s;
}

static int serve(struct connection *c, rr_client *client, uint8_t type, rr_frame_reader *u) {
    rr_peers *p = c->owner;
    char name[RR_NAME_SIZE];
    if (type == RR_FRAME_HELLO) {
        c->peer = rr_frame_read_text(u, name, sizeof name) ? peer_index(p, name) : -1;
        return c->peer >= 0 ? 0 : -EBADMSG;
    }
    if (c->peer < 0) {
        return -EBADMSG;
    }
    switch (type) {
    case RR_FRAME_SENT_AT:
        c->late = sent_long_ago(p, u);
        return u->malformed ? -EBADMSG : 0;
    case RR_FRAME_HEARTBEAT:
        if (u->bytes_left < 2) {
            return -EBADMSG;
        }
        if (!c->late) {
            p->events.heartbeat(p->events.user, c->peer, u->next[0], u->next + 1,
                                u->bytes_left - 1);
        }
        return 0;
    case RR_FRAME_HEARTBEAT_DIGESTS:
        return c->late ? 0 : serve_heartbeat_digests(p, c->peer, u);
    case RR_FRAME_SUSPECT:
        return c->late ? 0 : serve_suspects(p, u);
    case RR_FRAME_CANCELLED:
        return serve_cancelled(p, u);
    case RR_FRAME_DEMAND:
        /* Malformed or not, the link's other frames are good: the hearer drops and counts it. */
        if (!c->late && c->peer >= 0) {
            p->events.demand(p->events.user, c->peer, u->next, u->bytes_left);
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

static void *connection_main(void *arg) {
    struct connection *c = arg;
    rr_peers *p = c->owner;
    rr_client *client = rr_client_create(p->stop);
    struct inbox in;
    rr_frame_reader u;
    uint8_t type;
    rr_usage_enter(RR_USAGE_PEERS);
    rr_inbox_init(&in, c->fd);
    rr_peer_set_timeouts(c->fd, 5);
    while (client && rr_peer_receive(p->stop, &in, &type, &u, IDLE_S) == 0 &&
           serve(c, client, type, &u) == 0) {
    }
    close(c->fd);
    rr_inbox_clear(&in);
    rr_client_destroy(client);
    rr_usage_leave();
    pthread_mutex_lock(&p->lock);
    p->connection_count--;
    pthread_cond_broadcast(&p->wake);
    pthread_mutex_unlock(&p->lock);
    g_free(c);
    return NULL;
}

static void take_connection(rr_peers *p, int fd) {
    struct connection *c = g_new0(struct connection, 1);
    c->owner = p;
    c->fd = fd;
    c->peer = -1;
    pthread_mutex_lock(&p->lock);
    bool ok = p->connection_count < RR_PEER_CONNECTIONS_MAX;
    p->connection_count += ok;
    pthread_mutex_unlock(&p->lock);
    if (ok && rr_thread_start(NULL, connection_main, c, true) == 0) {
        return;
    }
    if (ok) {
        pthread_mutex_lock(&p->lock);
        p->connection_count--;
        pthread_mutex_unlock(&p->lock);
    }
    close(fd);
    g_free(c);
}

void *rr_peer_listener_main(void *arg) {
    rr_peers *p = arg;
    while (!atomic_load(p->stop)) {
        struct pollfd pf = {p->listener, POLLIN, 0};
        if (poll(&pf, 1, 1000) <= 0) {
            continue;
        }
        int fd = accept4(p->listener, NULL, NULL, SOCK_CLOEXEC);
        if (fd >= 0) {
            take_connection(p, fd);
        } else {
            rr_sleep(0.1); /* out of sockets: not a loop */
        }
    }
    return NULL;
}
