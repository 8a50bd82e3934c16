/* The verdict that a machine is dead or hung. */
#include "core/health/failure_detector.h"
#include "core/core_internal.h"
#include "core/leadership.h"

/* Probes in a row that must fail. */
#define FAILED_PROBES_MIN 2
/* In leases: a task on a machine without contact for longer has ended with its lease. */
#define LEASE_EXPIRED_FACTOR 1.2

bool rr_machine_dead(const rr_core *core, const rr_machine *machine, double now) {
    double age_s = rr_heartbeat_age(machine, now);
    double limit_s =
        core->config->tuning.dead_heartbeat_intervals * core->config->heartbeat_interval_s;
    if (!rr_machine_was_up(machine) || machine->zone < 0 || age_s < limit_s ||
        machine->failed_probes < FAILED_PROBES_MIN) {
        return false;
    }
    /* A process that runs late has heartbeats in its sockets that it has not read yet. */
    if (rr_core_timers_late(core, now, RR_LATE_TIMER_GRACE_S)) {
        return false;
    }
    /* Where most of a zone is dead or hung it looks partitioned; but a partition also separates the
     * zone's controllers. While one of those is reached, a machine whose lease has expired is dead
     * however many others are overdue with it. */
    if (age_s > LEASE_EXPIRED_FACTOR * core->config->lease_s &&
        rr_zone_controller_reached(core, machine->zone, now)) {
        return true;
    }
    /* When a partition heals, some machines are heard before the others: each gets the full time to
     * send a heartbeat. */
    double partitioned_at = rr_zone_partitioned_at(core, machine->zone);
    return !rr_zone_partitioned_besides(core, machine->zone, machine, now) &&
           !rr_zone_partition_begins(core, machine->zone, machine, now) &&
           (partitioned_at <= 0 || now - partitioned_at >= limit_s);
}
