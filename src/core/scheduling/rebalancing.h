/* Rebalancing: plans moves of running replicas that empty machines with a price, so that these can
 * be released. */
#ifndef RR_CORE_SCHEDULING_REBALANCING_H
#define RR_CORE_SCHEDULING_REBALANCING_H

#include "core/core.h"

/* Whether a rebalancing is to run now: its period has passed and the fleet is stable. Drops the
 * planned moves while the fleet is not stable. */
bool rr_check_rebalancing_due(rr_core *core, double now);

/* Plans moves, unless planned moves are left, and sets how many may start until the next
 * rebalancing. Uses the machines' free resources as scratch space, and resets them afterwards with
 * rr_reset_free_resources(). */
void rr_plan_rebalancing_moves(rr_core *core, double now);

#endif
