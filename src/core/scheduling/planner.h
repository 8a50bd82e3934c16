/* The state of one plan under construction. Internal to the scheduling folder.
 *
 * A planner lives for one call of rr_core_plan(): rr_planner_init() begins it, the steps of the
 * plan add to it, and rr_planner_clear() removes every trace of it from the jobs, machines and
 * ledger records of the store cache. It owns its arrays, but not the jobs, records and machines in
 * them. */
#ifndef RR_CORE_SCHEDULING_PLANNER_H
#define RR_CORE_SCHEDULING_PLANNER_H

#include "core/core_internal.h"
#include "core/planning.h"

/* The next contents of one ledger record. */
struct rr_record_edit {
    rr_job *job;
    rr_ledger_record *record;
    GArray *placements; /* rr_placement_record */
    GArray *completed;  /* uint32_t: tasks whose completion is recorded */
    int zone;           /* of a completed task, -1: none */
};

/* A placement that is proven terminated and still stands in the ledger. */
struct rr_terminated_placement {
    rr_machine *machine;
    rr_job *job;
    uint32_t task;
    uint32_t chunk; /* of its record */
    uint64_t attempt;
    bool completed;
    bool may_wait;  /* its removal may wait for others of its job */
    bool preempted; /* another owner may wait for its record */
    guint next;     /* 1 + the index of the next one of the same record, 0: none */
};

/* A search that found no room for a job. */
struct rr_failed_search {
    const rr_job *job;
    uint64_t zone_mask;
};

/* A task that counts as unplaced within this plan, since its placement is terminated. */
struct rr_requeued_task {
    rr_job *job;
    uint32_t task;
};

/* What one plan knows about a job, beyond the store cache. */
struct rr_job_progress {
    uint32_t terminated_count; /* tasks whose completion is known */
    uint32_t completing_count; /* tasks whose completion this plan records */
    bool guarded;              /* it is in guarded_jobs */
    bool final_record_put;     /* its final record is in the transaction */
};

struct rr_planner {
    rr_core *core;
    double now, wall; /* steady time and time of day, seconds */
    rr_plan *plan;
    GHashTable *jobs;          /* rr_job* -> struct rr_job_progress, owned */
    GPtrArray *edits;          /* struct rr_record_edit*, owned */
    GArray *terminated;        /* struct rr_terminated_placement */
    GArray *requeued;          /* struct rr_requeued_task */
    GPtrArray *machines;       /* rr_machine*: with reservations or preemptions of this plan */
    GPtrArray *guarded_jobs;   /* rr_job*: the transaction fails if one of them has changed */
    GArray *failed_searches;   /* struct rr_failed_search */
    GArray *candidates;        /* rr_candidate: of the job being placed */
    int change_count;          /* changes of the transaction so far */
    int change_limit;          /* and at most */
    size_t bytes;              /* estimated size of the transaction */
    bool full;                 /* a change found no room in the transaction */
    rr_machine *last_reserved; /* the machine of the latest reservation */
};

/* Begins an empty plan that fills in `plan`. */
void rr_planner_init(struct rr_planner *planner, rr_core *core, double now, double wall,
                     rr_plan *plan);

/* Frees the planner's arrays and resets what this plan has marked in the store cache. */
void rr_planner_clear(struct rr_planner *planner);

/* Registers a machine on which the plan reserves or preempts, so that rr_planner_clear() resets it.
 */
void rr_planner_use_machine(struct rr_planner *planner, rr_machine *machine);

/* What this plan knows about the job, begun empty if need be. Valid until rr_planner_clear(). */
struct rr_job_progress *rr_planner_job(const struct rr_planner *planner, const rr_job *job);

/* Makes the transaction fail if the job's record changes before it is applied. */
void rr_planner_guard_job(struct rr_planner *planner, rr_job *job);

#endif
