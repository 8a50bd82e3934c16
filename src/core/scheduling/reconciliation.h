/* Reconciles the tasks that machines report with the placements in the ledger. */
#ifndef RR_CORE_SCHEDULING_RECONCILIATION_H
#define RR_CORE_SCHEDULING_RECONCILIATION_H

#include "core/scheduling/planner.h"

/* Compares every machine that is marked dirty with the ledger, and adds to the plan the placements
 * proven terminated and the commands to machines. Machines that have to be compared again in the
 * next plan stay marked. */
void rr_reconcile_machines(struct rr_planner *planner);

#endif
