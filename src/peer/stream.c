#include "peer/stream.h"
#include "app/clock.h"
#include "net/socket.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

void rr_peer_set_timeouts(int fd, double seconds) {
    struct timeval tv = {(time_t)seconds, (suseconds_t)((seconds - (double)(time_t)seconds) * 1e6)};
    int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof tv);
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof tv);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

/* Linux bounds a blocking connect() by the send timeout. */
int rr_peer_dial(const struct rr_endpoint *from, const struct rr_endpoint *to, double timeout_s) {
    struct sockaddr_in a;
    rr_sockaddr(to, &a);
    struct rr_endpoint local = {.port = 0};
    if (from) {
        g_strlcpy(local.host, from->host, sizeof local.host);
    }
    int fd = from ? rr_socket_bind(&local, 0) : socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return from ? fd : -errno;
    }
    rr_peer_set_timeouts(fd, timeout_s);
    if (connect(fd, (struct sockaddr *)&a, sizeof a) != 0) {
        int rc = -errno;
        close(fd);
        return rc;
    }
    return fd;
}

int rr_peer_send(int fd, const void *data, size_t len) {
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

void rr_inbox_init(struct inbox *in, int fd) {
    in->fd = fd;
    in->buffer = g_byte_array_new();
    in->offset = 0;
}

void rr_inbox_clear(struct inbox *in) {
    g_byte_array_free(in->buffer, TRUE);
}

/* Until len bytes are there. Waits in slices so that a stop is seen; -EIO at the end of the stream
 * or of the time. */
static int inbox_fill(const atomic_bool *stop, struct inbox *in, guint len, double timeout_s) {
    double until = rr_steady_clock_s() + timeout_s;
    if (in->offset > 0 && in->buffer->len - in->offset < len) {
        g_byte_array_remove_range(in->buffer, 0, in->offset);
        in->offset = 0;
    }
    while (in->buffer->len - in->offset < len) {
        struct pollfd pf = {in->fd, POLLIN, 0};
        double left = until - rr_steady_clock_s();
        if (atomic_load(stop) || left <= 0) {
            return -EIO;
        }
        int n = poll(&pf, 1, left < 2 ? (int)(left * 1000) + 1 : 2000);
        if (n == 0 || (n < 0 && errno == EINTR)) {
            continue;
        }
        guint had = in->buffer->len, room = len > 16384 ? len : 16384;
        g_byte_array_set_size(in->buffer, had + room);
        ssize_t got = recv(in->fd, in->buffer->data + had, room, 0);
        g_byte_array_set_size(in->buffer, had + (got > 0 ? (guint)got : 0));
        if (got <= 0) {
            return -EIO;
        }
    }
    return 0;
}

/* The next frame's payload, in the inbox until the next call. */
int rr_peer_receive(const atomic_bool *stop, struct inbox *in, uint8_t *type, rr_frame_reader *u,
                    double timeout_s) {
    uint32_t len = 0;
    int rc = inbox_fill(stop, in, RR_FRAME_HEADER_BYTES, timeout_s);
    if (rc == 0) {
        rc = rr_frame_head(in->buffer->data + in->offset, type, &len);
    }
    if (rc == 0) {
        rc = inbox_fill(stop, in, RR_FRAME_HEADER_BYTES + len, timeout_s);
    }
    if (rc == 0) {
        *u = (rr_frame_reader){in->buffer->data + in->offset + RR_FRAME_HEADER_BYTES, len, false};
        in->offset += RR_FRAME_HEADER_BYTES + len;
    }
    return rc;
}
