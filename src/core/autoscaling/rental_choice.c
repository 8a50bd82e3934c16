/* Chooses the machine type, the zone, and on-demand or spot, for a machine to be rented. */
#include "core/autoscaling/rental_choice.h"
#include "core/autoscaling/cloud_observations.h"
#include "core/core_internal.h"
#include "core/scheduling/bin_packing.h"
#include "core/state/machine_pages.h"
#include "core/state/name_index.h"

/* Prices that differ by less than this count as equal. */
#define PRICE_EPSILON 1e-9

/* A machine type in a zone, on-demand or spot. */
struct offer {
    struct rr_planned_rental rental; /* machine_type -1: none */
    double price;                    /* of the task's share of the machine */
    guint zone_machine_count;        /* existing and planned machines in the zone */
};

/* The search for the best offer for a task of a job. */
struct search {
    const rr_core *core;
    const rr_job *job;
    const bool *zones;             /* by zone index: whether the task may run there */
    const guint *machines_by_zone; /* existing and planned machines */
    double now;
    struct offer best; /* so far */
};

/* Returns whether the offer is cheaper or, at equal price, in a zone with fewer machines. */
static bool is_better_offer(const struct offer *offer, const struct offer *best) {
    if (best->rental.machine_type < 0 || offer->price < best->price - PRICE_EPSILON) {
        return true;
    }
    return offer->price < best->price + PRICE_EPSILON &&
           offer->zone_machine_count < best->zone_machine_count;
}

static bool is_offer_available(const struct search *search, const rr_machine_type *type,
                               int machine_type, int zone, bool spot) {
    const rr_core *core = search->core;
    return zone >= 0 && search->zones[zone] &&
           rr_job_allows_machine(core, search->job, machine_type, zone, spot) &&
           !rr_capacity_refused(core, type->name, rr_name_index_at(&core->stored.zones, zone), spot,
                                search->now);
}

/* Compares all available offers of the machine type with the best one so far. */
static void consider_machine_type(struct search *search, int machine_type) {
    const rr_core *core = search->core;
    const rr_machine_type *type = rr_machine_type_at(core, machine_type);
    if (!type) {
        return;
    }
    rr_resources request = search->job->request;
    rr_resources capacity = {type->cpus, type->gpus, type->mem_gb};
    if (!rr_resources_fit(request, capacity)) {
        return;
    }
    double share = 1 - rr_resources_free_share(rr_resources_add(capacity, request, -1), capacity);
    for (guint i = 0; i < 2 * type->zones->len; i++) { /* each zone: on-demand, then spot */
        int zone = rr_name_index_find(&core->stored.zones, g_ptr_array_index(type->zones, i / 2));
        bool spot = i % 2 == 1;
        if (!is_offer_available(search, type, machine_type, zone, spot)) {
            continue;
        }
        struct offer offer = {{machine_type, zone, spot, 0, capacity},
                              (spot ? type->spot_price : type->price) * share,
                              search->machines_by_zone[zone]};
        if (is_better_offer(&offer, &search->best)) {
            search->best = offer;
        }
    }
}

bool rr_choose_rental(const rr_core *core, const rr_job *job, const bool *zones,
                      const guint *machines_by_zone, double now, struct rr_planned_rental *out) {
    struct search search = {
        core, job, zones, machines_by_zone, now, {.rental = {.machine_type = -1}}};
    for (guint i = 0; i < core->stored.machine_types->len; i++) {
        consider_machine_type(&search, (int)i);
    }
    *out = search.best.rental;
    return out->machine_type >= 0;
}
