/* What the provisioner rents: waiting work and headroom are put on paper onto the machines there
 * are, then onto machines to rent. */
#include "core/provisioner.h"

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

static bool is_refused(rr_core *c, const char *build, const char *zone, bool spot, double now) {
    char *key = rr_refusal_key(build, zone, spot);
    const double *until = g_hash_table_lookup(c->refused, key);
    g_free(key);
    return until && now < *until;
}

/* A machine that new work can count on: usable now, or booting within patience. */
static bool counts(const rr_core *c, const rr_machine *m, double now) {
    const rr_machine_type *b = rr_machine_type_at(c, m->machine_type);
    if (!m->recorded || m->scaling_in || m->to_release || !b) {
        return false;
    }
    if (!m->heartbeat_seen) {
        return now - m->known_at < c->config->tuning.boot_patience * b->startup_s + 5;
    }
    return rr_machine_schedulable(c, m, now) ||
           (rr_machine_heartbeat_recent(c, m, now) && m->heartbeat.spot_notice_s < 0 &&
            !rr_machine_quarantined(m, now) && !rr_machine_heartbeats_lost(c, m, now));
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

static bool roomy(const rr_core *c, const rr_machine *m) {
    return rr_resources_free_share(m->free, rr_machine_capacity(c, m)) > RR_RESOURCE_EPSILON;
}

static const rr_core *sort_core; /* qsort has no argument; the core is one call at a time */

static gint by_cost(gconstpointer a, gconstpointer b) {
    const rr_machine *x = *(rr_machine *const *)a, *y = *(rr_machine *const *)b;
    double cx = rr_machine_price(sort_core, x) *
                rr_resources_free_share(x->free, rr_machine_capacity(sort_core, x));
    double cy = rr_machine_price(sort_core, y) *
                rr_resources_free_share(y->free, rr_machine_capacity(sort_core, y));
    if (fabs(cx - cy) > 1e-9) {
        return cx < cy ? -1 : 1;
    }
    return x->id - y->id;
}

/* The machines that have room on paper, as the paper's choice would take them. */
static void sort_roomy(struct demand_simulation *s) {
    rr_core *c = s->core;
    g_ptr_array_set_size(s->roomy, 0);
    for (guint i = 0; i < c->machine_list->len; i++) {
        rr_machine *m = g_ptr_array_index(c->machine_list, i);
        c->visits++;
        if (counts(c, m, s->now) && roomy(c, m)) {
            g_ptr_array_add(s->roomy, m);
        }
    }
    sort_core = c;
    g_ptr_array_sort(s->roomy, by_cost);
}

/* Puts up to n tasks of the job on machines there are, so many on each at most; returns how many
 * found no room. */
static uint32_t fill_machines(struct demand_simulation *s, const rr_job *j, const bool *zones,
                              uint32_t n, uint32_t each) {
    rr_core *c = s->core;
    guint kept = 0;
    guint i = 0;
    for (; i < s->roomy->len && n > 0; i++) {
        rr_machine *m = g_ptr_array_index(s->roomy, i);
        c->visits++;
        if (m->zone >= 0 && zones[m->zone] &&
            rr_job_allows(c, j, m->machine_type, m->zone, m->spot)) {
            uint32_t k = rr_tasks_fitting(j->request, m->free, MIN(n, each));
            m->free = rr_resources_add(m->free, j->request, -(double)k);
            m->surplus = m->surplus && k == 0;
            n -= k;
        }
        if (roomy(c, m)) {
            s->roomy->pdata[kept++] = m;
        }
    }
    for (; i < s->roomy->len; i++) {
        s->roomy->pdata[kept++] = s->roomy->pdata[i];
    }
    g_ptr_array_set_size(s->roomy, (gint)kept);
    return n;
}

/* A place where a machine could be rented for a task. */
struct offer {
    struct planned_rental rental;
    double price;  /* of the task's share of the machine */
    guint in_zone; /* machines of the zone, with those to rent */
};

static bool better_offer(const struct offer *a, const struct offer *b) {
    if (b->rental.machine_type < 0 || a->price < b->price - 1e-9) {
        return true;
    }
    return a->price < b->price + 1e-9 && a->in_zone < b->in_zone;
}

/* The machine type's cheapest offer for the task, if it is better than *best. */
static void consider_machine_type(const struct demand_simulation *s, const rr_job *j,
                                  const bool *zones, int build, struct offer *best) {
    rr_core *c = s->core;
    const rr_machine_type *b = rr_machine_type_at(c, build);
    rr_resources cap = b ? (rr_resources){b->cpus, b->gpus, b->mem_gb} : (rr_resources){0, 0, 0};
    if (!b || !rr_resources_fit(j->request, cap)) {
        return;
    }
    double share = 1 - rr_resources_free_share(rr_resources_add(cap, j->request, -1), cap);
    for (guint i = 0; i < 2 * b->zones->len; i++) {
        int w = rr_name_index_find(&c->zones, g_ptr_array_index(b->zones, i / 2));
        bool spot = i % 2 == 1;
        if (w < 0 || !zones[w] || !rr_job_allows(c, j, build, w, spot) ||
            is_refused(c, b->name, rr_name_index_at(&c->zones, w), spot, s->now)) {
            continue;
        }
        struct offer offer = {
            {build, w, spot, 0, cap}, (spot ? b->spot_price : b->price) * share, s->in_zone[w]};
        if (better_offer(&offer, best)) {
            *best = offer;
        }
    }
}

/* One machine more of this type, zone and kind is to be rented. */
static struct planned_rental *add_rental(struct demand_simulation *s,
                                         const struct planned_rental *rent) {
    for (guint i = 0; i < s->rentals->len; i++) {
        struct planned_rental *r = &g_array_index(s->rentals, struct planned_rental, i);
        if (r->machine_type == rent->machine_type && r->zone == rent->zone &&
            r->spot == rent->spot) {
            r->count++;
            r->room = rent->room;
            return r;
        }
    }
    g_array_append_val(s->rentals, *rent);
    struct planned_rental *added =
        &g_array_index(s->rentals, struct planned_rental, s->rentals->len - 1);
    added->count = 1;
    return added;
}

/* The cheapest place that would take the task, per task that fits; between equals the zone with
 * fewest machines. */
static struct planned_rental *plan_rental_for(struct demand_simulation *s, const rr_job *j,
                                              const bool *zones) {
    struct offer best = {.rental = {.machine_type = -1}};
    for (guint build = 0; build < s->core->build_info->len; build++) {
        consider_machine_type(s, j, zones, (int)build, &best);
    }
    if (best.rental.machine_type < 0) {
        return NULL;
    }
    s->in_zone[best.rental.zone]++;
    return add_rental(s, &best.rental);
}

static bool fill_planned_rentals(struct demand_simulation *s, const rr_job *j, const bool *zones) {
    for (guint i = 0; i < s->rentals->len; i++) {
        struct planned_rental *r = &g_array_index(s->rentals, struct planned_rental, i);
        if (zones[r->zone] && rr_job_allows(s->core, j, r->machine_type, r->zone, r->spot) &&
            rr_resources_fit(j->request, r->room)) {
            r->room = rr_resources_add(r->room, j->request, -1);
            return true;
        }
    }
    return false;
}

/* Finds room for n more tasks: on machines there are, or on machines to rent. A job spread over
 * zones rents in turn where it may still go. */
static void demand(struct demand_simulation *s, const rr_job *j, bool *zones, uint32_t n,
                   uint32_t each, bool may_rent) {
    n = fill_machines(s, j, zones, n, each);
    for (; may_rent && n > 0; n--) {
        if (fill_planned_rentals(s, j, zones)) {
            continue;
        }
        struct planned_rental *r = plan_rental_for(s, j, zones);
        if (!r) {
            return;
        }
        r->room = rr_resources_add(r->room, j->request, -1);
    }
}

/* Deadline work waits for room to come free while it can still make it on a new machine. */
static bool must_scale_out(const rr_core *c, const rr_job *j, double wall) {
    if (j->submission.deadline_s < 0) {
        return true;
    }
    double boot = 0, pull = 0;
    for (guint i = 0; i < c->build_info->len; i++) {
        const rr_machine_type *b = rr_machine_type_at(c, (int)i);
        if (b) {
            boot = fmax(boot, b->startup_s);
            pull = fmax(pull, b->pull_rate > 0 ? j->submission.image_size_gb / b->pull_rate : 0);
        }
    }
    double slack = j->accepted_at + j->submission.deadline_s - wall -
                   1.3 * j->submission.runtime_estimate_s - 1.3 * boot - pull;
    return slack < 40;
}

/* Placements on machines that are gone or given up as dead. Their owners clear the ledger as
 * changes allow: waiting for that, the provisioner rented for 1,200 lost tasks over a minute and a
 * half. */
static void count_lost(const rr_core *c) {
    for (guint i = 0; i < c->open->len; i++) {
        ((rr_job *)g_ptr_array_index(c->open, i))->lost_count = 0;
    }
    for (guint i = 0; i < c->machine_list->len; i++) {
        const rr_machine *m = g_ptr_array_index(c->machine_list, i);
        for (guint k = 0;
             k < m->placements->len && (m->gone || (m->to_release && m->declared_dead)); k++) {
            const rr_placement *p = &g_array_index(m->placements, rr_placement, k);
            p->job->lost_count += !rr_job_task_done(p->job, p->task);
        }
    }
}

/* Room for a gang in one zone is of no use in pieces over several: the zone in which most of it
 * fits now, or else any one of those allowed. */
static void one_zone(struct demand_simulation *s, const rr_job *j, bool *zones) {
    rr_core *c = s->core;
    int best = rr_zone_with_most_room(c, j, zones, s->now);
    for (guint w = 0; w < c->zones.names->len; w++) {
        best = best < 0 && zones[w] ? (int)w : best;
        zones[w] = (int)w == best;
    }
}

/* Tasks of the job for which room is wanted: no more than the team's limit lets run at a time, and
 * than can be rented soon. */
static uint32_t wanted_tasks(const rr_core *c, const rr_job *j) {
    if (!j->version || j->cancelled || j->done || rr_job_transferred(c, j) ||
        rr_job_of_another_cell(c, j) || j->team < 0 || (size_t)j->team >= c->config->team_count) {
        return 0;
    }
    const struct rr_team_config *t = &c->config->teams[j->team];
    uint32_t n = MIN(j->submission.task_count - j->done_count - j->placed_count + j->lost_count,
                     j->submission.task_count - j->done_count);
    n = MIN(n, WANTED_MAX);
    if (t->cpus_max > 0 && j->request.cpus > 0) {
        n = MIN(n, (uint32_t)(t->cpus_max / j->request.cpus + 1));
    }
    if (t->gpus_max > 0 && j->request.gpus > 0) {
        n = MIN(n, (uint32_t)(t->gpus_max / j->request.gpus + 1));
    }
    return n;
}

static void demand_waiting(struct demand_simulation *s) {
    const rr_core *c = s->core;
    count_lost(c);
    for (guint i = 0; i < c->open->len; i++) {
        const rr_job *j = g_ptr_array_index(c->open, i);
        uint32_t n = wanted_tasks(c, j);
        bool zones[c->zones.names->len + 1];
        if (n == 0) {
            continue;
        }
        rr_job_zones(c, j, zones, NULL);
        if (j->submission.kind == RR_JOB_GANG && j->submission.one_zone) {
            one_zone(s, j, zones);
        }
        /* A service's replicas keep separate machines. */
        demand(s, j, zones, n, j->submission.kind == RR_JOB_SERVICE ? 1 : n,
               must_scale_out(c, j, s->wall));
    }
}

/* Work that would make room for the class and can save within its aim is as good as free room. */
static void credit_preemptible(rr_core *c, const rr_job *j, double within_s, double now) {
    for (guint i = 0; i < c->machine_list->len; i++) {
        rr_machine *m = g_ptr_array_index(c->machine_list, i);
        for (guint k = 0; k < m->placements->len && counts(c, m, now); k++) {
            const rr_placement *p = &g_array_index(m->placements, rr_placement, k);
            const rr_submission *v = &p->job->submission;
            if (v->kind == RR_JOB_ARRAY && v->priority < j->submission.priority &&
                j->submission.priority > RR_PRIORITY_STANDARD && v->checkpoint_interval_s > 0 &&
                v->save_s + 1 <= within_s &&
                rr_job_allows(c, j, m->machine_type, m->zone, m->spot)) {
                m->free = rr_resources_add(m->free, p->job->request, 1);
            }
        }
    }
}

/* Tasks of the class that have arrived lately, and the last of their jobs. What came at the very
 * start was a stock, not a rate. */
static double arrived_tasks(const rr_core *c, const char *job_class, const rr_job **last) {
    double tasks = 0;
    *last = NULL;
    for (guint k = 0; k < c->arrivals->len; k++) {
        const rr_job *j = g_array_index(c->arrivals, rr_job *, k);
        if (strcmp(j->submission.job_class, job_class) == 0) {
            *last = j;
            tasks += j->accepted_at > c->term.first_term_at + START_STOCK_S
                         ? j->submission.task_count
                         : 0;
        }
    }
    return tasks;
}

static double longest_boot(const rr_core *c) {
    double boot = 0;
    for (guint i = 0; i < c->build_info->len; i++) {
        const rr_machine_type *b = rr_machine_type_at(c, (int)i);
        boot = b ? fmax(boot, b->startup_s) : boot;
    }
    return boot;
}

/* Room kept for a class with an aim on its start: what arrives while a machine boots. */
static void demand_headroom(struct demand_simulation *s) {
    rr_core *c = s->core;
    rr_arrivals_trim(c, s->wall);
    double span = fmin(RR_ARRIVAL_WINDOW_S, fmax(60, s->wall - c->term.first_term_at));
    for (size_t i = 0; i < c->config->objective_count; i++) {
        const struct rr_objective *o = &c->config->objectives[i];
        const rr_job *last;
        if (strcmp(o->kind, "wait") != 0) {
            continue;
        }
        double tasks = arrived_tasks(c, o->job_class, &last);
        if (!last) {
            continue;
        }
        double mean = tasks / span * (1.2 * longest_boot(c) + 10);
        int n = (int)ceil(c->config->tuning.headroom * (mean + sqrt(mean)));
        bool zones[c->zones.names->len + 1];
        for (guint w = 0; w < c->zones.names->len; w++) {
            zones[w] = !last->submission.zone[0] ||
                       strcmp(last->submission.zone, rr_name_index_at(&c->zones, (int)w)) == 0;
        }
        credit_preemptible(c, last, o->within_s, s->now);
        sort_roomy(s);
        demand(s, last, zones, (uint32_t)MAX(n, 0), (uint32_t)MAX(n, 0), true);
    }
}

/* Machines asked for and not yet recorded, of this type, zone and kind. */
static int pending_for(const rr_core *c, const struct planned_rental *r) {
    GHashTableIter it;
    gpointer v;
    int n = 0;
    g_hash_table_iter_init(&it, c->rentals);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const rr_rental *h = v;
        if (strcmp(h->machine_type, rr_name_index_at(&c->machine_types, r->machine_type)) == 0 &&
            strcmp(h->zone, rr_name_index_at(&c->zones, r->zone)) == 0 && h->spot == r->spot) {
            n += h->count;
        }
    }
    return n;
}

static void put_intent(rr_core *c, const struct planned_rental *r, int n, rr_autoscaler_step *out) {
    char name[RR_ID_SIZE], key[RR_ID_SIZE + 32];
    rr_encoder o;
    /* A request's name is never used again: token, counter. */
    g_snprintf(name, sizeof name, "rr-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT, c->term.token,
               ++c->counter);
    rr_rental_key(name, key, sizeof key);
    rr_encoder_init(&o);
    rr_encode_map(&o, 4);
    rr_encode_key_text(&o, "build", rr_name_index_at(&c->machine_types, r->machine_type));
    rr_encode_key_text(&o, "ward", rr_name_index_at(&c->zones, r->zone));
    rr_encode_key_bool(&o, "loaners", r->spot);
    rr_encode_key_u64(&o, "n", (uint64_t)n);
    rr_transaction_guard(&out->transaction, key, 0);
    rr_transaction_put(&out->transaction, key, &o, 0);
}

/* Intents for what is to be rented, less what is under way. */
static void put_intents(rr_core *c, const GArray *rents, rr_autoscaler_step *out) {
    for (guint i = 0; i < rents->len; i++) {
        const struct planned_rental *r = &g_array_index(rents, struct planned_rental, i);
        int left = r->count - pending_for(c, r);
        while (left > 0 &&
               (int)out->transaction.changes->len < rr_transaction_changes_max(c->config) &&
               g_hash_table_size(c->rentals) + out->transaction.changes->len < RENTALS_MAX) {
            int n = MIN(left, RENTAL_MAX);
            put_intent(c, r, n, out);
            left -= n;
        }
    }
}

bool rr_autoscaler_step_demand(rr_core *c, double now, double wall, rr_autoscaler_step *out) {
    if (now - c->sim_at < 1 || !c->list_read || !c->catalog_known) {
        return false;
    }
    c->sim_at = now;
    guint in_zone[c->zones.names->len + 1];
    memset(in_zone, 0, sizeof in_zone);
    struct demand_simulation s = {c,
                                  now,
                                  wall,
                                  g_array_new(FALSE, FALSE, sizeof(struct planned_rental)),
                                  g_ptr_array_new(),
                                  in_zone};
    rr_reset_free_resources(c);
    for (guint i = 0; i < c->machine_list->len; i++) {
        rr_machine *m = g_ptr_array_index(c->machine_list, i);
        m->surplus = true;
        in_zone[m->zone >= 0 && m->recorded ? (guint)m->zone : c->zones.names->len]++;
    }
    sort_roomy(&s);
    demand_waiting(&s);
    demand_headroom(&s);
    rr_review_machines(c, now, wall);
    put_intents(c, s.rentals, out);
    g_array_free(s.rentals, TRUE);
    g_ptr_array_free(s.roomy, TRUE);
    return out->transaction.changes->len > 0;
}
