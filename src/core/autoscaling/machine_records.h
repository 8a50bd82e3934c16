/* The autoscaler's records of machines: pages, with many machines in each. */
#ifndef RR_CORE_AUTOSCALING_MACHINE_RECORDS_H
#define RR_CORE_AUTOSCALING_MACHINE_RECORDS_H

#include "core/scaling.h"

/* Records machines that are new, are to be scaled in or have gone. True: *out is the step to take.
 */
bool rr_step_machine_records(rr_core *core, double now, double wall, rr_autoscaler_step *out);

#endif
