/* Holds of jobs that are being transferred to or from another cell, as planning reads them. They
 * are set with rr_core_hold_job() and its companions in core/extensions.h. */
#ifndef RR_CORE_STATE_TRANSFER_HOLDS_H
#define RR_CORE_STATE_TRANSFER_HOLDS_H

#include "core/state/jobs.h"

/* The job is held and not released in the present term: none of its tasks may be placed. */
bool rr_job_held(const rr_core *core, const rr_job *job, double now);
/* Its release was taken back: its running tasks are to be stopped. */
bool rr_job_revoked(const rr_core *core, const rr_job *job);
/* It was offered to another cell. */
bool rr_job_transferred(const rr_core *core, const rr_job *job);
/* It came from another cell. */
bool rr_job_of_another_cell(const rr_core *core, const rr_job *job);

#endif
