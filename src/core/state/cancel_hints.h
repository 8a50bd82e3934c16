/* Cancellations that another controller has confirmed and that the store's watch may not have
 * delivered yet. Hints are added with rr_core_add_cancel_hint() (core/heartbeats.h). */
#ifndef RR_CORE_STATE_CANCEL_HINTS_H
#define RR_CORE_STATE_CANCEL_HINTS_H

#include "core/core.h"

/* Returns whether the job has an unexpired hint. A hint expires cancel_s seconds after it was
 * added. */
bool rr_has_cancel_hint(const rr_core *core, const char *job_id, double now);

#endif
