/* Frames over blocking sockets, bounded in time: links between controllers of one cell and of
 * several. */
#ifndef RR_PEER_STREAM_H
#define RR_PEER_STREAM_H

#include "conf/config.h"
#include "peer/frame.h"

#include <stdatomic.h>

/* Bytes read from a connection and not yet taken: one read brings many frames. */
struct inbox {
    int fd;
    GByteArray *buffer;
    guint offset;
};

void rr_inbox_init(struct inbox *inbox, int fd);
void rr_inbox_clear(struct inbox *inbox);
/* The next frame's payload, in the inbox until the next call. 0; -EIO at the end of the stream, of
 * the time, or at the stop; -EBADMSG. */
int rr_peer_receive(const atomic_bool *stop, struct inbox *inbox, uint8_t *type,
                    rr_frame_reader *reader, double timeout_s);
void rr_peer_set_timeouts(int fd, double seconds);
/* A socket, or -errno. from: the local address, its port any; NULL: the system's choice. */
int rr_peer_dial(const struct rr_endpoint *from, const struct rr_endpoint *endpoint,
                 double timeout_s);
int rr_peer_send(int fd, const void *data, size_t length); /* all of it, or -EIO */

#endif
