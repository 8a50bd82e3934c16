/* The paper's Allocation phase as DESIGN cuts it down, used for new tasks and rounds alike: zone
 * groups first, to the zone with most free room on the scarcest resource, there the fitting machine
 * with least free room; other tasks to the fitting machine of least price x free room. */
#include "core/scheduling/bin_packing.h"
#include "core/core_internal.h"
#include "core/health/failure_detector.h"
#include "core/scheduling/reservation.h"
#include "core/state/jobs.h"
#include "core/state/ledger.h"
#include "core/state/machine_pages.h"
#include "core/state/machines.h"
#include "core/state/name_index.h"
#include "core/state/resources.h"

#include <math.h>
#include <string.h>

double rr_resources_free_share(rr_resources room, rr_resources capacity) {
    double free_share = 1;
    if (capacity.cpus > 0) {
        free_share = fmin(free_share, room.cpus / capacity.cpus);
    }
    if (capacity.gpus > 0) {
        free_share = fmin(free_share, room.gpus / capacity.gpus);
    }
    if (capacity.mem_gb > 0) {
        free_share = fmin(free_share, room.mem_gb / capacity.mem_gb);
    }
    return free_share < 0 ? 0 : free_share;
}

bool rr_job_zone_bound(const rr_job *job) {
    return job->submission.one_zone || job->submission.zone[0];
}

void rr_reset_free_resources(rr_core *core) {
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        machine->free = rr_resources_add(rr_machine_capacity(core, machine), machine->used, -1);
        /* What is known to be over takes no room any more, though its record waits for others. */
        for (guint k = 0; k < machine->placements->len; k++) {
            const rr_placement *placement = &g_array_index(machine->placements, rr_placement, k);
            machine->free = placement->terminated_at > 0
                                ? rr_resources_add(machine->free, placement->job->request, 1)
                                : machine->free;
        }
        machine->reserved_image = -1;
    }
}

bool rr_job_allows(const rr_core *core, const rr_job *job, int machine_type, int zone, bool spot) {
    if (spot && !job->submission.spot) {
        return false;
    }
    if (job->submission.zone[0] &&
        strcmp(job->submission.zone, rr_name_index_at(&core->stored.zones, zone)) != 0) {
        return false;
    }
    if (job->submission.machine_type_count == 0) {
        return true;
    }
    for (int i = 0; i < job->submission.machine_type_count; i++) {
        if (strcmp(job->submission.machine_types[i],
                   rr_name_index_at(&core->stored.machine_type_names, machine_type)) == 0) {
            return true;
        }
    }
    return false;
}

/* Placements of the job by zone, but those known to be over; a task being moved counts where it is
 * and where it goes. */
uint32_t rr_job_count_by_zone(const rr_core *core, const rr_job *job, const rr_placement *except,
                              uint32_t *by_zone) {
    uint32_t all = 0;
    (void)core;
    for (guint index = 0; job->records && index < job->records->len; index++) {
        const rr_ledger_record *record = g_ptr_array_index(job->records, index);
        for (guint i = 0; record && i < record->placements->len; i++) {
            const rr_placement_record *item =
                &g_array_index(record->placements, rr_placement_record, i);
            const rr_placement *placement =
                rr_placement_find(item->machine, item->attempt, job, item->task);
            if (item->machine->zone >= 0 && !item->machine->gone &&
                !(placement && placement->terminated_at > 0) &&
                !(except && item->attempt == except->attempt)) {
                by_zone[item->machine->zone]++;
                all++;
            }
        }
    }
    return all;
}

void rr_job_zones_from(const rr_core *core, const rr_job *job, const uint32_t *by_zone,
                       uint32_t all, bool *allowed) {
    uint32_t half = (job->submission.task_count + 1) / 2;
    for (guint zone = 0; zone < core->stored.zones.names->len; zone++) {
        allowed[zone] = true;
        if (job->submission.zone[0] &&
            strcmp(job->submission.zone, rr_name_index_at(&core->stored.zones, (int)zone)) != 0) {
            allowed[zone] = false;
        }
        if (job->submission.spread && by_zone[zone] >= half) {
            allowed[zone] = false;
        }
        if (job->submission.one_zone &&
            ((all && !by_zone[zone]) || (!all && job->zone >= 0 && job->zone != (int)zone))) {
            allowed[zone] = false;
        }
    }
}

void rr_job_zones(const rr_core *core, const rr_job *job, bool *allowed,
                  const rr_placement *except) {
    guint count = core->stored.zones.names->len;
    uint32_t by_zone[count + 1];
    memset(by_zone, 0, sizeof by_zone);
    uint32_t all = job->submission.one_zone || job->submission.spread
                       ? rr_job_count_by_zone(core, job, except, by_zone)
                       : 0;
    rr_job_zones_from(core, job, by_zone, all, allowed);
}

bool rr_machine_has_task(const rr_machine *machine, const rr_job *job) {
    for (guint k = 0; k < machine->placements->len; k++) {
        const rr_placement *placement = &g_array_index(machine->placements, rr_placement, k);
        if (placement->job == job && placement->terminated_at <= 0) {
            return true;
        }
    }
    for (guint k = 0; machine->reserved_jobs && k < machine->reserved_jobs->len; k++) {
        if (g_array_index(machine->reserved_jobs, rr_job *, k) == job) {
            return true;
        }
    }
    return false;
}

static bool failed_here(const rr_machine *machine, const rr_job *job) {
    for (guint k = 0; job->failed_machines && k < job->failed_machines->len; k++) {
        if (g_array_index(job->failed_machines, int, k) == machine->id) {
            return true;
        }
    }
    return false;
}

double rr_image_fetch_s(const rr_core *core, const rr_job *job, const rr_machine *machine) {
    const rr_machine_type *type = rr_machine_type_at(core, machine->machine_type);
    if (rr_machine_has_image(machine, job->image)) {
        return 0;
    }
    return type && type->pull_rate > 0 ? job->submission.image_size_gb / type->pull_rate : 5;
}

/* Sort key, least first. An image that is already there comes before price where the class has an
 * aim on its start, since a fetch can take longer than the aim allows. Elsewhere a fetch makes the
 * room dearer by the time it takes, since the room is held for that long too, and between equals
 * the machine that needs none wins; if all need one, the one that is not about to have this image
 * anyway: it will be ready for two kinds of work then. A machine that failed this job comes last.
 * Owners plan side by side: between equals each first takes machines of a part of its own, so that
 * two of them rarely book the same room, and while changes are short before all else: one
 * reservation in seven was refused, and each cost three changes. */
#define SHORT 0.3

struct rank {
    double trouble, image, cost, fetch, foreign, coming, room;
};

static bool image_coming(const rr_machine *machine, int image) {
    for (guint k = 0; k < machine->placements->len; k++) {
        if (g_array_index(machine->placements, rr_placement, k).job->image == image) {
            return true;
        }
    }
    return machine->reserved_image == image;
}

/* The same for all controllers, as machines' indices are not. */
static guint part_of(const rr_machine *machine) {
    return g_str_hash(machine->name);
}

void rr_list_candidates(rr_core *core, const rr_job *job,
                        const struct rr_placement_constraints *how, double now, GArray *out) {
    bool urgent = rr_objective_for(core, "wait", job->submission.job_class) != NULL;
    g_array_set_size(out, 0);
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        core->counters.machines_visited++;
        if (machine->zone < 0 || !how->zones[machine->zone] ||
            !rr_resources_fit(job->request, machine->free) ||
            !rr_job_allows(core, job, machine->machine_type, machine->zone, machine->spot) ||
            !how->filter(core, machine, now)) {
            continue;
        }
        double fetch = rr_image_fetch_s(core, job, machine);
        if ((how->need_image && fetch > 0) || (how->distinct_machines && machine != how->current &&
                                               rr_machine_has_task(machine, job))) {
            continue;
        }
        rr_candidate candidate = {
            .machine = machine, .capacity = rr_machine_capacity(core, machine), .fetch = fetch};
        candidate.failures = failed_here(machine, job)                  ? 2
                             : rr_machine_failed_recently(machine, now) ? 1
                                                                        : 0;
        candidate.image = urgent && fetch > 0;
        candidate.price = rr_job_zone_bound(job) ? 1 : rr_machine_price(core, machine);
        if (!urgent && job->submission.runtime_estimate_s > 0 && !rr_job_zone_bound(job)) {
            candidate.price *= 1 + fetch / job->submission.runtime_estimate_s;
        }
        /* A replica that is planned anew settles where it is, if it can. */
        candidate.foreign_shard =
            !how->current && core->membership.shard_count > 1 &&
            part_of(machine) % core->membership.shard_count != core->membership.shard;
        if (candidate.foreign_shard && core->planning.write_pressure > SHORT) {
            candidate.failures += 0.5;
        }
        candidate.booting = fetch > 0 && image_coming(machine, job->image);
        g_array_append_val(out, candidate);
    }
}

static struct rank rank_of(const struct rr_placement_constraints *how,
                           const rr_candidate *candidate) {
    double room = rr_resources_free_share(candidate->machine->free, candidate->capacity);
    struct rank rank = {
        .trouble = candidate->failures,
        .image = candidate->image,
        .cost = candidate->price * room,
        .fetch = candidate->fetch,
        .foreign = candidate->foreign_shard,
        .coming = candidate->booting,
        .room = room - (candidate->machine == how->current)}; /* between equals a task stays */
    return rank;
}

static bool better(const struct rank *left, const struct rank *right) {
    if (left->trouble != right->trouble) {
        return left->trouble < right->trouble;
    }
    if (left->image != right->image) {
        return left->image < right->image;
    }
    if (fabs(left->cost - right->cost) > 1e-9) {
        return left->cost < right->cost;
    }
    if (fabs(left->fetch - right->fetch) > 1e-9) {
        return left->fetch < right->fetch;
    }
    if (left->foreign != right->foreign) {
        return left->foreign < right->foreign;
    }
    if (left->coming != right->coming) {
        return left->coming < right->coming;
    }
    return left->room < right->room - 1e-9;
}

rr_machine *rr_bin_pack_from(rr_core *core, const rr_job *job,
                             const struct rr_placement_constraints *how, GArray *candidates) {
    rr_machine *best = NULL;
    struct rank best_rank = {0};
    for (guint i = 0; i < candidates->len;) {
        const rr_candidate *candidate = &g_array_index(candidates, rr_candidate, i);
        core->counters.machines_visited++;
        if (!rr_resources_fit(job->request, candidate->machine->free) ||
            (how->distinct_machines && candidate->machine != how->current &&
             candidate->machine->reserved_jobs && rr_machine_has_task(candidate->machine, job))) {
            g_array_remove_index_fast(candidates, i);
            continue;
        }
        struct rank rank = rank_of(how, candidate);
        /* Between equals the older machine, whatever the order of the list has become. */
        bool wins = !best || better(&rank, &best_rank) ||
                    (!better(&best_rank, &rank) && candidate->machine->id < best->id);
        if (how->zones[candidate->machine->zone] && wins) {
            best = candidate->machine;
            best_rank = rank;
        }
        i++;
    }
    return best;
}

rr_machine *rr_bin_pack(rr_core *core, const rr_job *job,
                        const struct rr_placement_constraints *how, double now) {
    GArray *candidates = g_array_new(FALSE, FALSE, sizeof(rr_candidate));
    rr_list_candidates(core, job, how, now, candidates);
    rr_machine *machine = rr_bin_pack_from(core, job, how, candidates);
    g_array_free(candidates, TRUE);
    return machine;
}

uint32_t rr_tasks_fitting(rr_resources need, rr_resources room, uint32_t most) {
    uint32_t count = 0;
    while (count < most && rr_resources_fit(need, room)) {
        room = rr_resources_add(room, need, -1);
        count++;
    }
    return count;
}

/* What a zone has for the tasks of a job that wait. */
struct zone_room {
    rr_resources free, capacity;
    uint32_t fitting; /* tasks, up to those that wait */
    uint32_t warm;    /* likewise, on machines that have the image; counted for gangs */
};

/* Free room in small pieces is none: a job once waited for the zone with most of it, where no
 * machine could take a task, while another zone had machines for all of them. So zones in which all
 * that waits of the job fits come before those that take part of it, and those before the rest. */
static int fit_class(const struct zone_room *zone, uint32_t wanted) {
    return zone->fitting == 0 ? 0 : zone->fitting < wanted ? 1 : 2;
}

/* The share of the zone that is free on its scarcest resource, as the paper scores clusters. */
static double free_share(const struct zone_room *zone) {
    return zone->capacity.cpus > 0 ? rr_resources_free_share(zone->free, zone->capacity) : -1;
}

/* A gang starts with its last image: of the zones that take all of it the one goes first in which
 * most of it finds its image. What it has to fetch there is found by the next. */
static bool better_zone(const struct zone_room *left, const struct zone_room *right,
                        uint32_t wanted) {
    int class_a = fit_class(left, wanted), class_b = fit_class(right, wanted);
    if (class_a != class_b) {
        return class_a > class_b;
    }
    if (left->warm != right->warm) {
        return left->warm > right->warm;
    }
    return free_share(left) > free_share(right);
}

static void add_machine(const rr_core *core, const rr_job *job, const rr_machine *machine,
                        uint32_t wanted, struct zone_room *zone) {
    zone->free = rr_resources_add(zone->free, machine->free, 1);
    zone->capacity = rr_resources_add(zone->capacity, rr_machine_capacity(core, machine), 1);
    uint32_t fitting = rr_tasks_fitting(job->request, machine->free, wanted);
    zone->fitting = MIN(zone->fitting + fitting, wanted);
    if (job->submission.kind == RR_JOB_GANG && rr_machine_has_image(machine, job->image)) {
        zone->warm = MIN(zone->warm + fitting, wanted);
    }
}

int rr_zone_with_most_room(rr_core *core, const rr_job *job, const bool *zones, double now) {
    guint count = core->stored.zones.names->len;
    struct zone_room rooms[count + 1];
    uint32_t wanted = job->submission.task_count -
                      MIN(job->submission.task_count, job->done_count + job->placed_count);
    memset(rooms, 0, sizeof rooms);
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        const rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        core->counters.machines_visited++;
        if (machine->zone >= 0 && zones[machine->zone] &&
            rr_job_allows(core, job, machine->machine_type, machine->zone, machine->spot) &&
            rr_machine_schedulable(core, machine, now)) {
            add_machine(core, job, machine, wanted, &rooms[machine->zone]);
        }
    }
    int best = -1;
    for (guint zone = 0; zone < count; zone++) {
        bool usable = free_share(&rooms[zone]) >= 0;
        if (usable && (best < 0 || better_zone(&rooms[zone], &rooms[best], wanted))) {
            best = (int)zone;
        }
    }
    return best;
}
