/* Transfer holds: restrictions on jobs that are being transferred to or from another cell. This
 * header has the queries for planning; rr_core_hold_job() and the other calls of
 * core/extensions.h set the holds. */
#ifndef RR_CORE_STATE_TRANSFER_HOLDS_H
#define RR_CORE_STATE_TRANSFER_HOLDS_H

#include "core/state/jobs.h"

/* Returns whether the job is held and has no release that is valid now in the present term. None of
 * its tasks may be placed then. */
bool rr_job_held(const rr_core *core, const rr_job *job, double now);
/* Returns whether the job's release was revoked. Its running tasks have to be stopped then. */
bool rr_job_revoked(const rr_core *core, const rr_job *job);
/* Returns whether the job has been offered to another cell. */
bool rr_job_transferred(const rr_core *core, const rr_job *job);
/* Returns whether the job came from another cell. */
bool rr_job_of_another_cell(const rr_core *core, const rr_job *job);

#endif
