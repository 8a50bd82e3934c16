/* Reservations of the plan under construction, and the limits and guarantees of teams that bound
 * them. */
#ifndef RR_CORE_SCHEDULING_RESERVATION_H
#define RR_CORE_SCHEDULING_RESERVATION_H

#include "core/scheduling/planner.h"

/* ---- limits and guarantees ---- */

/* What the team uses, with what this plan has reserved. Every placement in the ledger counts,
 * whether proven terminated or not. */
rr_resources rr_team_usage_in_plan(const struct rr_planner *planner, int team);

/* Whether this many more tasks of the job keep its team within its limit. */
bool rr_within_limit(const struct rr_planner *planner, const rr_job *job, uint32_t task_count);

/* Whether this many more tasks of the job keep its team within its guarantee. */
bool rr_within_guarantee(const struct rr_planner *planner, const rr_job *job, uint32_t task_count);

/* Whether the team uses more than its guarantee even without `returned`. */
bool rr_beyond_guarantee(const struct rr_planner *planner, int team, rr_resources returned);

/* ---- reservations ---- */

enum rr_reservable {
    RR_RESERVABLE,
    RR_TASK_BLOCKED, /* an earlier placement is in a record that can't be written yet */
    RR_CHUNK_BLOCKED /* no record takes another placement of this task's chunk */
};

/* Whether the ledger takes one more placement of the task, whatever room machines have. */
enum rr_reservable rr_reservable(const struct rr_planner *planner, rr_job *job, uint32_t task);

/* The edit of the record that takes one more placement of the task. NULL: no record does, or the
 * transaction is full. */
struct rr_record_edit *rr_reservation_record(struct rr_planner *planner, rr_job *job,
                                             uint32_t task);

/* Reserves the task on the machine under this attempt. False: no record takes it, or the
 * transaction is full. */
bool rr_reserve_attempt(struct rr_planner *planner, rr_machine *machine, rr_job *job, uint32_t task,
                        uint64_t attempt);

/* Reserves the task on the machine under a new attempt. False: as above. */
bool rr_reserve(struct rr_planner *planner, rr_machine *machine, rr_job *job, uint32_t task);

/* Takes back all reservations of the job that this plan has made under the attempt. */
void rr_cancel_reservations(const struct rr_planner *planner, const rr_job *job, uint64_t attempt);

/* Counts resources as reserved by the job's team until the end of the plan. */
void rr_reserve_team_usage(const struct rr_planner *planner, const rr_job *job, double task_count);

#endif
