/* Room kept for a gang that has waited for long. */
#ifndef RR_CORE_SCHEDULING_GANG_RESERVATION_H
#define RR_CORE_SCHEDULING_GANG_RESERVATION_H

#include "core/scheduling/planner.h"

/* Keeps room for the gang until the end of this plan: nothing else is placed on the machines where
 * all of it will fit soonest, and nothing of its team where the team's limit leaves the gang none.
 * Tasks that end one by one would otherwise be replaced one by one, and the gang would never find
 * room for all of its tasks at once. */
void rr_gang_reserve_room(struct rr_planner *planner, const rr_job *job);

#endif
