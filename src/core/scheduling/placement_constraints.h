/* Placement constraints: the machines and zones on which a job's tasks may be placed. */
#ifndef RR_CORE_SCHEDULING_PLACEMENT_CONSTRAINTS_H
#define RR_CORE_SCHEDULING_PLACEMENT_CONSTRAINTS_H

#include "core/state/jobs.h"
#include "core/state/machines.h"

/* The constraints of a search for a machine, in addition to those of the job's submission. */
struct rr_placement_constraints {
    const bool *zones;         /* by zone, not owned: whether machines there are allowed */
    bool distinct_machines;    /* excludes machines that have a task of the job */
    bool need_image;           /* excludes machines that lack the job's image */
    const rr_machine *current; /* where the task runs now, which distinct_machines never excludes;
                                  NULL: the task does not run */
};

/* Whether the job's submission allows a machine of this type in this zone. spot: whether it is a
 * spot machine. */
bool rr_job_allows_machine(const rr_core *core, const rr_job *job, int machine_type, int zone,
                           bool spot);

/* Whether all tasks of the job have to be in the same zone, named in its submission or not. */
bool rr_job_requires_one_zone(const rr_job *job);

/* Sets allowed[zone] to whether one more task of the job may start in the zone, given the job's
 * placements in the ledger. `except` is a placement that does not count, since it is being moved;
 * NULL: all count. */
void rr_compute_allowed_zones(const rr_core *core, const rr_job *job, bool *allowed,
                              const rr_placement *except);

/* Adds the job's placements in the ledger to by_zone[zone], except terminated ones, those on
 * machines that are gone or in an unknown zone, and those with the attempt of `except` (NULL:
 * none). Returns the number added. A task that is being moved counts at its source and at its
 * destination. */
uint32_t rr_count_placements_by_zone(const rr_job *job, const rr_placement *except,
                                     uint32_t *by_zone);

/* Sets allowed[zone] as rr_compute_allowed_zones() does, from the caller's counts: by_zone[zone],
 * and their sum placement_count. */
void rr_compute_allowed_zones_from(const rr_core *core, const rr_job *job, const uint32_t *by_zone,
                                   uint32_t placement_count, bool *allowed);

/* Whether the machine may be given a task of the job: it is in an allowed zone, the job allows its
 * type and spot machines if it is one, and it is schedulable. Does not compare resources. */
bool rr_machine_accepts_job(const rr_core *core, const rr_machine *machine, const rr_job *job,
                            const bool *allowed, double now);

/* Whether the machine has a placement of the job that is not terminated, or the plan under
 * construction reserves one there. */
bool rr_machine_has_task(const rr_machine *machine, const rr_job *job);

#endif
