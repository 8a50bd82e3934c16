/* Runs the steps of one plan for the teams that this controller owns. A plan makes at most one
 * transaction. Its cost depends on what changed since the previous plan, because it reconciles only
 * the machines that are marked dirty. */
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
#define JOB_EVICTION_PERIOD_S 60.0
#define MACHINE_CLEANUP_PERIOD_S 1.0
#define UNRECORDED_MACHINE_RETENTION_S 120.0
/* The names of deleted machines are kept this long, so that delayed copies of their heartbeats are
 * ignored. A copy that arrives later makes the machine known again for a while. */
#define DELETED_MACHINE_RETENTION_S 600.0
/* The write pressure counts as 1 for this long after a plan that needed more changes than it was
 * allowed. */
#define WRITE_SHORTAGE_S 1.0

void rr_plan_init(rr_plan *plan) {
    memset(plan, 0, sizeof *plan);
    rr_transaction_init(&plan->transaction);
    plan->command_batches = g_ptr_array_new_with_free_func((GDestroyNotify)rr_command_batch_free);
}

void rr_plan_clear(rr_plan *plan) {
    rr_transaction_clear(&plan->transaction);
    g_ptr_array_free(plan->command_batches, TRUE);
}

/* Returns the pressure that the controller has set, or 1 shortly after a write shortage. */
static double compute_effective_write_pressure(const rr_core *core, double now) {
    bool shortage = core->planning.write_shortage_at > 0 &&
                    now - core->planning.write_shortage_at < WRITE_SHORTAGE_S;
    return shortage ? 1 : core->planning.write_pressure;
}

/* Records a write shortage if the plan ran out of allowed changes rather than out of room in its
 * transaction, and resets transaction_full. The number of allowed changes alone does not show a
 * shortage, since unused changes accumulate between two plans. */
static void record_write_shortage(struct rr_planner *planner) {
    if (planner->transaction_full && planner->core->planning.changes_allowed <
                                         rr_transaction_changes_max(planner->core->config)) {
        planner->core->planning.write_shortage_at = planner->now;
    }
    planner->transaction_full = false;
}

/* Reconciles machines and edits the ledger records of terminated placements. While jobs wait, these
 * edits may use only half of the transaction, so that waiting tasks can be placed in the rest. */
static void reconcile_machines_and_edit_records(struct rr_planner *planner, int change_limit) {
    planner->change_limit =
        rr_any_job_waiting(planner) ? change_limit - change_limit / 2 : change_limit;
    rr_reconcile_machines(planner);
    rr_plan_process_terminated_placements(planner);
    rr_plan_close_command_batches(planner);
    planner->change_limit = change_limit;
}

/* Places waiting tasks, including those that this plan has requeued, and starts planned moves.
 * Plans new moves first if a rebalancing is due. */
static void place_tasks_and_moves(struct rr_planner *planner) {
    rr_core *core = planner->core;
    GPtrArray *waiting = rr_list_waiting_jobs(planner);
    bool rebalance = rr_check_rebalancing_due(core, planner->now);
    if (planner->change_limit > 0 &&
        (waiting->len || rebalance || core->planning.planned_moves->len)) {
        rr_reset_free_resources(core);
        if (rebalance) {
            rr_plan_rebalancing_moves(core, planner->now);
        }
        rr_place_waiting_jobs(planner, waiting);
        rr_start_planned_moves(planner);
    }
    g_ptr_array_free(waiting, TRUE);
}

/* GHRFunc: whether the entry of a deleted machine has expired. */
static gboolean is_deleted_machine_entry_expired(gpointer key, gpointer value, gpointer now) {
    (void)key;
    return *(double *)now - *(double *)value > DELETED_MACHINE_RETENTION_S;
}

/* Removes machines without a record and without placements from the store cache: those that are
 * proven gone, and those that were known only from heartbeats (which may have arrived after their
 * records were deleted) and have sent none for UNRECORDED_MACHINE_RETENTION_S. Also removes expired
 * entries of deleted machines. */
static void remove_unrecorded_machines(rr_core *core, double now) {
    g_hash_table_foreach_remove(core->stored.gone_machines, is_deleted_machine_entry_expired, &now);
    for (guint i = core->stored.machine_list->len; i > 0; i--) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i - 1);
        if (!machine->recorded && !machine->to_record && !machine->command_inflight &&
            machine->placements->len == 0 &&
            (machine->gone || rr_heartbeat_age(machine, now) > UNRECORDED_MACHINE_RETENTION_S)) {
            rr_machine_forget(core, machine);
        }
    }
}

/* Whether the period has passed since *last_run_at, the time of the last run. If so, sets
 * *last_run_at to now. */
static bool begin_period_if_due(double *last_run_at, double now, double period_s) {
    if (now - *last_run_at <= period_s) {
        return false;
    }
    *last_run_at = now;
    return true;
}

void rr_core_plan(rr_core *core, double now, double wall, rr_plan *plan) {
    if (!rr_core_lease_valid(core, now) || !rr_core_cache_consistent(core) ||
        core->membership.new_term_due) {
        return;
    }
    struct rr_planner planner;
    rr_planner_init(&planner, core, now, wall, plan);
    core->planning.write_pressure = compute_effective_write_pressure(core, now);
    reconcile_machines_and_edit_records(
        &planner, MIN(rr_transaction_changes_max(core->config), core->planning.changes_allowed));
    record_write_shortage(&planner);
    place_tasks_and_moves(&planner);
    rr_plan_remove_lost_placements(&planner);
    record_write_shortage(&planner);
    rr_plan_build_transaction(&planner);
    rr_plan_add_probes(&planner);
    if (begin_period_if_due(&core->planning.last_machine_cleanup_at, now,
                            MACHINE_CLEANUP_PERIOD_S)) {
        remove_unrecorded_machines(core, now);
    }
    if (begin_period_if_due(&core->planning.last_usage_recount_at, now, USAGE_RECOUNT_PERIOD_S)) {
        rr_recount_team_usage(core);
    }
    rr_planner_clear(&planner);
    if (begin_period_if_due(&core->planning.last_job_eviction_at, now, JOB_EVICTION_PERIOD_S)) {
        rr_jobs_evict_final(core, wall);
    }
}
