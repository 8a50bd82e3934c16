/* Computes the demand for machines: for waiting work, and for headroom for future arrivals. */
#ifndef RR_CORE_AUTOSCALING_CAPACITY_DEMAND_H
#define RR_CORE_AUTOSCALING_CAPACITY_DEMAND_H

#include "core/scaling.h"

/* Once a second, simulates the demand, adds intents to rent the missing machines to the step's
 * transaction, and decides which machines to release. Returns true if *out is the step to take. */
bool rr_prepare_demand_step(rr_core *core, double now, double wall, rr_autoscaler_step *out);

#endif
