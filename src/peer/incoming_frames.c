/* Reads the frames that peers send, hands their content to the owner's events, and answers
 * requests. Runs on the threads of connections. */
#include "common/clock.h"
#include "peer/listener.h"
#include "peer/stream.h"
#include "worker/worker.h"

#include <errno.h>
#include <string.h>

#define RELAY_TIMEOUT_MAX_MS 10000

static int peer_index(const rr_peers *peers, const char *name) {
    for (size_t i = 0; i < peers->config->peer_count; i++) {
        if (strcmp(peers->config->peers[i].name, name) == 0) {
            return (int)i;
        }
    }
    return -1;
}

static int take_hello(struct rr_peer_connection *connection, rr_frame_reader *reader) {
    char name[RR_NAME_SIZE];
    bool readable = rr_frame_read_text(reader, name, sizeof name);
    connection->peer = readable ? peer_index(connection->owner, name) : -1;
    return connection->peer >= 0 ? 0 : -EBADMSG;
}

/* Frames that a partition held back, or that were not read while this process stood still, say
 * nothing of now: a machine that sent a heartbeat then may be dead, and would seem alive. Compared
 * by the time of day, within the bound that the settings give. */
static int take_sent_at(struct rr_peer_connection *connection, rr_frame_reader *reader) {
    const struct rr_config *config = connection->owner->config;
    double sent_at = (double)rr_frame_read_u64(reader) / 1000;
    connection->stale =
        rr_wall_clock_s() - sent_at > config->heartbeat_interval_s + 2 * config->clock_off_s;
    return reader->malformed ? -EBADMSG : 0;
}

static int take_heartbeat(const struct rr_peer_connection *connection, rr_frame_reader *reader) {
    const struct rr_peer_events *events = &connection->owner->events;
    if (reader->bytes_left < 2) {
        return -EBADMSG;
    }
    if (!connection->stale) {
        unsigned hops = rr_frame_read_u8(reader);
        events->heartbeat(events->user, connection->peer, hops, reader->next, reader->bytes_left);
    }
    return 0;
}

struct received_nodes {
    bool peers[RR_CONTROLLERS_MAX]; /* by index */
    bool us;
};

/* The nodes that the sender receives from; unknown names are ignored. */
static void read_received_nodes(const rr_peers *peers, rr_frame_reader *reader,
                                struct received_nodes *out) {
    char name[RR_NAME_SIZE];
    uint16_t count = rr_frame_read_u16(reader);
    for (uint16_t i = 0; i < count && rr_frame_read_text(reader, name, sizeof name); i++) {
        int peer = peer_index(peers, name);
        if (peer >= 0) {
            out->peers[peer] = true;
        }
        out->us = out->us || strcmp(name, peers->config->node_name) == 0;
    }
}

static void read_digest(rr_frame_reader *reader, rr_heartbeat_digest *digest) {
    rr_frame_read_text(reader, digest->machine, sizeof digest->machine);
    digest->worker_epoch = rr_frame_read_u64(reader);
    digest->sequence = rr_frame_read_u64(reader);
    digest->hash = rr_frame_read_u64(reader);
}

static void note_received_nodes(rr_peers *peers, int peer, const struct received_nodes *nodes) {
    struct rr_peer_link *link = &peers->links[peer];
    pthread_mutex_lock(&peers->lock);
    memcpy(link->peer_receives, nodes->peers, sizeof nodes->peers);
    link->peer_receives_us = nodes->us;
    link->digests_received_at = rr_steady_clock_s();
    pthread_mutex_unlock(&peers->lock);
}

static int take_heartbeat_digests(rr_peers *peers, int peer, rr_frame_reader *reader) {
    struct received_nodes nodes = {0};
    unsigned hops = rr_frame_read_u8(reader);
    read_received_nodes(peers, reader, &nodes);
    uint16_t count = rr_frame_read_u16(reader);
    if (reader->malformed || count > RR_PEER_DIGESTS_MAX || hops >= RR_PEER_HOPS_COUNT) {
        return -EBADMSG;
    }
    rr_heartbeat_digest *list = g_new0(rr_heartbeat_digest, count + 1);
    for (uint16_t i = 0; i < count && !reader->malformed; i++) {
        read_digest(reader, &list[i]);
    }
    if (!reader->malformed) {
        note_received_nodes(peers, peer, &nodes);
        peers->events.heartbeat_digests(peers->events.user, peer, hops, list, count);
    }
    g_free(list);
    return reader->malformed ? -EBADMSG : 0;
}

static int take_suspects(const rr_peers *peers, rr_frame_reader *reader) {
    char machine[RR_ID_SIZE];
    uint16_t count = rr_frame_read_u16(reader);
    for (uint16_t i = 0; i < count && rr_frame_read_text(reader, machine, sizeof machine); i++) {
        peers->events.suspect(peers->events.user, machine);
    }
    return reader->malformed ? -EBADMSG : 0;
}

/* Taken from stale frames too: stopping a cancelled job's tasks is right at any time. */
static int take_cancelled(const rr_peers *peers, rr_frame_reader *reader) {
    char job_id[RR_ID_SIZE];
    uint16_t count = rr_frame_read_u16(reader);
    for (uint16_t i = 0; i < count && rr_frame_read_text(reader, job_id, sizeof job_id); i++) {
        if (rr_job_id_valid(job_id)) {
            peers->events.cancelled(peers->events.user, job_id);
        }
    }
    return reader->malformed ? -EBADMSG : 0;
}

/* The receiver of the view drops and counts a malformed one; the connection's other frames are
 * good. */
static int take_demand(const struct rr_peer_connection *connection, rr_frame_reader *reader) {
    const struct rr_peer_events *events = &connection->owner->events;
    if (!connection->stale) {
        events->demand(events->user, connection->peer, reader->next, reader->bytes_left);
    }
    return 0;
}

/* Ends the frame that begins at `start`, sends it and frees it. 0 or -EIO. */
static int send_answer(int fd, GByteArray *answer, guint start) {
    rr_frame_end(answer, start);
    int rc = rr_peer_send(fd, answer->data, answer->len);
    g_byte_array_free(answer, TRUE);
    return rc;
}

static enum rr_relay_outcome relay_outcome(int call_rc) {
    switch (call_rc) {
    case 0:
        return RR_RELAY_ANSWERED;
    case -ENOTCONN:
        return RR_RELAY_NOT_SENT;
    default:
        return RR_RELAY_OUTCOME_UNKNOWN;
    }
}

static int serve_relay(const struct rr_peer_connection *connection, rr_frame_reader *reader) {
    char address[RR_ID_SIZE];
    uint32_t length;
    if (!rr_frame_read_text(reader, address, sizeof address)) {
        return -EBADMSG;
    }
    uint32_t timeout_ms = rr_frame_read_u32(reader);
    const uint8_t *body = rr_frame_read_bytes(reader, &length);
    if (reader->malformed || timeout_ms > RELAY_TIMEOUT_MAX_MS) {
        return -EBADMSG;
    }
    rr_http_reply reply = {0};
    int rc = rr_worker_call(connection->client, address, length ? body : NULL, length,
                            timeout_ms / 1000.0, &reply);
    bool answered = rc == 0;
    GByteArray *answer = g_byte_array_new();
    guint start = rr_frame_begin(answer, RR_FRAME_ANSWER);
    rr_frame_put_u8(answer, relay_outcome(rc));
    rr_frame_put_u16(answer, answered ? (uint16_t)reply.status : 0);
    rr_frame_put_bytes(answer, answered ? reply.body->data : NULL, answered ? reply.body->len : 0);
    return send_answer(connection->fd, answer, start);
}

static int serve_resign(const struct rr_peer_connection *connection, rr_frame_reader *reader) {
    const struct rr_peer_events *events = &connection->owner->events;
    bool end = rr_frame_read_u8(reader) != RR_RESIGN_STORE_REACHABLE;
    uint64_t lease_id = rr_frame_read_u64(reader);
    if (reader->malformed) {
        return -EBADMSG;
    }
    bool agreed = events->resign(events->user, lease_id, end);
    GByteArray *answer = g_byte_array_new();
    guint start = rr_frame_begin(answer, RR_FRAME_ANSWER);
    rr_frame_put_u8(answer, agreed ? RR_RESIGN_YES : RR_RESIGN_NO);
    return send_answer(connection->fd, answer, start);
}

int rr_peer_take_frame(struct rr_peer_connection *connection, uint8_t type,
                       rr_frame_reader *reader) {
    rr_peers *peers = connection->owner;
    if (type == RR_FRAME_HELLO) {
        return take_hello(connection, reader);
    }
    if (connection->peer < 0) {
        return -EBADMSG;
    }
    switch (type) {
    case RR_FRAME_SENT_AT:
        return take_sent_at(connection, reader);
    case RR_FRAME_HEARTBEAT:
        return take_heartbeat(connection, reader);
    case RR_FRAME_HEARTBEAT_DIGESTS:
        return connection->stale ? 0 : take_heartbeat_digests(peers, connection->peer, reader);
    case RR_FRAME_SUSPECT:
        return connection->stale ? 0 : take_suspects(peers, reader);
    case RR_FRAME_CANCELLED:
        return take_cancelled(peers, reader);
    case RR_FRAME_DEMAND:
        return take_demand(connection, reader);
    case RR_FRAME_RELAY:
        return serve_relay(connection, reader);
    case RR_FRAME_RESIGN:
        return serve_resign(connection, reader);
    default:
        return -EBADMSG;
    }
}
