/* Simulates placing tasks, first on existing machines and then on machines to be rented. */
#include "core/autoscaling/demand_simulation.h"
#include "core/autoscaling/rental_choice.h"
#include "core/core_internal.h"
#include "core/health/failure_detector.h"
#include "core/scheduling/bin_packing.h"
#include "core/state/machine_pages.h"

#include <math.h>

/* Added to the time that a machine may take to start up before it no longer counts as capacity. */
#define STARTUP_MARGIN_S 5
/* Costs that differ by less than this count as equal. */
#define COST_EPSILON 1e-9

void rr_demand_simulation_init(struct rr_demand_simulation *sim, rr_core *core, double now,
                               double wall) {
    guint zone_count = core->stored.zones.names->len;
    *sim = (struct rr_demand_simulation){
        .core = core,
        .now = now,
        .wall = wall,
        .planned = g_array_new(FALSE, FALSE, sizeof(struct rr_planned_rental)),
        .machines_with_room = g_ptr_array_new(),
        .machines_by_zone = g_new0(guint, zone_count + 1),
    };
    rr_reset_free_resources(core);
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        machine->surplus = true;
        if (machine->zone >= 0 && machine->recorded) {
            sim->machines_by_zone[machine->zone]++;
        }
    }
    rr_list_machines_with_room(sim);
}

void rr_demand_simulation_clear(struct rr_demand_simulation *sim) {
    g_array_free(sim->planned, TRUE);
    g_ptr_array_free(sim->machines_with_room, TRUE);
    g_free(sim->machines_by_zone);
}

bool rr_machine_counts_as_capacity(const rr_core *core, const rr_machine *machine, double now) {
    const rr_machine_type *type = rr_machine_type_at(core, machine->machine_type);
    if (!machine->recorded || machine->scaling_in || machine->to_release || !type) {
        return false;
    }
    if (!machine->heartbeat_seen) {
        return now - machine->known_at <
               core->config->tuning.startup_wait_factor * type->startup_s + STARTUP_MARGIN_S;
    }
    return rr_machine_schedulable(core, machine, now) ||
           (rr_machine_heartbeat_recent(core, machine, now) &&
            machine->heartbeat.spot_notice_s < 0 && !rr_machine_quarantined(machine, now) &&
            !rr_machine_heartbeats_lost(core, machine, now));
}

/* ---- existing machines ---- */

static bool has_free_resources(const rr_core *core, const rr_machine *machine) {
    return rr_resources_free_share(machine->free, rr_machine_capacity(core, machine)) >
           RR_RESOURCE_EPSILON;
}

/* Returns the price of the machine's free share. */
static double compute_free_share_cost(const rr_core *core, const rr_machine *machine) {
    return rr_machine_price(core, machine) *
           rr_resources_free_share(machine->free, rr_machine_capacity(core, machine));
}

static gint compare_by_free_share_cost(gconstpointer left_item, gconstpointer right_item,
                                       gpointer data) {
    const rr_core *core = data;
    const rr_machine *left = *(rr_machine *const *)left_item;
    const rr_machine *right = *(rr_machine *const *)right_item;
    double left_cost = compute_free_share_cost(core, left);
    double right_cost = compute_free_share_cost(core, right);
    if (fabs(left_cost - right_cost) > COST_EPSILON) {
        return left_cost < right_cost ? -1 : 1;
    }
    return left->id - right->id;
}

void rr_list_machines_with_room(struct rr_demand_simulation *sim) {
    rr_core *core = sim->core;
    g_ptr_array_set_size(sim->machines_with_room, 0);
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        core->counters.machines_examined++;
        if (rr_machine_counts_as_capacity(core, machine, sim->now) &&
            has_free_resources(core, machine)) {
            g_ptr_array_add(sim->machines_with_room, machine);
        }
    }
    g_ptr_array_sort_with_data(sim->machines_with_room, compare_by_free_share_cost, core);
}

/* Places up to `remaining` tasks on the machine and returns how many it placed. */
static uint32_t place_on_machine(const struct rr_demand_simulation *sim, rr_machine *machine,
                                 const struct rr_task_demand *demand, uint32_t remaining) {
    const rr_job *job = demand->job;
    if (machine->zone < 0 || !demand->zones[machine->zone] ||
        !rr_job_allows_machine(sim->core, job, machine->machine_type, machine->zone,
                               machine->spot)) {
        return 0;
    }
    uint32_t tasks = rr_count_fitting_tasks(job->request, machine->free,
                                            MIN(remaining, demand->per_machine_max));
    machine->free = rr_resources_add(machine->free, job->request, -(double)tasks);
    machine->surplus = machine->surplus && tasks == 0;
    return tasks;
}

/* Places tasks on the listed machines and removes machines that are full from the list. Returns how
 * many tasks could not be placed. */
static uint32_t place_on_listed_machines(struct rr_demand_simulation *sim,
                                         const struct rr_task_demand *demand) {
    uint32_t remaining = demand->tasks;
    guint kept = 0;
    guint i = 0;
    for (; i < sim->machines_with_room->len && remaining > 0; i++) {
        rr_machine *machine = g_ptr_array_index(sim->machines_with_room, i);
        sim->core->counters.machines_examined++;
        remaining -= place_on_machine(sim, machine, demand, remaining);
        if (has_free_resources(sim->core, machine)) {
            sim->machines_with_room->pdata[kept++] = machine;
        }
    }
    for (; i < sim->machines_with_room->len; i++) {
        sim->machines_with_room->pdata[kept++] = sim->machines_with_room->pdata[i];
    }
    g_ptr_array_set_size(sim->machines_with_room, (gint)kept);
    return remaining;
}

/* ---- machines to rent ---- */

static bool is_same_offer(const struct rr_planned_rental *left,
                          const struct rr_planned_rental *right) {
    return left->machine_type == right->machine_type && left->zone == right->zone &&
           left->spot == right->spot;
}

/* Plans one more machine of the chosen offer, with all of its resources free. Returns its planned
 * rental, which is valid until the next call. */
static struct rr_planned_rental *add_planned_machine(struct rr_demand_simulation *sim,
                                                     const struct rr_planned_rental *chosen) {
    sim->machines_by_zone[chosen->zone]++;
    for (guint i = 0; i < sim->planned->len; i++) {
        struct rr_planned_rental *planned =
            &g_array_index(sim->planned, struct rr_planned_rental, i);
        if (is_same_offer(planned, chosen)) {
            planned->count++;
            planned->free = chosen->free;
            return planned;
        }
    }
    g_array_append_val(sim->planned, *chosen);
    struct rr_planned_rental *added =
        &g_array_index(sim->planned, struct rr_planned_rental, sim->planned->len - 1);
    added->count = 1;
    return added;
}

/* Returns a planned rental whose last machine has enough free resources for a task of the job,
 * NULL: none. */
static struct rr_planned_rental *find_planned_rental(const struct rr_demand_simulation *sim,
                                                     const rr_job *job, const bool *zones) {
    for (guint i = 0; i < sim->planned->len; i++) {
        struct rr_planned_rental *planned =
            &g_array_index(sim->planned, struct rr_planned_rental, i);
        if (zones[planned->zone] &&
            rr_job_allows_machine(sim->core, job, planned->machine_type, planned->zone,
                                  planned->spot) &&
            rr_resources_fit(job->request, planned->free)) {
            return planned;
        }
    }
    return NULL;
}

void rr_simulate_demand(struct rr_demand_simulation *sim, const struct rr_task_demand *demand) {
    uint32_t remaining = place_on_listed_machines(sim, demand);
    for (; demand->may_scale_out && remaining > 0; remaining--) {
        struct rr_planned_rental *planned = find_planned_rental(sim, demand->job, demand->zones);
        struct rr_planned_rental chosen;
        if (!planned) {
            if (!rr_choose_rental(sim->core, demand->job, demand->zones, sim->machines_by_zone,
                                  sim->now, &chosen)) {
                return;
            }
            planned = add_planned_machine(sim, &chosen);
        }
        planned->free = rr_resources_add(planned->free, demand->job->request, -1);
    }
}
