/* Failure detection. A missing heartbeat alone proves nothing about a task: these verdicts decide
 * where new work goes and which machines are scaled in. The headers included below have the
 * verdicts on one machine and on zones. */
#ifndef RR_CORE_HEALTH_FAILURE_DETECTOR_H
#define RR_CORE_HEALTH_FAILURE_DETECTOR_H

#include "core/health/contacts.h"
#include "core/health/machine_health.h"
#include "core/health/observations.h"
#include "core/health/partitions.h"

/* True: the machine counts as dead or hung and may be scaled in. That takes an old heartbeat,
 * failed probes of this controller, and evidence that its zone is not partitioned. All controllers
 * probe and pass on what they hear, so that a machine which any of them reaches is not dead.
 * Requires a current rr_detect_partitions(). */
bool rr_machine_dead(const rr_core *core, const rr_machine *machine, double now);

#endif
