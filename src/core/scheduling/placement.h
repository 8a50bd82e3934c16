/* Placement of waiting tasks. */
#ifndef RR_CORE_SCHEDULING_PLACEMENT_H
#define RR_CORE_SCHEDULING_PLACEMENT_H

#include "core/scheduling/planner.h"

/* Reserves machines for tasks of the waiting jobs (rr_job*), in order of their turn, until the plan
 * is full. Sorts the array. Precondition: the machines' free resources are up to date. */
void rr_place_waiting_jobs(struct rr_planner *planner, GPtrArray *waiting);

#endif
