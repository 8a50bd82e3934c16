/* A user's change (submission or cancellation) on its way into a transaction that the commit thread
 * shares among several users. */
#ifndef RR_APP_USER_COMMIT_H
#define RR_APP_USER_COMMIT_H

#include "app/app.h"

#define RR_SUBMISSION_WAIT_MAX_S 1.5 /* from the request to its transaction's outcome */
#define RR_USER_BATCH_MAX 96         /* users' changes in one transaction */

/* Lives on the stack of the request's thread, which waits until the commit is finished. While the
 * commit is queued its fields are under rr_app.user_lock. */
struct rr_user_commit {
    /* Set by the request's thread. */
    char key[96];
    char also_key[96]; /* another record that must be unchanged; empty: none */
    rr_encoder value;
    uint64_t version; /* guard: version of the record at `key`, 0: absent */
    uint64_t also_version;
    double deadline; /* steady: fails if it is still queued after this time */

    /* Set by the commit thread. */
    uint64_t revision; /* of the transaction; with a conflict, of the store */
    pthread_cond_t done;
    enum rr_commit_status status;
    bool finished;
    bool outcome_unknown; /* an earlier transaction with it got no answer */

    bool is_submission; /* a new job, which may share a record with other new jobs */
};

/* Queues the commit for the commit thread and waits for its outcome in commit->status. False: not
 * queued, because the queue is full or its oldest entries would expire first. Takes `user_lock`;
 * caller holds no lock. */
bool rr_user_commit_run(struct rr_app *app, struct rr_user_commit *commit);
/* Sets the outcome and wakes the waiting thread. Caller holds `user_lock`; the commit must not be
 * used afterwards. */
void rr_user_commit_finish(struct rr_user_commit *commit, enum rr_commit_status outcome);

#endif
