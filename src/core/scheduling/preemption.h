/* Inside the core only: stopping placements so that others find room. */
#ifndef RR_CORE_SCHEDULING_PREEMPTION_H
#define RR_CORE_SCHEDULING_PREEMPTION_H

#include "core/scheduling/bin_packing.h"
#include "core/scheduling/reservation.h"

#define RR_PREEMPT_COMPARED_MAX 160 /* machines with victims, in one search */

/* What would have to stop on one machine. */
struct rr_preemption {
    GArray *victims; /* rr_placement*: in the machine's list, to be stopped */
    double loss;     /* what that loses: seconds of work, with penalties of the same unit */
};

void rr_preemption_init(struct rr_preemption *preemption);
void rr_preemption_clear(struct rr_preemption *preemption);

/* The job's class has an aim on its start for which work of lower priority may be stopped. */
bool rr_may_preempt(const rr_core *core, const rr_job *job);
/* In an allowed zone, of a type and kind that the job allows, and fit for new work. */
bool rr_machine_may_take(const struct rr_planner *planner, const rr_machine *machine,
                         const rr_job *job, const bool *allowed);
/* The cheapest victims on the machine that make room for so many tasks of the job; false: there is
 * no such room. Nothing is changed. */
bool rr_preemption_find(struct rr_planner *planner, rr_machine *machine, const rr_job *job,
                        uint32_t tasks, struct rr_preemption *out);
/* Marks the victims in the ledger's records (a gang among them stops whole, wherever its other
 * tasks are); false: the transaction has no room for all of them,
 * and none is marked. */
bool rr_preemption_mark(struct rr_planner *planner, rr_machine *machine, const rr_job *job,
                        const struct rr_preemption *preemption);
/* Makes room for one task on the machine where least is lost, and reserves it there. It starts when
 * the machine shows room. warm_only: only machines that have the job's image. */
bool rr_preempt_for_task(struct rr_planner *planner, rr_job *job, uint32_t task,
                         const struct rr_placement_constraints *choice, bool warm_only);

#endif
