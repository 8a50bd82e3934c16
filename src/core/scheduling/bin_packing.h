/* Bin packing: chooses the machine on which a task is placed. */
#ifndef RR_CORE_SCHEDULING_BIN_PACKING_H
#define RR_CORE_SCHEDULING_BIN_PACKING_H

#include "core/scheduling/placement_constraints.h"
#include "core/scheduling/zone_choice.h"
#include "core/state/jobs.h"
#include "core/state/machines.h"

/* A machine that may take a task of a job. Holds the parts of its score that stay the same while
 * the plan reserves tasks; the free share is computed at each choice. */
typedef struct {
    rr_machine *machine;   /* not owned */
    rr_resources capacity; /* of the whole machine */
    double penalty;        /* for recent failures and for a foreign shard, 0: none */
    double price;        /* effective price, which weights the free share; 1: prices don't count */
    double fetch_s;      /* estimated time to fetch the job's image, seconds; 0: already there */
    bool image_missing;  /* lacks the image of an urgent job, which counts before the price */
    bool foreign_shard;  /* in the shard of another owner, which considers it first */
    bool image_expected; /* lacks the image, and another task there already needs it */
} rr_candidate;

/* Returns the estimated time to fetch the job's image to the machine, in seconds; 0 if the machine
 * has the image. */
double rr_estimate_image_fetch_s(const rr_core *core, const rr_job *job, const rr_machine *machine);

/* Returns how many tasks with this request fit into the available resources, up to count_max. */
uint32_t rr_count_fitting_tasks(rr_resources request, rr_resources available, uint32_t count_max);

/* Sets every machine's free resources to its capacity minus its placements in the ledger, except
 * those proven terminated. Also forgets which image each machine last got a reservation for. */
void rr_reset_free_resources(rr_core *core);

/* Replaces the contents of `candidates` (rr_candidate) by all machines that may take a task of the
 * job now. One pass over the machines then serves the choices for many tasks. */
void rr_list_candidate_machines(rr_core *core, const rr_job *job,
                                const struct rr_placement_constraints *constraints, double now,
                                GArray *candidates);

/* Returns the best candidate for one more task of the job, or NULL if none fits. Removes candidates
 * that no longer have enough free resources. Checks zones and distinct machines again, since
 * reservations made after the listing change them. */
rr_machine *rr_choose_candidate(rr_core *core, const rr_job *job,
                                const struct rr_placement_constraints *constraints,
                                GArray *candidates);

/* Returns the best of all machines for one task of the job, or NULL if none fits. */
rr_machine *rr_choose_machine(rr_core *core, const rr_job *job,
                              const struct rr_placement_constraints *constraints, double now);

#endif
