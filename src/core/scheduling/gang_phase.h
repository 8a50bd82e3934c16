/* The phase of a gang. */
#ifndef RR_CORE_SCHEDULING_GANG_PHASE_H
#define RR_CORE_SCHEDULING_GANG_PHASE_H

#include "core/state/jobs.h"

enum rr_gang_phase {
    RR_GANG_QUEUED,   /* no task is on a machine or reserved */
    RR_GANG_RESERVED, /* all are reserved; none is shown yet */
    RR_GANG_WAITING,  /* some are shown; not all run */
    RR_GANG_RUNNING,  /* all run */
    RR_GANG_STOPPING, /* one is lost or has to go: all go, and come back together */
    RR_GANG_ENDING    /* done or cancelled: what is left goes */
};
/* From the ledger and the reports alone, so that a new owner reaches the same. */
enum rr_gang_phase rr_gang_phase(const rr_core *core, const rr_job *job, double now);
/* Every task of it is to be stopped. *saving: all of them can be told to save first. */
bool rr_gang_stops(const rr_core *core, const rr_job *job, double now, bool *saving);
uint32_t rr_gang_tasks_max(const rr_core *core); /* tasks of one gang at most */

#endif
