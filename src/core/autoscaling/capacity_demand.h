/* The demand for machines: work that waits, and headroom for what will arrive. */
#ifndef RR_CORE_AUTOSCALING_CAPACITY_DEMAND_H
#define RR_CORE_AUTOSCALING_CAPACITY_DEMAND_H

#include "core/scaling.h"

/* Once a second: records intents to rent what the demand calls for, and reviews the machines. True:
 * *out is the step to take. */
bool rr_step_demand(rr_core *core, double now, double wall, rr_autoscaler_step *out);

#endif
