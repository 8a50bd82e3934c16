/* Edits of ledger records within one plan: each record is written at most once, with everything
 * that the plan changes in it. */
#ifndef RR_CORE_SCHEDULING_PLAN_EDITS_H
#define RR_CORE_SCHEDULING_PLAN_EDITS_H

#include "core/scheduling/planner.h"

/* Whether a record with this many placements keeps to the size limit of a stored value. */
bool rr_ledger_record_fits(const rr_core *core, guint placement_count);

/* Whether the key-value store takes the record as this plan may write it. A record written before
 * the limits were lowered may be too large until enough of its placements are terminated. */
bool rr_plan_can_write_record(const struct rr_planner *planner, const rr_ledger_record *record);

/* The edit of a chunk's record; begins it if this plan has none yet, without the placements that
 * are known to be terminated. NULL: the record can't be written, or the transaction is full. The
 * planner owns the edit. */
struct rr_record_edit *rr_plan_edit_record(struct rr_planner *planner, rr_job *job, uint32_t chunk);

/* The placement of this attempt and task in the edit, NULL: there is none. The pointer is valid
 * until the edit's placements change. */
rr_placement_record *rr_record_edit_find(const struct rr_record_edit *edit, uint64_t attempt,
                                         uint32_t task);

/* The number of placements of the record that this plan knows to be terminated. */
guint rr_plan_terminated_count(const struct rr_planner *planner, const rr_ledger_record *record);

/* Notes that a placement is proven terminated. `proof` says how, for the log. */
void rr_plan_add_terminated(struct rr_planner *planner, rr_machine *machine,
                            rr_placement *placement, bool completed, const char *proof);

/* Requeues the tasks that lost their placements, and edits the records whose completions and
 * preempted placements must not wait any longer. */
void rr_plan_edit_terminated(struct rr_planner *planner);

/* Edits the records of lost placements for whose tasks the plan found no room, as far as the
 * transaction allows. */
void rr_plan_edit_lost(struct rr_planner *planner);

#endif
