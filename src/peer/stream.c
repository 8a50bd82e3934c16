#include "peer/stream.h"
#include "common/clock.h"
#include "net/socket.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#define RECEIVE_BYTES_MIN 16384 /* free space for one recv() */
#define STOP_CHECK_S 2          /* longest wait between two checks of the stop flag */

void rr_stream_set_options(int fd, double seconds) {
    struct timeval timeout = {(time_t)seconds,
                              (suseconds_t)((seconds - (double)(time_t)seconds) * 1e6)};
    int enabled = 1;
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

/* On Linux, the send timeout also limits a blocking connect(). */
int rr_stream_connect(const struct rr_endpoint *from, const struct rr_endpoint *endpoint,
                      double timeout_s) {
    struct sockaddr_in address;
    rr_endpoint_to_sockaddr(endpoint, &address);
    struct rr_endpoint local = {.port = 0};
    if (from) {
        g_strlcpy(local.host, from->host, sizeof local.host);
    }
    int fd = from ? rr_socket_bind(&local, 0) : socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        return from ? fd : -errno;
    }
    rr_stream_set_options(fd, timeout_s);
    if (connect(fd, (struct sockaddr *)&address, sizeof address) != 0) {
        int rc = -errno;
        close(fd);
        return rc;
    }
    return fd;
}

int rr_stream_send(int fd, const void *data, size_t length) {
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

void rr_receive_buffer_init(struct rr_receive_buffer *receive_buffer, int fd) {
    receive_buffer->fd = fd;
    receive_buffer->buffer = g_byte_array_new();
    receive_buffer->offset = 0;
}

void rr_receive_buffer_clear(struct rr_receive_buffer *receive_buffer) {
    g_byte_array_free(receive_buffer->buffer, TRUE);
}

/* Waits until the socket is readable, at most STOP_CHECK_S. Returns 0 if it is (or has failed),
 * -EAGAIN if not yet, -EIO if *stop is set or the deadline (steady clock) has passed. */
static int wait_readable(const atomic_bool *stop, int fd, double deadline) {
    struct pollfd poll_fd = {fd, POLLIN, 0};
    double remaining_s = deadline - rr_steady_clock_s();
    if (atomic_load(stop) || remaining_s <= 0) {
        return -EIO;
    }
    int wait_ms = remaining_s < STOP_CHECK_S ? (int)(remaining_s * 1000) + 1 : STOP_CHECK_S * 1000;
    int count = poll(&poll_fd, 1, wait_ms);
    return count == 0 || (count < 0 && errno == EINTR) ? -EAGAIN : 0;
}

/* Appends the bytes of one recv(). Returns 0, or -EIO at the end of the stream or on an error. */
static int receive_once(struct rr_receive_buffer *receive_buffer, guint wanted) {
    guint filled = receive_buffer->buffer->len;
    guint capacity = wanted > RECEIVE_BYTES_MIN ? wanted : RECEIVE_BYTES_MIN;
    g_byte_array_set_size(receive_buffer->buffer, filled + capacity);
    ssize_t received = recv(receive_buffer->fd, receive_buffer->buffer->data + filled, capacity, 0);
    g_byte_array_set_size(receive_buffer->buffer, filled + (received > 0 ? (guint)received : 0));
    return received > 0 ? 0 : -EIO;
}

/* Receives until the buffer holds at least `length` unread bytes. Returns 0 or -EIO, as
 * rr_stream_receive_frame(). */
static int receive_at_least(const atomic_bool *stop, struct rr_receive_buffer *receive_buffer,
                            guint length, double timeout_s) {
    double deadline = rr_steady_clock_s() + timeout_s;
    if (receive_buffer->offset > 0 &&
        receive_buffer->buffer->len - receive_buffer->offset < length) {
        g_byte_array_remove_range(receive_buffer->buffer, 0, receive_buffer->offset);
        receive_buffer->offset = 0;
    }
    while (receive_buffer->buffer->len - receive_buffer->offset < length) {
        int rc = wait_readable(stop, receive_buffer->fd, deadline);
        if (rc == 0) {
            rc = receive_once(receive_buffer, length);
        }
        if (rc != 0 && rc != -EAGAIN) {
            return rc;
        }
    }
    return 0;
}

int rr_stream_receive_frame(const atomic_bool *stop, struct rr_receive_buffer *receive_buffer,
                            uint8_t *type, rr_frame_reader *reader, double timeout_s) {
    uint32_t length = 0;
    int rc = receive_at_least(stop, receive_buffer, RR_FRAME_HEADER_BYTES, timeout_s);
    if (rc == 0) {
        rc = rr_frame_parse_header(receive_buffer->buffer->data + receive_buffer->offset, type,
                                   &length);
    }
    if (rc == 0) {
        rc = receive_at_least(stop, receive_buffer, RR_FRAME_HEADER_BYTES + length, timeout_s);
    }
    if (rc == 0) {
        *reader = (rr_frame_reader){receive_buffer->buffer->data + receive_buffer->offset +
                                        RR_FRAME_HEADER_BYTES,
                                    length, false};
        receive_buffer->offset += RR_FRAME_HEADER_BYTES + length;
    }
    return rc;
}
