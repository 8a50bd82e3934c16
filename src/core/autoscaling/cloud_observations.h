/* Remembers for a while which machines have gone, since the cloud's list may still name them, and
 * which capacity the cloud refused. Times are steady seconds. */
#ifndef RR_CORE_AUTOSCALING_CLOUD_OBSERVATIONS_H
#define RR_CORE_AUTOSCALING_CLOUD_OBSERVATIONS_H

#include "core/core.h"

/* Returns whether the machine's record was deleted so recently that the cloud's list and late
 * heartbeats may still name the machine. */
bool rr_machine_recently_gone(const rr_core *core, const char *name, double now);

/* Returns whether the cloud recently refused capacity of this machine type in this zone, on-demand
 * or spot. */
bool rr_capacity_refused(const rr_core *core, const char *machine_type, const char *zone, bool spot,
                         double now);

/* Records that the cloud refused capacity of this machine type in this zone, on-demand or spot, so
 * that it is not requested again for a while. */
void rr_record_capacity_refusal(rr_core *core, const char *machine_type, const char *zone,
                                bool spot, double now);

#endif
