/* Reservation of capacity for a gang that has waited for a long time. */
#ifndef RR_CORE_SCHEDULING_GANG_RESERVATION_H
#define RR_CORE_SCHEDULING_GANG_RESERVATION_H

#include "core/scheduling/planner.h"

/* Reserves capacity for the gang until the end of this plan. Nothing else is placed on the machines
 * where the whole gang will fit soonest; and if the gang does not fit within its team's limit, its
 * usage is counted in advance, so that its team places nothing else. Otherwise tasks that end one
 * by one would be replaced one by one, and the gang would never find enough free resources for all
 * of its tasks at once. */
void rr_reserve_gang_capacity(struct rr_planner *planner, const rr_job *job);

#endif
