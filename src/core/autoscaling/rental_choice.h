/* The choice of machine type, zone and kind for a task that no machine has room for. */
#ifndef RR_CORE_AUTOSCALING_RENTAL_CHOICE_H
#define RR_CORE_AUTOSCALING_RENTAL_CHOICE_H

#include "core/autoscaling/rentals.h"
#include "core/state/jobs.h"

/* Fills *out with a machine of the cheapest type, zone and kind for the task, by the price of the
 * task's share of the machine; between equals, the zone with fewest machines. zones: allowed, by
 * index. machines_by_zone: those there are and those planned. False: nothing fits, or the cloud
 * lately refused all that does. */
bool rr_choose_rental(const rr_core *core, const rr_job *job, const bool *zones,
                      const guint *machines_by_zone, double now, struct rr_planned_rental *out);

#endif
