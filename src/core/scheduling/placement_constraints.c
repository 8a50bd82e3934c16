/* Checks placement constraints: machine types, spot machines, zones and distinct machines. */
#include "core/scheduling/placement_constraints.h"
#include "core/core_internal.h"
#include "core/health/failure_detector.h"
#include "core/state/jobs.h"
#include "core/state/ledger.h"
#include "core/state/machines.h"
#include "core/state/name_index.h"

#include <string.h>

/* Whether the job's submission names this zone. */
static bool requests_zone(const rr_core *core, const rr_job *job, int zone) {
    return strcmp(job->submission.zone, rr_name_index_at(&core->stored.zones, zone)) == 0;
}

bool rr_job_requires_one_zone(const rr_job *job) {
    return job->submission.one_zone || job->submission.zone[0];
}

bool rr_job_allows_machine(const rr_core *core, const rr_job *job, int machine_type, int zone,
                           bool spot) {
    if (spot && !job->submission.spot_allowed) {
        return false;
    }
    if (job->submission.zone[0] && !requests_zone(core, job, zone)) {
        return false;
    }
    if (job->submission.machine_type_count == 0) {
        return true;
    }
    const char *name = rr_name_index_at(&core->stored.machine_type_names, machine_type);
    for (int i = 0; i < job->submission.machine_type_count; i++) {
        if (strcmp(job->submission.machine_types[i], name) == 0) {
            return true;
        }
    }
    return false;
}

/* Whether the placement counts in its zone: the zone is known, the machine is not gone, and the
 * placement is neither terminated nor `except`. */
static bool counts_in_zone(const rr_job *job, const rr_placement_record *entry,
                           const rr_placement *except) {
    const rr_placement *placement =
        rr_placement_find(entry->machine, entry->attempt, job, entry->task);
    bool terminated = placement && placement->terminated_at > 0;
    return entry->machine->zone >= 0 && !entry->machine->gone && !terminated &&
           !(except && entry->attempt == except->attempt);
}

uint32_t rr_count_placements_by_zone(const rr_job *job, const rr_placement *except,
                                     uint32_t *by_zone) {
    uint32_t count = 0;
    for (guint chunk = 0; job->records && chunk < job->records->len; chunk++) {
        const rr_ledger_record *record = g_ptr_array_index(job->records, chunk);
        for (guint i = 0; record && i < record->placements->len; i++) {
            const rr_placement_record *entry =
                &g_array_index(record->placements, rr_placement_record, i);
            if (counts_in_zone(job, entry, except)) {
                by_zone[entry->machine->zone]++;
                count++;
            }
        }
    }
    return count;
}

/* Whether one more task in the zone keeps a one-zone job in a single zone: that of its placements,
 * or without any, that of its completed tasks; any zone if there are none of these either. */
static bool keeps_single_zone(const rr_job *job, const uint32_t *by_zone, uint32_t placement_count,
                              int zone) {
    if (placement_count > 0) {
        return by_zone[zone] > 0;
    }
    return job->zone < 0 || job->zone == zone;
}

void rr_compute_allowed_zones_from(const rr_core *core, const rr_job *job, const uint32_t *by_zone,
                                   uint32_t placement_count, bool *allowed) {
    uint32_t spread_max = (job->submission.task_count + 1) / 2;
    for (guint zone = 0; zone < core->stored.zones.names->len; zone++) {
        bool zone_requested = !job->submission.zone[0] || requests_zone(core, job, (int)zone);
        bool spread_exhausted = job->submission.spread_zones && by_zone[zone] >= spread_max;
        bool single_zone = !job->submission.one_zone ||
                           keeps_single_zone(job, by_zone, placement_count, (int)zone);
        allowed[zone] = zone_requested && !spread_exhausted && single_zone;
    }
}

void rr_compute_allowed_zones(const rr_core *core, const rr_job *job, bool *allowed,
                              const rr_placement *except) {
    guint zone_count = core->stored.zones.names->len;
    uint32_t by_zone[zone_count + 1];
    memset(by_zone, 0, sizeof by_zone);
    uint32_t placement_count = job->submission.one_zone || job->submission.spread_zones
                                   ? rr_count_placements_by_zone(job, except, by_zone)
                                   : 0;
    rr_compute_allowed_zones_from(core, job, by_zone, placement_count, allowed);
}

bool rr_machine_has_task(const rr_machine *machine, const rr_job *job) {
    for (guint i = 0; i < machine->placements->len; i++) {
        const rr_placement *placement = &g_array_index(machine->placements, rr_placement, i);
        if (placement->job == job && placement->terminated_at <= 0) {
            return true;
        }
    }
    for (guint i = 0; machine->reserved_jobs && i < machine->reserved_jobs->len; i++) {
        if (g_array_index(machine->reserved_jobs, rr_job *, i) == job) {
            return true;
        }
    }
    return false;
}

bool rr_machine_accepts_job(const rr_core *core, const rr_machine *machine, const rr_job *job,
                            const bool *allowed, double now) {
    return machine->zone >= 0 && allowed[machine->zone] &&
           rr_job_allows_machine(core, job, machine->machine_type, machine->zone, machine->spot) &&
           rr_machine_schedulable(core, machine, now);
}
