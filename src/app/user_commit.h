/* A user's change that waits for the commit thread: a submission, a cancellation, or the withdrawal
 * of a transfer that precedes a cancellation. The commit thread writes many such changes in one
 * transaction. */
#ifndef RR_APP_USER_COMMIT_H
#define RR_APP_USER_COMMIT_H

#include "app/app.h"

#define RR_USER_COMMIT_WAIT_MAX_S 1.5 /* time from the request to the outcome of its commit */
#define RR_USER_BATCH_MAX 96          /* users' changes in one transaction */

/* Lives on the stack of the request's thread, which waits until the commit is finished. While the
 * commit is queued, rr_app.user_lock protects its fields. */
struct rr_user_commit {
    /* Set by the request's thread. */
    char key[96];             /* of the record to write */
    char extra_guard_key[96]; /* of another record that must be unchanged; empty: none */
    rr_encoder value;         /* the record to write */
    uint64_t version;         /* expected version of the record at `key`; 0: it must not exist */
    uint64_t extra_guard_version; /* the same for extra_guard_key */
    double deadline;              /* steady clock: a commit that is still queued then fails */

    /* Set by the commit thread. */
    uint64_t revision;            /* of the transaction; after a conflict, of the store */
    pthread_cond_t finished_cond; /* signalled when `finished` is set */
    enum rr_commit_status status; /* the outcome, once `finished` is set */
    bool finished;
    bool outcome_unknown; /* an earlier transaction with this commit got no answer */

    /* Set by the request's thread: whether this is a new job, which may share a record with other
     * new jobs. */
    bool is_submission;
};

/* Queues the commit for the commit thread and waits until its outcome is in commit->status. Returns
 * false without queueing it if the process is stopping, the queue is full, or the queue is so long
 * that commits would expire in it. Takes rr_app.user_lock; the caller must hold no lock. */
bool rr_user_commit_enqueue_and_wait(struct rr_app *app, struct rr_user_commit *commit);
/* Sets the outcome and wakes the waiting thread. The caller holds rr_app.user_lock and must not use
 * the commit afterwards, as the waiting thread's stack holds it. */
void rr_user_commit_finish(struct rr_user_commit *commit, enum rr_commit_status outcome);

#endif
