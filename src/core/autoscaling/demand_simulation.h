/* Simulates placing tasks, first on existing machines and then on machines to be rented. The
 * simulation overwrites `free` and `surplus` of the machines; no other step or plan relies on the
 * values that they had before. */
#ifndef RR_CORE_AUTOSCALING_DEMAND_SIMULATION_H
#define RR_CORE_AUTOSCALING_DEMAND_SIMULATION_H

#include "core/autoscaling/rentals.h"
#include "core/state/jobs.h"

/* The state of a simulation. */
struct rr_demand_simulation {
    rr_core *core;
    double now, wall;
    GArray *planned;               /* rr_planned_rental: machines to be rented */
    GPtrArray *machines_with_room; /* rr_machine*: with free resources, cheapest free share first */
    guint *machines_by_zone;       /* recorded and planned machines, by zone index */
};

/* Starts a simulation from the real placements. Every machine counts as surplus until a task is
 * placed on it. rr_demand_simulation_clear() must be called to free it. */
void rr_demand_simulation_init(struct rr_demand_simulation *sim, rr_core *core, double now,
                               double wall);
/* Frees the lists; `free` and `surplus` of the machines keep their simulated values. */
void rr_demand_simulation_clear(struct rr_demand_simulation *sim);

/* Returns whether the machine counts as capacity for new work: it is usable, or will be shortly. */
bool rr_machine_counts_as_capacity(const rr_core *core, const rr_machine *machine, double now);

/* Rebuilds the list of machines with free resources. Needed after a change of `free` outside of
 * rr_simulate_demand(). */
void rr_list_machines_with_room(struct rr_demand_simulation *sim);

/* Tasks of one job to be placed. */
struct rr_task_demand {
    const rr_job *job;
    const bool *zones; /* by zone index: whether the tasks may run there */
    uint32_t tasks;
    uint32_t per_machine_max; /* largest number of these tasks on one existing machine */
    bool may_scale_out;       /* machines may be rented for the tasks */
};

/* Places the tasks on existing machines and, if the demand allows it, plans to rent machines for
 * the rest. */
void rr_simulate_demand(struct rr_demand_simulation *sim, const struct rr_task_demand *demand);

#endif
