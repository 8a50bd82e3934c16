/* Confirmed cancellations that a peer is to be told of: once over each connection to it, as one
 * that was lost may not have brought them, until they are too old to matter. No lock of its own:
 * the link's owner holds one. */
#ifndef RR_PEER_CANCELLATIONS_H
#define RR_PEER_CANCELLATIONS_H

#include <glib.h>
#include <stdbool.h>

typedef struct rr_cancellations rr_cancellations;

rr_cancellations *rr_cancellations_create(void);
void rr_cancellations_destroy(rr_cancellations *list);
/* To be told until this time. Of too many the oldest go: the key-value store tells them, too. */
void rr_cancellations_add(rr_cancellations *list, const char *job_id, double until);
/* Some have not been told over this connection. Those that are too old go. */
bool rr_cancellations_pending(rr_cancellations *list, unsigned connection, double now);
/* Appends them as one frame, and takes them for told over this connection. */
void rr_cancellations_put(rr_cancellations *list, unsigned connection, GByteArray *out);

#endif
