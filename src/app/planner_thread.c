/* The owner's plans: made, committed, and their commands handed to the senders. */
#include "app/thread_loop.h"
#include "common/clock.h"
#include "common/log.h"
#include "common/usage.h"
#include "core/cache_feed.h"
#include "core/planning.h"
#include "core/state/transaction.h"

#include <math.h>

static void queue_command_batches(struct rr_app *app, rr_plan *plan) {
    for (guint i = 0; i < plan->command_batches->len; i++) {
        rr_command_batch *batch = g_ptr_array_index(plan->command_batches, i);
        g_queue_push_tail(batch->may_time_out ? &app->slow_command_queue : &app->command_queue,
                          batch);
        pthread_cond_signal(batch->may_time_out ? &app->slow_command_wake : &app->command_wake);
    }
    if (plan->command_batches->len) {
        g_ptr_array_set_free_func(plan->command_batches, NULL);
        g_ptr_array_set_size(plan->command_batches, 0);
    }
}

/* Our own changes are in the store cache at once; those that others made first come with the watch.
 */
static uint64_t plan_outcome(struct rr_app *app, const rr_transaction *transaction,
                             enum rr_commit_status rc, uint64_t revision) {
    pthread_mutex_lock(&app->lock);
    if (rc == RR_COMMIT_DONE) {
        rr_core_apply(app->core, transaction, revision, rr_steady_clock_s());
    }
    app->planning = false;
    pthread_mutex_unlock(&app->lock);
    return rc == RR_COMMIT_CONFLICT ? revision : 0;
}

#define SUSPECTS_S 2.0

static void announce_suspects(struct rr_app *app, double *announced) {
    if (rr_steady_clock_s() - *announced < SUSPECTS_S) {
        return;
    }
    *announced = rr_steady_clock_s();
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    pthread_mutex_lock(&app->lock);
    rr_core_list_suspects(app->core, rr_steady_clock_s(), names);
    pthread_mutex_unlock(&app->lock);
    rr_peers_send_suspects(app->peers, names);
    g_ptr_array_free(names, TRUE);
}

#define FEW 3
#define FEW_S 0.3
#define PAUSE_SHARE 0.0125 /* of a report interval, as links gather: news comes no faster */
#define PAUSE_FACTOR 12    /* a plan's time goes into the pause after it so many times, */
#define LAG_FACTOR 4
#define LAG_PAUSE_S 1.0
#define PAUSE_MAX_S 0.25 /* up to this: under load planning takes a bounded share */

void *rr_planner_thread(void *argument) {
    struct rr_app *app = argument;
    rr_usage_enter(RR_USAGE_PLANNER);
    rr_store *store = rr_app_open_store(app);
    uint64_t wakes = 0, need = 0;
    double least = fmax(app->config.tuning.plan_pause_ms / 1000,
                        PAUSE_SHARE * app->config.heartbeat_interval_s);
    double announced = 0, committed = 0, pause = 0;
    while (!rr_app_stopping(app)) {
        rr_plan plan;
        rr_plan_init(&plan);
        pthread_mutex_lock(&app->lock);
        if (app->wake_count == wakes) {
            rr_app_wait(app, &app->work, &app->lock, 0.5);
        }
        wakes = app->wake_count;
        /* After a conflict, until the store cache shows what came first. */
        if (rr_app_wait_revision(app, need, rr_steady_clock_s() + 1)) {
            int changes = rr_budget_changes(app->budget);
            /* Few at a time cost a request each. */
            changes = changes < FEW && rr_steady_clock_s() - committed < FEW_S ? 0 : changes;
            rr_core_set_pressure(app->core, rr_budget_pressure(app->budget), changes);
            double began = rr_steady_clock_s();
            rr_core_plan(app->core, began, rr_wall_clock_s(), &plan);
            queue_command_batches(app, &plan);
            app->planning = plan.has_transaction;
            pause = fmin(PAUSE_FACTOR * (rr_steady_clock_s() - began), PAUSE_MAX_S);
        }
        pthread_mutex_unlock(&app->lock);
        if (plan.has_transaction) {
            uint64_t revision = 0;
            enum rr_commit_status rc =
                rr_app_commit(app, store, RR_REQUEST_PLAN, &plan.transaction, &revision);
            need = plan_outcome(app, &plan.transaction, rc, revision);
            committed = rr_steady_clock_s();
            if (rc == RR_COMMIT_DONE) {
                wakes--; /* what it reserved is to be started */
            } else if (rc != RR_COMMIT_CONFLICT) {
                rr_log(RR_DEBUG_LEVEL, "plan not committed");
                rr_app_pause(app, 0.2);
            }
        }
        rr_plan_clear(&plan);
        announce_suspects(app, &announced);
        /* Behind with its work it plans less: reports and commands come before it. */
        double lag = fmin(LAG_FACTOR * atomic_load(&app->lag_ms) / 1000.0, LAG_PAUSE_S);
        rr_app_pause(app, fmax(least, fmax(pause, lag)));
    }
    rr_store_destroy(store);
    rr_usage_leave();
    return NULL;
}
