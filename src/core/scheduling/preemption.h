/* Preemption: stopping placements so that a job of higher priority, or one within its team's
 * guarantee, finds room. */
#ifndef RR_CORE_SCHEDULING_PREEMPTION_H
#define RR_CORE_SCHEDULING_PREEMPTION_H

#include "core/scheduling/placement_constraints.h"
#include "core/scheduling/planner.h"

#define RR_PREEMPT_COMPARED_MAX 160 /* machines with victims that one search compares */

/* What would have to stop on one machine. */
struct rr_preemption {
    GArray *victims; /* rr_placement*: in the machine's list */
    double loss_s;   /* seconds of work lost, with penalties of the same unit */
};

/* Begins without victims. */
void rr_preemption_init(struct rr_preemption *preemption);

/* Frees the list of victims. */
void rr_preemption_clear(struct rr_preemption *preemption);

/* Whether the job's priority and its class's objective for the wait let it preempt. */
bool rr_may_preempt(const rr_core *core, const rr_job *job);

/* Finds the cheapest victims on the machine that make room for this many tasks of the job. False:
 * there is no such room. Changes nothing but *preemption. */
bool rr_preemption_find(const struct rr_planner *planner, const rr_machine *machine,
                        const rr_job *job, uint32_t task_count, struct rr_preemption *preemption);

/* Writes into the victims' ledger records that they are to stop; a gang among them stops whole,
 * wherever its other tasks are. False: the transaction has no room for all of them, and none is
 * written. */
bool rr_preemption_apply(struct rr_planner *planner, rr_machine *machine, const rr_job *job,
                         const struct rr_preemption *preemption);

/* Makes room for one task on the machine where least is lost, and reserves it there. The task
 * starts when the machine shows free resources. */
bool rr_preempt_for_task(struct rr_planner *planner, rr_job *job, uint32_t task,
                         const struct rr_placement_constraints *constraints);

#endif
