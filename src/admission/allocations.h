/* Allocations: how much work of each entry may be queued. They divide the cluster's capacity over
 * the horizon of one admission table. */
#ifndef RR_ADMISSION_ALLOCATIONS_H
#define RR_ADMISSION_ALLOCATIONS_H

#include "admission/entries.h"
#include "admission/shares.h"

/* Returns the time in seconds whose capacity is divided: the target length of the queue plus the
 * interval until the next table takes effect. */
static inline double rr_admission_compute_horizon_s(const rr_admission_settings *settings) {
    return settings->target_backlog_s + settings->interval_s;
}

/* Sets allocations[i] to the work that entries[i] may have queued, in dominant share times seconds.
 * entries is an array of rr_admission_entry; allocations has entries->len elements. Returns the
 * method that found the result. */
enum rr_share_method rr_admission_allocate(const struct rr_config *config,
                                           const rr_offered_load *load, const GArray *entries,
                                           double *allocations);

/* Sets fair_shares[i] to the fraction of the total capacity that team i of the configuration may
 * use while other teams have waiting work. A team whose whole demand is met gets 1. fair_shares has
 * config->team_count elements. */
void rr_admission_compute_fair_shares(const struct rr_config *config, const rr_offered_load *load,
                                      double *fair_shares);

#endif
