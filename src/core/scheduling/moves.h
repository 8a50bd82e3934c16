/* Starts the moves of replicas that rebalancing has planned. */
#ifndef RR_CORE_SCHEDULING_MOVES_H
#define RR_CORE_SCHEDULING_MOVES_H

#include "core/scheduling/planner.h"

/* Starts planned moves until the plan's changes or the moves allowed until the next rebalancing are
 * used up: reserves the destination and marks the source to be stopped. If a move can't be started,
 * drops all planned moves that are left. */
void rr_start_planned_moves(struct rr_planner *planner);

#endif
