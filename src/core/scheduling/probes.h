/* Probes of machines whose heartbeats or answers are missing. */
#ifndef RR_CORE_SCHEDULING_PROBES_H
#define RR_CORE_SCHEDULING_PROBES_H

#include "core/scheduling/planner.h"

/* Adds a probe of each machine that needs one to the plan: a command batch without commands, which
 * asks for the machine's status. */
void rr_probe_overdue_machines(struct rr_planner *planner);

#endif
