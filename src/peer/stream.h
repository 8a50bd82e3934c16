/* Sends and receives frames over blocking sockets with timeouts, for the links between controllers
 * of one cell and for those between cells. */
#ifndef RR_PEER_STREAM_H
#define RR_PEER_STREAM_H

#include "conf/config.h"
#include "peer/frame.h"

#include <stdatomic.h>

/* The receive buffer of a connection, as one recv() may return many frames. Used by the
 * connection's thread only; the caller closes the descriptor. */
struct rr_receive_buffer {
    int fd;
    GByteArray *buffer; /* received bytes; those before `offset` have been read */
    guint offset;       /* of the first unread byte */
};

/* Initialises an empty buffer. fd may be negative if nothing is received. */
void rr_receive_buffer_init(struct rr_receive_buffer *receive_buffer, int fd);
/* Frees the buffer; the descriptor stays open. */
void rr_receive_buffer_clear(struct rr_receive_buffer *receive_buffer);

/* Waits for the next frame. Returns 0 with a reader of its payload, which is borrowed from the
 * buffer until the next call; -EIO if the connection ended, the time ran out or *stop is set;
 * -EBADMSG if the header is not that of a frame. The header and the payload may each take
 * timeout_s. */
int rr_stream_receive_frame(const atomic_bool *stop, struct rr_receive_buffer *receive_buffer,
                            uint8_t *type, rr_frame_reader *reader, double timeout_s);
/* Sets the timeout of each send and receive, and disables Nagle's algorithm (TCP_NODELAY) so that
 * small frames are sent at once. */
void rr_stream_set_options(int fd, double seconds);
/* Connects to an endpoint. `from` is the local address to use, with any port; NULL leaves it to the
 * system. Returns a socket with timeout_s as its send and receive timeout, which the caller closes,
 * or -errno. */
int rr_stream_connect(const struct rr_endpoint *from, const struct rr_endpoint *endpoint,
                      double timeout_s);
/* Sends all the data. Returns 0, or -EIO after an error or a timeout. */
int rr_stream_send(int fd, const void *data, size_t length);

#endif
