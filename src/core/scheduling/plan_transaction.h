/* Builds the transaction of a plan from its record edits and guards. */
#ifndef RR_CORE_SCHEDULING_PLAN_TRANSACTION_H
#define RR_CORE_SCHEDULING_PLAN_TRANSACTION_H

#include "core/scheduling/planner.h"

/* Fills in planner->plan with the transaction of all record edits. If these change nothing, the
 * transaction deletes obsolete records instead, provided that the write pressure is low. */
void rr_plan_build_transaction(struct rr_planner *planner);

#endif
