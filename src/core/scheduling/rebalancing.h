/* Rebalancing: moves of running services that empty priced machines. */
#ifndef RR_CORE_SCHEDULING_REBALANCING_H
#define RR_CORE_SCHEDULING_REBALANCING_H

#include "core/core.h"

bool rr_rebalance_due(rr_core *core, double now);
void rr_rebalance(rr_core *core, double now);

#endif
