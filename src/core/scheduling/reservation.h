/* Inside the core only: what placing tasks has in common, whatever the kind of the job. Team limits
 * and guarantees, allowed zones, searches that failed, and the reservations of the plan under
 * construction. */
#ifndef RR_CORE_SCHEDULING_RESERVATION_H
#define RR_CORE_SCHEDULING_RESERVATION_H

#include "core/scheduling/plan.h"

/* ---- limits and guarantees of teams ---- */

/* So many more tasks of the job keep its team within its limit. Every placement in the ledger
 * counts, whether proven over or not. */
bool rr_within_limit(const struct rr_planner *planner, const rr_job *job, uint32_t tasks);
/* So many more tasks of the job keep its team within its guarantee. */
bool rr_within_guarantee(const struct rr_planner *planner, const rr_job *job, uint32_t tasks);
/* The team would use more than its guarantee even after giving `returned` back. */
bool rr_beyond_guarantee(const struct rr_planner *planner, int team, rr_resources returned);

/* What the team uses, with what the plan under construction has reserved. */
rr_resources rr_team_usage_in_plan(const struct rr_planner *planner, int team);
/* Under overload: one more task keeps the team within its fair part of all room. */
bool rr_within_fair_room(const struct rr_planner *planner, const rr_job *job);
/* Under overload: how full the teams' rooms are, and what their classes use, for the jobs' turns.
 */
void rr_set_fair_turns(const struct rr_planner *planner, GPtrArray *waiting /* rr_job* */);

/* ---- reservations ---- */

/* Whether the ledger's records take one more placement of a task, whatever room machines have. */
enum rr_reservable {
    RR_RESERVABLE,
    RR_TASK_BLOCKED, /* an earlier placement stands in a record that can't be written yet */
    RR_CHUNK_BLOCKED /* no record takes more of this task's chunk */
};
enum rr_reservable rr_reservable(const struct rr_planner *planner, rr_job *job, uint32_t task);
/* The record that takes one more placement of this task, begun in the plan; NULL: none does, or the
 * transaction takes no more. */
struct rr_plan_edit *rr_reservation_record(struct rr_planner *planner, rr_job *job, uint32_t task);
/* Reserves the task on the machine under this attempt. False: the transaction takes no more. */
bool rr_reserve_attempt(struct rr_planner *planner, rr_machine *machine, rr_job *job, uint32_t task,
                        uint64_t attempt);
/* The same under an attempt of its own. */
bool rr_reserve(struct rr_planner *planner, rr_machine *machine, rr_job *job, uint32_t task);

/* ---- zones ---- */

/* The zones in which the next task of a job may start, kept up to date while a plan reserves. */
struct rr_job_zones {
    bool *allowed;        /* by zone */
    uint32_t *placements; /* by zone: of the job, with those of this plan */
    uint32_t all;         /* their sum */
    bool counted;         /* the job's allowed zones depend on its placements */
};

void rr_job_zones_update(struct rr_planner *planner, const rr_job *job, struct rr_job_zones *zones);
/* One bit a zone, for comparing searches. */
uint64_t rr_zone_mask(const rr_core *core, const bool *allowed);

/* ---- searches that failed ---- */

/* A job that asks for no more than this one has just found no room in these zones. */
bool rr_search_failed_before(const struct rr_planner *planner, const rr_job *job,
                             uint64_t zone_mask);
void rr_record_failed_search(struct rr_planner *planner, rr_job *job, uint64_t zone_mask);

#endif
