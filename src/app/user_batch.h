/* Batches of users' changes for group commit: which changes may share a transaction, and how that
 * transaction is built. Only the commit thread uses a batch, so it needs no lock. */
#ifndef RR_APP_USER_BATCH_H
#define RR_APP_USER_BATCH_H

#include "app/user_commit.h"
#include "core/state/transaction.h"

/* The users' changes of one transaction. Their number, their guards and their size in bytes are
 * bounded. Several new jobs may share one record, a job batch. A zeroed struct is an empty
 * batch. */
struct rr_user_batch {
    struct rr_user_commit *entries[RR_USER_BATCH_MAX]; /* borrowed from the waiting threads */
    /* Whether the entry is stored in the record of the previous new job. */
    bool joins_previous_record[RR_USER_BATCH_MAX];
    guint entry_count;
    guint record_count;      /* records that the transaction writes */
    guint extra_guard_count; /* entries with an extra_guard_key */
    size_t json_bytes;       /* estimated JSON size of all changes */
    /* Estimated JSON size of the record that the next new job may join; 0: there is none. */
    size_t open_record_bytes;
};

/* Adds a change, which the batch borrows. Returns false without adding it if it does not fit, or if
 * the batch already has a change of the same key: the change must then wait for a later batch. With
 * an empty batch the function returns true even if the change does not fit and is not added;
 * callers check entry_count. */
bool rr_user_batch_add(const struct rr_config *config, struct rr_user_batch *batch,
                       struct rr_user_commit *commit);
/* Adds the batch's guards and changes to the transaction. The key of each job batch is made unique
 * by lease_id, the lease of this process's session, and by *batch_count, which the function
 * increments for each job batch. */
void rr_user_batch_build_transaction(const struct rr_user_batch *batch, uint64_t lease_id,
                                     uint64_t *batch_count, rr_transaction *transaction);

#endif
