/* Placement of gangs. */
#ifndef RR_CORE_SCHEDULING_GANG_PLACEMENT_H
#define RR_CORE_SCHEDULING_GANG_PLACEMENT_H

#include "core/scheduling/planner.h"

/* Reserves all tasks of the gang under one attempt, or none. True: reserved. Takes the tasks off
 * *placements_left, the placements that this plan may still make, which may become negative. */
bool rr_place_gang(struct rr_planner *planner, rr_job *job, int *placements_left);

#endif
