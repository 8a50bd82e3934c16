/* What planning remembers from one plan to the next. Times are steady, in seconds. */
#ifndef RR_CORE_SCHEDULING_PLANNING_STATE_H
#define RR_CORE_SCHEDULING_PLANNING_STATE_H

#include "core/state/jobs.h"
#include "core/state/machines.h"

struct rr_planning {
    double write_pressure;  /* 0: writes are plentiful; 1: none to spare */
    double writes_short_at; /* when a plan last lacked changes, 0: never */
    int changes_allowed;    /* changes that a plan may make now */
    /* When each of these was last done. */
    double probe_at, unknown_machines_at, batches_at, recount_at, shrunk_at;
    GArray *moves;            /* rr_move: planned by rebalancing, not started */
    double rebalance_at;      /* the last rebalancing */
    double calm_since;        /* no fault observed since then */
    uint64_t rebalance_token; /* fencing token of the term that rebalancing last saw */
    int rebalance_moves_left; /* moves that may start until the next rebalancing */
    unsigned plan_count;      /* plans that placed waiting jobs */
    GArray *team_reserved;    /* rr_resources by team: reserved by the plan under construction */
};

#endif
