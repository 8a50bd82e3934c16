#include "app/thread_helpers.h"
#include "common/clock.h"
#include "common/log.h"
#include "core/cache_feed.h"
#include "core/leadership.h"

#include <time.h>

#define PAUSE_SLICE_S 0.5      /* longest time until a sleeping thread notices a stop */
#define TIMER_LATE_S 0.4       /* half the timeout of a probe (command_thread.c) */
#define TIMER_LAG_OLD_WEIGHT 3 /* weight of the moving average; a new sample weighs 1 */
#define COMMIT_TIMEOUT_S 2.0   /* timeout of one attempt */
#define COMMIT_RETRY_PAUSE_S 0.2

bool rr_app_is_stopping(const struct rr_app *app) {
    return atomic_load(&app->stop);
}

/* Updates the moving average of the timer lag, and reports a delay above TIMER_LATE_S to the core.
 * If timers fire late, messages are read late, too: silence then does not show that a peer or
 * machine has failed. now: steady time. */
static void record_timer_lag(struct rr_app *app, double now, double late_s) {
    int lag_ms = (TIMER_LAG_OLD_WEIGHT * atomic_load(&app->timer_lag_ms) + (int)(1000 * late_s)) /
                 (TIMER_LAG_OLD_WEIGHT + 1);
    atomic_store(&app->timer_lag_ms, lag_ms);
    if (late_s > TIMER_LATE_S) {
        pthread_mutex_lock(&app->lock);
        rr_core_record_late_timers(app->core, now);
        pthread_mutex_unlock(&app->lock);
    }
}

void rr_app_pause(struct rr_app *app, double seconds) {
    while (seconds > 0 && !rr_app_is_stopping(app)) {
        double slice_s = seconds < PAUSE_SLICE_S ? seconds : PAUSE_SLICE_S;
        double started_at = rr_steady_clock_s();
        rr_sleep(slice_s);
        double now = rr_steady_clock_s();
        record_timer_lag(app, now, now - started_at - slice_s);
        seconds -= slice_s;
    }
}

void rr_app_cond_init(pthread_cond_t *condition) {
    pthread_condattr_t attributes;
    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(condition, &attributes);
    pthread_condattr_destroy(&attributes);
}

void rr_app_cond_timedwait(pthread_cond_t *condition, pthread_mutex_t *mutex, double seconds) {
    double until = rr_steady_clock_s() + seconds;
    struct timespec time = {(time_t)until, (long)((until - (double)(time_t)until) * 1e9)};
    pthread_cond_timedwait(condition, mutex, &time);
}

void rr_app_wake_planner(struct rr_app *app) {
    app->planner_wake_count++;
    pthread_cond_broadcast(&app->planner_wake);
}

bool rr_app_wait_for_revision(struct rr_app *app, uint64_t revision, double until) {
    while (rr_core_revision(app->core) < revision) {
        double remaining_s = until - rr_steady_clock_s();
        if (remaining_s <= 0 || rr_app_is_stopping(app)) {
            return false;
        }
        rr_app_cond_timedwait(&app->cache_advanced, &app->lock, remaining_s);
    }
    return true;
}

rr_store *rr_app_create_store_client(struct rr_app *app) {
    return rr_store_create(&app->config.store_endpoint, app->budget, &app->stop);
}

/* Puts the lower limits that the settings announce in force: the key-value store has rejected a
 * transaction that is valid under the present ones. outcome_unknown: an earlier attempt of the
 * transaction may still be executed. */
static void switch_to_next_limits(struct rr_app *app, bool outcome_unknown) {
    rr_budget_activate_next_limits(app->budget);
    pthread_mutex_lock(&app->lock);
    rr_core_activate_next_limits(app->core, outcome_unknown);
    pthread_cond_broadcast(&app->cache_advanced);
    pthread_mutex_unlock(&app->lock);
}

/* A transaction without an answer may still be executed late; a task that is placed again meanwhile
 * would then be recorded twice. Sending the same transaction again until it is answered prevents
 * that: it changes the keys that it guards, so its guards hold at most once. */
enum rr_commit_status rr_app_commit_with_retry(struct rr_app *app, rr_store *store,
                                               enum rr_request_priority priority,
                                               const rr_transaction *transaction,
                                               uint64_t *revision) {
    bool outcome_unknown = false;
    for (;;) {
        enum rr_commit_status status =
            rr_store_commit(store, priority, transaction, COMMIT_TIMEOUT_S, revision, NULL);
        if (status == RR_COMMIT_DONE || status == RR_COMMIT_CONFLICT ||
            status == RR_COMMIT_NO_LEASE) {
            return status;
        }
        if (status == RR_COMMIT_INVALID) {
            switch_to_next_limits(app, outcome_unknown);
            return outcome_unknown ? RR_COMMIT_OUTCOME_UNKNOWN : status;
        }
        outcome_unknown = outcome_unknown || status == RR_COMMIT_OUTCOME_UNKNOWN;
        if (rr_app_is_stopping(app) || !outcome_unknown) {
            return outcome_unknown ? RR_COMMIT_OUTCOME_UNKNOWN : status;
        }
        rr_log(RR_DEBUG_LEVEL, "transaction with %u changes: %s, sending it again",
               transaction->changes->len, rr_commit_status_name(status));
        rr_app_pause(app, COMMIT_RETRY_PAUSE_S);
    }
}

void rr_app_apply_committed_transaction(struct rr_app *app, const rr_transaction *transaction,
                                        enum rr_commit_status outcome, uint64_t revision) {
    if (outcome == RR_COMMIT_DONE) {
        rr_core_cache_apply_transaction(app->core, transaction, revision, rr_steady_clock_s());
    }
}
