/* Counts for logs and tests. */
#ifndef RR_CORE_STATS_H
#define RR_CORE_STATS_H

#include "core/core.h"

typedef struct {
    unsigned machines, booting, jobs_open, tasks_waiting, tasks_placed, moves;
    unsigned rented, given_up, leases_lost, notices; /* so far */
    unsigned visits;                                 /* machines looked at so far */
    unsigned jobs_whole;                             /* jobs kept as more than a line */
    double priced;
} rr_core_stats;
void rr_core_get_stats(const rr_core *core, rr_core_stats *out);

#endif
