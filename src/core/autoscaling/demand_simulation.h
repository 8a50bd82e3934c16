/* A simulation of placing tasks: first onto the machines there are, then onto machines to rent.
 * Uses the machines' `free` and `surplus`, which no other step or plan keeps. */
#ifndef RR_CORE_AUTOSCALING_DEMAND_SIMULATION_H
#define RR_CORE_AUTOSCALING_DEMAND_SIMULATION_H

#include "core/autoscaling/rentals.h"
#include "core/state/jobs.h"

struct rr_demand_simulation {
    rr_core *core;
    double now, wall;
    GArray *planned;         /* rr_planned_rental */
    GPtrArray *with_room;    /* rr_machine*: cheapest and fullest first */
    guint *machines_by_zone; /* with the planned ones */
};

/* Starts with the machines' real placements; each counts as surplus until a task needs it. */
void rr_demand_simulation_init(struct rr_demand_simulation *sim, rr_core *core, double now,
                               double wall);
/* Frees the lists; the machines keep their simulated room. */
void rr_demand_simulation_clear(struct rr_demand_simulation *sim);

/* True: new work can count on the machine, which is usable or about to be. */
bool rr_machine_counts_as_capacity(const rr_core *core, const rr_machine *machine, double now);

/* Lists the machines with room again, after room was added to some. */
void rr_list_machines_with_room(struct rr_demand_simulation *sim);

struct rr_task_demand {
    const rr_job *job;
    const bool *zones; /* allowed, by index */
    uint32_t tasks;
    uint32_t per_machine_max;
    bool may_scale_out;
};

/* Finds room for the tasks, planning machines to rent where none has any. */
void rr_simulate_demand(struct rr_demand_simulation *sim, const struct rr_task_demand *demand);

#endif
