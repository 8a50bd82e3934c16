#include "peer/stream.h"
#include "common/clock.h"
#include "net/socket.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

void rr_peer_set_timeouts(int fd, double seconds) {
    struct timeval timeout = {(time_t)seconds,
                              (suseconds_t)((seconds - (double)(time_t)seconds) * 1e6)};
    int one = 1;
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
}

/* Linux bounds a blocking connect() by the send timeout. */
int rr_peer_dial(const struct rr_endpoint *from, const struct rr_endpoint *endpoint,
                 double timeout_s) {
    struct sockaddr_in address;
    rr_sockaddr(endpoint, &address);
    struct rr_endpoint local = {.port = 0};
    if (from) {
        g_strlcpy(local.host, from->host, sizeof local.host);
    }
    int fd = from ? rr_socket_bind(&local, 0) : socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return from ? fd : -errno;
    }
    rr_peer_set_timeouts(fd, timeout_s);
    if (connect(fd, (struct sockaddr *)&address, sizeof address) != 0) {
        int rc = -errno;
        close(fd);
        return rc;
    }
    return fd;
}

int rr_peer_send(int fd, const void *data, size_t length) {
    const char *cursor = data;
    while (length > 0) {
        ssize_t sent = send(fd, cursor, length, MSG_NOSIGNAL);
        if (sent <= 0) {
            if (sent < 0 && errno == EINTR) {
                continue;
            }
            return -EIO;
        }
        cursor += sent;
        length -= (size_t)sent;
    }
    return 0;
}

void rr_inbox_init(struct inbox *inbox, int fd) {
    inbox->fd = fd;
    inbox->buffer = g_byte_array_new();
    inbox->offset = 0;
}

void rr_inbox_clear(struct inbox *inbox) {
    g_byte_array_free(inbox->buffer, TRUE);
}

/* Until len bytes are there. Waits in slices so that a stop is seen; -EIO at the end of the stream
 * or of the time. */
static int inbox_fill(const atomic_bool *stop, struct inbox *inbox, guint length,
                      double timeout_s) {
    double until = rr_steady_clock_s() + timeout_s;
    if (inbox->offset > 0 && inbox->buffer->len - inbox->offset < length) {
        g_byte_array_remove_range(inbox->buffer, 0, inbox->offset);
        inbox->offset = 0;
    }
    while (inbox->buffer->len - inbox->offset < length) {
        struct pollfd poll_fd = {inbox->fd, POLLIN, 0};
        double left = until - rr_steady_clock_s();
        if (atomic_load(stop) || left <= 0) {
            return -EIO;
        }
        int count = poll(&poll_fd, 1, left < 2 ? (int)(left * 1000) + 1 : 2000);
        if (count == 0 || (count < 0 && errno == EINTR)) {
            continue;
        }
        guint had = inbox->buffer->len, room = length > 16384 ? length : 16384;
        g_byte_array_set_size(inbox->buffer, had + room);
        ssize_t got = recv(inbox->fd, inbox->buffer->data + had, room, 0);
        g_byte_array_set_size(inbox->buffer, had + (got > 0 ? (guint)got : 0));
        if (got <= 0) {
            return -EIO;
        }
    }
    return 0;
}

/* The next frame's payload, in the inbox until the next call. */
int rr_peer_receive(const atomic_bool *stop, struct inbox *inbox, uint8_t *type,
                    rr_frame_reader *reader, double timeout_s) {
    uint32_t length = 0;
    int rc = inbox_fill(stop, inbox, RR_FRAME_HEADER_BYTES, timeout_s);
    if (rc == 0) {
        rc = rr_frame_head(inbox->buffer->data + inbox->offset, type, &length);
    }
    if (rc == 0) {
        rc = inbox_fill(stop, inbox, RR_FRAME_HEADER_BYTES + length, timeout_s);
    }
    if (rc == 0) {
        *reader = (rr_frame_reader){inbox->buffer->data + inbox->offset + RR_FRAME_HEADER_BYTES,
                                    length, false};
        inbox->offset += RR_FRAME_HEADER_BYTES + length;
    }
    return rc;
}
