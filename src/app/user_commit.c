#include "app/user_commit.h"
#include "app/thread_loop.h"

#define QUEUED_COMMITS_MAX 256
#define OUTCOME_POLL_S 1.0

/* Seconds until `count` queued changes are written at the rate of the last transaction. */
static double estimated_wait_s(const struct rr_app *app, guint count) {
    return count < RR_USER_BATCH_MAX || app->commit_rate <= 0 ? 0 : count / app->commit_rate;
}

bool rr_user_commit_run(struct rr_app *app, struct rr_user_commit *commit) {
    pthread_mutex_lock(&app->user_lock);
    guint count = g_queue_get_length(&app->commits);
    bool accepted = !rr_app_stopping(app) && count < QUEUED_COMMITS_MAX &&
                    estimated_wait_s(app, count) < RR_SUBMISSION_WAIT_MAX_S;
    if (accepted) {
        rr_app_cond_init(&commit->done);
        g_queue_push_tail(&app->commits, commit);
        pthread_cond_signal(&app->commit_wake);
        /* Terminates: the commit thread finishes every entry by its deadline or at the stop. */
        while (!commit->finished) {
            rr_app_cond_wait(&commit->done, &app->user_lock, OUTCOME_POLL_S);
        }
        pthread_cond_destroy(&commit->done);
    }
    pthread_mutex_unlock(&app->user_lock);
    return accepted;
}

void rr_user_commit_finish(struct rr_user_commit *commit, enum rr_commit_status outcome) {
    commit->status = outcome;
    commit->finished = true;
    pthread_cond_signal(&commit->done);
}
