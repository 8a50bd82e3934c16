/* The phase of a gang, whose tasks run together or not at all. */
#ifndef RR_CORE_SCHEDULING_GANG_PHASE_H
#define RR_CORE_SCHEDULING_GANG_PHASE_H

#include "core/state/jobs.h"

enum rr_gang_phase {
    RR_GANG_QUEUED,   /* no task is on a machine or reserved */
    RR_GANG_RESERVED, /* all tasks are reserved, and no machine shows one yet */
    RR_GANG_WAITING,  /* machines show some tasks, and not all run */
    RR_GANG_RUNNING,  /* all tasks run */
    RR_GANG_STOPPING, /* a task is lost or has to go: all stop, and are placed again together */
    RR_GANG_ENDING    /* done or cancelled: the remaining tasks stop */
};

/* Whether all tasks of a gang are to be stopped, and how. */
enum rr_gang_stop { RR_GANG_STAYS, RR_GANG_STOPS_AT_ONCE, RR_GANG_STOPS_SAVING };

/* The gang's phase. It derives from the ledger and the heartbeats alone, so that a new owner
 * derives the same. */
enum rr_gang_phase rr_gang_phase(const rr_core *core, const rr_job *job, double now);

/* Whether all tasks of the gang are to stop now, which follows from its phase. */
enum rr_gang_stop rr_gang_stop(const rr_core *core, const rr_job *job, double now);

/* The largest number of tasks of one gang: one transaction reserves or ends all of them. */
uint32_t rr_gang_tasks_max(const rr_core *core);

#endif
