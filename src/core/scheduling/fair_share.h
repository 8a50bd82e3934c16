/* Fair shares of teams, while admission limits them. */
#ifndef RR_CORE_SCHEDULING_FAIR_SHARE_H
#define RR_CORE_SCHEDULING_FAIR_SHARE_H

#include "core/scheduling/planner.h"

/* Whether one more task of the job keeps its team within its fair share. Always true while fair
 * sharing is off, and for work that it does not hold back. */
bool rr_within_fair_share(const struct rr_planner *planner, const rr_job *job);

/* How full a job's team and class are, as shares: the less, the sooner the job is placed. Both are
 * 0 while fair sharing is off. */
struct rr_fair_share_fill {
    double team;      /* of the team's fair share */
    double job_class; /* of all resources */
};

/* The fill of each waiting job, in the order of `waiting` (rr_job*); the caller frees the array. */
struct rr_fair_share_fill *rr_fair_share_fills(const struct rr_planner *planner,
                                               const GPtrArray *waiting);

#endif
