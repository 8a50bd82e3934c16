/* Group commit: this thread writes all users' changes, many in one transaction. */
#include "app/thread_helpers.h"
#include "app/threads.h"
#include "app/user_batch.h"
#include "app/user_commit.h"
#include "common/clock.h"
#include "common/usage.h"

#include <math.h>
#include <string.h>

#define COMMIT_TIMEOUT_S 1.0    /* timeout of one transaction */
#define RETRY_PAUSE_S 0.1       /* pause after a failed transaction */
#define IDLE_WAIT_S 1.0         /* longest wait for commits before the stop is checked again */
#define COMMIT_TIME_MIN_S 0.001 /* bounds the computed commit rate */

/* Finishes expired commits at the head of the queue as failed, so that the next transaction does
 * not delay their callers further. The caller holds rr_app.user_lock. */
static void fail_expired_commits(struct rr_app *app) {
    struct rr_user_commit *commit;
    double now = rr_steady_clock_s();
    while ((commit = g_queue_peek_head(&app->commit_queue)) && now > commit->deadline) {
        g_queue_pop_head(&app->commit_queue);
        rr_user_commit_finish(commit, commit->outcome_unknown ? RR_COMMIT_OUTCOME_UNKNOWN
                                                              : RR_COMMIT_REFUSED);
    }
}

/* Waits for queued commits and moves as many into the batch as fit into one transaction. The batch
 * stays empty if the process stops while nothing is queued, if all commits have expired, or if the
 * first one does not fit into any transaction. Returns the lease of the session at that moment,
 * which makes the keys of job batches unique. */
static uint64_t take_batch(struct rr_app *app, struct rr_user_batch *batch) {
    memset(batch, 0, sizeof *batch);
    pthread_mutex_lock(&app->user_lock);
    while (!rr_app_is_stopping(app) && g_queue_is_empty(&app->commit_queue)) {
        rr_app_cond_timedwait(&app->commit_wake, &app->user_lock, IDLE_WAIT_S);
    }
    fail_expired_commits(app);
    while (!g_queue_is_empty(&app->commit_queue) &&
           rr_user_batch_add(&app->config, batch, g_queue_peek_head(&app->commit_queue)) &&
           batch->entry_count > 0) {
        g_queue_pop_head(&app->commit_queue);
    }
    uint64_t lease_id = app->lease_id;
    pthread_mutex_unlock(&app->user_lock);
    return lease_id;
}

static bool contains_key(const GPtrArray *keys, const char *key) {
    for (guint i = 0; i < keys->len; i++) {
        if (strcmp(g_ptr_array_index(keys, i), key) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns whether the transaction was refused or got no answer; the store then counts as down. */
static bool is_store_failure(enum rr_commit_status outcome) {
    return outcome == RR_COMMIT_REFUSED || outcome == RR_COMMIT_OUTCOME_UNKNOWN;
}

/* Returns whether the commit goes into another transaction. After a conflict, `conflicts` has the
 * keys whose guards failed; commits of other keys only shared the transaction and are retried. */
static bool should_retry(const struct rr_user_commit *commit, guint batch_size,
                         enum rr_commit_status outcome, const GPtrArray *conflicts, double now) {
    if (outcome == RR_COMMIT_CONFLICT) {
        return batch_size > 1 && !contains_key(conflicts, commit->key) &&
               !(commit->extra_guard_key[0] && contains_key(conflicts, commit->extra_guard_key));
    }
    return (is_store_failure(outcome) || outcome == RR_COMMIT_INVALID) && now < commit->deadline;
}

/* Finishes or queues again every commit of the batch, and updates the commit rate. duration_s:
 * duration of the transaction. */
static void finish_or_requeue_batch(struct rr_app *app, const struct rr_user_batch *batch,
                                    enum rr_commit_status outcome, uint64_t revision,
                                    const GPtrArray *conflicts, double duration_s) {
    double now = rr_steady_clock_s();
    pthread_mutex_lock(&app->user_lock);
    if (outcome == RR_COMMIT_DONE) {
        app->commit_rate = batch->entry_count / fmax(duration_s, COMMIT_TIME_MIN_S);
    }
    for (guint i = 0; i < batch->entry_count; i++) {
        struct rr_user_commit *commit = batch->entries[i];
        commit->revision = revision;
        commit->outcome_unknown = commit->outcome_unknown || outcome == RR_COMMIT_OUTCOME_UNKNOWN;
        if (should_retry(commit, batch->entry_count, outcome, conflicts, now) &&
            !rr_app_is_stopping(app)) {
            g_queue_push_tail(&app->commit_queue, commit);
        } else {
            rr_user_commit_finish(commit, outcome);
        }
    }
    pthread_mutex_unlock(&app->user_lock);
}

/* Records whether the key-value store is reachable. */
static void record_store_reachability(struct rr_app *app, enum rr_commit_status outcome) {
    pthread_mutex_lock(&app->lock);
    app->store_down = is_store_failure(outcome);
    if (!app->store_down) {
        app->store_answered_at = rr_steady_clock_s();
    }
    pthread_mutex_unlock(&app->lock);
}

/* Makes one attempt to commit the batch, and finishes or queues again its commits. */
static enum rr_commit_status commit_batch(struct rr_app *app, rr_store *store,
                                          const struct rr_user_batch *batch, uint64_t lease_id) {
    rr_transaction transaction;
    GPtrArray *conflicts = g_ptr_array_new_with_free_func(g_free);
    uint64_t revision = 0;
    rr_transaction_init(&transaction);
    rr_user_batch_build_transaction(batch, lease_id, &app->batch_count, &transaction);
    double started_at = rr_steady_clock_s();
    enum rr_commit_status outcome = rr_store_commit(store, RR_REQUEST_USER, &transaction,
                                                    COMMIT_TIMEOUT_S, &revision, conflicts);
    rr_transaction_clear(&transaction);
    record_store_reachability(app, outcome);
    finish_or_requeue_batch(app, batch, outcome, revision, conflicts,
                            rr_steady_clock_s() - started_at);
    g_ptr_array_free(conflicts, TRUE);
    return outcome;
}

/* Finishes all queued commits as refused, when the process stops. */
static void refuse_queued_commits(struct rr_app *app) {
    struct rr_user_commit *commit;
    pthread_mutex_lock(&app->user_lock);
    while ((commit = g_queue_pop_head(&app->commit_queue))) {
        rr_user_commit_finish(commit, RR_COMMIT_REFUSED);
    }
    pthread_mutex_unlock(&app->user_lock);
}

void *rr_commit_thread(void *argument) {
    struct rr_app *app = argument;
    rr_usage_register_thread(RR_USAGE_USERS);
    rr_store *store = rr_app_create_store_client(app);
    struct rr_user_batch batch;
    while (!rr_app_is_stopping(app)) {
        uint64_t lease_id = take_batch(app, &batch);
        if (batch.entry_count == 0) {
            continue;
        }
        enum rr_commit_status outcome = commit_batch(app, store, &batch, lease_id);
        if (is_store_failure(outcome) || outcome == RR_COMMIT_INVALID) {
            rr_app_pause(app, RETRY_PAUSE_S);
        }
    }
    refuse_queued_commits(app);
    rr_store_destroy(store);
    rr_usage_unregister_thread();
    return NULL;
}
