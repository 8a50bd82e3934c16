/* The cloud's catalogue of machine types, and its records in the store. */
#ifndef RR_CORE_AUTOSCALING_CATALOG_H
#define RR_CORE_AUTOSCALING_CATALOG_H

#include "core/scaling.h"

/* Records machine types that the store does not have as they were read, or has the catalogue read
 * again after a while. True: *out is the step to take. */
bool rr_step_catalog(rr_core *core, double now, rr_autoscaler_step *out);

#endif
