/* Inside the core only: placing gangs, whose tasks run together or not at all. */
#ifndef RR_CORE_PLACE_GANG_H
#define RR_CORE_PLACE_GANG_H

#include "core/plan.h"

/* Books all tasks of the gang under one attempt, or none. *left: tasks that this plan may still
 * book. */
void rr_place_gang(struct rr_planner *planner, rr_job *job, int *left);

#endif
