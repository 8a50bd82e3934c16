/* Internal to src/peer: the outgoing link to a peer, and the frames that it sends. */
#ifndef RR_PEER_LINK_H
#define RR_PEER_LINK_H

#include "peer/peer_state.h"

/* Initialises the link to the peer of this index. steady: condition attributes that select the
 * steady clock. */
void rr_peer_link_init(struct rr_peer_link *link, rr_peers *peers, int index,
                       const pthread_condattr_t *steady);
/* Frees the queued output. The link's thread has ended or was never started. */
void rr_peer_link_clear(struct rr_peer_link *link);
/* The thread of a link: arg is the struct rr_peer_link. Returns after *stop is set. */
void *rr_peer_link_main(void *arg);

/* ---- In link_frames.c; the caller holds the peers' lock. ---- */

/* Whether anything but the periodic digests is queued. Removes expired cancellations. */
bool rr_peer_link_has_output(struct rr_peer_link *link, double now);
/* Moves the queued output to `out` as frames; the periodic digests only if with_digests is set.
 * Heartbeats beyond RR_FRAME_BYTES_MAX stay queued for the next call. */
void rr_peer_link_take_output(struct rr_peer_link *link, bool with_digests, GByteArray *out);

#endif
