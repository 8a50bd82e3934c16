/* Keeps the autoscaler's records of machines, which are stored in pages of many machines each. */
#ifndef RR_CORE_AUTOSCALING_MACHINE_RECORDS_H
#define RR_CORE_AUTOSCALING_MACHINE_RECORDS_H

#include "core/scaling.h"

/* Adds changes of the machine records to the step's transaction: machines that are new, have gone,
 * or are to be scaled in or no longer are. Returns true if *out is the step to take. */
bool rr_prepare_machine_records_step(rr_core *core, double now, double wall,
                                     rr_autoscaler_step *out);

#endif
