/* Outcomes of evicted jobs. They are kept for good, so each takes one word beside the job's id. */
#ifndef RR_CORE_STATE_JOB_OUTCOMES_H
#define RR_CORE_STATE_JOB_OUTCOMES_H

#include "core/state/jobs.h"

/* Keeps the outcome of a job that is being evicted in the present term. */
void rr_job_outcome_add(rr_core *core, const rr_job *job);
/* Returns whether the job has been evicted, and if so stores its outcome in *done and *done_count,
 * either of which may be NULL. */
bool rr_job_outcome(const rr_core *core, const char *job_id, bool *done, uint32_t *done_count);
/* Returns whether the job was evicted in an earlier term. If so, no start command of it has been
 * sent under the present fencing token: it had no placement when this term began. */
bool rr_job_evicted_in_earlier_term(const rr_core *core, const char *job_id);

#endif
