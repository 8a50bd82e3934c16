/* What planning remembers from one plan to the next. */
#ifndef RR_CORE_SCHEDULING_PLANNING_STATE_H
#define RR_CORE_SCHEDULING_PLANNING_STATE_H

#include "core/state/jobs.h"
#include "core/state/machines.h"

struct rr_planning {
    double write_pressure;  /* 0: changes at the store are plentiful; 1: none to spare */
    double writes_short_at; /* a plan was last cut short by the changes it might make */
    int changes_allowed;    /* that a plan may make now */
    double probe_at, unknown_machines_at, batches_at, recount_at, shrunk_at; /* last done, steady */
    GArray *moves;            /* rr_move of the rebalancing plan still to make */
    double rebalance_at;      /* the last rebalancing, steady */
    double calm_since;        /* no failure observed since then, steady */
    uint64_t rebalance_token; /* fencing token under which the moves were planned */
    int rebalance_moves_left;
    unsigned plan_count;
    GArray *team_reserved; /* rr_resources by team: scratch of one plan */
};

#endif
