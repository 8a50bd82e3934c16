/* Cancellations that other controllers have confirmed, known before the store's watch shows them.
 * Added with rr_core_add_cancel_hint(). */
#ifndef RR_CORE_STATE_CANCEL_HINTS_H
#define RR_CORE_STATE_CANCEL_HINTS_H

#include "core/core.h"

/* Whether another controller has confirmed the job's cancellation within the last cancel_s seconds.
 */
bool rr_has_cancel_hint(const rr_core *core, const char *job_id, double now);

#endif
