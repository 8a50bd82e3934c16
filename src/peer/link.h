/* Inside the package only: the outgoing link to a peer, and the frames that it sends. */
#ifndef RR_PEER_LINK_H
#define RR_PEER_LINK_H

#include "peer/peer_state.h"

/* steady: attributes of a condition that waits by the steady clock. */
void rr_peer_link_init(struct rr_peer_link *link, rr_peers *owner, int index,
                       const pthread_condattr_t *steady);
/* Frees what waits to be sent; the thread has ended, or was never started. */
void rr_peer_link_clear(struct rr_peer_link *link);
/* Thread of a link: arg is the struct rr_peer_link. Ends at the peers' stop. */
void *rr_peer_link_main(void *arg);

/* link_frames.c. Caller holds the lock for both. */

/* Whether anything but the periodic digests waits to be sent. */
bool rr_peer_link_has_output(struct rr_peer_link *link, double now);
/* Moves all that waits to `out`, as frames. with_digests: also the periodic digests. */
void rr_peer_link_take_output(struct rr_peer_link *link, bool with_digests, GByteArray *out);

#endif
