/* Jobs with tasks that wait for placement, and their order. */
#ifndef RR_CORE_SCHEDULING_WAITING_JOBS_H
#define RR_CORE_SCHEDULING_WAITING_JOBS_H

#include "core/scheduling/planner.h"

/* Whether a job of this controller's teams has a task to be placed now. */
bool rr_any_job_waiting(const struct rr_planner *planner);

/* The waiting jobs of this controller's teams, rr_job*; the caller owns the array. */
GPtrArray *rr_list_waiting_jobs(const struct rr_planner *planner);

/* Sorts waiting jobs into the order in which they are placed. */
void rr_sort_waiting_jobs(const struct rr_planner *planner, GPtrArray *waiting);

#endif
