/* Frames over blocking sockets, bounded in time: for links between controllers of one cell and
 * between cells. */
#ifndef RR_PEER_STREAM_H
#define RR_PEER_STREAM_H

#include "conf/config.h"
#include "peer/frame.h"

#include <stdatomic.h>

/* Bytes received from a connection and not read yet: one recv() may bring many frames. Belongs to
 * the connection's thread; the descriptor stays the caller's to close. */
struct rr_inbox {
    int fd;
    GByteArray *buffer;
    guint offset; /* of the first byte not read */
};

/* An empty inbox of a connection; fd may be negative if nothing is received. */
void rr_inbox_init(struct rr_inbox *inbox, int fd);
/* Frees the buffer. */
void rr_inbox_clear(struct rr_inbox *inbox);

/* Waits for the next frame. 0 with its payload in *reader, borrowed from the inbox until the next
 * call; -EIO: the stream or the time has ended, or *stop is set; -EBADMSG: not a frame. */
int rr_peer_receive(const atomic_bool *stop, struct rr_inbox *inbox, uint8_t *type,
                    rr_frame_reader *reader, double timeout_s);
/* Bounds each send and receive, and sends small frames without delay. */
void rr_peer_set_timeouts(int fd, double seconds);
/* Connects. from: the local address, with any port; NULL: the system's choice. A socket for the
 * caller to close, or -errno. */
int rr_peer_dial(const struct rr_endpoint *from, const struct rr_endpoint *endpoint,
                 double timeout_s);
/* Sends all of it: 0 or -EIO. */
int rr_peer_send(int fd, const void *data, size_t length);

#endif
