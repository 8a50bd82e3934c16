/* The steps of one plan of a team owner. A plan makes at most one transaction. It costs what
 * changed since the last one: only machines that something happened to are reconciled. */
#include "core/cache_feed.h"
#include "core/core_internal.h"
#include "core/health/failure_detector.h"
#include "core/leadership.h"
#include "core/membership/membership.h"
#include "core/planning.h"
#include "core/scheduling/bin_packing.h"
#include "core/scheduling/command_batches.h"
#include "core/scheduling/moves.h"
#include "core/scheduling/placement.h"
#include "core/scheduling/plan_edits.h"
#include "core/scheduling/plan_transaction.h"
#include "core/scheduling/planner.h"
#include "core/scheduling/probes.h"
#include "core/scheduling/rebalancing.h"
#include "core/scheduling/reconciliation.h"
#include "core/scheduling/waiting_jobs.h"
#include "core/state/jobs.h"
#include "core/state/machines.h"
#include "core/state/transaction.h"

#include <string.h>

#define USAGE_RECOUNT_PERIOD_S 60.0
#define JOBS_SHRINK_PERIOD_S 60.0
#define UNKNOWN_MACHINES_PERIOD_S 1.0
#define UNKNOWN_MACHINE_KEEP_S 120.0
/* A copy of a heartbeat that is later than this makes its machine known again for a while. */
#define GONE_MACHINE_KEEP_S 600.0
/* After a plan that lacked changes, the write pressure counts as full for this long. */
#define WRITES_SHORT_S 1.0

void rr_plan_init(rr_plan *plan) {
    memset(plan, 0, sizeof *plan);
    rr_transaction_init(&plan->transaction);
    plan->command_batches = g_ptr_array_new_with_free_func((GDestroyNotify)rr_command_batch_free);
}

void rr_plan_clear(rr_plan *plan) {
    rr_transaction_clear(&plan->transaction);
    g_ptr_array_free(plan->command_batches, TRUE);
}

static double write_pressure(const rr_core *core, double now) {
    bool writes_short = core->planning.write_shortage_at > 0 &&
                        now - core->planning.write_shortage_at < WRITES_SHORT_S;
    return writes_short ? 1 : core->planning.write_pressure;
}

/* Notes whether the allowed changes, not the transaction's limit, bounded the plan. The number of
 * allowed changes alone does not show it: some gather between two plans. */
static void record_write_shortage(struct rr_planner *planner) {
    if (planner->full && planner->core->planning.changes_allowed <
                             rr_transaction_changes_max(planner->core->config)) {
        planner->core->planning.write_shortage_at = planner->now;
    }
    planner->full = false;
}

/* Reconciles machines and edits the records of what is terminated. While jobs wait, half of the
 * transaction is left to them. */
static void reconcile(struct rr_planner *planner, int change_limit) {
    planner->change_limit =
        rr_any_job_waiting(planner) ? change_limit - change_limit / 2 : change_limit;
    rr_reconcile_machines(planner);
    rr_plan_edit_terminated(planner);
    rr_plan_close_command_batches(planner);
    planner->change_limit = change_limit;
}

/* Places waiting tasks, those that have just lost their placements among them, and starts moves. */
static void place(struct rr_planner *planner) {
    rr_core *core = planner->core;
    GPtrArray *waiting = rr_list_waiting_jobs(planner);
    bool rebalance = rr_check_rebalancing_due(core, planner->now);
    if (planner->change_limit > 0 && (waiting->len || rebalance || core->planning.moves->len)) {
        rr_reset_free_resources(core);
        if (rebalance) {
            rr_plan_rebalancing_moves(core, planner->now);
        }
        rr_place_waiting_jobs(planner, waiting);
        rr_start_planned_moves(planner);
    }
    g_ptr_array_free(waiting, TRUE);
}

static gboolean is_long_gone(gpointer key, gpointer value, gpointer now) {
    (void)key;
    return *(double *)now - *(double *)value > GONE_MACHINE_KEEP_S;
}

/* Forgets machines that are known only from heartbeats that came after their records were deleted,
 * and gone machines with no placement left in the ledger. */
static void forget_unknown_machines(rr_core *core, double now) {
    g_hash_table_foreach_remove(core->stored.gone_machines, is_long_gone, &now);
    for (guint i = core->stored.machine_list->len; i > 0; i--) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i - 1);
        if (!machine->recorded && !machine->to_record && !machine->command_inflight &&
            machine->placements->len == 0 &&
            (machine->gone || rr_heartbeat_age(machine, now) > UNKNOWN_MACHINE_KEEP_S)) {
            rr_machine_forget(core, machine);
        }
    }
}

/* True once a period; *last_at: when it was last true. */
static bool is_due(double *last_at, double now, double period_s) {
    if (now - *last_at <= period_s) {
        return false;
    }
    *last_at = now;
    return true;
}

void rr_core_plan(rr_core *core, double now, double wall, rr_plan *plan) {
    if (!rr_core_lease_valid(core, now) || !rr_core_cache_consistent(core) ||
        core->membership.new_term_wanted) {
        return;
    }
    struct rr_planner planner;
    rr_planner_init(&planner, core, now, wall, plan);
    core->planning.write_pressure = write_pressure(core, now);
    reconcile(&planner,
              MIN(rr_transaction_changes_max(core->config), core->planning.changes_allowed));
    record_write_shortage(&planner);
    place(&planner);
    rr_plan_edit_lost(&planner);
    record_write_shortage(&planner);
    rr_plan_build_transaction(&planner);
    rr_plan_add_probes(&planner);
    if (is_due(&core->planning.last_machine_cleanup_at, now, UNKNOWN_MACHINES_PERIOD_S)) {
        forget_unknown_machines(core, now);
    }
    if (is_due(&core->planning.last_usage_recount_at, now, USAGE_RECOUNT_PERIOD_S)) {
        rr_recount_team_usage(core);
    }
    rr_planner_clear(&planner);
    if (is_due(&core->planning.last_job_shrink_at, now, JOBS_SHRINK_PERIOD_S)) {
        rr_jobs_shrink(core, wall);
    }
}
