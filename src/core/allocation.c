/* The paper's Allocation phase as DESIGN cuts it down, used for new tasks and rounds alike: zone
 * groups first, to the zone with most free room on the scarcest resource, there the fitting machine
 * with least free room; other tasks to the fitting machine of least price x free room. */
#include "core/model.h"

#include <math.h>
#include <string.h>

double rr_resources_free_share(rr_resources room, rr_resources cap) {
    double r = 1;
    if (cap.cpus > 0) {
        r = fmin(r, room.cpus / cap.cpus);
    }
    if (cap.gpus > 0) {
        r = fmin(r, room.gpus / cap.gpus);
    }
    if (cap.mem_gb > 0) {
        r = fmin(r, room.mem_gb / cap.mem_gb);
    }
    return r < 0 ? 0 : r;
}

bool rr_job_zone_bound(const rr_job *j) {
    return j->submission.one_zone || j->submission.zone[0];
}

void rr_reset_free_resources(rr_core *c) {
    for (guint i = 0; i < c->machine_list->len; i++) {
        rr_machine *m = g_ptr_array_index(c->machine_list, i);
        m->free = rr_resources_add(rr_machine_capacity(c, m), m->used, -1);
        /* What is known to be over takes no room any more, though its record waits for others. */
        for (guint k = 0; k < m->placements->len; k++) {
            const rr_placement *p = &g_array_index(m->placements, rr_placement, k);
            m->free =
                p->terminated_at > 0 ? rr_resources_add(m->free, p->job->request, 1) : m->free;
        }
        m->reserved_image = -1;
    }
}

bool rr_job_allows(const rr_core *c, const rr_job *j, int build, int zone, bool spot) {
    if (spot && !j->submission.spot) {
        return false;
    }
    if (j->submission.zone[0] &&
        strcmp(j->submission.zone, rr_name_index_at(&c->zones, zone)) != 0) {
        return false;
    }
    if (j->submission.machine_type_count == 0) {
        return true;
    }
    for (int i = 0; i < j->submission.machine_type_count; i++) {
        if (strcmp(j->submission.machine_types[i], rr_name_index_at(&c->machine_types, build)) ==
            0) {
            return true;
        }
    }
    return false;
}

/* Placements of the job by zone, but those known to be over; a task being moved counts where it is
 * and where it goes. */
uint32_t rr_job_count_by_zone(const rr_core *c, const rr_job *j, const rr_placement *except,
                              uint32_t *by_zone) {
    uint32_t all = 0;
    (void)c;
    for (guint n = 0; j->records && n < j->records->len; n++) {
        const rr_ledger_record *r = g_ptr_array_index(j->records, n);
        for (guint i = 0; r && i < r->placements->len; i++) {
            const rr_placement_record *it = &g_array_index(r->placements, rr_placement_record, i);
            const rr_placement *p = rr_placement_find(it->machine, it->attempt, j, it->task);
            if (it->machine->zone >= 0 && !it->machine->gone && !(p && p->terminated_at > 0) &&
                !(except && it->attempt == except->attempt)) {
                by_zone[it->machine->zone]++;
                all++;
            }
        }
    }
    return all;
}

void rr_job_zones_from(const rr_core *c, const rr_job *j, const uint32_t *by_zone, uint32_t all,
                       bool *allowed) {
    uint32_t half = (j->submission.task_count + 1) / 2;
    for (guint w = 0; w < c->zones.names->len; w++) {
        allowed[w] = true;
        if (j->submission.zone[0] &&
            strcmp(j->submission.zone, rr_name_index_at(&c->zones, (int)w)) != 0) {
            allowed[w] = false;
        }
        if (j->submission.spread && by_zone[w] >= half) {
            allowed[w] = false;
        }
        if (j->submission.one_zone &&
            ((all && !by_zone[w]) || (!all && j->zone >= 0 && j->zone != (int)w))) {
            allowed[w] = false;
        }
    }
}

void rr_job_zones(const rr_core *c, const rr_job *j, bool *allowed, const rr_placement *except) {
    guint n = c->zones.names->len;
    uint32_t by_zone[n + 1];
    memset(by_zone, 0, sizeof by_zone);
    uint32_t all = j->submission.one_zone || j->submission.spread
                       ? rr_job_count_by_zone(c, j, except, by_zone)
                       : 0;
    rr_job_zones_from(c, j, by_zone, all, allowed);
}

bool rr_machine_has_task(const rr_machine *m, const rr_job *j) {
    for (guint k = 0; k < m->placements->len; k++) {
        const rr_placement *p = &g_array_index(m->placements, rr_placement, k);
        if (p->job == j && p->terminated_at <= 0) {
            return true;
        }
    }
    for (guint k = 0; m->reserved_jobs && k < m->reserved_jobs->len; k++) {
        if (g_array_index(m->reserved_jobs, rr_job *, k) == j) {
            return true;
        }
    }
    return false;
}

static bool failed_here(const rr_machine *m, const rr_job *j) {
    for (guint k = 0; j->failed_machines && k < j->failed_machines->len; k++) {
        if (g_array_index(j->failed_machines, int, k) == m->id) {
            return true;
        }
    }
    return false;
}

double rr_image_fetch_s(const rr_core *c, const rr_job *j, const rr_machine *m) {
    const rr_machine_type *b = rr_machine_type_at(c, m->machine_type);
    if (rr_machine_has_image(m, j->image)) {
        return 0;
    }
    return b && b->pull_rate > 0 ? j->submission.image_size_gb / b->pull_rate : 5;
}

/* Sort key, least first. An image that is already there comes before price where the class has an
 * aim on its start, since a fetch can take longer than the aim allows. Elsewhere a fetch makes the
 * room dearer by the time it takes, since the room is held for that long too, and between equals
 * the machine that needs none wins; if all need one, the one that is not about to have this image
 * anyway: it will be ready for two kinds of work then. A machine that failed this job comes last.
 * Owners plan side by side: between equals each first takes machines of a part of its own, so that
 * two of them rarely book the same room, and while changes are short before all else: one booking
 * in seven was refused, and each cost three changes. */
#define SHORT 0.3

struct rank {
    double trouble, image, cost, fetch, foreign, coming, room;
};

static bool image_coming(const rr_machine *m, int image) {
    for (guint k = 0; k < m->placements->len; k++) {
        if (g_array_index(m->placements, rr_placement, k).job->image == image) {
            return true;
        }
    }
    return m->reserved_image == image;
}

/* The same for all controllers, as machines' indices are not. */
static guint part_of(const rr_machine *m) {
    return g_str_hash(m->name);
}

void rr_list_candidates(rr_core *c, const rr_job *j, const struct rr_placement_constraints *how,
                        double now, GArray *out) {
    bool urgent = rr_objective_for(c, "wait", j->submission.job_class) != NULL;
    g_array_set_size(out, 0);
    for (guint i = 0; i < c->machine_list->len; i++) {
        rr_machine *m = g_ptr_array_index(c->machine_list, i);
        c->visits++;
        if (m->zone < 0 || !how->zones[m->zone] || !rr_resources_fit(j->request, m->free) ||
            !rr_job_allows(c, j, m->machine_type, m->zone, m->spot) || !how->filter(c, m, now)) {
            continue;
        }
        double fetch = rr_image_fetch_s(c, j, m);
        if ((how->need_image && fetch > 0) ||
            (how->distinct_machines && m != how->current && rr_machine_has_task(m, j))) {
            continue;
        }
        rr_candidate k = {.machine = m, .capacity = rr_machine_capacity(c, m), .fetch = fetch};
        k.failures = failed_here(m, j) ? 2 : rr_machine_failed_recently(m, now) ? 1 : 0;
        k.image = urgent && fetch > 0;
        k.price = rr_job_zone_bound(j) ? 1 : rr_machine_price(c, m);
        if (!urgent && j->submission.runtime_estimate_s > 0 && !rr_job_zone_bound(j)) {
            k.price *= 1 + fetch / j->submission.runtime_estimate_s;
        }
        /* A replica that is planned anew settles where it is, if it can. */
        k.foreign_shard = !how->current && c->parts > 1 && part_of(m) % c->parts != c->part;
        if (k.foreign_shard && c->pressure > SHORT) {
            k.failures += 0.5;
        }
        k.booting = fetch > 0 && image_coming(m, j->image);
        g_array_append_val(out, k);
    }
}

static struct rank rank_of(const struct rr_placement_constraints *how, const rr_candidate *k) {
    double room = rr_resources_free_share(k->machine->free, k->capacity);
    struct rank r = {.trouble = k->failures,
                     .image = k->image,
                     .cost = k->price * room,
                     .fetch = k->fetch,
                     .foreign = k->foreign_shard,
                     .coming = k->booting,
                     .room = room - (k->machine == how->current)}; /* between equals a task stays */
    return r;
}

static bool better(const struct rank *a, const struct rank *b) {
    if (a->trouble != b->trouble) {
        return a->trouble < b->trouble;
    }
    if (a->image != b->image) {
        return a->image < b->image;
    }
    if (fabs(a->cost - b->cost) > 1e-9) {
        return a->cost < b->cost;
    }
    if (fabs(a->fetch - b->fetch) > 1e-9) {
        return a->fetch < b->fetch;
    }
    if (a->foreign != b->foreign) {
        return a->foreign < b->foreign;
    }
    if (a->coming != b->coming) {
        return a->coming < b->coming;
    }
    return a->room < b->room - 1e-9;
}

rr_machine *rr_bin_pack_from(rr_core *c, const rr_job *j,
                             const struct rr_placement_constraints *how, GArray *cands) {
    rr_machine *best = NULL;
    struct rank best_rank = {0};
    for (guint i = 0; i < cands->len;) {
        const rr_candidate *k = &g_array_index(cands, rr_candidate, i);
        c->visits++;
        if (!rr_resources_fit(j->request, k->machine->free) ||
            (how->distinct_machines && k->machine != how->current && k->machine->reserved_jobs &&
             rr_machine_has_task(k->machine, j))) {
            g_array_remove_index_fast(cands, i);
            continue;
        }
        struct rank r = rank_of(how, k);
        /* Between equals the older machine, whatever the order of the list has become. */
        bool wins = !best || better(&r, &best_rank) ||
                    (!better(&best_rank, &r) && k->machine->id < best->id);
        if (how->zones[k->machine->zone] && wins) {
            best = k->machine;
            best_rank = r;
        }
        i++;
    }
    return best;
}

rr_machine *rr_bin_pack(rr_core *c, const rr_job *j, const struct rr_placement_constraints *how,
                        double now) {
    GArray *cands = g_array_new(FALSE, FALSE, sizeof(rr_candidate));
    rr_list_candidates(c, j, how, now, cands);
    rr_machine *m = rr_bin_pack_from(c, j, how, cands);
    g_array_free(cands, TRUE);
    return m;
}

uint32_t rr_tasks_fitting(rr_resources need, rr_resources room, uint32_t most) {
    uint32_t n = 0;
    while (n < most && rr_resources_fit(need, room)) {
        room = rr_resources_add(room, need, -1);
        n++;
    }
    return n;
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
static bool better_zone(const struct zone_room *a, const struct zone_room *b, uint32_t wanted) {
    int class_a = fit_class(a, wanted), class_b = fit_class(b, wanted);
    if (class_a != class_b) {
        return class_a > class_b;
    }
    if (a->warm != b->warm) {
        return a->warm > b->warm;
    }
    return free_share(a) > free_share(b);
}

static void add_machine(const rr_core *c, const rr_job *j, const rr_machine *m, uint32_t wanted,
                        struct zone_room *zone) {
    zone->free = rr_resources_add(zone->free, m->free, 1);
    zone->capacity = rr_resources_add(zone->capacity, rr_machine_capacity(c, m), 1);
    uint32_t fitting = rr_tasks_fitting(j->request, m->free, wanted);
    zone->fitting = MIN(zone->fitting + fitting, wanted);
    if (j->submission.kind == RR_JOB_GANG && rr_machine_has_image(m, j->image)) {
        zone->warm = MIN(zone->warm + fitting, wanted);
    }
}

int rr_zone_with_most_room(rr_core *c, const rr_job *j, const bool *zones, double now) {
    guint n = c->zones.names->len;
    struct zone_room rooms[n + 1];
    uint32_t wanted =
        j->submission.task_count - MIN(j->submission.task_count, j->done_count + j->placed_count);
    memset(rooms, 0, sizeof rooms);
    for (guint i = 0; i < c->machine_list->len; i++) {
        const rr_machine *m = g_ptr_array_index(c->machine_list, i);
        c->visits++;
        if (m->zone >= 0 && zones[m->zone] &&
            rr_job_allows(c, j, m->machine_type, m->zone, m->spot) &&
            rr_machine_schedulable(c, m, now)) {
            add_machine(c, j, m, wanted, &rooms[m->zone]);
        }
    }
    int best = -1;
    for (guint zone = 0; zone < n; zone++) {
        bool usable = free_share(&rooms[zone]) >= 0;
        if (usable && (best < 0 || better_zone(&rooms[zone], &rooms[best], wanted))) {
            best = (int)zone;
        }
    }
    return best;
}
