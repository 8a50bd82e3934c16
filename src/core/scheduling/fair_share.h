/* Fair shares: limits and orders the placement of teams' jobs while admission limits the teams. */
#ifndef RR_CORE_SCHEDULING_FAIR_SHARE_H
#define RR_CORE_SCHEDULING_FAIR_SHARE_H

#include "core/scheduling/planner.h"

/* Whether one more task of the job keeps its team within its fair share. Always true while fair
 * sharing is off, and for jobs exempt from it: those of prod priority, those within their team's
 * guarantee and those that have waited for more than FAIR_SHARE_WAIT_MAX_S. */
bool rr_team_within_fair_share(const struct rr_planner *planner, const rr_job *job);

/* How much a job's team and job class use. Jobs with lower usage are placed first. Both values are
 * 0 while fair sharing is off. */
struct rr_fair_share_usage {
    double team_usage;  /* the team's dominant share divided by its fair share; 1 if that is 0 */
    double class_usage; /* dominant share of all resources that the team's jobs of this class use */
};

/* Returns the usage for each waiting job, in the order of `waiting` (rr_job*). The caller frees the
 * array with g_free(). */
struct rr_fair_share_usage *rr_compute_fair_share_usage(const struct rr_planner *planner,
                                                        const GPtrArray *waiting);

#endif
