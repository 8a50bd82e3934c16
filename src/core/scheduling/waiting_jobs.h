/* The jobs with tasks that wait for placement, and the order in which they are placed. */
#ifndef RR_CORE_SCHEDULING_WAITING_JOBS_H
#define RR_CORE_SCHEDULING_WAITING_JOBS_H

#include "core/scheduling/planner.h"

/* Whether any job of this controller's teams has a task to place now. */
bool rr_any_job_waiting(const struct rr_planner *planner);

/* Returns the waiting jobs (rr_job*) of this controller's teams. The caller owns the array, but not
 * the jobs. */
GPtrArray *rr_list_waiting_jobs(const struct rr_planner *planner);

/* Sorts the waiting jobs (rr_job*) into placement order: by priority, while writes are short by the
 * number of missing replicas, then by fair-share usage of team and class, by latest start (below
 * prod priority), and by age. */
void rr_sort_waiting_jobs(const struct rr_planner *planner, GPtrArray *waiting);

#endif
