/* Inside the core only: placing gangs, whose tasks run together or not at all. */
#ifndef RR_CORE_SCHEDULING_GANG_PLACEMENT_H
#define RR_CORE_SCHEDULING_GANG_PLACEMENT_H

#include "core/scheduling/plan.h"

/* Reserves all tasks of the gang under one attempt, or none. True: reserved. *left: tasks that this
 * plan may still book. */
bool rr_gang_place(struct rr_planner *planner, rr_job *job, int *left);

/* The zones of one search for a gang that may run in the allowed ones: a single one if the job asks
 * for a common zone, and there is a search for each; else all of them, in a single search. */
guint rr_gang_searches(const rr_core *core, const rr_job *job);
void rr_gang_search_zones(const rr_core *core, const rr_job *job, const bool *allowed, guint search,
                          bool *zones);

/* gang_reservation.c */
/* Keeps room for a gang that has waited for long, within the plan under construction: on the
 * machines where all of it will fit soonest nothing else is placed, and nothing of its team where
 * the team's limit leaves the gang none. Tasks that end one by one would otherwise be replaced one
 * by one, and the gang would never find room for all of its tasks at once. */
void rr_gang_reserve_room(struct rr_planner *planner, const rr_job *job);

#endif
