/* Retention of jobs: their outcome is known for good, all else only while something needs it. */
#ifndef RR_CORE_STATE_JOB_RETENTION_H
#define RR_CORE_STATE_JOB_RETENTION_H

#include "core/state/jobs.h"

/* Frees the ledger of a closed job once no record of it is in use or expected by the watch. */
void rr_job_trim(const rr_core *core, rr_job *job);
/* Shrinks every job that was retirable at the last call and still is to its outcome
 * (rr_job_outcome). Calls are at least a minute apart, so that no late record revives a job it no
 * longer knows. wall: time of day, seconds. */
void rr_jobs_shrink(rr_core *core, double wall);

#endif
