/* What the duties have in common: pauses that notice when they end late, the store client of a
 * thread, and transactions whose outcome must be certain. */
#include "app/duty.h"
#include "app/clock.h"

bool rr_app_stopping(const struct rr_app *a) {
    return atomic_load(&a->stop);
}

#define LATE_S 0.4 /* a pause longer by this than asked for: half of what a probe may take */

/* The process has less processor time than it has work for. What it hears is old by then, and what
 * it waits for has perhaps come and not been read. */
static void note_late(struct rr_app *a, double now, double late) {
    int lag = (3 * atomic_load(&a->lag_ms) + (int)(1000 * late)) / 4;
    atomic_store(&a->lag_ms, lag);
    if (late > LATE_S) {
        pthread_mutex_lock(&a->lock);
        rr_core_set_timers_late(a->core, now);
        pthread_mutex_unlock(&a->lock);
    }
}

void rr_app_pause(struct rr_app *a, double seconds) {
    while (seconds > 0 && !rr_app_stopping(a)) {
        double s = seconds < 0.5 ? seconds : 0.5, began = rr_steady_clock_s();
        rr_sleep(s);
        double now = rr_steady_clock_s();
        note_late(a, now, now - began - s);
        seconds -= s;
    }
}

rr_store *rr_app_open_store(struct rr_app *a) {
    return rr_store_create(&a->config.state, a->budget, &a->stop);
}

/* A valid transaction was called invalid: the state service's lower limits hold. */
static void next_limits_hold(struct rr_app *a, bool in_doubt) {
    rr_budget_next_limits_hold(a->budget);
    pthread_mutex_lock(&a->lock);
    rr_core_lower_limits(a->core, in_doubt);
    pthread_cond_broadcast(&a->cache_advanced);
    pthread_mutex_unlock(&a->lock);
}

/* Until the outcome is certain. An unanswered transaction may still be carried out late, and a task
 * placed anew meanwhile would then stand in the ledger twice. The same transaction sent again
 * settles it: its guards hold at most once, since it changes the keys that it guards. */
enum rr_commit_status rr_app_commit(struct rr_app *a, rr_store *s, enum rr_request_priority prio,
                                    const rr_transaction *t, uint64_t *epoch) {
    bool doubted = false;
    for (;;) {
        enum rr_commit_status rc = rr_store_commit(s, prio, t, 2.0, epoch, NULL);
        if (rc == RR_COMMIT_DONE || rc == RR_COMMIT_CONFLICT || rc == RR_COMMIT_NO_LEASE) {
            return rc;
        }
        if (rc == RR_COMMIT_INVALID) {
            next_limits_hold(a, doubted);
            return rc;
        }
        if (rr_app_stopping(a) || (rc == RR_COMMIT_REFUSED && !doubted)) {
            return rc;
        }
        doubted = doubted || rc == RR_COMMIT_OUTCOME_UNKNOWN;
        rr_app_pause(a, 0.2);
    }
}
