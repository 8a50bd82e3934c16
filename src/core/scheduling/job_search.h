/* One search for room for the tasks of a job: the zones that it may use, and the searches of this
 * plan that found nothing. */
#ifndef RR_CORE_SCHEDULING_JOB_SEARCH_H
#define RR_CORE_SCHEDULING_JOB_SEARCH_H

#include "core/scheduling/placement_constraints.h"
#include "core/scheduling/planner.h"

/* The zones in which the next task of a job may start, kept up to date while a plan reserves. */
struct rr_job_zones {
    bool *allowed;            /* by zone */
    uint32_t *placements;     /* by zone: of the job, with those of this plan; only if counted */
    uint32_t placement_count; /* their sum */
    bool counted;             /* the allowed zones depend on the placements */
};

/* Counts the job's placements where its zones depend on them. Clear with rr_job_zones_clear(). */
void rr_job_zones_init(const struct rr_planner *planner, const rr_job *job,
                       struct rr_job_zones *zones);

/* Frees the arrays. */
void rr_job_zones_clear(struct rr_job_zones *zones);

/* Recomputes the allowed zones; a job that is bound to one zone gets the best of them. */
void rr_job_zones_update(const struct rr_planner *planner, const rr_job *job,
                         struct rr_job_zones *zones);

/* Counts a reservation of this plan, and recomputes the allowed zones. */
void rr_job_zones_add(const struct rr_planner *planner, const rr_job *job,
                      const rr_machine *machine, struct rr_job_zones *zones);

/* Lists the plan's candidates for the tasks of the job. One walk over the machines serves all
 * tasks, and so it takes all zones that they may come to use, in place of constraints->zones. */
void rr_list_job_candidates(struct rr_planner *planner, const rr_job *job,
                            const struct rr_job_zones *zones,
                            const struct rr_placement_constraints *constraints);

/* One bit a zone, modulo 64, for comparing searches. */
uint64_t rr_zone_mask(const rr_core *core, const bool *allowed);

/* Whether a search of this plan found no room in all of these zones for a job that asks for no more
 * than this one. If so, the job counts as failed now. */
bool rr_search_is_hopeless(const struct rr_planner *planner, rr_job *job, uint64_t zone_mask);

/* Notes that no room was found for the job in these zones. */
void rr_record_failed_search(struct rr_planner *planner, rr_job *job, uint64_t zone_mask);

#endif
