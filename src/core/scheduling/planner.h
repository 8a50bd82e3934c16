/* The state of one plan under construction. Internal to the scheduling folder.
 *
 * A planner lives for one call of rr_core_plan(): rr_planner_init() initializes it, the steps of
 * the plan add to it, and rr_planner_clear() frees it and resets what the plan has marked in the
 * jobs, machines and ledger records of the store cache. The planner owns its arrays, but not the
 * jobs, records and machines in them. */
#ifndef RR_CORE_SCHEDULING_PLANNER_H
#define RR_CORE_SCHEDULING_PLANNER_H

#include "core/core_internal.h"
#include "core/planning.h"

/* The contents that the plan's transaction writes to one ledger record. */
struct rr_record_edit {
    rr_job *job;
    rr_ledger_record *record;
    GArray *placements; /* rr_placement_record */
    GArray *completed;  /* uint32_t: tasks whose completion this edit records */
    int zone;           /* zone index of the placement whose completion was added last, -1: none */
};

/* A placement that is proven terminated and is still in the ledger. */
struct rr_terminated_placement {
    rr_machine *machine;
    rr_job *job;
    uint32_t task;
    uint32_t chunk; /* of the record that holds it */
    uint64_t attempt;
    bool completed;        /* its task is done */
    bool removal_may_wait; /* may be deferred, to be combined with other removals of its job */
    bool preempted;        /* removal is never deferred: another owner may wait for it */
    guint next_index;      /* 1 + index in `terminated` of the record's next placement, 0: none */
};

/* A search for machines that found no room for a job. */
struct rr_failed_search {
    const rr_job *job;
    uint64_t zone_mask; /* the zones searched, one bit each */
};

/* A task that counts as unplaced within this plan because its placement is terminated. */
struct rr_requeued_task {
    rr_job *job;
    uint32_t task;
};

/* State of one job within a plan, in addition to the store cache. */
struct rr_job_progress {
    uint32_t completed_count;  /* tasks known to have completed, not in the job's done_count */
    uint32_t completing_count; /* tasks whose completion this plan records */
    bool guarded;              /* the job is in rr_planner::guarded_jobs */
    bool final_record_put;     /* the job's final record is in the transaction */
};

/* A plan under construction. Times are in seconds. */
struct rr_planner {
    rr_core *core;
    double now;               /* steady time */
    double wall;              /* time of day */
    rr_plan *plan;            /* the caller's plan, to be filled in */
    GHashTable *job_progress; /* rr_job* -> struct rr_job_progress, owned */
    GPtrArray *edits;         /* struct rr_record_edit*, owned */
    GArray *terminated;       /* struct rr_terminated_placement */
    GArray *requeued;         /* struct rr_requeued_task */
    GPtrArray *used_machines; /* rr_machine*: those on which this plan reserves or preempts */
    GPtrArray *guarded_jobs;  /* rr_job*: the transaction fails if the record of one has changed */
    GArray *failed_searches;  /* struct rr_failed_search */
    GArray *candidates;       /* rr_candidate: machines for the job being placed */
    int change_count;         /* changes in the transaction so far */
    int change_limit;         /* maximum of change_count */
    size_t transaction_bytes; /* estimated size of the transaction */
    bool transaction_full;    /* a record edit was refused because the transaction is full */
    rr_machine *last_reserved_machine; /* machine of the latest reservation, NULL: none */
};

/* Initializes the planner for an empty plan, whose results go into *plan. now: steady time; wall:
 * time of day; both in seconds. Free it with rr_planner_clear(). */
void rr_planner_init(struct rr_planner *planner, rr_core *core, double now, double wall,
                     rr_plan *plan);

/* Frees what the planner owns and resets what this plan has marked in the store cache. */
void rr_planner_clear(struct rr_planner *planner);

/* Registers a machine on which the plan reserves or preempts, so that rr_planner_clear() resets its
 * per-plan state. */
void rr_planner_track_machine(struct rr_planner *planner, rr_machine *machine);

/* Returns the plan's state of the job, creating it zeroed if need be. Owned by the planner and
 * valid until rr_planner_clear(). */
struct rr_job_progress *rr_planner_job_progress(const struct rr_planner *planner,
                                                const rr_job *job);

/* Makes the transaction fail if the job's record changes before it is applied. */
void rr_planner_guard_job(struct rr_planner *planner, rr_job *job);

#endif
