/* Users' changes that share a transaction: what goes together, and the transaction that comes of
 * it. Plain data of the committer's thread. */
#ifndef RR_APP_USER_BATCH_H
#define RR_APP_USER_BATCH_H

#include "app/app.h"
#include "core/state/transaction.h"

/* What one transaction takes of the queue: changes, guards (one a job, one a batch, four for each
 * change at most) and bytes are bounded. New jobs share records. */
struct rr_user_batch {
    struct rr_user_commit *entries[RR_USER_BATCH_MAX];
    bool joins[RR_USER_BATCH_MAX]; /* goes into the record of the new job before it */
    guint n, records;              /* entries; changes that they make */
    guint more_guards;             /* beyond one an entry */
    size_t bytes, open;            /* of all; of the record being filled, 0: none */
};

/* False: it does not fit any more, and goes with a later one. */
bool rr_user_batch_add(const struct rr_config *config, struct rr_user_batch *batch,
                       struct rr_user_commit *commit);
/* lease, and the count of batches so far, make the keys of shared records unique. */
void rr_user_batch_transaction(const struct rr_user_batch *batch, uint64_t lease_id,
                               uint64_t *batches, rr_transaction *transaction);

#endif
