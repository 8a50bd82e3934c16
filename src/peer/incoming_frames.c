/* Parses the frames that peers send, passes their content to the callbacks, and replies to
 * requests. Runs on the threads of incoming connections. Handlers return 0, or an error after which
 * the connection is closed. */
#include "common/clock.h"
#include "peer/listener.h"
#include "peer/stream.h"
#include "worker/worker.h"

#include <errno.h>
#include <string.h>

#define RELAY_TIMEOUT_MAX_MS 10000 /* a request for a longer one is malformed */

/* Returns the index of a peer in the configuration, or -1. */
static int find_peer_index(const rr_peers *peers, const char *name) {
    for (size_t i = 0; i < peers->config->peer_count; i++) {
        if (strcmp(peers->config->peers[i].name, name) == 0) {
            return (int)i;
        }
    }
    return -1;
}

/* Identifies the peer of a connection by its name. */
static int handle_hello(struct rr_peer_connection *connection, rr_frame_reader *reader) {
    char name[RR_NAME_SIZE];
    bool readable = rr_frame_read_text(reader, name, sizeof name);
    connection->peer = readable ? find_peer_index(connection->peers, name) : -1;
    return connection->peer >= 0 ? 0 : -EBADMSG;
}

/* Marks the following frames as stale if they were sent too long ago. Frames that a network
 * partition delayed, or that were not read while this process was suspended, say nothing about the
 * present: a machine that sent a heartbeat then may be dead by now and would appear alive. The age
 * is measured by the wall clocks of both controllers, so the limit allows for their configured
 * difference. */
static int handle_sent_at(struct rr_peer_connection *connection, rr_frame_reader *reader) {
    const struct rr_config *config = connection->peers->config;
    double sent_at = (double)rr_frame_read_u64(reader) / 1000;
    connection->stale =
        rr_wall_clock_s() - sent_at > config->heartbeat_interval_s + 2 * config->clock_skew_max_s;
    return reader->malformed ? -EBADMSG : 0;
}

static int handle_heartbeat(const struct rr_peer_connection *connection, rr_frame_reader *reader) {
    const struct rr_peer_events *events = &connection->peers->events;
    if (reader->bytes_left < 2) {
        return -EBADMSG;
    }
    if (!connection->stale) {
        unsigned hops = rr_frame_read_u8(reader);
        events->on_heartbeat(events->user, connection->peer, hops, reader->next,
                             reader->bytes_left);
    }
    return 0;
}

/* The nodes that the sender of digests receives from. */
struct received_nodes {
    bool peers[RR_CONTROLLERS_MAX]; /* by index in the configuration */
    bool this_controller;
};

/* Reads the names of the nodes that the sender receives from; unknown names are ignored. */
static void read_received_nodes(const rr_peers *peers, rr_frame_reader *reader,
                                struct received_nodes *out) {
    char name[RR_NAME_SIZE];
    uint16_t count = rr_frame_read_u16(reader);
    for (uint16_t i = 0; i < count && rr_frame_read_text(reader, name, sizeof name); i++) {
        int peer = find_peer_index(peers, name);
        if (peer >= 0) {
            out->peers[peer] = true;
        }
        out->this_controller = out->this_controller || strcmp(name, peers->config->node_name) == 0;
    }
}

static void read_digest(rr_frame_reader *reader, rr_heartbeat_digest *digest) {
    rr_frame_read_text(reader, digest->machine, sizeof digest->machine);
    digest->worker_epoch = rr_frame_read_u64(reader);
    digest->sequence = rr_frame_read_u64(reader);
    digest->hash = rr_frame_read_u64(reader);
}

/* Stores whom the peer receives from in the outgoing link to it. Takes the lock. */
static void record_received_nodes(rr_peers *peers, int peer, const struct received_nodes *nodes) {
    struct rr_peer_link *link = &peers->links[peer];
    pthread_mutex_lock(&peers->lock);
    memcpy(link->peer_receives_from, nodes->peers, sizeof nodes->peers);
    link->peer_receives_from_us = nodes->this_controller;
    link->digests_received_at = rr_steady_clock_s();
    pthread_mutex_unlock(&peers->lock);
}

static int handle_heartbeat_digests(rr_peers *peers, int peer, rr_frame_reader *reader) {
    struct received_nodes nodes = {0};
    unsigned hops = rr_frame_read_u8(reader);
    read_received_nodes(peers, reader, &nodes);
    uint16_t count = rr_frame_read_u16(reader);
    if (reader->malformed || count > RR_PEER_FRAME_MACHINES_MAX || hops >= RR_PEER_HOPS_COUNT) {
        return -EBADMSG;
    }
    rr_heartbeat_digest *digests = g_new0(rr_heartbeat_digest, count + 1);
    for (uint16_t i = 0; i < count && !reader->malformed; i++) {
        read_digest(reader, &digests[i]);
    }
    if (!reader->malformed) {
        record_received_nodes(peers, peer, &nodes);
        peers->events.on_heartbeat_digests(peers->events.user, peer, hops, digests, count);
    }
    g_free(digests);
    return reader->malformed ? -EBADMSG : 0;
}

static int handle_suspects(const rr_peers *peers, rr_frame_reader *reader) {
    char machine[RR_ID_SIZE];
    uint16_t count = rr_frame_read_u16(reader);
    for (uint16_t i = 0; i < count && rr_frame_read_text(reader, machine, sizeof machine); i++) {
        peers->events.on_suspect(peers->events.user, machine);
    }
    return reader->malformed ? -EBADMSG : 0;
}

/* Handles stale frames too, since stopping the tasks of a cancelled job is always right. Ids that
 * are not valid job ids are skipped. */
static int handle_cancelled(const rr_peers *peers, rr_frame_reader *reader) {
    char job_id[RR_ID_SIZE];
    uint16_t count = rr_frame_read_u16(reader);
    for (uint16_t i = 0; i < count && rr_frame_read_text(reader, job_id, sizeof job_id); i++) {
        if (rr_job_id_valid(job_id)) {
            peers->events.on_cancelled(peers->events.user, job_id);
        }
    }
    return reader->malformed ? -EBADMSG : 0;
}

/* Passes the view on unchecked. Its receiver drops and counts a malformed one, so the connection
 * with its other frames stays open. */
static int handle_demand(const struct rr_peer_connection *connection, rr_frame_reader *reader) {
    const struct rr_peer_events *events = &connection->peers->events;
    if (!connection->stale) {
        events->on_demand(events->user, connection->peer, reader->next, reader->bytes_left);
    }
    return 0;
}

/* Completes the frame that begins at `start`, sends the reply and frees it. Returns 0 or -EIO. */
static int send_reply(int fd, GByteArray *reply, guint start) {
    rr_frame_end(reply, start);
    int rc = rr_stream_send(fd, reply->data, reply->len);
    g_byte_array_free(reply, TRUE);
    return rc;
}

/* Maps the result of rr_worker_call() to the outcome that is reported to the peer. */
static enum rr_relay_outcome relay_outcome_from_error(int error) {
    switch (error) {
    case 0:
        return RR_RELAY_ANSWERED;
    case -ENOTCONN:
        return RR_RELAY_NOT_SENT;
    default:
        return RR_RELAY_OUTCOME_UNKNOWN;
    }
}

/* Calls a worker for the peer and replies with the outcome. Blocks the connection's thread. */
static int handle_relay(const struct rr_peer_connection *connection, rr_frame_reader *reader) {
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
    rr_http_reply http_reply = {0};
    int rc = rr_worker_call(connection->client, address, length ? body : NULL, length,
                            timeout_ms / 1000.0, &http_reply);
    bool answered = rc == 0;
    GByteArray *reply = g_byte_array_new();
    guint start = rr_frame_begin(reply, RR_FRAME_REPLY);
    rr_frame_put_u8(reply, relay_outcome_from_error(rc));
    rr_frame_put_u16(reply, answered ? (uint16_t)http_reply.status : 0);
    rr_frame_put_bytes(reply, answered ? http_reply.body->data : NULL,
                       answered ? http_reply.body->len : 0);
    return send_reply(connection->fd, reply, start);
}

/* Replies whether this controller reaches the key-value store, or whether it ended the peer's
 * lease. */
static int handle_resign(const struct rr_peer_connection *connection, rr_frame_reader *reader) {
    const struct rr_peer_events *events = &connection->peers->events;
    bool end_lease = rr_frame_read_u8(reader) != RR_RESIGN_CHECK_STORE;
    uint64_t lease_id = rr_frame_read_u64(reader);
    if (reader->malformed) {
        return -EBADMSG;
    }
    bool agreed = events->on_resign(events->user, lease_id, end_lease);
    GByteArray *reply = g_byte_array_new();
    guint start = rr_frame_begin(reply, RR_FRAME_REPLY);
    rr_frame_put_u8(reply, agreed ? RR_RESIGN_YES : RR_RESIGN_NO);
    return send_reply(connection->fd, reply, start);
}

int rr_peer_handle_frame(struct rr_peer_connection *connection, uint8_t type,
                         rr_frame_reader *reader) {
    rr_peers *peers = connection->peers;
    if (type == RR_FRAME_HELLO) {
        return handle_hello(connection, reader);
    }
    if (connection->peer < 0) {
        return -EBADMSG;
    }
    switch (type) {
    case RR_FRAME_SENT_AT:
        return handle_sent_at(connection, reader);
    case RR_FRAME_HEARTBEAT:
        return handle_heartbeat(connection, reader);
    case RR_FRAME_HEARTBEAT_DIGESTS:
        return connection->stale ? 0 : handle_heartbeat_digests(peers, connection->peer, reader);
    case RR_FRAME_SUSPECTS:
        return connection->stale ? 0 : handle_suspects(peers, reader);
    case RR_FRAME_CANCELLED:
        return handle_cancelled(peers, reader);
    case RR_FRAME_DEMAND:
        return handle_demand(connection, reader);
    case RR_FRAME_RELAY:
        return handle_relay(connection, reader);
    case RR_FRAME_RESIGN:
        return handle_resign(connection, reader);
    default:
        return -EBADMSG;
    }
}
