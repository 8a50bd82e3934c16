/* Reconciliation of machines with the ledger. */
#ifndef RR_CORE_SCHEDULING_RECONCILIATION_H
#define RR_CORE_SCHEDULING_RECONCILIATION_H

#include "core/scheduling/planner.h"

/* Compares every machine that something happened to with the ledger: adds what is proven terminated
 * and the commands that machines need to the plan. Machines that need another look stay marked. */
void rr_reconcile(struct rr_planner *planner);

#endif
