/* The confirmed cancellations to announce to a peer. Until it expires, each is announced once in
 * every delivery generation of the link (see peer_state.h), because a lost connection may not have
 * delivered it. Has no lock of its own: the caller holds the peers' lock. */
#ifndef RR_PEER_CANCELLATIONS_H
#define RR_PEER_CANCELLATIONS_H

#include <glib.h>
#include <stdbool.h>

typedef struct rr_cancellations rr_cancellations;

/* Creates an empty list, which the caller destroys. */
rr_cancellations *rr_cancellations_create(void);
/* Frees the list and its entries. NULL is allowed. */
void rr_cancellations_destroy(rr_cancellations *list);

/* Adds a job whose cancellation is announced until expires_at (steady clock). A full list drops its
 * oldest entry; peers also learn of that cancellation from the key-value store. */
void rr_cancellations_add(rr_cancellations *list, const char *job_id, double expires_at);
/* Removes expired entries, and returns whether any that is left has not been announced in this
 * delivery generation. */
bool rr_cancellations_has_pending(rr_cancellations *list, unsigned delivery_generation, double now);
/* Appends one frame with the entries not announced in this delivery generation, and marks them as
 * announced. */
void rr_cancellations_put_frame(rr_cancellations *list, unsigned delivery_generation,
                                GByteArray *out);

#endif
