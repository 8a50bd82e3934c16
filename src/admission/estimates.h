/* The correction of runtime estimates: by team, what its tasks have used as a multiple of what they
 * were estimated to take. */
#ifndef RR_ADMISSION_ESTIMATES_H
#define RR_ADMISSION_ESTIMATES_H

#include "admission/offered_load.h"
#include "admission/table.h"

/* Zero-initialized: nothing is known. Amounts are in dominant share times seconds, the last ones
 * weighing most. */
typedef struct {
    double used[RR_TEAMS_MAX];       /* by tasks that end by themselves */
    double done[RR_TEAMS_MAX];       /* estimated work of tasks that have ended */
    double correction[RR_TEAMS_MAX]; /* 0: not known */
} rr_admission_estimates;

/* Updates the corrections after a visit. passed_s: since the last visit, 0: there was none. newest:
 * where another autoscaler's corrections are taken from (sequence 0: nowhere). */
void rr_admission_estimates_update(rr_admission_estimates *estimates,
                                   const struct rr_config *config, const rr_offered_load *load,
                                   const rr_admission_table *newest, double passed_s);

#endif
