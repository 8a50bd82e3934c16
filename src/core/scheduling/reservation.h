/* Reserves machines for tasks in the plan under construction, and checks the limits and guarantees
 * of teams. */
#ifndef RR_CORE_SCHEDULING_RESERVATION_H
#define RR_CORE_SCHEDULING_RESERVATION_H

#include "core/scheduling/planner.h"

/* ---- limits and guarantees of teams ---- */

/* Returns what the team uses, including what this plan has reserved. Every placement in the ledger
 * counts, even if it is proven terminated. */
rr_resources rr_team_usage_in_plan(const struct rr_planner *planner, int team);

/* Whether the job's team stays within its limit with this many more tasks of the job. */
bool rr_team_within_limit(const struct rr_planner *planner, const rr_job *job, uint32_t task_count);

/* Whether the job's team stays within its guarantee with this many more tasks of the job. */
bool rr_team_within_guarantee(const struct rr_planner *planner, const rr_job *job,
                              uint32_t task_count);

/* Whether the team uses more than its guarantee even after giving back `returned`. */
bool rr_team_exceeds_guarantee(const struct rr_planner *planner, int team, rr_resources returned);

/* ---- reservations ---- */

/* Whether the ledger has room for one more placement of a task. */
enum rr_reservable {
    RR_RESERVABLE,
    RR_TASK_BLOCKED, /* an earlier placement of the task is in a record that can't be written yet */
    RR_CHUNK_BLOCKED /* no record has room for another placement of the task's chunk */
};

/* Returns whether the ledger has room for one more placement of the task, regardless of the free
 * resources of machines. */
enum rr_reservable rr_check_reservable(const struct rr_planner *planner, rr_job *job,
                                       uint32_t task);

/* Returns the edit of the record that has room for one more placement of the task, after editing
 * the records that hold earlier placements of it. Returns NULL if there is no such record, one of
 * them can't be written now or the transaction is full. The planner owns the edit. */
struct rr_record_edit *rr_edit_reservation_record(struct rr_planner *planner, rr_job *job,
                                                  uint32_t task);

/* Reserves the task on the machine under this attempt. Returns false if the ledger has no room for
 * the placement or the transaction is full. */
bool rr_reserve_task_attempt(struct rr_planner *planner, rr_machine *machine, rr_job *job,
                             uint32_t task, uint64_t attempt);

/* As rr_reserve_task_attempt(), under a new attempt number. */
bool rr_reserve_task(struct rr_planner *planner, rr_machine *machine, rr_job *job, uint32_t task);

/* Cancels all reservations of the job that this plan has made under the attempt. Precondition: they
 * are the latest placements in their record edits and on their machines. */
void rr_cancel_reservations(const struct rr_planner *planner, const rr_job *job, uint64_t attempt);

/* Adds the resources of this many tasks to what the job's team has reserved in this plan. Negative:
 * gives them back. */
void rr_reserve_team_usage(const struct rr_planner *planner, const rr_job *job, double task_count);

#endif
