/* The transaction of a plan, built from its record edits and guards. */
#ifndef RR_CORE_SCHEDULING_PLAN_TRANSACTION_H
#define RR_CORE_SCHEDULING_PLAN_TRANSACTION_H

#include "core/scheduling/planner.h"

/* Fills in the plan's transaction. A plan without edits deletes obsolete records instead, while
 * writes are plentiful. */
void rr_plan_build_transaction(struct rr_planner *planner);

#endif
