/* The planner thread: makes plans for the teams that this controller owns, commits them, and queues
 * their commands for the command threads. */
#include "app/thread_helpers.h"
#include "app/threads.h"
#include "common/clock.h"
#include "common/log.h"
#include "common/usage.h"
#include "core/planning.h"

#include <math.h>

/* Longest wait for a wake-up before the next plan. */
#define WAKE_WAIT_MAX_S 0.5
/* Longest wait for the store cache to show the change that a plan conflicted with. */
#define CONFLICT_WAIT_MAX_S 1.0
#define COMMIT_FAILED_PAUSE_S 0.2
/* Time between two messages to the peers about suspect machines. */
#define SUSPECTS_PERIOD_S 2.0

/* A transaction costs a request however few changes it has: while the budget allows fewer changes
 * than CHANGES_MIN, a plan gets none until FEW_CHANGES_WAIT_S have passed since the last commit. */
#define CHANGES_MIN 3
#define FEW_CHANGES_WAIT_S 0.3

/* The pause after a plan lasts at least PAUSE_HEARTBEAT_SHARE of the heartbeat interval, since
 * peers send heartbeats in batches. It is longer after slow plans and while timers fire late, so
 * that heartbeats and commands get processor time first. */
#define PAUSE_HEARTBEAT_SHARE 0.0125
#define PAUSE_PLAN_TIME_FACTOR 12
#define PAUSE_PLAN_TIME_MAX_S 0.25
#define PAUSE_LAG_FACTOR 4
#define PAUSE_LAG_MAX_S 1.0

/* State that the planner thread keeps between plans. */
struct planner {
    uint64_t seen_wake_count; /* value of rr_app.planner_wake_count before the last plan */
    double committed_at;      /* steady time of the last transaction's outcome; 0: none yet */
    double suspects_sent_at;  /* steady time of the last message about suspects; 0: none yet */
    double plan_time_pause_s; /* pause that the last plan's duration asks for */
};

/* Moves the plan's command batches to the queues, which own them from then on. Caller holds
 * rr_app.lock. */
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

/* Returns how many changes the next plan may write. */
static int count_affordable_changes(const struct rr_app *app, const struct planner *planner) {
    int changes = rr_budget_get_available_plan_writes(app->budget);
    bool defer =
        changes < CHANGES_MIN && rr_steady_clock_s() - planner->committed_at < FEW_CHANGES_WAIT_S;
    return defer ? 0 : changes;
}

/* Waits up to WAKE_WAIT_MAX_S for a wake-up, then makes a plan and queues its commands. *plan
 * remains empty if the store cache does not yet show the change that the last plan conflicted with.
 * Takes rr_app.lock; caller holds no lock. */
static void make_plan(struct rr_app *app, struct planner *planner, rr_plan *plan) {
    pthread_mutex_lock(&app->lock);
    if (app->planner_wake_count == planner->seen_wake_count) {
        rr_app_cond_timedwait(&app->planner_wake, &app->lock, WAKE_WAIT_MAX_S);
    }
    planner->seen_wake_count = app->planner_wake_count;
    if (rr_app_wait_for_revision(app, app->plan_outcome.point.revision,
                                 rr_steady_clock_s() + CONFLICT_WAIT_MAX_S)) {
        int changes = count_affordable_changes(app, planner);
        rr_core_set_write_pressure(app->core, rr_budget_get_write_pressure(app->budget), changes);
        double started_at = rr_steady_clock_s();
        rr_core_plan(app->core, started_at, rr_wall_clock_s(), plan);
        queue_command_batches(app, plan);
        if (plan->has_transaction) {
            rr_plan_outcome_begin(&app->plan_outcome, app->core);
        }
        planner->plan_time_pause_s = fmin(
            PAUSE_PLAN_TIME_FACTOR * (rr_steady_clock_s() - started_at), PAUSE_PLAN_TIME_MAX_S);
    }
    pthread_mutex_unlock(&app->lock);
}

/* Commits the plan's transaction and applies it to the store cache. Takes rr_app.lock; caller holds
 * no lock. */
static void commit_plan(struct rr_app *app, rr_store *store, struct planner *planner,
                        const rr_plan *plan) {
    uint64_t revision = 0;
    enum rr_commit_status outcome =
        rr_app_commit_with_retry(app, store, RR_REQUEST_PLAN, &plan->transaction, &revision);
    pthread_mutex_lock(&app->lock);
    rr_app_apply_committed_transaction(app, &plan->transaction, outcome, revision);
    rr_plan_outcome_end(&app->plan_outcome, outcome, revision);
    pthread_mutex_unlock(&app->lock);
    planner->committed_at = rr_steady_clock_s();
    if (outcome == RR_COMMIT_DONE) {
        /* Skip the wait before the next plan: it starts what this plan has reserved. */
        planner->seen_wake_count--;
    } else if (outcome != RR_COMMIT_CONFLICT) {
        rr_log(RR_DEBUG_LEVEL, "plan: transaction not committed, planning again after a pause");
        rr_app_pause(app, COMMIT_FAILED_PAUSE_S);
    }
}

/* Tells the peers every SUSPECTS_PERIOD_S which machines send heartbeats but answer no commands. */
static void send_suspects(struct rr_app *app, struct planner *planner) {
    if (rr_steady_clock_s() - planner->suspects_sent_at < SUSPECTS_PERIOD_S) {
        return;
    }
    planner->suspects_sent_at = rr_steady_clock_s();
    GPtrArray *machines = g_ptr_array_new_with_free_func(g_free);
    pthread_mutex_lock(&app->lock);
    rr_core_list_suspects(app->core, rr_steady_clock_s(), machines);
    pthread_mutex_unlock(&app->lock);
    rr_peers_send_suspects(app->peers, machines);
    g_ptr_array_free(machines, TRUE);
}

void *rr_planner_thread(void *argument) {
    struct rr_app *app = argument;
    rr_usage_register_thread(RR_USAGE_PLANNER);
    rr_store *store = rr_app_create_store_client(app);
    struct planner planner = {0};
    double pause_min_s = fmax(app->config.tuning.plan_pause_min_ms / 1000,
                              PAUSE_HEARTBEAT_SHARE * app->config.heartbeat_interval_s);
    while (!rr_app_is_stopping(app)) {
        rr_plan plan;
        rr_plan_init(&plan);
        make_plan(app, &planner, &plan);
        if (plan.has_transaction) {
            commit_plan(app, store, &planner, &plan);
        }
        rr_plan_clear(&plan);
        send_suspects(app, &planner);
        double lag_pause_s =
            fmin(PAUSE_LAG_FACTOR * atomic_load(&app->timer_lag_ms) / 1000.0, PAUSE_LAG_MAX_S);
        rr_app_pause(app, fmax(pause_min_s, fmax(planner.plan_time_pause_s, lag_pause_s)));
    }
    rr_store_destroy(store);
    rr_usage_unregister_thread();
    return NULL;
}
