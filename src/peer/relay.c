/* Requests to one peer, each over a connection of its own: to end a lease, or to call a worker. */
#include "peer/peer_state.h"
#include "peer/stream.h"

#include <errno.h>
#include <unistd.h>

#define DIAL_TIMEOUT_S 1.0
#define RESIGN_TIMEOUT_S 2.0
#define RELAY_EXTRA_TIMEOUT_S 1 /* beyond the time that the peer waits for the worker */

/* A connection to one peer with a request on it. */
struct request {
    int fd;             /* -errno: no connection */
    GByteArray *frames; /* to send; the hello is the first */
    struct rr_inbox inbox;
};

/* 0 or -errno; request_clear() is due either way. */
static int request_open(struct request *request, const rr_peers *peers, int peer) {
    request->frames = g_byte_array_new();
    request->fd = rr_peer_dial(NULL, &peers->config->peers[peer].endpoint, DIAL_TIMEOUT_S);
    rr_inbox_init(&request->inbox, request->fd);
    if (request->fd < 0) {
        return request->fd;
    }
    rr_peer_put_hello(peers, request->frames);
    return 0;
}

static void request_clear(struct request *request) {
    if (request->fd >= 0) {
        close(request->fd);
    }
    rr_inbox_clear(&request->inbox);
    g_byte_array_free(request->frames, TRUE);
}

/* Sends the request and waits for the answer, borrowed from the request. 0 or -EIO. */
static int request_answer(struct request *request, const rr_peers *peers, double timeout_s,
                          rr_frame_reader *answer) {
    uint8_t type;
    if (rr_peer_send(request->fd, request->frames->data, request->frames->len) != 0 ||
        rr_peer_receive(peers->stop, &request->inbox, &type, answer, timeout_s) != 0 ||
        type != RR_FRAME_ANSWER) {
        return -EIO;
    }
    return 0;
}

bool rr_peers_ask_resign(rr_peers *peers, int peer, uint64_t lease_id, bool end) {
    struct request request;
    rr_frame_reader answer;
    bool yes = false;
    if (request_open(&request, peers, peer) == 0) {
        guint start = rr_frame_begin(request.frames, RR_FRAME_RESIGN);
        rr_frame_put_u8(request.frames, end ? RR_RESIGN_END_LEASE : RR_RESIGN_STORE_REACHABLE);
        rr_frame_put_u64(request.frames, lease_id);
        rr_frame_end(request.frames, start);
        yes = request_answer(&request, peers, RESIGN_TIMEOUT_S, &answer) == 0 &&
              rr_frame_read_u8(&answer) == RR_RESIGN_YES && !answer.malformed;
    }
    request_clear(&request);
    return yes;
}

/* As rr_peers_relay_commands(). */
static int read_relay_answer(rr_frame_reader *answer, rr_relayed_reply *out) {
    uint32_t length;
    uint8_t outcome = rr_frame_read_u8(answer);
    uint16_t status = rr_frame_read_u16(answer);
    const uint8_t *body = rr_frame_read_bytes(answer, &length);
    if (answer->malformed) {
        return -EIO;
    }
    switch (outcome) {
    case RR_RELAY_ANSWERED:
        out->status = status;
        out->body = g_byte_array_new();
        g_byte_array_append(out->body, body, length);
        return 0;
    case RR_RELAY_NOT_SENT:
        return -ENOTCONN;
    default:
        return -EIO;
    }
}

int rr_peers_relay_commands(rr_peers *peers, int peer, const char *address, const void *body,
                            size_t length, double timeout_s, rr_relayed_reply *out) {
    struct request request;
    rr_frame_reader answer;
    int rc = -ENOTCONN;
    out->body = NULL;
    if (request_open(&request, peers, peer) == 0) {
        guint start = rr_frame_begin(request.frames, RR_FRAME_RELAY);
        rr_frame_put_text(request.frames, address);
        rr_frame_put_u32(request.frames, (uint32_t)(timeout_s * 1000));
        rr_frame_put_bytes(request.frames, body, (uint32_t)length);
        rr_frame_end(request.frames, start);
        rc = request_answer(&request, peers, timeout_s + RELAY_EXTRA_TIMEOUT_S, &answer);
        if (rc == 0) {
            rc = read_relay_answer(&answer, out);
        }
    }
    request_clear(&request);
    return rc;
}
