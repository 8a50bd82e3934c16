/* Users' changes, which share transactions, and the read barrier that polls wait for. */
#include "app/thread_loop.h"
#include "app/user_batch.h"
#include "common/clock.h"
#include "common/usage.h"
#include "core/cache_feed.h"
#include "core/leadership.h"
#include "core/state/transaction.h"

#include <math.h>
#include <string.h>

/* ---- users' commits and barriers ---- */

static void finish(struct rr_user_commit *commit, enum rr_commit_status outcome) {
    commit->status = outcome;
    commit->finished = true;
    pthread_cond_signal(&commit->done);
}

/* Whoever has waited for too long is told so, and not after one more transaction of others. */
static void drop_expired(struct rr_app *app) {
    struct rr_user_commit *commit;
    double now = rr_steady_clock_s();
    while ((commit = g_queue_peek_head(&app->commits)) && now > commit->deadline) {
        g_queue_pop_head(&app->commits);
        finish(commit, commit->outcome_unknown ? RR_COMMIT_OUTCOME_UNKNOWN : RR_COMMIT_REFUSED);
    }
}

/* Also the session by which the batch's key is unique. */
static uint64_t take_batch(struct rr_app *app, struct rr_user_batch *batch) {
    memset(batch, 0, sizeof *batch);
    pthread_mutex_lock(&app->user_lock);
    while (!rr_app_stopping(app) && g_queue_is_empty(&app->commits)) {
        rr_app_wait(app, &app->commit_wake, &app->user_lock, 1.0);
    }
    drop_expired(app);
    while (!g_queue_is_empty(&app->commits) &&
           rr_user_batch_add(&app->config, batch, g_queue_peek_head(&app->commits)) &&
           batch->n > 0) {
        g_queue_pop_head(&app->commits);
    }
    uint64_t lease_id = app->lease_id;
    pthread_mutex_unlock(&app->user_lock);
    return lease_id;
}

static bool listed(const GPtrArray *failed, const char *key) {
    for (guint i = 0; i < failed->len; i++) {
        if (strcmp(g_ptr_array_index(failed, i), key) == 0) {
            return true;
        }
    }
    return false;
}

static void settle(struct rr_app *app, struct rr_user_commit **batch, guint count,
                   enum rr_commit_status rc, uint64_t revision, const GPtrArray *failed,
                   double took) {
    double now = rr_steady_clock_s();
    pthread_mutex_lock(&app->user_lock);
    app->commit_rate = rc == RR_COMMIT_DONE ? count / fmax(took, 0.001) : app->commit_rate;
    for (guint i = 0; i < count; i++) {
        struct rr_user_commit *commit = batch[i];
        commit->revision = revision;
        commit->outcome_unknown = commit->outcome_unknown || rc == RR_COMMIT_OUTCOME_UNKNOWN;
        /* A conflict names its keys; the others of the batch go again. */
        bool again = rc == RR_COMMIT_CONFLICT && count > 1 && !listed(failed, commit->key) &&
                     !(commit->also_key[0] && listed(failed, commit->also_key));
        again = again || ((rc == RR_COMMIT_REFUSED || rc == RR_COMMIT_INVALID ||
                           rc == RR_COMMIT_OUTCOME_UNKNOWN) &&
                          now < commit->deadline);
        if (again && !rr_app_stopping(app)) {
            g_queue_push_tail(&app->commits, commit);
        } else {
            finish(commit, rc);
        }
    }
    pthread_mutex_unlock(&app->user_lock);
}

void *rr_commit_thread(void *argument) {
    struct rr_app *app = argument;
    rr_usage_enter(RR_USAGE_USERS);
    rr_store *store = rr_app_open_store(app);
    struct rr_user_batch batch;
    while (!rr_app_stopping(app)) {
        uint64_t lease_id = take_batch(app, &batch);
        if (batch.n == 0) {
            continue;
        }
        rr_transaction transaction;
        rr_transaction_init(&transaction);
        GPtrArray *failed = g_ptr_array_new_with_free_func(g_free);
        rr_user_batch_transaction(&batch, lease_id, &app->batch_count, &transaction);
        uint64_t revision = 0;
        double began = rr_steady_clock_s();
        enum rr_commit_status rc =
            rr_store_commit(store, RR_REQUEST_USER, &transaction, 1.0, &revision, failed);
        rr_transaction_clear(&transaction);
        pthread_mutex_lock(&app->lock);
        app->store_down = rc == RR_COMMIT_REFUSED || rc == RR_COMMIT_OUTCOME_UNKNOWN;
        if (!app->store_down) {
            app->store_ok_at = rr_steady_clock_s();
        }
        pthread_mutex_unlock(&app->lock);
        settle(app, batch.entries, batch.n, rc, revision, failed, rr_steady_clock_s() - began);
        g_ptr_array_free(failed, TRUE);
        if (rc == RR_COMMIT_REFUSED || rc == RR_COMMIT_INVALID || rc == RR_COMMIT_OUTCOME_UNKNOWN) {
            rr_app_pause(app, 0.1);
        }
    }
    pthread_mutex_lock(&app->user_lock);
    struct rr_user_commit *commit;
    while ((commit = g_queue_pop_head(&app->commits))) {
        finish(commit, RR_COMMIT_REFUSED);
    }
    pthread_mutex_unlock(&app->user_lock);
    rr_store_destroy(store);
    rr_usage_leave();
    return NULL;
}

/* The group that has gathered when a read is due; the next one gathers from here on. NULL: nobody
 * waits. */
static struct rr_read_barrier *take_group(struct rr_app *app) {
    pthread_mutex_lock(&app->user_lock);
    struct rr_read_barrier *barrier = &app->barrier[app->gathering_group % 2];
    barrier = barrier->waiting > 0 ? barrier : NULL;
    app->gathering_group += barrier != NULL;
    pthread_mutex_unlock(&app->user_lock);
    return barrier;
}

static void wait_for_polls(struct rr_app *app) {
    pthread_mutex_lock(&app->user_lock);
    while (!rr_app_stopping(app) && app->barrier[app->gathering_group % 2].waiting == 0) {
        rr_app_wait(app, &app->barrier_wake, &app->user_lock, 5.0);
    }
    pthread_mutex_unlock(&app->user_lock);
}

/* The store cache has all that was committed before this call. */
static bool cache_is_current(struct rr_app *app, rr_store *store) {
    uint64_t revision = 0;
    double until = rr_steady_clock_s() + 1.2;
    if (rr_store_revision(store, &revision, 0.8) != 0) {
        return false;
    }
    pthread_mutex_lock(&app->lock);
    bool succeeded = rr_core_cache_loaded(app->core) && rr_app_wait_revision(app, revision, until);
    pthread_mutex_unlock(&app->lock);
    return succeeded;
}

/* One read of the store's revision serves all polls that were waiting when it was sent, and this
 * thread alone waits for the store cache to reach it: when each poll did, every change woke them
 * all. */
void *rr_read_barrier_thread(void *argument) {
    struct rr_app *app = argument;
    rr_usage_enter(RR_USAGE_USERS);
    rr_store *store = rr_app_open_store(app);
    double last = 0;
    while (!rr_app_stopping(app)) {
        wait_for_polls(app);
        pthread_mutex_lock(&app->lock);
        unsigned live = rr_core_live_controllers(app->core);
        pthread_mutex_unlock(&app->lock);
        /* Under load polls gather: reads take a sixth of the limit. */
        rr_sleep(last + 6.0 * (live ? live : 1) / app->config.state_rps - rr_steady_clock_s());
        struct rr_read_barrier *barrier = take_group(app);
        if (!barrier) {
            continue;
        }
        last = rr_steady_clock_s();
        bool succeeded = cache_is_current(app, store);
        pthread_mutex_lock(&app->user_lock);
        barrier->served = barrier->number;
        barrier->ok = succeeded;
        barrier->waiting = 0;
        pthread_cond_broadcast(&barrier->done);
        pthread_mutex_unlock(&app->user_lock);
    }
    rr_store_destroy(store);
    rr_usage_leave();
    return NULL;
}
