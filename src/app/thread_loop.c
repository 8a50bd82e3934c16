/* What the threads have in common: pauses that notice when they end late, the store client of a
 * thread, and transactions whose outcome must be certain. */
#include "app/thread_loop.h"
#include "common/clock.h"
#include "core/cache_feed.h"
#include "core/leadership.h"
#include "core/state/transaction.h"

bool rr_app_stopping(const struct rr_app *app) {
    return atomic_load(&app->stop);
}

#define LATE_S 0.4 /* a pause longer by this than asked for: half of what a probe may take */

/* The process has less processor time than it has work for. What it hears is old by then, and what
 * it waits for has perhaps come and not been read. */
static void note_late(struct rr_app *app, double now, double late) {
    int lag = (3 * atomic_load(&app->lag_ms) + (int)(1000 * late)) / 4;
    atomic_store(&app->lag_ms, lag);
    if (late > LATE_S) {
        pthread_mutex_lock(&app->lock);
        rr_core_set_timers_late(app->core, now);
        pthread_mutex_unlock(&app->lock);
    }
}

void rr_app_pause(struct rr_app *app, double seconds) {
    while (seconds > 0 && !rr_app_stopping(app)) {
        double slice_s = seconds < 0.5 ? seconds : 0.5, began = rr_steady_clock_s();
        rr_sleep(slice_s);
        double now = rr_steady_clock_s();
        note_late(app, now, now - began - slice_s);
        seconds -= slice_s;
    }
}

rr_store *rr_app_open_store(struct rr_app *app) {
    return rr_store_create(&app->config.state, app->budget, &app->stop);
}

/* A valid transaction was called invalid: the key-value store's lower limits hold. */
static void next_limits_hold(struct rr_app *app, bool in_doubt) {
    rr_budget_next_limits_hold(app->budget);
    pthread_mutex_lock(&app->lock);
    rr_core_lower_limits(app->core, in_doubt);
    pthread_cond_broadcast(&app->cache_advanced);
    pthread_mutex_unlock(&app->lock);
}

/* Until the outcome is certain. An unanswered transaction may still be carried out late, and a task
 * placed anew meanwhile would then stand in the ledger twice. The same transaction sent again
 * settles it: its guards hold at most once, since it changes the keys that it guards. */
enum rr_commit_status rr_app_commit(struct rr_app *app, rr_store *store,
                                    enum rr_request_priority prio,
                                    const rr_transaction *transaction, uint64_t *revision) {
    bool doubted = false;
    for (;;) {
        enum rr_commit_status rc = rr_store_commit(store, prio, transaction, 2.0, revision, NULL);
        if (rc == RR_COMMIT_DONE || rc == RR_COMMIT_CONFLICT || rc == RR_COMMIT_NO_LEASE) {
            return rc;
        }
        if (rc == RR_COMMIT_INVALID) {
            next_limits_hold(app, doubted);
            return rc;
        }
        if (rr_app_stopping(app) || (rc == RR_COMMIT_REFUSED && !doubted)) {
            return rc;
        }
        doubted = doubted || rc == RR_COMMIT_OUTCOME_UNKNOWN;
        rr_app_pause(app, 0.2);
    }
}
