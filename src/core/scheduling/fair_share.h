/* Fair shares of teams, while admission limits them. */
#ifndef RR_CORE_SCHEDULING_FAIR_SHARE_H
#define RR_CORE_SCHEDULING_FAIR_SHARE_H

#include "core/scheduling/planner.h"

/* Whether one more task of the job keeps its team within its fair share. Always true while fair
 * sharing is off, and for work that it does not hold back. */
bool rr_within_fair_share(const struct rr_planner *planner, const rr_job *job);

/* Sets team_fill and class_fill of the waiting jobs, by which their order is chosen. */
void rr_set_fair_share_fill(const struct rr_planner *planner, GPtrArray *waiting /* rr_job* */);

#endif
