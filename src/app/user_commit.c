#include "app/user_commit.h"
#include "app/thread_helpers.h"

#define QUEUED_COMMITS_MAX 256
#define OUTCOME_CHECK_INTERVAL_S 1.0 /* while waiting; a finished commit also wakes its thread */

/* Returns the seconds until `queued_count` changes are written at the rate of the last transaction;
 * 0 if they fit into one transaction or no rate is known yet. */
static double estimate_queue_wait_s(const struct rr_app *app, guint queued_count) {
    return queued_count < RR_USER_BATCH_MAX || app->commit_rate <= 0
               ? 0
               : queued_count / app->commit_rate;
}

bool rr_user_commit_enqueue_and_wait(struct rr_app *app, struct rr_user_commit *commit) {
    pthread_mutex_lock(&app->user_lock);
    guint queued_count = g_queue_get_length(&app->commit_queue);
    bool queued = !rr_app_is_stopping(app) && queued_count < QUEUED_COMMITS_MAX &&
                  estimate_queue_wait_s(app, queued_count) < RR_USER_COMMIT_WAIT_MAX_S;
    if (queued) {
        rr_app_cond_init(&commit->finished_cond);
        g_queue_push_tail(&app->commit_queue, commit);
        pthread_cond_signal(&app->commit_wake);
        /* The loop ends because the commit thread finishes every queued commit, by its deadline or
         * when the process stops. */
        while (!commit->finished) {
            rr_app_cond_timedwait(&commit->finished_cond, &app->user_lock,
                                  OUTCOME_CHECK_INTERVAL_S);
        }
        pthread_cond_destroy(&commit->finished_cond);
    }
    pthread_mutex_unlock(&app->user_lock);
    return queued;
}

void rr_user_commit_finish(struct rr_user_commit *commit, enum rr_commit_status outcome) {
    commit->status = outcome;
    commit->finished = true;
    pthread_cond_signal(&commit->finished_cond);
}
