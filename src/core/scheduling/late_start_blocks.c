/* Bounds the number of ended attempts that block late starts on a machine. */
#include "core/scheduling/late_start_blocks.h"
#include "core/core_internal.h"
#include "core/health/machine_health.h"
#include "core/membership/term.h"
#include "core/scheduling/placement_verdict.h"
#include "core/state/machines.h"

/* A new term is requested for a machine that reports this many ended attempts. Workers report them
 * in every heartbeat. */
#define ENDED_ATTEMPTS_FOR_NEW_TERM 64
/* A new term is requested after this many start commands of all owners together. Each may leave an
 * ended attempt, which takes memory in every controller. */
#define STARTS_FOR_NEW_TERM 32768
/* A term is not replaced for these reasons before it has lasted this long. */
#define TERM_DURATION_MIN_S 15.0
/* The same if a machine gets no new work until its ended attempts are reaped. */
#define TERM_DURATION_MIN_BLOCKED_S 4.0

static bool term_is_younger_than(const struct rr_planner *planner, double duration_s) {
    return planner->now - planner->core->planning.term_planned_since < duration_s;
}

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
    bool blocked = rr_machine_full_of_ended_tasks(machine);
    if (term_is_younger_than(planner,
                             blocked ? TERM_DURATION_MIN_BLOCKED_S : TERM_DURATION_MIN_S)) {
        return true;
    }
    rr_log_at(core, RR_LOG_INFO,
              "machine %s keeps %u ended attempts of term %" G_GUINT64_FORMAT
              " or earlier: requesting a new term",
              machine->name, machine->ended_task_count, core->membership.term.token);
    rr_request_new_term(core);
    return true;
}

void rr_request_term_for_many_starts(const struct rr_planner *planner) {
    rr_core *core = planner->core;
    unsigned starts_max = STARTS_FOR_NEW_TERM / MAX(core->membership.shard_count, 1);
    if (core->planning.starts_in_term < starts_max ||
        term_is_younger_than(planner, TERM_DURATION_MIN_S)) {
        return;
    }
    rr_log_at(core, RR_LOG_INFO,
              "%u starts in term %" G_GUINT64_FORMAT
              ": requesting a new term, so that ended attempts can be reaped",
              core->planning.starts_in_term, core->membership.term.token);
    rr_request_new_term(core);
}
