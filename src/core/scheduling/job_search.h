/* The search for machines for a job's tasks: the zones that it may use, and the searches of this
 * plan that have failed. */
#ifndef RR_CORE_SCHEDULING_JOB_SEARCH_H
#define RR_CORE_SCHEDULING_JOB_SEARCH_H

#include "core/scheduling/placement_constraints.h"
#include "core/scheduling/planner.h"

/* Tracks the zones in which the next task of a job may start while a plan reserves its tasks. */
struct rr_zone_tracker {
    bool *allowed;                /* by zone, owned: whether the next task may start there */
    uint32_t *placements_by_zone; /* by zone, owned: the job's placements, including this plan's */
    uint32_t placement_count;     /* the sum of the above */
    bool counts_placements; /* the allowed zones depend on placements; if not, none are counted */
};

/* Initializes a tracker, and counts the job's placements if its allowed zones depend on them. The
 * allowed zones are empty until rr_zone_tracker_update(). Free it with rr_zone_tracker_clear(). */
void rr_zone_tracker_init(const struct rr_planner *planner, const rr_job *job,
                          struct rr_zone_tracker *zones);

/* Frees the tracker's arrays. */
void rr_zone_tracker_clear(struct rr_zone_tracker *zones);

/* Recomputes the allowed zones. For a job bound to one zone only the best of the allowed zones
 * remains. */
void rr_zone_tracker_update(const struct rr_planner *planner, const rr_job *job,
                            struct rr_zone_tracker *zones);

/* Counts a reservation on the machine and recomputes the allowed zones, if they depend on
 * placements. */
void rr_zone_tracker_add_placement(const struct rr_planner *planner, const rr_job *job,
                                   const rr_machine *machine, struct rr_zone_tracker *zones);

/* Sets planner->candidates to the candidates for the job's tasks. One pass over the machines serves
 * all tasks, so it covers every zone that any of them may use, instead of constraints->zones. */
void rr_list_job_candidates(struct rr_planner *planner, const rr_job *job,
                            const struct rr_zone_tracker *zones,
                            const struct rr_placement_constraints *constraints);

/* Returns a mask with the bits of the allowed zones set, to compare searches. Zones whose indices
 * are equal modulo 64 share a bit. */
uint64_t rr_zone_mask(const rr_core *core, const bool *allowed);

/* Returns whether the search can be skipped: an earlier search of this plan, which covered all of
 * these zones, found no machine for a similar job that requests no more than this one. If so, sets
 * the job's search_failed_at. */
bool rr_skip_repeated_search(const struct rr_planner *planner, rr_job *job, uint64_t zone_mask);

/* Records that a search of these zones found no machine for the job: sets its search_failed_at. */
void rr_record_failed_search(struct rr_planner *planner, rr_job *job, uint64_t zone_mask);

#endif
