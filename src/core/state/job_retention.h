/* Retention of final jobs: the outcome of a job is kept forever, and everything else only as long
 * as something refers to it. */
#ifndef RR_CORE_STATE_JOB_RETENTION_H
#define RR_CORE_STATE_JOB_RETENTION_H

#include "core/state/jobs.h"

/* Frees the ledger records of a closed job, unless one of them is still in use or the watch may
 * still deliver an earlier version of it. */
void rr_job_free_unused_records(const rr_core *core, rr_job *job);
/* Evicts every job that was evictable at the previous call and still is: only its outcome
 * (rr_job_outcome) stays in the cache. Calls must be at least a minute apart, or a late record
 * could bring back a job that the cache no longer has. wall: time of day, seconds. */
void rr_jobs_evict_final(rr_core *core, double wall);

#endif
