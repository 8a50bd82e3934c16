/* How much of each entry may wait: the division of the fleet's room over the horizon of a table. */
#ifndef RR_ADMISSION_ALLOCATIONS_H
#define RR_ADMISSION_ALLOCATIONS_H

#include "admission/entries.h"
#include "admission/shares.h"

/* The time over which room is divided: what may wait in all, and what the fleet does until the next
 * table. */
static inline double rr_admission_horizon_s(const rr_admission_settings *settings) {
    return settings->target_backlog_s + settings->interval_s;
}

/* Sets each entry's allocation, in dominant share times seconds. */
enum rr_share_method rr_admission_allocate(const struct rr_config *config,
                                           const rr_offered_load *load, const GArray *entries,
                                           double *allocations);

/* Sets the part of all room that each team may fill while others wait, by team of the settings. */
void rr_admission_fair_rooms(const struct rr_config *config, const rr_offered_load *load,
                             double *rooms);

#endif
