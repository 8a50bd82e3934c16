/* Probes machines whose heartbeats are late or whose answers to commands are missing. */
#ifndef RR_CORE_SCHEDULING_PROBES_H
#define RR_CORE_SCHEDULING_PROBES_H

#include "core/scheduling/planner.h"

/* Adds a probe of each machine that needs one to the plan, up to a limit of probes in flight. A
 * probe is a command batch without commands, which asks for the machine's status. */
void rr_plan_add_probes(struct rr_planner *planner);

#endif
