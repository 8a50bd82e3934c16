/* Inside the package only: incoming connections, and the frames that peers send on them. */
#ifndef RR_PEER_LISTENER_H
#define RR_PEER_LISTENER_H

#include "net/client.h"
#include "peer/peer_state.h"

/* An incoming connection; belongs to its thread. */
struct rr_peer_connection {
    rr_peers *owner;
    int fd;
    rr_client *client; /* for relayed calls to workers */
    int peer;          /* -1: the peer has not said hello yet */
    bool stale;        /* the frames that come now were sent long ago */
};

/* Thread that accepts connections: arg is the rr_peers. Ends at the peers' stop. */
void *rr_peer_listener_main(void *arg);

/* incoming_frames.c: takes one frame. 0; otherwise the connection is to be closed: -EBADMSG for a
 * malformed frame, -EIO for a reply that can't be sent. */
int rr_peer_take_frame(struct rr_peer_connection *connection, uint8_t type,
                       rr_frame_reader *reader);

#endif
