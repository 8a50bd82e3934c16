/* Scale-in: which machines are to be released, and the calls to the cloud that release them. */
#ifndef RR_CORE_AUTOSCALING_SCALE_IN_H
#define RR_CORE_AUTOSCALING_SCALE_IN_H

#include "core/scaling.h"

/* Decides which machines are to be released: faulty ones, and idle ones that the demand simulation
 * left as surplus. Their records follow in later steps. */
void rr_review_machines(rr_core *core, double now, double wall);

/* Asks the cloud to release machines whose records show the scale-in, and failed machines without a
 * record. True: *out is the step to take. */
bool rr_step_scale_in(rr_core *core, double now, rr_autoscaler_step *out);

/* Forgets what the autoscaler of an earlier term concluded. Machines that it had recorded for
 * scale-in stay so, unless a review finds that they have work. */
void rr_restart_scale_in(rr_core *core, double now);

#endif
