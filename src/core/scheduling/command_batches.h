/* Collects the commands that a plan sends to workers, in one batch per machine. */
#ifndef RR_CORE_SCHEDULING_COMMAND_BATCHES_H
#define RR_CORE_SCHEDULING_COMMAND_BATCHES_H

#include "core/scheduling/planner.h"

/* Returns the plan's command batch for the machine, creating an empty one if need be. A batch that
 * stays empty is a probe, which asks only for the machine's status. The plan owns the batch. */
rr_command_batch *rr_plan_get_command_batch(struct rr_planner *planner, rr_machine *machine);

/* Adds a command to the machine's batch. reason: why it is allowed, for the log. */
void rr_plan_add_command(struct rr_planner *planner, rr_machine *machine, const rr_command *command,
                         const char *reason);

/* Closes all batches of this plan and marks their machines as waiting for an answer. */
void rr_plan_close_command_batches(struct rr_planner *planner);

#endif
