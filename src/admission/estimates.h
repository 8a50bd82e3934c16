/* The correction of runtime estimates: for each team, the ratio of the work that its tasks have
 * actually used to the work that they were estimated to take. */
#ifndef RR_ADMISSION_ESTIMATES_H
#define RR_ADMISSION_ESTIMATES_H

#include "admission/offered_load.h"
#include "admission/table.h"

/* The state of the corrections, zero-initialized at first. Amounts of work are in
 * seconds of dominant share and decay with each table, so that the latest weigh most. */
typedef struct {
    double actual_work[RR_TEAMS_MAX];    /* used by tasks that end by themselves */
    double estimated_work[RR_TEAMS_MAX]; /* the estimate for such tasks that have ended */
    double correction[RR_TEAMS_MAX];     /* factor on the team's estimates; 0: not known */
} rr_admission_estimates;

/* Updates the corrections from a snapshot of the load. elapsed_s: seconds since the last snapshot;
 * 0 if there was none. newest: the newest table (sequence 0: none). A writer that has no
 * corrections yet takes those that the previous autoscaler stored in it. */
void rr_admission_estimates_update(rr_admission_estimates *estimates,
                                   const struct rr_config *config, const rr_offered_load *load,
                                   const rr_admission_table *newest, double elapsed_s);

#endif
