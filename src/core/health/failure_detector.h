/* Failure detection: decides which machines may get new work and which are scaled in. A missing
 * heartbeat alone does not prove that a task has ended. The headers included below declare the
 * checks of single machines (machine_health.h) and of zones (partitions.h). */
#ifndef RR_CORE_HEALTH_FAILURE_DETECTOR_H
#define RR_CORE_HEALTH_FAILURE_DETECTOR_H

#include "core/health/contacts.h"
#include "core/health/machine_health.h"
#include "core/health/observations.h"
#include "core/health/partitions.h"

/* Returns whether the machine counts as dead or hung, so that it may be scaled in. This requires an
 * old heartbeat, failed probes by this controller and evidence that the machine's zone is not
 * partitioned. All controllers send probes and forward what they receive, so that a machine which
 * any of them reaches does not count as dead. rr_detect_partitions() must have run just before. */
bool rr_machine_dead(const rr_core *core, const rr_machine *machine, double now);

#endif
