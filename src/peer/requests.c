/* Requests to one peer, each over its own connection: about ending this controller's lease, or to
 * call a worker. */
#include "peer/peer_state.h"
#include "peer/stream.h"

#include <errno.h>
#include <unistd.h>

#define CONNECT_TIMEOUT_S 1.0
#define RESIGN_TIMEOUT_S 2.0
#define RELAY_EXTRA_TIMEOUT_S 1 /* added to the time that the peer waits for the worker */

/* A connection to one peer for one request. */
struct request {
    int fd;                                  /* -errno: no connection */
    GByteArray *frames;                      /* to send, beginning with HELLO */
    struct rr_receive_buffer receive_buffer; /* receives the reply */
};

/* Connects and appends the HELLO frame. Returns 0 or -errno; the caller calls close_request() in
 * either case. */
static int open_request(struct request *request, const rr_peers *peers, int peer) {
    request->frames = g_byte_array_new();
    request->fd = rr_stream_connect(NULL, &peers->config->peers[peer].endpoint, CONNECT_TIMEOUT_S);
    rr_receive_buffer_init(&request->receive_buffer, request->fd);
    if (request->fd < 0) {
        return request->fd;
    }
    rr_peer_put_hello(peers, request->frames);
    return 0;
}

static void close_request(struct request *request) {
    if (request->fd >= 0) {
        close(request->fd);
    }
    rr_receive_buffer_clear(&request->receive_buffer);
    g_byte_array_free(request->frames, TRUE);
}

/* Sends the frames and waits for the reply, whose payload is borrowed from the request. Returns 0
 * or -EIO. */
static int exchange_frames(struct request *request, const rr_peers *peers, double timeout_s,
                           rr_frame_reader *reply) {
    uint8_t type;
    if (rr_stream_send(request->fd, request->frames->data, request->frames->len) != 0 ||
        rr_stream_receive_frame(peers->stop, &request->receive_buffer, &type, reply, timeout_s) !=
            0 ||
        type != RR_FRAME_REPLY) {
        return -EIO;
    }
    return 0;
}

bool rr_peers_request_resign(rr_peers *peers, int peer, uint64_t lease_id, bool end_lease) {
    struct request request;
    rr_frame_reader reply;
    bool agreed = false;
    if (open_request(&request, peers, peer) == 0) {
        guint start = rr_frame_begin(request.frames, RR_FRAME_RESIGN);
        rr_frame_put_u8(request.frames, end_lease ? RR_RESIGN_END_LEASE : RR_RESIGN_CHECK_STORE);
        rr_frame_put_u64(request.frames, lease_id);
        rr_frame_end(request.frames, start);
        agreed = exchange_frames(&request, peers, RESIGN_TIMEOUT_S, &reply) == 0 &&
                 rr_frame_read_u8(&reply) == RR_RESIGN_YES && !reply.malformed;
    }
    close_request(&request);
    return agreed;
}

/* Reads the reply to RELAY. Returns as rr_peers_relay_worker_call(). */
static int read_relay_reply(rr_frame_reader *frame, rr_relayed_reply *reply) {
    uint32_t length;
    uint8_t outcome = rr_frame_read_u8(frame);
    uint16_t status = rr_frame_read_u16(frame);
    const uint8_t *body = rr_frame_read_bytes(frame, &length);
    if (frame->malformed) {
        return -EIO;
    }
    switch (outcome) {
    case RR_RELAY_ANSWERED:
        reply->status = status;
        reply->body = g_byte_array_new();
        g_byte_array_append(reply->body, body, length);
        return 0;
    case RR_RELAY_NOT_SENT:
        return -ENOTCONN;
    default:
        return -EIO;
    }
}

int rr_peers_relay_worker_call(rr_peers *peers, int peer, const char *address, const void *body,
                               size_t length, double timeout_s, rr_relayed_reply *reply) {
    struct request request;
    rr_frame_reader frame;
    int rc = -ENOTCONN;
    reply->body = NULL;
    if (open_request(&request, peers, peer) == 0) {
        guint start = rr_frame_begin(request.frames, RR_FRAME_RELAY);
        rr_frame_put_text(request.frames, address);
        rr_frame_put_u32(request.frames, (uint32_t)(timeout_s * 1000));
        rr_frame_put_bytes(request.frames, body, (uint32_t)length);
        rr_frame_end(request.frames, start);
        rc = exchange_frames(&request, peers, timeout_s + RELAY_EXTRA_TIMEOUT_S, &frame);
        if (rc == 0) {
            rc = read_relay_reply(&frame, reply);
        }
    }
    close_request(&request);
    return rc;
}
