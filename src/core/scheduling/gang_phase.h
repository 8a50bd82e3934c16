/* Phases of a gang, a job whose tasks run all together or not at all. */
#ifndef RR_CORE_SCHEDULING_GANG_PHASE_H
#define RR_CORE_SCHEDULING_GANG_PHASE_H

#include "core/state/jobs.h"

enum rr_gang_phase {
    RR_GANG_QUEUED,   /* no task has a placement */
    RR_GANG_RESERVED, /* all tasks have placements, and no machine reports one yet */
    RR_GANG_WAITING,  /* machines report some tasks, and not all of them run */
    RR_GANG_RUNNING,  /* all tasks run */
    RR_GANG_STOPPING, /* a task is lost or must stop: all stop, and are placed again together */
    RR_GANG_ENDING    /* a task is done or the job is cancelled: the remaining tasks stop */
};

/* Whether all tasks of a gang must stop, and how. */
enum rr_gang_stop_mode {
    RR_GANG_STOP_NONE,    /* no stop */
    RR_GANG_STOP_AT_ONCE, /* without a checkpoint */
    RR_GANG_STOP_SAVING   /* after saving a checkpoint */
};

/* Returns the gang's phase. It is derived from the job, the ledger and the heartbeats alone, so
 * that a new owner derives the same phase. */
enum rr_gang_phase rr_derive_gang_phase(const rr_core *core, const rr_job *job, double now);

/* Returns whether all tasks of the gang must stop now, and how, as its phase requires. */
enum rr_gang_stop_mode rr_derive_gang_stop_mode(const rr_core *core, const rr_job *job, double now);

/* Returns the largest number of tasks that a gang may have: a single transaction has to reserve or
 * end all of them. */
uint32_t rr_gang_tasks_max(const rr_core *core);

#endif
