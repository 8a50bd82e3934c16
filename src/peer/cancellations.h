/* Confirmed cancellations to announce to a peer. Each is announced once over each connection to
 * the peer, since a lost connection may not have delivered it, until it expires. No lock of its
 * own: the caller holds that of the peers. */
#ifndef RR_PEER_CANCELLATIONS_H
#define RR_PEER_CANCELLATIONS_H

#include <glib.h>
#include <stdbool.h>

typedef struct rr_cancellations rr_cancellations;

/* An empty list. */
rr_cancellations *rr_cancellations_create(void);
/* NULL is allowed. */
void rr_cancellations_destroy(rr_cancellations *list);

/* Adds a job whose cancellation is announced until this time of the steady clock. A full list drops
 * its oldest entry, which peers also learn from the key-value store. */
void rr_cancellations_add(rr_cancellations *list, const char *job_id, double until);
/* Whether some have not been announced over this connection. Removes expired ones. */
bool rr_cancellations_pending(rr_cancellations *list, unsigned connection, double now);
/* Appends those as one frame and marks them as announced over this connection. */
void rr_cancellations_put(rr_cancellations *list, unsigned connection, GByteArray *out);

#endif
