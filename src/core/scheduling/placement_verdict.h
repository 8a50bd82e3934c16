/* Decides from a machine's heartbeats what to do about one placement of this controller's teams. */
#ifndef RR_CORE_SCHEDULING_PLACEMENT_VERDICT_H
#define RR_CORE_SCHEDULING_PLACEMENT_VERDICT_H

#include "core/scheduling/planner.h"

/* A start or stop command is sent again after this time if the heartbeats show no effect. */
#define RR_COMMAND_RESEND_S 1.5

/* What to do about a placement. The machine "reports" a task that its newest heartbeat lists. */
enum rr_placement_action {
    RR_PLACEMENT_KEEP,       /* the machine reports the task, which may continue */
    RR_PLACEMENT_WAIT,       /* no command can or need be sent in this plan */
    RR_PLACEMENT_TERMINATED, /* proven terminated: remove it from the ledger */
    RR_PLACEMENT_START,      /* not reported yet: send a start command */
    RR_PLACEMENT_STOP,       /* reported, but must not run: send a stop command */
    /* Not reported and must not run, but a start may still arrive: make that start ineffective. */
    RR_PLACEMENT_INVALIDATE_START
};

/* An action with its parameters. */
struct rr_placement_verdict {
    enum rr_placement_action action;
    bool completed;     /* TERMINATED: the task is done */
    const char *reason; /* why, for the log: the proof of TERMINATED; NULL for KEEP and WAIT */
    double grace_s;     /* STOP: seconds that the task gets to save its state, 0: none */
};

/* Returns what to do about a placement, without side effects. task: its status in the machine's
 * newest heartbeat, NULL if that does not list it. Precondition: the machine is recorded and has
 * sent a heartbeat. */
struct rr_placement_verdict rr_decide_placement(const struct rr_planner *planner,
                                                const rr_machine *machine,
                                                const rr_placement *placement,
                                                const rr_task_status *task);

/* Whether a start command of the attempt may still arrive at the machine: this controller sent one
 * under the present fencing token and worker epoch. An answer does not rule out a late copy. */
bool rr_start_may_arrive(const rr_core *core, const rr_machine *machine, uint64_t attempt);

/* Whether a command may be sent to the machine now: none is in flight, no retry delay is running,
 * and its last heartbeat is recent. */
bool rr_machine_accepts_commands(const struct rr_planner *planner, const rr_machine *machine);

#endif
