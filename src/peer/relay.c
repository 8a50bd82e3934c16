/* Questions to one peer, over a connection of their own: to end a lease, to carry a call to a
 * worker. */
#include "peer/peers_internal.h"

#include <errno.h>
#include <unistd.h>

/* A connection of its own to the peer, greeted; -errno if it can't be reached. */
static int dial_peer(rr_peers *peers, int peer, GByteArray *frame) {
    int fd = rr_peer_dial(NULL, &peers->config->peers[peer].endpoint, 1.0);
    if (fd < 0) {
        return fd;
    }
    rr_peer_put_hello(peers, frame); /* goes with what follows */
    return fd;
}

bool rr_peers_ask_resign(rr_peers *peers, int peer, uint64_t lease_id, bool end) {
    GByteArray *frame = g_byte_array_new();
    uint8_t type;
    bool yes = false;
    struct inbox inbox;
    rr_frame_reader reader;
    int fd = dial_peer(peers, peer, frame);
    rr_inbox_init(&inbox, fd);
    if (fd >= 0) {
        guint start = rr_frame_begin(frame, RR_FRAME_RESIGN);
        rr_frame_put_u8(frame, end);
        rr_frame_put_u64(frame, lease_id);
        rr_frame_end(frame, start);
        if (rr_peer_send(fd, frame->data, frame->len) == 0 &&
            rr_peer_receive(peers->stop, &inbox, &type, &reader, 2.0) == 0 &&
            type == RR_FRAME_ANSWER) {
            yes = rr_frame_read_u8(&reader) == 0 && !reader.malformed;
        }
        close(fd);
    }
    rr_inbox_clear(&inbox);
    g_byte_array_free(frame, TRUE);
    return yes;
}

int rr_peers_relay_commands(rr_peers *peers, int peer, const char *address, const void *body,
                            size_t length, double timeout_s, rr_relayed *out) {
    GByteArray *frame = g_byte_array_new();
    int rc = -ENOTCONN;
    uint8_t type;
    out->body = NULL;
    struct inbox inbox;
    rr_frame_reader reader;
    int fd = dial_peer(peers, peer, frame);
    rr_inbox_init(&inbox, fd);
    if (fd < 0) {
        goto end;
    }
    guint start = rr_frame_begin(frame, RR_FRAME_RELAY);
    rr_frame_put_text(frame, address);
    rr_frame_put_u32(frame, (uint32_t)(timeout_s * 1000));
    rr_frame_put_bytes(frame, body, (uint32_t)length);
    rr_frame_end(frame, start);
    rc = -EIO;
    if (rr_peer_send(fd, frame->data, frame->len) != 0 ||
        rr_peer_receive(peers->stop, &inbox, &type, &reader, timeout_s + 1) != 0 ||
        type != RR_FRAME_ANSWER) {
        goto end;
    }
    uint8_t how = rr_frame_read_u8(&reader);
    out->status = rr_frame_read_u16(&reader);
    uint32_t count;
    const uint8_t *bytes = rr_frame_read_bytes(&reader, &count);
    if (reader.malformed) {
        goto end;
    }
    rc = how == 0 ? 0 : how == 1 ? -ENOTCONN : -EIO;
    if (rc == 0) {
        out->body = g_byte_array_new();
        g_byte_array_append(out->body, bytes, count);
    }
end:
    if (fd >= 0) {
        close(fd);
    }
    rr_inbox_clear(&inbox);
    g_byte_array_free(frame, TRUE);
    return rc;
}
