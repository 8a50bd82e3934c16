/* Incoming connections: what peers say on them, a thread each. */
#include "peer/peers_internal.h"
#include "common/clock.h"
#include "common/thread.h"
#include "common/usage.h"
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

static int peer_index(const rr_peers *peers, const char *name) {
    for (size_t i = 0; i < peers->config->peer_count; i++) {
        if (strcmp(peers->config->peers[i].name, name) == 0) {
            return (int)i;
        }
    }
    return -1;
}

static int serve_relay(int fd, rr_client *client, rr_frame_reader *reader) {
    char address[64];
    uint32_t count;
    if (!rr_frame_read_text(reader, address, sizeof address)) {
        return -EBADMSG;
    }
    uint32_t milliseconds = rr_frame_read_u32(reader);
    const uint8_t *body = rr_frame_read_bytes(reader, &count);
    if (reader->malformed || milliseconds > 10000) {
        return -EBADMSG;
    }
    rr_reply reply = {0};
    int rc =
        rr_worker_call(client, address, count ? body : NULL, count, milliseconds / 1000.0, &reply);
    GByteArray *out = g_byte_array_new();
    guint start = rr_frame_begin(out, RR_FRAME_ANSWER);
    rr_frame_put_u8(out, rc == 0 ? 0 : rc == -ENOTCONN ? 1 : 2);
    rr_frame_put_u16(out, rc == 0 ? (uint16_t)reply.status : 0);
    rr_frame_put_bytes(out, rc == 0 ? reply.body->data : NULL, rc == 0 ? reply.body->len : 0);
    rr_frame_end(out, start);
    rc = rr_peer_send(fd, out->data, out->len);
    g_byte_array_free(out, TRUE);
    return rc;
}

static int serve_resign(rr_peers *peers, int fd, rr_frame_reader *reader) {
    bool end = rr_frame_read_u8(reader) != 0;
    uint64_t lease_id = rr_frame_read_u64(reader);
    if (reader->malformed) {
        return -EBADMSG;
    }
    GByteArray *out = g_byte_array_new();
    guint start = rr_frame_begin(out, RR_FRAME_ANSWER);
    rr_frame_put_u8(out, peers->events.resign(peers->events.user, lease_id, end) ? 0 : 1);
    rr_frame_end(out, start);
    int rc = rr_peer_send(fd, out->data, out->len);
    g_byte_array_free(out, TRUE);
    return rc;
}

/* The nodes that the peer hears, then the machines. */
static int serve_heartbeat_digests(rr_peers *peers, int peer, rr_frame_reader *reader) {
    struct link *link = &peers->links[peer];
    bool hears[RR_CONTROLLERS_MAX] = {false}, hears_us = false;
    char name[RR_NAME_SIZE];
    unsigned hops = rr_frame_read_u8(reader);
    uint16_t nodes = rr_frame_read_u16(reader);
    for (uint16_t i = 0; i < nodes && rr_frame_read_text(reader, name, sizeof name); i++) {
        int k = peer_index(peers, name);
        if (k >= 0) {
            hears[k] = true;
        }
        hears_us = hears_us || strcmp(name, peers->config->node_name) == 0;
    }
    uint16_t count = rr_frame_read_u16(reader);
    if (reader->malformed || count > RR_PEER_LIST_MAX || hops > 1) {
        return -EBADMSG;
    }
    rr_heartbeat_digest *list = g_new0(rr_heartbeat_digest, count + 1);
    for (uint16_t i = 0; i < count && !reader->malformed; i++) {
        rr_frame_read_text(reader, list[i].machine, sizeof list[i].machine);
        list[i].worker_epoch = rr_frame_read_u64(reader);
        list[i].sequence = rr_frame_read_u64(reader);
        list[i].hash = rr_frame_read_u64(reader);
    }
    if (!reader->malformed) {
        pthread_mutex_lock(&peers->lock);
        memcpy(link->peer_hears, hears, sizeof hears);
        link->peer_hears_us = hears_us;
        link->peer_digest_at = rr_steady_clock_s();
        pthread_mutex_unlock(&peers->lock);
        peers->events.heartbeat_digests(peers->events.user, peer, hops, list, count);
    }
    g_free(list);
    return reader->malformed ? -EBADMSG : 0;
}

static int serve_suspects(rr_peers *peers, rr_frame_reader *reader) {
    char machine[RR_ID_SIZE];
    uint16_t count = rr_frame_read_u16(reader);
    for (uint16_t i = 0; i < count && rr_frame_read_text(reader, machine, sizeof machine); i++) {
        peers->events.suspect(peers->events.user, machine);
    }
    return reader->malformed ? -EBADMSG : 0;
}

/* However late it comes: stopping a cancelled job's tasks is right at any time. */
static int serve_cancelled(rr_peers *peers, rr_frame_reader *reader) {
    char job_id[RR_ID_SIZE];
    uint16_t count = rr_frame_read_u16(reader);
    for (uint16_t i = 0; i < count && rr_frame_read_text(reader, job_id, sizeof job_id); i++) {
        if (rr_job_id_valid(job_id)) {
            peers->events.cancelled(peers->events.user, job_id);
        }
    }
    return reader->malformed ? -EBADMSG : 0;
}

/* Held up by a cut, or unread while this process stood still: a machine heard then may be dead now,
 * and would seem alive for as long again. The time of day tells, within its bound. */
static bool sent_long_ago(const rr_peers *peers, rr_frame_reader *reader) {
    double sent = (double)rr_frame_read_u64(reader) / 1000;
    return rr_wall_clock_s() - sent >
           peers->config->heartbeat_interval_s + 2 * peers->config->clock_off_s;
}

static int serve(struct connection *connection, rr_client *client, uint8_t type,
                 rr_frame_reader *reader) {
    rr_peers *peers = connection->owner;
    char name[RR_NAME_SIZE];
    if (type == RR_FRAME_HELLO) {
        connection->peer =
            rr_frame_read_text(reader, name, sizeof name) ? peer_index(peers, name) : -1;
        return connection->peer >= 0 ? 0 : -EBADMSG;
    }
    if (connection->peer < 0) {
        return -EBADMSG;
    }
    switch (type) {
    case RR_FRAME_SENT_AT:
        connection->late = sent_long_ago(peers, reader);
        return reader->malformed ? -EBADMSG : 0;
    case RR_FRAME_HEARTBEAT:
        if (reader->bytes_left < 2) {
            return -EBADMSG;
        }
        if (!connection->late) {
            peers->events.heartbeat(peers->events.user, connection->peer, reader->next[0],
                                    reader->next + 1, reader->bytes_left - 1);
        }
        return 0;
    case RR_FRAME_HEARTBEAT_DIGESTS:
        return connection->late ? 0 : serve_heartbeat_digests(peers, connection->peer, reader);
    case RR_FRAME_SUSPECT:
        return connection->late ? 0 : serve_suspects(peers, reader);
    case RR_FRAME_CANCELLED:
        return serve_cancelled(peers, reader);
    case RR_FRAME_DEMAND:
        /* Malformed or not, the link's other frames are good: the hearer drops and counts it. */
        if (!connection->late && connection->peer >= 0) {
            peers->events.demand(peers->events.user, connection->peer, reader->next,
                                 reader->bytes_left);
        }
        return 0;
    case RR_FRAME_RELAY:
        return serve_relay(connection->fd, client, reader);
    case RR_FRAME_RESIGN:
        return serve_resign(peers, connection->fd, reader);
    default:
        return -EBADMSG; /* this link only */
    }
}

static void *connection_main(void *arg) {
    struct connection *connection = arg;
    rr_peers *peers = connection->owner;
    rr_client *client = rr_client_create(peers->stop);
    struct inbox inbox;
    rr_frame_reader reader;
    uint8_t type;
    rr_usage_enter(RR_USAGE_PEERS);
    rr_inbox_init(&inbox, connection->fd);
    rr_peer_set_timeouts(connection->fd, 5);
    while (client && rr_peer_receive(peers->stop, &inbox, &type, &reader, IDLE_S) == 0 &&
           serve(connection, client, type, &reader) == 0) {
    }
    close(connection->fd);
    rr_inbox_clear(&inbox);
    rr_client_destroy(client);
    rr_usage_leave();
    pthread_mutex_lock(&peers->lock);
    peers->connection_count--;
    pthread_cond_broadcast(&peers->wake);
    pthread_mutex_unlock(&peers->lock);
    g_free(connection);
    return NULL;
}

static void take_connection(rr_peers *peers, int fd) {
    struct connection *connection = g_new0(struct connection, 1);
    connection->owner = peers;
    connection->fd = fd;
    connection->peer = -1;
    pthread_mutex_lock(&peers->lock);
    bool succeeded = peers->connection_count < RR_PEER_CONNECTIONS_MAX;
    peers->connection_count += succeeded;
    pthread_mutex_unlock(&peers->lock);
    if (succeeded && rr_thread_start(NULL, connection_main, connection, true) == 0) {
        return;
    }
    if (succeeded) {
        pthread_mutex_lock(&peers->lock);
        peers->connection_count--;
        pthread_mutex_unlock(&peers->lock);
    }
    close(fd);
    g_free(connection);
}

void *rr_peer_listener_main(void *arg) {
    rr_peers *peers = arg;
    while (!atomic_load(peers->stop)) {
        struct pollfd poll_fd = {peers->listener, POLLIN, 0};
        if (poll(&poll_fd, 1, 1000) <= 0) {
            continue;
        }
        int fd = accept4(peers->listener, NULL, NULL, SOCK_CLOEXEC);
        if (fd >= 0) {
            take_connection(peers, fd);
        } else {
            rr_sleep(0.1); /* out of sockets: not a loop */
        }
    }
    return NULL;
}
