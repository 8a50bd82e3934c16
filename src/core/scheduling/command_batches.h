/* The commands that a plan sends to workers, one batch a machine. */
#ifndef RR_CORE_SCHEDULING_COMMAND_BATCHES_H
#define RR_CORE_SCHEDULING_COMMAND_BATCHES_H

#include "core/scheduling/planner.h"

/* The plan's batch for the machine; adds an empty one, which asks only for the machine's status, if
 * there is none yet. The plan owns it. */
rr_command_batch *rr_plan_command_batch(struct rr_planner *planner, rr_machine *machine);

/* Adds a command to the machine's batch. grace_s: time to save before a stop, 0: none. */
void rr_plan_add_command(struct rr_planner *planner, rr_machine *machine,
                         enum rr_command_kind command_kind, const char *job_id, uint32_t task,
                         uint64_t attempt, double grace_s);

/* Ends the batches of this plan: their machines wait for the answers. */
void rr_plan_finish_command_batches(struct rr_planner *planner);

#endif
