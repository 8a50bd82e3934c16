/* Preemption: stops placements to free resources for a job of higher priority, or for one within
 * its team's guarantee. */
#ifndef RR_CORE_SCHEDULING_PREEMPTION_H
#define RR_CORE_SCHEDULING_PREEMPTION_H

#include "core/scheduling/placement_constraints.h"
#include "core/scheduling/planner.h"

/* The most machines with possible victims that one search compares. */
#define RR_PREEMPTION_MACHINES_MAX 160

/* The placements to stop on one machine. */
struct rr_preemption {
    GArray *victims; /* rr_placement*, owned array; the placements are in the machine's list */
    double loss_s;   /* estimated loss of work and penalties, in seconds */
};

/* Initializes a preemption without victims. Free it with rr_preemption_clear(). */
void rr_preemption_init(struct rr_preemption *preemption);

/* Frees the array of victims. */
void rr_preemption_clear(struct rr_preemption *preemption);

/* Whether the job may preempt by priority: it is above standard, and its class has a wait
 * objective. */
bool rr_job_may_preempt(const rr_core *core, const rr_job *job);

/* Selects victims on the machine, those of lowest priority and with the most slack first, until
 * this many tasks of the job fit. Returns false if they don't fit even so. Changes only
 * *preemption. */
bool rr_preemption_select_victims(const struct rr_planner *planner, const rr_machine *machine,
                                  const rr_job *job, uint32_t task_count,
                                  struct rr_preemption *preemption);

/* Marks the victims as preempted in the plan's edits of their ledger records, and adds their
 * resources to the machine's free ones. All tasks of a gang stop, also those on other machines.
 * Returns false, without marking any victim, if the transaction can't take all of the edits. */
bool rr_preemption_apply(struct rr_planner *planner, rr_machine *machine, const rr_job *job,
                         const struct rr_preemption *preemption);

/* Preempts placements on the machine where this loses the least work, and reserves the task there.
 * Returns whether the task is reserved. The task starts once the machine reports the resources as
 * free. */
bool rr_preempt_for_task(struct rr_planner *planner, rr_job *job, uint32_t task,
                         const struct rr_placement_constraints *constraints);

#endif
