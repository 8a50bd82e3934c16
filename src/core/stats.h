/* Statistics of the core for logs and tests. */
#ifndef RR_CORE_STATS_H
#define RR_CORE_STATS_H

#include "core/core.h"

/* Counts of the present state, and where noted of events since the start of this process. */
typedef struct {
    unsigned machines; /* recorded */
    unsigned booting;  /* recorded machines without a heartbeat so far */
    unsigned jobs_open, tasks_waiting, tasks_placed;
    unsigned tasks_moved;     /* since the start: tasks whose move to another machine was started */
    unsigned machines_rented; /* since the start: machines rented from the cloud */
    unsigned machines_terminated; /* since the start: marked for release, faulty or idle */
    unsigned leases_lost;         /* since the start: workers that returned in a new worker epoch */
    unsigned spot_notices;   /* since the start: spot machines that announced their termination */
    unsigned ended_attempts; /* that workers report, since they have not been reaped */
    unsigned ended_attempts_max;     /* most of them on one machine */
    unsigned unplaced_tasks_stopped; /* since the start: tasks that ran without a placement */
    unsigned machines_examined; /* since the start: machines examined by plans and simulations */
    unsigned retained_jobs;     /* jobs of which more than the outcome is kept */
    double total_price;         /* sum of the recorded machines' prices */
} rr_core_stats;
/* Fills *out with the present statistics. */
void rr_core_get_stats(const rr_core *core, rr_core_stats *out);

#endif
