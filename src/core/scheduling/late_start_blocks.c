/* Bounds the number of ended attempts that block late starts on a machine. */
#include "core/scheduling/late_start_blocks.h"
#include "core/core_internal.h"
#include "core/membership/term.h"
#include "core/scheduling/placement_verdict.h"
#include "core/state/machines.h"

/* A new term is requested for a machine that reports this many ended attempts. Workers report them
 * in every heartbeat. */
#define ENDED_ATTEMPTS_FOR_NEW_TERM 64
/* A term is not replaced for this reason before it has lasted this long. */
#define TERM_DURATION_MIN_S 15.0

/* Whether one of the ended attempts that the machine reports has to be kept in this term. */
static bool blocks_any_start(const rr_core *core, const rr_machine *machine) {
    for (guint i = 0; i < machine->heartbeat.tasks->len; i++) {
        const rr_task_status *task = &g_array_index(machine->heartbeat.tasks, rr_task_status, i);
        if (task->state == RR_TASK_ENDED && rr_start_may_arrive(core, machine, task->attempt)) {
            return true;
        }
    }
    return false;
}

bool rr_request_term_for_blocked_starts(struct rr_planner *planner, const rr_machine *machine) {
    rr_core *core = planner->core;
    if (machine->ended_task_count < ENDED_ATTEMPTS_FOR_NEW_TERM ||
        !blocks_any_start(core, machine)) {
        return false;
    }
    if (planner->now - core->planning.term_planned_since < TERM_DURATION_MIN_S) {
        return true;
    }
    rr_log_at(core, RR_LOG_INFO,
              "machine %s keeps %u ended attempts of term %" G_GUINT64_FORMAT
              " or earlier: requesting a new term",
              machine->name, machine->ended_task_count, core->membership.term.token);
    rr_request_new_term(core);
    return true;
}
