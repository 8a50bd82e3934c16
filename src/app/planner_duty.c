/* The owner's plans: made, committed, and their commands handed to the senders. */
#include "app/duty.h"
#include "app/clock.h"
#include "app/log.h"
#include "app/usage.h"

#include <math.h>

static void queue_command_batches(struct rr_app *a, rr_plan *p) {
    for (guint i = 0; i < p->command_batches->len; i++) {
        rr_command_batch *d = g_ptr_array_index(p->command_batches, i);
        g_queue_push_tail(d->may_time_out ? &a->slow_command_queue : &a->command_queue, d);
        pthread_cond_signal(d->may_time_out ? &a->slow_command_wake : &a->command_wake);
    }
    if (p->command_batches->len) {
        g_ptr_array_set_free_func(p->command_batches, NULL);
        g_ptr_array_set_size(p->command_batches, 0);
    }
}

/* Our own changes are in the mirror at once; those that others made first come with the watch. */
static uint64_t plan_outcome(struct rr_app *a, const rr_transaction *t, enum rr_commit_status rc,
                             uint64_t epoch) {
    pthread_mutex_lock(&a->lock);
    if (rc == RR_COMMIT_DONE) {
        rr_core_apply(a->core, t, epoch, rr_steady_clock_s());
    }
    a->planning = false;
    pthread_mutex_unlock(&a->lock);
    return rc == RR_COMMIT_CONFLICT ? epoch : 0;
}

#define SUSPECTS_S 2.0

static void announce_suspects(struct rr_app *a, double *told) {
    if (rr_steady_clock_s() - *told < SUSPECTS_S) {
        return;
    }
    *told = rr_steady_clock_s();
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    pthread_mutex_lock(&a->lock);
    rr_core_list_suspects(a->core, rr_steady_clock_s(), names);
    pthread_mutex_unlock(&a->lock);
    rr_peers_send_suspects(a->peers, names);
    g_ptr_array_free(names, TRUE);
}

#define FEW 3
#define FEW_S 0.3
#define PAUSE_SHARE 0.0125 /* of a report interval, as links gather: news comes no faster */
#define PAUSE_FACTOR 12    /* a plan's time goes into the pause after it so many times, */
#define LAG_FACTOR 4
#define LAG_PAUSE_S 1.0
#define PAUSE_MAX_S 0.25 /* up to this: under load planning takes a bounded share */

void *rr_planner_thread(void *app) {
    struct rr_app *a = app;
    rr_usage_enter(RR_USAGE_PLANNER);
    rr_store *s = rr_app_open_store(a);
    uint64_t kicks = 0, need = 0;
    double least =
        fmax(a->config.tuning.plan_pause_ms / 1000, PAUSE_SHARE * a->config.heartbeat_interval_s);
    double told = 0, committed = 0, pause = 0;
    while (!rr_app_stopping(a)) {
        rr_plan p;
        rr_plan_init(&p);
        pthread_mutex_lock(&a->lock);
        if (a->wake_count == kicks) {
            rr_app_wait(a, &a->work, &a->lock, 0.5);
        }
        kicks = a->wake_count;
        /* After a conflict, until the mirror shows what came first. */
        if (rr_app_wait_revision(a, need, rr_steady_clock_s() + 1)) {
            int changes = rr_budget_changes(a->budget);
            /* Few at a time cost a request each. */
            changes = changes < FEW && rr_steady_clock_s() - committed < FEW_S ? 0 : changes;
            rr_core_set_pressure(a->core, rr_budget_pressure(a->budget), changes);
            double began = rr_steady_clock_s();
            rr_core_plan(a->core, began, rr_wall_clock_s(), &p);
            queue_command_batches(a, &p);
            a->planning = p.has_transaction;
            pause = fmin(PAUSE_FACTOR * (rr_steady_clock_s() - began), PAUSE_MAX_S);
        }
        pthread_mutex_unlock(&a->lock);
        if (p.has_transaction) {
            uint64_t epoch = 0;
            enum rr_commit_status rc = rr_app_commit(a, s, RR_REQUEST_PLAN, &p.transaction, &epoch);
            need = plan_outcome(a, &p.transaction, rc, epoch);
            committed = rr_steady_clock_s();
            if (rc == RR_COMMIT_DONE) {
                kicks--; /* what it booked is to be started */
            } else if (rc != RR_COMMIT_CONFLICT) {
                rr_log(RR_DEBUG_LEVEL, "plan not committed");
                rr_app_pause(a, 0.2);
            }
        }
        rr_plan_clear(&p);
        announce_suspects(a, &told);
        /* Behind with its work it plans less: reports and commands come before it. */
        double lag = fmin(LAG_FACTOR * atomic_load(&a->lag_ms) / 1000.0, LAG_PAUSE_S);
        rr_app_pause(a, fmax(least, fmax(pause, lag)));
    }
    rr_store_destroy(s);
    rr_usage_leave();
    return NULL;
}
