/* Internal to src/peer: incoming connections, and the frames that peers send on them. */
#ifndef RR_PEER_LISTENER_H
#define RR_PEER_LISTENER_H

#include "net/client.h"
#include "peer/peer_state.h"

/* An incoming connection. Used by its thread only, without a lock. */
struct rr_peer_connection {
    rr_peers *peers;
    int fd;
    rr_http_client *client; /* for relayed calls to workers */
    int peer;               /* index in the configuration; -1: no HELLO frame yet */
    bool stale;             /* the frames since the last SENT_AT were sent too long ago */
};

/* The thread that accepts connections: arg is the rr_peers. Returns after *stop is set. */
void *rr_peer_listener_main(void *arg);

/* Handles one received frame (incoming_frames.c). Returns 0; -EBADMSG for a malformed frame or -EIO
 * for a reply that can't be sent, after which the caller closes the connection. */
int rr_peer_handle_frame(struct rr_peer_connection *connection, uint8_t type,
                         rr_frame_reader *reader);

#endif
