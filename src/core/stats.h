/* Counts for logs and tests. */
#ifndef RR_CORE_STATS_H
#define RR_CORE_STATS_H

#include "core/core.h"

typedef struct {
    unsigned machines, booting, jobs_open, tasks_waiting, tasks_placed;
    /* since the start */
    unsigned moves, rented, machines_terminated, leases_lost, spot_notices;
    unsigned machines_visited; /* machines examined by plans */
    unsigned unshrunk_jobs;    /* jobs that have not shrunk to their outcome */
    double price_sum;          /* sum of the recorded machines' prices */
} rr_core_stats;
/* Fills *out with the present counts. */
void rr_core_get_stats(const rr_core *core, rr_core_stats *out);

#endif
