/* What the autoscaler rents: waiting work and headroom are put on paper onto the machines there
 * are, then onto machines to rent. */
#include "core/autoscaling/autoscaler.h"
#include "core/autoscaling/autoscaling_state.h"
#include "core/core_internal.h"
#include "core/health/failure_detector.h"
#include "core/scheduling/bin_packing.h"
#include "core/scheduling/reservation.h"
#include "core/state/jobs.h"
#include "core/state/ledger.h"
#include "core/state/machine_pages.h"
#include "core/state/machines.h"
#include "core/state/name_index.h"
#include "core/state/resources.h"
#include "core/state/transaction.h"
#include "core/state/transfer_holds.h"
#include "core/scaling.h"

#include <math.h>
#include <string.h>

#define RENTAL_MAX 50      /* the cloud's limit a call */
#define RENTALS_MAX 24     /* intents at a time */
#define WANTED_MAX 5000    /* tasks of one job for which room is looked for at a time */
#define START_STOCK_S 20.0 /* jobs that came so soon after the first term were there before */

struct planned_rental {
    int machine_type, zone;
    bool spot;
    int count;
    rr_resources room; /* of the newest */
};

static bool is_refused(rr_core *core, const char *machine_type, const char *zone, bool spot,
                       double now) {
    char *key = rr_refusal_key(machine_type, zone, spot);
    const double *until = g_hash_table_lookup(core->autoscaling.refused_capacity, key);
    g_free(key);
    return until && now < *until;
}

/* A machine that new work can count on: usable now, or booting within patience. */
static bool counts(const rr_core *core, const rr_machine *machine, double now) {
    const rr_machine_type *type = rr_machine_type_at(core, machine->machine_type);
    if (!machine->recorded || machine->scaling_in || machine->to_release || !type) {
        return false;
    }
    if (!machine->heartbeat_seen) {
        return now - machine->known_at < core->config->tuning.boot_patience * type->startup_s + 5;
    }
    return rr_machine_schedulable(core, machine, now) ||
           (rr_machine_heartbeat_recent(core, machine, now) &&
            machine->heartbeat.spot_notice_s < 0 && !rr_machine_quarantined(machine, now) &&
            !rr_machine_heartbeats_lost(core, machine, now));
}

/* One simulation: what waits is put on paper onto the machines there are, then onto machines to
 * rent. */
struct demand_simulation {
    rr_core *core;
    double now, wall;
    GArray *rentals;  /* struct rent */
    GPtrArray *roomy; /* rr_machine*: with room left, cheapest and fullest first */
    guint *in_zone;   /* machines by zone, with those to rent */
};

static bool roomy(const rr_core *core, const rr_machine *machine) {
    return rr_resources_free_share(machine->free, rr_machine_capacity(core, machine)) >
           RR_RESOURCE_EPSILON;
}

static const rr_core *sort_core; /* qsort has no argument; the core is one call at a time */

static gint by_cost(gconstpointer left_item, gconstpointer right_item) {
    const rr_machine *left = *(rr_machine *const *)left_item,
                     *right = *(rr_machine *const *)right_item;
    double left_cost = rr_machine_price(sort_core, left) *
                       rr_resources_free_share(left->free, rr_machine_capacity(sort_core, left));
    double right_cost = rr_machine_price(sort_core, right) *
                        rr_resources_free_share(right->free, rr_machine_capacity(sort_core, right));
    if (fabs(left_cost - right_cost) > 1e-9) {
        return left_cost < right_cost ? -1 : 1;
    }
    return left->id - right->id;
}

/* The machines that have room on paper, as the paper's choice would take them. */
static void sort_roomy(struct demand_simulation *sim) {
    rr_core *core = sim->core;
    g_ptr_array_set_size(sim->roomy, 0);
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        core->counters.machines_visited++;
        if (counts(core, machine, sim->now) && roomy(core, machine)) {
            g_ptr_array_add(sim->roomy, machine);
        }
    }
    sort_core = core;
    g_ptr_array_sort(sim->roomy, by_cost);
}

/* Puts up to n tasks of the job on machines there are, so many on each at most; returns how many
 * found no room. */
static uint32_t fill_machines(struct demand_simulation *sim, const rr_job *job, const bool *zones,
                              uint32_t count, uint32_t each) {
    rr_core *core = sim->core;
    guint kept = 0;
    guint i = 0;
    for (; i < sim->roomy->len && count > 0; i++) {
        rr_machine *machine = g_ptr_array_index(sim->roomy, i);
        core->counters.machines_visited++;
        if (machine->zone >= 0 && zones[machine->zone] &&
            rr_job_allows(core, job, machine->machine_type, machine->zone, machine->spot)) {
            uint32_t k = rr_tasks_fitting(job->request, machine->free, MIN(count, each));
            machine->free = rr_resources_add(machine->free, job->request, -(double)k);
            machine->surplus = machine->surplus && k == 0;
            count -= k;
        }
        if (roomy(core, machine)) {
            sim->roomy->pdata[kept++] = machine;
        }
    }
    for (; i < sim->roomy->len; i++) {
        sim->roomy->pdata[kept++] = sim->roomy->pdata[i];
    }
    g_ptr_array_set_size(sim->roomy, (gint)kept);
    return count;
}

/* A place where a machine could be rented for a task. */
struct offer {
    struct planned_rental rental;
    double price;  /* of the task's share of the machine */
    guint in_zone; /* machines of the zone, with those to rent */
};

static bool better_offer(const struct offer *left, const struct offer *right) {
    if (right->rental.machine_type < 0 || left->price < right->price - 1e-9) {
        return true;
    }
    return left->price < right->price + 1e-9 && left->in_zone < right->in_zone;
}

/* The machine type's cheapest offer for the task, if it is better than *best. */
static void consider_machine_type(const struct demand_simulation *sim, const rr_job *job,
                                  const bool *zones, int machine_type, struct offer *best) {
    rr_core *core = sim->core;
    const rr_machine_type *type = rr_machine_type_at(core, machine_type);
    rr_resources capacity =
        type ? (rr_resources){type->cpus, type->gpus, type->mem_gb} : (rr_resources){0, 0, 0};
    if (!type || !rr_resources_fit(job->request, capacity)) {
        return;
    }
    double share =
        1 - rr_resources_free_share(rr_resources_add(capacity, job->request, -1), capacity);
    for (guint i = 0; i < 2 * type->zones->len; i++) {
        int zone = rr_name_index_find(&core->stored.zones, g_ptr_array_index(type->zones, i / 2));
        bool spot = i % 2 == 1;
        if (zone < 0 || !zones[zone] || !rr_job_allows(core, job, machine_type, zone, spot) ||
            is_refused(core, type->name, rr_name_index_at(&core->stored.zones, zone), spot,
                       sim->now)) {
            continue;
        }
        struct offer offer = {{machine_type, zone, spot, 0, capacity},
                              (spot ? type->spot_price : type->price) * share,
                              sim->in_zone[zone]};
        if (better_offer(&offer, best)) {
            *best = offer;
        }
    }
}

/* One machine more of this type, zone and kind is to be rented. */
static struct planned_rental *add_rental(struct demand_simulation *sim,
                                         const struct planned_rental *rent) {
    for (guint i = 0; i < sim->rentals->len; i++) {
        struct planned_rental *existing = &g_array_index(sim->rentals, struct planned_rental, i);
        if (existing->machine_type == rent->machine_type && existing->zone == rent->zone &&
            existing->spot == rent->spot) {
            existing->count++;
            existing->room = rent->room;
            return existing;
        }
    }
    g_array_append_val(sim->rentals, *rent);
    struct planned_rental *added =
        &g_array_index(sim->rentals, struct planned_rental, sim->rentals->len - 1);
    added->count = 1;
    return added;
}

/* The cheapest place that would take the task, per task that fits; between equals the zone with
 * fewest machines. */
static struct planned_rental *plan_rental_for(struct demand_simulation *sim, const rr_job *job,
                                              const bool *zones) {
    struct offer best = {.rental = {.machine_type = -1}};
    for (guint machine_type = 0; machine_type < sim->core->stored.machine_types->len;
         machine_type++) {
        consider_machine_type(sim, job, zones, (int)machine_type, &best);
    }
    if (best.rental.machine_type < 0) {
        return NULL;
    }
    sim->in_zone[best.rental.zone]++;
    return add_rental(sim, &best.rental);
}

static bool fill_planned_rentals(struct demand_simulation *sim, const rr_job *job,
                                 const bool *zones) {
    for (guint i = 0; i < sim->rentals->len; i++) {
        struct planned_rental *rent = &g_array_index(sim->rentals, struct planned_rental, i);
        if (zones[rent->zone] &&
            rr_job_allows(sim->core, job, rent->machine_type, rent->zone, rent->spot) &&
            rr_resources_fit(job->request, rent->room)) {
            rent->room = rr_resources_add(rent->room, job->request, -1);
            return true;
        }
    }
    return false;
}

/* Finds room for n more tasks: on machines there are, or on machines to rent. A job spread over
 * zones rents in turn where it may still go. */
static void demand(struct demand_simulation *sim, const rr_job *job, bool *zones, uint32_t count,
                   uint32_t each, bool may_rent) {
    count = fill_machines(sim, job, zones, count, each);
    for (; may_rent && count > 0; count--) {
        if (fill_planned_rentals(sim, job, zones)) {
            continue;
        }
        struct planned_rental *rent = plan_rental_for(sim, job, zones);
        if (!rent) {
            return;
        }
        rent->room = rr_resources_add(rent->room, job->request, -1);
    }
}

/* Deadline work waits for room to come free while it can still make it on a new machine. */
static bool must_scale_out(const rr_core *core, const rr_job *job, double wall) {
    if (job->submission.deadline_s < 0) {
        return true;
    }
    double boot = 0, pull = 0;
    for (guint i = 0; i < core->stored.machine_types->len; i++) {
        const rr_machine_type *type = rr_machine_type_at(core, (int)i);
        if (type) {
            boot = fmax(boot, type->startup_s);
            pull = fmax(pull,
                        type->pull_rate > 0 ? job->submission.image_size_gb / type->pull_rate : 0);
        }
    }
    double slack = job->accepted_at + job->submission.deadline_s - wall -
                   1.3 * job->submission.runtime_estimate_s - 1.3 * boot - pull;
    return slack < 40;
}

/* Placements on machines that are gone or given up as dead. Their owners clear the ledger as
 * changes allow: waiting for that, the autoscaler rented for 1,200 lost tasks over a minute and a
 * half. */
static void count_lost(const rr_core *core) {
    for (guint i = 0; i < core->stored.open_jobs->len; i++) {
        ((rr_job *)g_ptr_array_index(core->stored.open_jobs, i))->lost_count = 0;
    }
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        const rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        for (guint k = 0; k < machine->placements->len &&
                          (machine->gone || (machine->to_release && machine->declared_dead));
             k++) {
            const rr_placement *placement = &g_array_index(machine->placements, rr_placement, k);
            placement->job->lost_count += !rr_job_task_done(placement->job, placement->task);
        }
    }
}

/* Room for a gang in one zone is of no use in pieces over several: the zone in which most of it
 * fits now, or else any one of those allowed. */
static void one_zone(struct demand_simulation *sim, const rr_job *job, bool *zones) {
    rr_core *core = sim->core;
    int best = rr_zone_with_most_room(core, job, zones, sim->now);
    for (guint zone = 0; zone < core->stored.zones.names->len; zone++) {
        best = best < 0 && zones[zone] ? (int)zone : best;
        zones[zone] = (int)zone == best;
    }
}

/* Tasks of the job for which room is wanted: no more than the team's limit lets run at a time, and
 * than can be rented soon. */
static uint32_t wanted_tasks(const rr_core *core, const rr_job *job) {
    if (!job->version || job->cancelled || job->done || rr_job_transferred(core, job) ||
        rr_job_of_another_cell(core, job) || job->team < 0 ||
        (size_t)job->team >= core->config->team_count) {
        return 0;
    }
    const struct rr_team_config *team = &core->config->teams[job->team];
    uint32_t count =
        MIN(job->submission.task_count - job->done_count - job->placed_count + job->lost_count,
            job->submission.task_count - job->done_count);
    count = MIN(count, WANTED_MAX);
    if (team->cpus_max > 0 && job->request.cpus > 0) {
        count = MIN(count, (uint32_t)(team->cpus_max / job->request.cpus + 1));
    }
    if (team->gpus_max > 0 && job->request.gpus > 0) {
        count = MIN(count, (uint32_t)(team->gpus_max / job->request.gpus + 1));
    }
    return count;
}

static void demand_waiting(struct demand_simulation *sim) {
    const rr_core *core = sim->core;
    count_lost(core);
    for (guint i = 0; i < core->stored.open_jobs->len; i++) {
        const rr_job *job = g_ptr_array_index(core->stored.open_jobs, i);
        uint32_t count = wanted_tasks(core, job);
        bool zones[core->stored.zones.names->len + 1];
        if (count == 0) {
            continue;
        }
        rr_job_zones(core, job, zones, NULL);
        if (job->submission.kind == RR_JOB_GANG && job->submission.one_zone) {
            one_zone(sim, job, zones);
        }
        /* A service's replicas keep separate machines. */
        demand(sim, job, zones, count, job->submission.kind == RR_JOB_SERVICE ? 1 : count,
               must_scale_out(core, job, sim->wall));
    }
}

/* Work that would make room for the class and can save within its aim is as good as free room. */
static void credit_preemptible(rr_core *core, const rr_job *job, double within_s, double now) {
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        for (guint k = 0; k < machine->placements->len && counts(core, machine, now); k++) {
            const rr_placement *placement = &g_array_index(machine->placements, rr_placement, k);
            const rr_submission *submission = &placement->job->submission;
            if (submission->kind == RR_JOB_ARRAY &&
                submission->priority < job->submission.priority &&
                job->submission.priority > RR_PRIORITY_STANDARD &&
                submission->checkpoint_interval_s > 0 && submission->save_s + 1 <= within_s &&
                rr_job_allows(core, job, machine->machine_type, machine->zone, machine->spot)) {
                machine->free = rr_resources_add(machine->free, placement->job->request, 1);
            }
        }
    }
}

/* Tasks of the class that have arrived lately, and the last of their jobs. What came at the very
 * start was a stock, not a rate. */
static double arrived_tasks(const rr_core *core, const char *job_class, const rr_job **last) {
    double tasks = 0;
    *last = NULL;
    for (guint k = 0; k < core->stored.arrivals->len; k++) {
        const rr_job *job = g_array_index(core->stored.arrivals, rr_job *, k);
        if (strcmp(job->submission.job_class, job_class) == 0) {
            *last = job;
            tasks += job->accepted_at > core->membership.term.first_term_at + START_STOCK_S
                         ? job->submission.task_count
                         : 0;
        }
    }
    return tasks;
}

static double longest_boot(const rr_core *core) {
    double boot = 0;
    for (guint i = 0; i < core->stored.machine_types->len; i++) {
        const rr_machine_type *type = rr_machine_type_at(core, (int)i);
        boot = type ? fmax(boot, type->startup_s) : boot;
    }
    return boot;
}

/* Room kept for a class with an aim on its start: what arrives while a machine boots. */
static void demand_headroom(struct demand_simulation *sim) {
    rr_core *core = sim->core;
    rr_arrivals_trim(core, sim->wall);
    double span =
        fmin(RR_ARRIVAL_WINDOW_S, fmax(60, sim->wall - core->membership.term.first_term_at));
    for (size_t i = 0; i < core->config->objective_count; i++) {
        const struct rr_objective *objective = &core->config->objectives[i];
        const rr_job *last;
        if (strcmp(objective->kind, "wait") != 0) {
            continue;
        }
        double tasks = arrived_tasks(core, objective->job_class, &last);
        if (!last) {
            continue;
        }
        double mean = tasks / span * (1.2 * longest_boot(core) + 10);
        int count = (int)ceil(core->config->tuning.headroom * (mean + sqrt(mean)));
        bool zones[core->stored.zones.names->len + 1];
        for (guint zone = 0; zone < core->stored.zones.names->len; zone++) {
            zones[zone] = !last->submission.zone[0] ||
                          strcmp(last->submission.zone,
                                 rr_name_index_at(&core->stored.zones, (int)zone)) == 0;
        }
        credit_preemptible(core, last, objective->within_s, sim->now);
        sort_roomy(sim);
        demand(sim, last, zones, (uint32_t)MAX(count, 0), (uint32_t)MAX(count, 0), true);
    }
}

/* Machines asked for and not yet recorded, of this type, zone and kind. */
static int pending_for(const rr_core *core, const struct planned_rental *rent) {
    GHashTableIter iter;
    gpointer value;
    int count = 0;
    g_hash_table_iter_init(&iter, core->autoscaling.rentals);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const rr_rental *rental = value;
        if (strcmp(rental->machine_type,
                   rr_name_index_at(&core->stored.machine_type_names, rent->machine_type)) == 0 &&
            strcmp(rental->zone, rr_name_index_at(&core->stored.zones, rent->zone)) == 0 &&
            rental->spot == rent->spot) {
            count += rental->count;
        }
    }
    return count;
}

static void put_intent(rr_core *core, const struct planned_rental *rent, int count,
                       rr_autoscaler_step *out) {
    char name[RR_ID_SIZE], key[RR_ID_SIZE + 32];
    rr_encoder encoder;
    /* A request's name is never used again: token, counter. */
    g_snprintf(name, sizeof name, "rr-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT,
               core->membership.term.token, ++core->membership.attempt_counter);
    rr_rental_key(name, key, sizeof key);
    rr_encoder_init(&encoder);
    rr_encode_map(&encoder, 4);
    rr_encode_key_text(&encoder, "build",
                       rr_name_index_at(&core->stored.machine_type_names, rent->machine_type));
    rr_encode_key_text(&encoder, "ward", rr_name_index_at(&core->stored.zones, rent->zone));
    rr_encode_key_bool(&encoder, "loaners", rent->spot);
    rr_encode_key_u64(&encoder, "n", (uint64_t)count);
    rr_transaction_guard(&out->transaction, key, 0);
    rr_transaction_put(&out->transaction, key, &encoder, 0);
}

/* Intents for what is to be rented, less what is under way. */
static void put_intents(rr_core *core, const GArray *rents, rr_autoscaler_step *out) {
    for (guint i = 0; i < rents->len; i++) {
        const struct planned_rental *rent = &g_array_index(rents, struct planned_rental, i);
        int left = rent->count - pending_for(core, rent);
        while (left > 0 &&
               (int)out->transaction.changes->len < rr_transaction_changes_max(core->config) &&
               g_hash_table_size(core->autoscaling.rentals) + out->transaction.changes->len <
                   RENTALS_MAX) {
            int count = MIN(left, RENTAL_MAX);
            put_intent(core, rent, count, out);
            left -= count;
        }
    }
}

bool rr_autoscaler_step_demand(rr_core *core, double now, double wall, rr_autoscaler_step *out) {
    if (now - core->autoscaling.demand_at < 1 || !core->autoscaling.list_read ||
        !core->stored.catalog_known) {
        return false;
    }
    core->autoscaling.demand_at = now;
    guint in_zone[core->stored.zones.names->len + 1];
    memset(in_zone, 0, sizeof in_zone);
    struct demand_simulation sim = {core,
                                    now,
                                    wall,
                                    g_array_new(FALSE, FALSE, sizeof(struct planned_rental)),
                                    g_ptr_array_new(),
                                    in_zone};
    rr_reset_free_resources(core);
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        machine->surplus = true;
        in_zone[machine->zone >= 0 && machine->recorded ? (guint)machine->zone
                                                        : core->stored.zones.names->len]++;
    }
    sort_roomy(&sim);
    demand_waiting(&sim);
    demand_headroom(&sim);
    rr_review_machines(core, now, wall);
    put_intents(core, sim.rentals, out);
    g_array_free(sim.rentals, TRUE);
    g_ptr_array_free(sim.roomy, TRUE);
    return out->transaction.changes->len > 0;
}
