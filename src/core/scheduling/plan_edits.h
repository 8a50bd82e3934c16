/* Edits of ledger records within one plan. All changes to a record are collected in one edit, so
 * that the plan's transaction writes each record at most once. */
#ifndef RR_CORE_SCHEDULING_PLAN_EDITS_H
#define RR_CORE_SCHEDULING_PLAN_EDITS_H

#include "core/scheduling/planner.h"

/* Whether a record with this many placements is within the size limit of a stored value. */
bool rr_ledger_record_fits(const rr_core *core, guint placement_count);

/* Whether the key-value store would accept the record without the placements that this plan knows
 * to be terminated. A record written before the size limit was lowered may be too large until
 * enough of its placements are terminated. */
bool rr_plan_can_write_record(const struct rr_planner *planner, const rr_ledger_record *record);

/* Returns this plan's edit of the chunk's record, creating it if need be. A new edit starts with
 * the record's placements, except those known to be terminated. Returns NULL if the record can't be
 * written now or the transaction is full; in the latter case it also sets
 * planner->transaction_full. The planner owns the edit. */
struct rr_record_edit *rr_plan_edit_record(struct rr_planner *planner, rr_job *job, uint32_t chunk);

/* Returns the placement of this attempt and task in the edit, or NULL. The pointer is valid until
 * the edit's placements change. */
rr_placement_record *rr_record_edit_find_placement(const struct rr_record_edit *edit,
                                                   uint64_t attempt, uint32_t task);

/* Returns the number of the record's placements that this plan knows to be terminated. */
guint rr_plan_count_terminated_placements(const struct rr_planner *planner,
                                          const rr_ledger_record *record);

/* Records in the planner that a placement is proven terminated, and sets its terminated_at unless
 * set. completed: its task is done. proof: why it is known to be terminated, for the log. */
void rr_plan_add_terminated_placement(struct rr_planner *planner, rr_machine *machine,
                                      rr_placement *placement, bool completed, const char *proof);

/* Requeues tasks whose placements terminated without completing them. Also edits the records with
 * placements that this plan has to remove: preempted ones, and those of completed tasks and of
 * cancelled jobs unless their removal may wait. */
void rr_plan_process_terminated_placements(struct rr_planner *planner);

/* Removes lost placements that have waited long enough although this plan has not placed their
 * tasks again, until the transaction is full. To be called after placement. */
void rr_plan_remove_lost_placements(struct rr_planner *planner);

#endif
