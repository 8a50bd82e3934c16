/* Placement of the waiting jobs' tasks. */
#ifndef RR_CORE_SCHEDULING_PLACEMENT_H
#define RR_CORE_SCHEDULING_PLACEMENT_H

#include "core/scheduling/planner.h"

/* Reserves machines for tasks of the waiting jobs (rr_job*), in placement order, until the plan is
 * full. Sorts the array into that order. Precondition: the machines' free resources are up to date
 * (rr_reset_free_resources()). */
void rr_place_waiting_jobs(struct rr_planner *planner, GPtrArray *waiting);

#endif
