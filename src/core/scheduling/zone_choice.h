/* The choice of a zone for a job whose tasks have to be in one. */
#ifndef RR_CORE_SCHEDULING_ZONE_CHOICE_H
#define RR_CORE_SCHEDULING_ZONE_CHOICE_H

#include "core/state/jobs.h"

/* The allowed zone that suits the job's waiting tasks best; -1: none has a machine for them. */
int rr_zone_with_most_room(rr_core *core, const rr_job *job, const bool *allowed, double now);

#endif
