/* Bin packing: the choice of a machine for a task. */
#ifndef RR_CORE_SCHEDULING_BIN_PACKING_H
#define RR_CORE_SCHEDULING_BIN_PACKING_H

#include "core/scheduling/placement_constraints.h"
#include "core/scheduling/zone_choice.h"
#include "core/state/jobs.h"
#include "core/state/machines.h"

/* A machine that may take a task of a job, with the parts of its score that reservations don't
 * change. */
typedef struct {
    rr_machine *machine;
    rr_resources capacity;
    double failure_penalty, price, fetch_s;
    bool image_missing; /* counts before the price, since the start is urgent */
    bool foreign_shard; /* other owners take it first */
    bool image_coming;  /* another task of the same image is placed there */
} rr_candidate;

/* The estimated time to fetch the job's image on the machine, seconds; 0: the machine has it. */
double rr_image_fetch_s(const rr_core *core, const rr_job *job, const rr_machine *machine);

/* How many tasks of this request fit into the available resources, up to count_max. */
uint32_t rr_tasks_fitting(rr_resources request, rr_resources available, uint32_t count_max);

/* Sets every machine's free resources to what the ledger leaves, without terminated placements. */
void rr_reset_free_resources(rr_core *core);

/* Fills in the machines that may take a task of the job now. One walk over all machines then serves
 * many choices. */
void rr_list_candidates(rr_core *core, const rr_job *job,
                        const struct rr_placement_constraints *constraints, double now,
                        GArray *candidates /* rr_candidate */);

/* The best candidate for one more task, NULL: none fits. Candidates without room are removed. Zones
 * and distinct machines are checked again, since reservations change them. */
rr_machine *rr_bin_pack_from(rr_core *core, const rr_job *job,
                             const struct rr_placement_constraints *constraints,
                             GArray *candidates);

/* The best of all machines for one task, NULL: none fits. */
rr_machine *rr_bin_pack(rr_core *core, const rr_job *job,
                        const struct rr_placement_constraints *constraints, double now);

#endif
