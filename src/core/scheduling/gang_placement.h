/* Placement of gangs, jobs whose tasks run all together or not at all. */
#ifndef RR_CORE_SCHEDULING_GANG_PLACEMENT_H
#define RR_CORE_SCHEDULING_GANG_PLACEMENT_H

#include "core/scheduling/planner.h"

/* Reserves all tasks of the gang under one attempt, or none of them. Returns whether it reserved
 * them. If so, subtracts their number from *placements_left, the number of placements that this
 * plan may still make, which may become negative. */
bool rr_place_gang(struct rr_planner *planner, rr_job *job, int *placements_left);

#endif
