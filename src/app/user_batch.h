/* Users' changes that share one transaction: which may be combined, and the transaction itself.
 * Plain data of the commit thread; no lock. */
#ifndef RR_APP_USER_BATCH_H
#define RR_APP_USER_BATCH_H

#include "app/user_commit.h"
#include "core/state/transaction.h"

/* The changes of one transaction. The numbers of changes, guards and bytes are bounded; new jobs
 * share records (job batches). Zeroed when empty. */
struct rr_user_batch {
    struct rr_user_commit *entries[RR_USER_BATCH_MAX]; /* not owned */
    bool joins_previous[RR_USER_BATCH_MAX]; /* shares the record of the new job before it */
    guint entry_count;
    guint record_count;       /* changes in the transaction */
    guint extra_guard_count;  /* beyond one for each entry */
    size_t bytes;             /* of all records, as JSON */
    size_t open_record_bytes; /* of the job batch that new jobs still join; 0: none */
};

/* Adds a change. False: it does not fit, or a change of the same key is in the batch already; it is
 * to go into a later batch. An empty batch takes any change. */
bool rr_user_batch_add(const struct rr_config *config, struct rr_user_batch *batch,
                       struct rr_user_commit *commit);
/* Adds the batch's guards and changes to the transaction. lease_id and *batch_count, which counts
 * up for each shared record, make the keys of shared records unique. */
void rr_user_batch_transaction(const struct rr_user_batch *batch, uint64_t lease_id,
                               uint64_t *batch_count, rr_transaction *transaction);

#endif
