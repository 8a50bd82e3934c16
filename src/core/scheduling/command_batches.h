/* Collects the commands that a plan sends to workers, in one batch per machine. */
#ifndef RR_CORE_SCHEDULING_COMMAND_BATCHES_H
#define RR_CORE_SCHEDULING_COMMAND_BATCHES_H

#include "core/scheduling/planner.h"

/* Returns the plan's command batch for the machine, creating an empty one if need be. A batch that
 * stays empty is a probe, which asks only for the machine's status. The plan owns the batch. */
rr_command_batch *rr_plan_get_command_batch(struct rr_planner *planner, rr_machine *machine);

/* Adds a command to the machine's batch. grace_s: seconds that a stopped task gets to save its
 * state, 0: none. */
void rr_plan_add_command(struct rr_planner *planner, rr_machine *machine,
                         enum rr_command_kind command_kind, const char *job_id, uint32_t task,
                         uint64_t attempt, double grace_s);

/* Closes all batches of this plan and marks their machines as waiting for an answer. */
void rr_plan_close_command_batches(struct rr_planner *planner);

#endif
