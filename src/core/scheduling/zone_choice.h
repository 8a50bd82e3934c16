/* Chooses the zone of a job whose tasks have to be in one zone. */
#ifndef RR_CORE_SCHEDULING_ZONE_CHOICE_H
#define RR_CORE_SCHEDULING_ZONE_CHOICE_H

#include "core/state/jobs.h"

/* Returns the allowed zone that suits the job's waiting tasks best, or -1 if no allowed zone has a
 * machine that may take them. */
int rr_choose_zone(rr_core *core, const rr_job *job, const bool *allowed, double now);

#endif
