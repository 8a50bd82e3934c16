/* Inside the core only: one plan under construction, which plan.c begins and ends, reconciliation.c
 * (what placements need), place.c (what waits) and probes.c add to. It lives for one call of
 * rr_core_plan() and owns its arrays; what it points to is the model's. */
#ifndef RR_CORE_SCHEDULING_PLAN_H
#define RR_CORE_SCHEDULING_PLAN_H

#include "core/core_internal.h"
#include "core/planning.h"

/* Changes to one record of the ledger in this plan. */
struct rr_plan_edit {
    rr_job *job;
    rr_ledger_record *record;
    GArray *placements; /* rr_placement_record: as they will be */
    GArray *done;       /* uint32_t: tasks completed */
    int zone;           /* of a completed task, -1 */
};

/* A placement known to be over. */
struct rr_terminated_placement {
    rr_machine *machine;
    rr_job *job;
    uint32_t task;
    uint32_t chunk; /* of its record */
    uint64_t attempt;
    bool done, may_wait; /* completed; may wait for others of its job */
    bool preempted;      /* made room, for another owner's task perhaps, who waits for the record */
    guint next;          /* 1 + the index of the next one of its record, 0: none */
};

/* A job for which there was no room in this plan: nor is there for another like it. */
struct rr_plan_failure {
    const rr_job *job;
    uint64_t zones;
};

struct rr_plan_requeued {
    rr_job *job;
    uint32_t task;
};

struct rr_planner {
    rr_core *core;
    double now, wall;
    rr_plan *plan;
    GPtrArray *edits;               /* struct rr_plan_edit* */
    GArray *terminated;             /* struct rr_plan_terminated */
    GArray *requeued;               /* struct rr_plan_requeued */
    GPtrArray *machines;            /* rr_machine*: with scratch to clear */
    GPtrArray *guards;              /* rr_job*: guarded against a cancellation in between */
    GArray *failures;               /* struct rr_plan_failure */
    GArray *candidates;             /* rr_candidate, reused */
    int change_count, change_limit; /* changes so far and at most */
    size_t bytes;                   /* their size, roughly */
    bool full;                      /* the transaction takes no more */
    rr_machine *last_machine;       /* by the last reservation */
};

/* plan.c: the transaction */
bool rr_ledger_record_fits(const rr_core *core, guint items);
/* The record's changes in this plan, begun if need be; NULL: the transaction takes no more. */
struct rr_plan_edit *rr_plan_edit_record(struct rr_planner *planner, rr_job *job, uint32_t chunk);
rr_placement_record *rr_plan_edit_find(const struct rr_plan_edit *edit, uint64_t attempt,
                                       uint32_t task);
guint rr_plan_terminated_count(const struct rr_planner *planner,
                               const rr_ledger_record *record); /* known to be over in it */
/* The key-value store takes the record as this plan may write it. */
bool rr_plan_writable(const struct rr_planner *planner, const rr_ledger_record *record);
void rr_plan_guard(struct rr_planner *planner, rr_job *job);
void rr_plan_use_machine(struct rr_planner *planner, rr_machine *machine);
/* A placement is known to be over. */
void rr_plan_terminated(struct rr_planner *planner, rr_machine *machine, rr_placement *placement,
                        bool done, const char *why);

/* reconciliation.c */
rr_command_batch *rr_plan_command_batch(
    struct rr_planner *planner, rr_machine *machine); /* this plan's command to the machine */
void rr_reconcile(struct rr_planner *planner);        /* machines that something happened to */

/* place.c */
bool rr_any_job_waiting(const struct rr_planner *planner);
GPtrArray *rr_list_waiting_jobs(const struct rr_planner *planner); /* rr_job*; the caller's */
void rr_place_waiting(struct rr_planner *planner, GPtrArray *wait);
void rr_start_due_moves(struct rr_planner *planner); /* those of a round's plan that are due */

/* probes.c */
void rr_probe_overdue_machines(struct rr_planner *planner);

#endif
