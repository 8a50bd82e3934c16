/* Zone choice: zones that take all waiting tasks of the job come before those that take some of
 * them, and those before the rest; free resources scattered over machines too small for a task
 * don't count. Then the zone with the largest free share of its scarcest resource wins, as the
 * paper scores clusters. */
#include "core/scheduling/zone_choice.h"
#include "core/core_internal.h"
#include "core/scheduling/bin_packing.h"
#include "core/scheduling/placement_constraints.h"
#include "core/state/jobs.h"
#include "core/state/machine_pages.h"
#include "core/state/machines.h"
#include "core/state/resources.h"

#include <string.h>

/* What a zone has for the waiting tasks of a job. */
struct zone_room {
    rr_resources free, capacity;
    uint32_t fitting_tasks;            /* up to those that wait */
    uint32_t fitting_tasks_with_image; /* likewise, on machines that have the image; gangs only */
};

enum fit { FITS_NONE, FITS_SOME, FITS_ALL };

static enum fit fit_of(const struct zone_room *zone, uint32_t waiting_tasks) {
    if (zone->fitting_tasks == 0) {
        return FITS_NONE;
    }
    return zone->fitting_tasks < waiting_tasks ? FITS_SOME : FITS_ALL;
}

/* -1: the zone has no machine for the job. */
static double free_share(const struct zone_room *zone) {
    return zone->capacity.cpus > 0 ? rr_resources_free_share(zone->free, zone->capacity) : -1;
}

static bool is_better(const struct zone_room *left, const struct zone_room *right,
                      uint32_t waiting_tasks) {
    enum fit left_fit = fit_of(left, waiting_tasks), right_fit = fit_of(right, waiting_tasks);
    if (left_fit != right_fit) {
        return left_fit > right_fit;
    }
    /* A gang starts only when its last task has its image. */
    if (left->fitting_tasks_with_image != right->fitting_tasks_with_image) {
        return left->fitting_tasks_with_image > right->fitting_tasks_with_image;
    }
    return free_share(left) > free_share(right);
}

static void add_machine(const rr_core *core, const rr_job *job, const rr_machine *machine,
                        uint32_t waiting_tasks, struct zone_room *zone) {
    zone->free = rr_resources_add(zone->free, machine->free, 1);
    zone->capacity = rr_resources_add(zone->capacity, rr_machine_capacity(core, machine), 1);
    uint32_t fitting = rr_tasks_fitting(job->request, machine->free, waiting_tasks);
    zone->fitting_tasks = MIN(zone->fitting_tasks + fitting, waiting_tasks);
    if (job->submission.kind == RR_JOB_GANG && rr_machine_has_image(machine, job->image)) {
        zone->fitting_tasks_with_image =
            MIN(zone->fitting_tasks_with_image + fitting, waiting_tasks);
    }
}

int rr_zone_with_most_room(rr_core *core, const rr_job *job, const bool *allowed, double now) {
    guint zone_count = core->stored.zones.names->len;
    struct zone_room rooms[zone_count + 1];
    uint32_t waiting_tasks = job->submission.task_count -
                             MIN(job->submission.task_count, job->done_count + job->placed_count);
    memset(rooms, 0, sizeof rooms);
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        const rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        core->counters.machines_visited++;
        if (rr_machine_may_take(core, machine, job, allowed, now)) {
            add_machine(core, job, machine, waiting_tasks, &rooms[machine->zone]);
        }
    }
    int best = -1;
    for (guint zone = 0; zone < zone_count; zone++) {
        bool usable = free_share(&rooms[zone]) >= 0;
        if (usable && (best < 0 || is_better(&rooms[zone], &rooms[best], waiting_tasks))) {
            best = (int)zone;
        }
    }
    return best;
}
