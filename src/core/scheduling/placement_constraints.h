/* Which machines and zones a job allows. */
#ifndef RR_CORE_SCHEDULING_PLACEMENT_CONSTRAINTS_H
#define RR_CORE_SCHEDULING_PLACEMENT_CONSTRAINTS_H

#include "core/state/jobs.h"
#include "core/state/machines.h"

/* What a search for a machine has to keep to, beyond the job's own submission. */
struct rr_placement_constraints {
    const bool *zones;         /* by zone: allowed */
    bool distinct_machines;    /* no machine that has a task of the job */
    bool need_image;           /* only machines that have the job's image */
    const rr_machine *current; /* where the task runs now, which stays allowed; NULL: nowhere */
};

/* Whether the job allows machines of this type and kind in this zone. */
bool rr_job_allows(const rr_core *core, const rr_job *job, int machine_type, int zone, bool spot);

/* Whether all tasks of the job have to be in one zone. */
bool rr_job_zone_bound(const rr_job *job);

/* Fills allowed[zone]: the zones in which one more task of the job may start, given its placements
 * in the ledger. `except`: a placement that does not count, since it is being moved; NULL: none. */
void rr_job_zones(const rr_core *core, const rr_job *job, bool *allowed,
                  const rr_placement *except);

/* Adds the job's placements in the ledger to by_zone[zone], without terminated ones and `except`;
 * returns their sum. A task that is being moved counts at its source and at its destination. */
uint32_t rr_job_count_by_zone(const rr_job *job, const rr_placement *except, uint32_t *by_zone);

/* Fills allowed[zone] as rr_job_zones() does, from counts that the caller keeps. */
void rr_job_zones_from(const rr_core *core, const rr_job *job, const uint32_t *by_zone,
                       uint32_t placement_count, bool *allowed);

/* Whether the machine is in an allowed zone, of a type and kind that the job allows, and takes new
 * work. */
bool rr_machine_may_take(const rr_core *core, const rr_machine *machine, const rr_job *job,
                         const bool *allowed, double now);

/* Whether the machine has a placement of the job, or the plan under construction reserves one. */
bool rr_machine_has_task(const rr_machine *machine, const rr_job *job);

#endif
