/* Scale-in: decides which machines to release and has the cloud release them. */
#ifndef RR_CORE_AUTOSCALING_SCALE_IN_H
#define RR_CORE_AUTOSCALING_SCALE_IN_H

#include "core/scaling.h"

/* Decides which machines are to be released: faulty ones, and idle ones on which the last demand
 * simulation placed no task. Later steps record the decisions. */
void rr_decide_releases(rr_core *core, double now, double wall);

/* Has the cloud release machines whose records show the scale-in, and failed machines without a
 * record. Returns true if *out is the step to take. */
bool rr_prepare_scale_in_step(rr_core *core, double now, rr_autoscaler_step *out);

/* Discards what this process concluded as the autoscaler of an earlier term. Machines whose records
 * show a scale-in stay marked for release until rr_decide_releases() finds that they have tasks. */
void rr_reset_scale_in(rr_core *core, double now);

#endif
