/* Rebalancing: planned moves of running replicas that empty priced machines. */
#ifndef RR_CORE_SCHEDULING_REBALANCING_H
#define RR_CORE_SCHEDULING_REBALANCING_H

#include "core/core.h"

/* Whether a rebalancing begins now. While the fleet is not calm, it drops the planned moves. */
bool rr_rebalance_due(rr_core *core, double now);

/* Plans moves, unless planned ones are left, and sets how many of them may start until the next
 * rebalancing. Leaves the machines' free resources as the ledger has them. */
void rr_rebalance(rr_core *core, double now);

#endif
