/* The choice of machine type, zone and kind for a task that no machine has room for. */
#include "core/autoscaling/rental_choice.h"
#include "core/autoscaling/cloud_observations.h"
#include "core/core_internal.h"
#include "core/scheduling/bin_packing.h"
#include "core/state/machine_pages.h"
#include "core/state/name_index.h"

/* Prices closer than this are equal. */
#define PRICE_EPSILON 1e-9

struct offer {
    struct rr_planned_rental rental; /* machine_type -1: none */
    double price;                    /* of the task's share of the machine */
    guint zone_machines;
};

struct search {
    const rr_core *core;
    const rr_job *job;
    const bool *zones;
    const guint *machines_by_zone;
    double now;
    struct offer best;
};

static bool is_better_offer(const struct offer *offer, const struct offer *best) {
    if (best->rental.machine_type < 0 || offer->price < best->price - PRICE_EPSILON) {
        return true;
    }
    return offer->price < best->price + PRICE_EPSILON && offer->zone_machines < best->zone_machines;
}

static bool is_available(const struct search *search, const rr_machine_type *type, int machine_type,
                         int zone, bool spot) {
    const rr_core *core = search->core;
    return zone >= 0 && search->zones[zone] &&
           rr_job_allows(core, search->job, machine_type, zone, spot) &&
           !rr_capacity_refused(core, type->name, rr_name_index_at(&core->stored.zones, zone), spot,
                                search->now);
}

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
        if (!is_available(search, type, machine_type, zone, spot)) {
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
