/* Chooses the zone of a job. Zones that take all waiting tasks come before zones that take some of
 * them, and these before all others; free resources scattered over machines that are too small for
 * a task don't count. For gangs, zones with capacity for more tasks on machines that have the image
 * come next. Then the zone with the largest free share of its scarcest resource is chosen, which is
 * how the paper cited in DESIGN scores clusters. */
#include "core/scheduling/zone_choice.h"
#include "core/core_internal.h"
#include "core/scheduling/bin_packing.h"
#include "core/scheduling/placement_constraints.h"
#include "core/state/jobs.h"
#include "core/state/machine_pages.h"
#include "core/state/machines.h"
#include "core/state/resources.h"

#include <string.h>

/* The resources of a zone's machines that may take a job's waiting tasks, and how many fit. */
struct zone_resources {
    rr_resources free, capacity;       /* sums over the machines */
    uint32_t fitting_tasks;            /* at most the number of waiting tasks */
    uint32_t fitting_tasks_with_image; /* of these, on machines that have the image; 0 unless the
                                          job is a gang */
};

/* How many of the waiting tasks fit in a zone. Greater values are better. */
enum fit { FITS_NONE, FITS_SOME, FITS_ALL };

static enum fit classify_fit(const struct zone_resources *zone, uint32_t waiting_tasks) {
    if (zone->fitting_tasks == 0) {
        return FITS_NONE;
    }
    return zone->fitting_tasks < waiting_tasks ? FITS_SOME : FITS_ALL;
}

/* Returns the free share of the zone's scarcest resource, 0 to 1, or -1 if the zone has no machine
 * for the job. */
static double compute_free_share(const struct zone_resources *zone) {
    return zone->capacity.cpus > 0 ? rr_resources_free_share(zone->free, zone->capacity) : -1;
}

/* Whether the left zone suits the job better than the right one. */
static bool is_better_zone(const struct zone_resources *left, const struct zone_resources *right,
                           uint32_t waiting_tasks) {
    enum fit left_fit = classify_fit(left, waiting_tasks),
             right_fit = classify_fit(right, waiting_tasks);
    if (left_fit != right_fit) {
        return left_fit > right_fit;
    }
    /* A gang starts only once all of its tasks have their images. */
    if (left->fitting_tasks_with_image != right->fitting_tasks_with_image) {
        return left->fitting_tasks_with_image > right->fitting_tasks_with_image;
    }
    return compute_free_share(left) > compute_free_share(right);
}

/* Adds a machine that may take the job's tasks to its zone's sums. */
static void add_machine_to_zone(const rr_core *core, const rr_job *job, const rr_machine *machine,
                                uint32_t waiting_tasks, struct zone_resources *zone) {
    zone->free = rr_resources_add(zone->free, machine->free, 1);
    zone->capacity = rr_resources_add(zone->capacity, rr_machine_capacity(core, machine), 1);
    uint32_t fitting = rr_count_fitting_tasks(job->request, machine->free, waiting_tasks);
    zone->fitting_tasks = MIN(zone->fitting_tasks + fitting, waiting_tasks);
    if (job->submission.kind == RR_JOB_GANG && rr_machine_has_image(machine, job->image)) {
        zone->fitting_tasks_with_image =
            MIN(zone->fitting_tasks_with_image + fitting, waiting_tasks);
    }
}

int rr_choose_zone(rr_core *core, const rr_job *job, const bool *allowed, double now) {
    guint zone_count = core->stored.zones.names->len;
    struct zone_resources by_zone[zone_count + 1];
    uint32_t waiting_tasks = job->submission.task_count -
                             MIN(job->submission.task_count, job->done_count + job->placed_count);
    memset(by_zone, 0, sizeof by_zone);
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        const rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        core->counters.machines_examined++;
        if (rr_machine_accepts_job(core, machine, job, allowed, now)) {
            add_machine_to_zone(core, job, machine, waiting_tasks, &by_zone[machine->zone]);
        }
    }
    int best = -1;
    for (guint zone = 0; zone < zone_count; zone++) {
        bool usable = compute_free_share(&by_zone[zone]) >= 0;
        if (usable && (best < 0 || is_better_zone(&by_zone[zone], &by_zone[best], waiting_tasks))) {
            best = (int)zone;
        }
    }
    return best;
}
