/* State that planning keeps from one plan to the next. Times are steady, in seconds. */
#ifndef RR_CORE_SCHEDULING_PLANNING_STATE_H
#define RR_CORE_SCHEDULING_PLANNING_STATE_H

#include "core/state/jobs.h"
#include "core/state/machines.h"

struct rr_planning {
    double write_pressure;    /* 0 (writes are plentiful) to 1 (none to spare) */
    double write_shortage_at; /* when a plan last needed more changes than allowed, 0: never */
    int changes_allowed;      /* store changes that a plan may make now */
    /* Times of the last runs, 0: never. */
    double last_probe_round_at;     /* search for machines to probe */
    double last_machine_cleanup_at; /* removal of machines without a record */
    double last_batch_deletion_at;  /* deletion of obsolete batch records */
    double last_usage_recount_at;   /* recount of team usage */
    double last_job_eviction_at;    /* eviction of final jobs */
    GArray *planned_moves;          /* rr_move: planned by rebalancing, not started */
    double last_rebalancing_at;     /* last rebalancing, or set to time the next stability check */
    double stable_since;            /* time of the last observed disturbance, 0: none */
    double term_planned_since;      /* first plan in the present term */
    unsigned starts_in_term;        /* start commands planned in the present term */
    uint64_t stability_check_token; /* fencing token of the term at the last stability check */
    int rebalance_moves_left;       /* moves that may start until the next rebalancing */
    unsigned placement_plan_count;  /* plans that placed waiting jobs */
    GArray *team_reserved;          /* rr_resources by team: reserved by the present plan */
};

#endif
