/* Questions to one peer, over a connection of their own: to end a lease, to carry a call to a
 * worker. */
#include "peer/internal.h"

#include <errno.h>
#include <unistd.h>

/* A connection of its own to the peer, greeted; -errno if it can't be reached. */
static int dial_peer(rr_peers *p, int peer, GByteArray *f) {
    int fd = rr_peer_dial(NULL, &p->config->peers[peer].endpoint, 1.0);
    if (fd < 0) {
        return fd;
    }
    rr_peer_put_hello(p, f); /* goes with what follows */
    return fd;
}

bool rr_peers_ask_resign(rr_peers *p, int peer, uint64_t tether, bool end) {
    GByteArray *f = g_byte_array_new();
    uint8_t type;
    bool yes = false;
    struct inbox in;
    rr_frame_reader u;
    int fd = dial_peer(p, peer, f);
    rr_inbox_init(&in, fd);
    if (fd >= 0) {
        guint at = rr_frame_begin(f, RR_FRAME_RESIGN);
        rr_frame_put_u8(f, end);
        rr_frame_put_u64(f, tether);
        rr_frame_end(f, at);
        if (rr_peer_send(fd, f->data, f->len) == 0 &&
            rr_peer_receive(p->stop, &in, &type, &u, 2.0) == 0 && type == RR_FRAME_ANSWER) {
            yes = rr_frame_read_u8(&u) == 0 && !u.malformed;
        }
        close(fd);
    }
    rr_inbox_clear(&in);
    g_byte_array_free(f, TRUE);
    return yes;
}

int rr_peers_relay_commands(rr_peers *p, int peer, const char *addr, const void *body, size_t len,
                            double timeout_s, rr_relayed *out) {
    GByteArray *f = g_byte_array_new();
    int rc = -ENOTCONN;
    uint8_t type;
    out->body = NULL;
    struct inbox in;
    rr_frame_reader u;
    int fd = dial_peer(p, peer, f);
    rr_inbox_init(&in, fd);
    if (fd < 0) {
        goto end;
    }
    guint at = rr_frame_begin(f, RR_FRAME_RELAY);
    rr_frame_put_text(f, addr);
    rr_frame_put_u32(f, (uint32_t)(timeout_s * 1000));
    rr_frame_put_bytes(f, body, (uint32_t)len);
    rr_frame_end(f, at);
    rc = -EIO;
    if (rr_peer_send(fd, f->data, f->len) != 0 ||
        rr_peer_receive(p->stop, &in, &type, &u, timeout_s + 1) != 0 || type != RR_FRAME_ANSWER) {
        goto end;
    }
    uint8_t how = rr_frame_read_u8(&u);
    out->status = rr_frame_read_u16(&u);
    uint32_t n;
    const uint8_t *b = rr_frame_read_bytes(&u, &n);
    if (u.malformed) {
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
    rr_inbox_clear(&in);
    g_byte_array_free(f, TRUE);
    return rc;
}
