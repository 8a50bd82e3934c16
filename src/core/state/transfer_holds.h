/* Jobs that another cell has a say in. */
#ifndef RR_CORE_STATE_TRANSFER_HOLDS_H
#define RR_CORE_STATE_TRANSFER_HOLDS_H

#include "core/state/jobs.h"

bool rr_job_held(const rr_core *core, const rr_job *job,
                 double now);                                /* none of its tasks is placed */
bool rr_job_revoked(const rr_core *core, const rr_job *job); /* and those that run go */
bool rr_job_transferred(const rr_core *core, const rr_job *job);
bool rr_job_of_another_cell(const rr_core *core, const rr_job *job);

#endif
