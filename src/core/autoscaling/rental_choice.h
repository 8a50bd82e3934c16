/* Chooses the machine type, the zone, and on-demand or spot, for a machine to be rented. */
#ifndef RR_CORE_AUTOSCALING_RENTAL_CHOICE_H
#define RR_CORE_AUTOSCALING_RENTAL_CHOICE_H

#include "core/autoscaling/rentals.h"
#include "core/state/jobs.h"

/* Fills *out with the cheapest offer (machine type, zone, on-demand or spot) for a task of the job,
 * by the price of the task's share of the machine; between equal prices, the zone with the fewest
 * machines wins. zones: whether each may be used, by zone index. machines_by_zone: existing and
 * planned machines. Returns false if no machine type fits the task, or the cloud recently refused
 * all offers that do. */
bool rr_choose_rental(const rr_core *core, const rr_job *job, const bool *zones,
                      const guint *machines_by_zone, double now, struct rr_planned_rental *out);

#endif
