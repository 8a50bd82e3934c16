/* Starts planned moves. One transaction reserves the destination and marks the source to be
 * stopped. */
#include "core/scheduling/moves.h"
#include "core/core_internal.h"
#include "core/health/failure_detector.h"
#include "core/scheduling/placement_constraints.h"
#include "core/scheduling/plan_edits.h"
#include "core/scheduling/reservation.h"
#include "core/state/jobs.h"
#include "core/state/ledger.h"
#include "core/state/machines.h"
#include "core/state/resources.h"
#include "core/state/transfer_holds.h"

/* Returns the placement to be moved, or NULL if it does not exist any more. */
static const rr_placement *find_source_placement(const rr_move *move) {
    const rr_placement *source = NULL;
    for (guint i = 0; i < move->from->placements->len; i++) {
        const rr_placement *placement = &g_array_index(move->from->placements, rr_placement, i);
        if (placement->job == move->job && placement->task == move->task && !placement->preempt) {
            source = placement;
        }
    }
    return source;
}

/* Whether the move's source is still there and its destination has room. source: may be NULL. */
static bool is_move_possible(const struct rr_planner *planner, const rr_move *move,
                             const rr_placement *source) {
    const rr_core *core = planner->core;
    bool zones[core->stored.zones.names->len + 1];
    rr_compute_allowed_zones(core, move->job, zones, source);
    return source && !move->job->cancelled && !rr_job_held(core, move->job, planner->now) &&
           rr_machine_schedulable(core, move->to, planner->now) &&
           rr_resources_fit(move->job->request, move->to->free) && zones[move->to->zone] &&
           rr_team_within_limit(planner, move->job, 1);
}

/* Adds a move to the plan. Returns false if the move is not possible any more or the transaction is
 * full. */
static bool start_move(struct rr_planner *planner, const rr_move *move) {
    const rr_placement *source = find_source_placement(move);
    if (!is_move_possible(planner, move, source)) {
        return false;
    }
    const struct rr_record_edit *edit = rr_plan_edit_record(planner, move->job, source->chunk);
    if (!edit || !rr_reserve_task(planner, move->to, move->job, move->task)) {
        return false;
    }
    rr_placement_record *record = rr_record_edit_find_placement(edit, source->attempt, move->task);
    if (record) {
        record->preempt = RR_PREEMPT_SAVING;
    }
    return true;
}

void rr_start_planned_moves(struct rr_planner *planner) {
    rr_core *core = planner->core;
    GArray *moves = core->planning.planned_moves;
    while (moves->len > 0 && core->planning.rebalance_moves_left > 0 &&
           planner->change_count + 1 <= planner->change_limit) {
        rr_move move = g_array_index(moves, rr_move, 0);
        g_array_remove_index(moves, 0);
        core->planning.rebalance_moves_left--;
        if (!start_move(planner, &move)) {
            g_array_set_size(moves, 0);
            return;
        }
        core->counters.tasks_moved++;
        rr_log_at(core, RR_LOG_DEBUG, "move task %s/%u from machine %s to machine %s",
                  move.job->submission.job_id, move.task, move.from->name, move.to->name);
    }
}
