/* Moves of replicas, as rebalancing has planned them. */
#ifndef RR_CORE_SCHEDULING_MOVES_H
#define RR_CORE_SCHEDULING_MOVES_H

#include "core/scheduling/planner.h"

/* Reserves the destinations of the planned moves that are due, and marks their sources to stop. A
 * move that is not possible any more ends the rebalancing plan. */
void rr_start_due_moves(struct rr_planner *planner);

#endif
