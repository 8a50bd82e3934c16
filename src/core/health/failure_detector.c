/* Decides whether a machine is dead or hung. */
#include "core/health/failure_detector.h"
#include "core/core_internal.h"
#include "core/leadership.h"

/* A machine counts as dead only after this many consecutive failed probes. */
#define DEAD_FAILED_PROBES_MIN 2
/* Multiple of the lease length. A machine without contact for longer has lost its lease, and its
 * tasks have ended with it. */
#define LEASE_EXPIRED_FACTOR 1.2

bool rr_machine_dead(const rr_core *core, const rr_machine *machine, double now) {
    double age_s = rr_heartbeat_age(machine, now);
    double limit_s =
        core->config->tuning.dead_heartbeat_intervals * core->config->heartbeat_interval_s;
    if (!rr_machine_was_up(machine) || machine->zone < 0 || age_s < limit_s ||
        machine->failed_probes < DEAD_FAILED_PROBES_MIN) {
        return false;
    }
    /* If timers fire late, heartbeats may be waiting unread in this process's sockets. */
    if (rr_core_timers_late(core, now, RR_LATE_TIMER_GRACE_S)) {
        return false;
    }
    /* A partition of the zone would also cut off its controllers. So while one of them is
     * reachable, the zone is not partitioned, and a machine whose lease has expired is dead even if
     * most machines of the zone are overdue, which looks like a partition. */
    if (age_s > LEASE_EXPIRED_FACTOR * core->config->lease_s &&
        rr_zone_controller_reached(core, machine->zone, now)) {
        return true;
    }
    /* After a partition heals, the machines are heard one by one: each has the full time limit to
     * send a heartbeat. */
    double partitioned_at = rr_zone_partitioned_at(core, machine->zone);
    return !rr_zone_partitioned_excluding(core, machine->zone, machine, now) &&
           !rr_zone_partition_suspected(core, machine->zone, machine, now) &&
           (partitioned_at <= 0 || now - partitioned_at >= limit_s);
}
