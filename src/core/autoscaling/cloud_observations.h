/* What the cloud has shown lately and its answers may not show yet: machines that have gone, and
 * capacity that it refused. Times are steady seconds. */
#ifndef RR_CORE_AUTOSCALING_CLOUD_OBSERVATIONS_H
#define RR_CORE_AUTOSCALING_CLOUD_OBSERVATIONS_H

#include "core/core.h"

/* True: the machine's record was deleted so lately that lists and late heartbeats may still name
 * it. */
bool rr_recently_gone(const rr_core *core, const char *name, double now);

/* True: the cloud lately had no capacity of this machine type, zone and kind. */
bool rr_capacity_refused(const rr_core *core, const char *machine_type, const char *zone, bool spot,
                         double now);

/* Keeps the machine type, zone and kind from being asked for again for a while. */
void rr_record_capacity_refusal(rr_core *core, const char *machine_type, const char *zone,
                                bool spot, double now);

#endif
