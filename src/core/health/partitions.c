/* Detects network partitions by zone. */
#include "core/health/partitions.h"
#include "core/core_internal.h"
#include "core/health/contacts.h"
#include "core/health/machine_health.h"
#include "core/state/name_index.h"

#include <string.h>

/* The machines of a zone send their heartbeats at different times. When a partition begins, the
 * first of them therefore look dead while the heartbeats of most others still count as recent. By
 * then no machine has been heard within the last CURRENT_HEARTBEAT_INTERVALS heartbeat intervals,
 * while most machines of a healthy zone have. A share of such machines below CURRENT_SHARE_MIN
 * therefore shows that a partition may have begun. */
#define CURRENT_HEARTBEAT_INTERVALS 0.65
#define CURRENT_SHARE_MIN 0.3

bool rr_machine_was_up(const rr_machine *machine) {
    return machine->recorded && (machine->heartbeat_seen || machine->placements->len > 0);
}

static bool has_current_heartbeat(const rr_core *core, const rr_machine *machine, double now) {
    return machine->heartbeat_seen &&
           now - machine->heartbeat_at <=
               CURRENT_HEARTBEAT_INTERVALS * core->config->heartbeat_interval_s;
}

static void count_zone_heartbeats(rr_core *core, double now) {
    GArray *zones = core->observed.zone_heartbeats;
    g_array_set_size(zones, 0);
    g_array_set_size(zones, core->stored.zones.names->len);
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        const rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        if (machine->zone >= 0 && rr_machine_was_up(machine)) {
            rr_zone_heartbeat_counts *counts =
                &g_array_index(zones, rr_zone_heartbeat_counts, machine->zone);
            counts->machine_count++;
            counts->recent_count += rr_machine_heartbeat_recent(core, machine, now);
            counts->current_count += has_current_heartbeat(core, machine, now);
        }
    }
}

/* Copies the counts of the zone to *out; returns false if the last count did not include it. */
static bool get_zone_heartbeat_counts(const rr_core *core, int zone,
                                      rr_zone_heartbeat_counts *out) {
    if (zone < 0 || (guint)zone >= core->observed.zone_heartbeats->len) {
        return false;
    }
    *out = g_array_index(core->observed.zone_heartbeats, rr_zone_heartbeat_counts, zone);
    return true;
}

static bool most_machines_overdue(const rr_zone_heartbeat_counts *counts) {
    return counts->recent_count * 2 < counts->machine_count;
}

bool rr_zone_partitioned(const rr_core *core, int zone) {
    rr_zone_heartbeat_counts counts;
    return get_zone_heartbeat_counts(core, zone, &counts) && most_machines_overdue(&counts);
}

bool rr_zone_partitioned_excluding(const rr_core *core, int zone, const rr_machine *except,
                                   double now) {
    rr_zone_heartbeat_counts counts;
    if (!get_zone_heartbeat_counts(core, zone, &counts)) {
        return false;
    }
    if (rr_machine_was_up(except)) {
        counts.machine_count--;
        counts.recent_count -=
            rr_machine_heartbeat_recent(core, except, now) && counts.recent_count > 0;
    }
    return most_machines_overdue(&counts);
}

bool rr_zone_partition_suspected(const rr_core *core, int zone, const rr_machine *except,
                                 double now) {
    rr_zone_heartbeat_counts counts;
    if (!get_zone_heartbeat_counts(core, zone, &counts)) {
        return false;
    }
    guint others = counts.machine_count - (counts.machine_count > 0);
    guint current_others = counts.current_count -
                           (has_current_heartbeat(core, except, now) && counts.current_count > 0);
    return current_others < CURRENT_SHARE_MIN * others;
}

double rr_zone_partitioned_at(const rr_core *core, int zone) {
    return (guint)zone < core->observed.partitioned_at->len
               ? g_array_index(core->observed.partitioned_at, double, zone)
               : 0;
}

bool rr_zone_controller_reached(const rr_core *core, int zone, double now) {
    const char *name = rr_name_index_at(&core->stored.zones, zone);
    double seconds =
        core->config->tuning.dead_heartbeat_intervals * core->config->heartbeat_interval_s;
    if (!rr_process_running_for(core, now, seconds)) {
        return false;
    }
    /* Even in its own zone, this controller counts only while workers send it heartbeats: the
     * partition may separate it from the rest of the zone. */
    if (strcmp(core->config->zone, name) == 0 &&
        rr_contact_continuous_for(&core->observed.direct_contact, now, seconds)) {
        return true;
    }
    for (size_t i = 0; i < core->config->peer_count; i++) {
        if (strcmp(core->config->peers[i].zone, name) == 0 &&
            rr_contact_continuous_for(&core->observed.peer_contacts[i], now, seconds)) {
            return true;
        }
    }
    return false;
}

void rr_detect_partitions(rr_core *core, double now) {
    GArray *partitioned_at = core->observed.partitioned_at;
    rr_record_process_running(core, now);
    count_zone_heartbeats(core, now);
    g_array_set_size(partitioned_at, core->stored.zones.names->len);
    for (guint zone = 0; zone < partitioned_at->len; zone++) {
        if (rr_zone_partitioned(core, (int)zone)) {
            g_array_index(partitioned_at, double, zone) = now;
        }
    }
}
