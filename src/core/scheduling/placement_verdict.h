/* What one placement of this owner needs, as its machine's heartbeats show it. */
#ifndef RR_CORE_SCHEDULING_PLACEMENT_VERDICT_H
#define RR_CORE_SCHEDULING_PLACEMENT_VERDICT_H

#include "core/scheduling/planner.h"

/* A start or stop without a visible effect is sent again after this. */
#define RR_COMMAND_RESEND_S 1.5

enum rr_placement_action {
    RR_PLACEMENT_KEEP,      /* the machine shows the task, which is to go on */
    RR_PLACEMENT_WAIT,      /* the machine can't take a command now */
    RR_PLACEMENT_RECORD,    /* proven terminated: to leave the ledger */
    RR_PLACEMENT_START,     /* not shown yet */
    RR_PLACEMENT_STOP,      /* shown, and not to go on */
    RR_PLACEMENT_VOID_START /* not to run, and a start of it may still arrive */
};

struct rr_placement_verdict {
    enum rr_placement_action action;
    bool completed;    /* RECORD: the task is done */
    const char *proof; /* RECORD: why it is known to be terminated, for the log */
    double grace_s;    /* STOP: time to save, 0: none */
};

/* The verdict on a placement. `task` is what the machine shows of it, NULL: nothing. Changes
 * nothing. Precondition: the machine is recorded and has sent a heartbeat. */
struct rr_placement_verdict rr_placement_verdict(const struct rr_planner *planner,
                                                 const rr_machine *machine,
                                                 const rr_placement *placement,
                                                 const rr_task_status *task);

/* Whether a start of the attempt may still arrive: it went unanswered under the present fencing
 * token and worker epoch. */
bool rr_start_unanswered(const rr_core *core, const rr_machine *machine, uint64_t attempt);

/* Whether the machine takes commands now: it waits for no answer, and its heartbeats are recent. */
bool rr_machine_takes_commands(const struct rr_planner *planner, const rr_machine *machine);

#endif
