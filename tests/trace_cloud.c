/* The cloud's replies to the requests of an autoscaler: machine types, lists of machines, rentals
 * and releases, some of which fail or go unanswered. */
#include "core/scaling.h"
#include "trace_world.h"

#include <string.h>

/* ---- machine types ---- */

struct machine_type {
    const char *name;
    double cpus, gpus, mem_gb, price, spot_price, boot_s;
    unsigned zone_bits; /* bit i: offered in trace_zone_names[i] */
};

static const struct machine_type catalog[] = {
    {"m1", 16, 4, 64, 10, 4, 10, 7}, {"m2", 32, 0, 64, 8, 3, 6, 3}, {"m3", 8, 0, 32, 3, 1, 4, 5}};

/* Returns the type of this name, or the first if there is none. */
static const struct machine_type *find_machine_type(const char *name) {
    const struct machine_type *found = &catalog[0];
    for (size_t i = 0; i < G_N_ELEMENTS(catalog); i++) {
        found = strcmp(catalog[i].name, name) == 0 ? &catalog[i] : found;
    }
    return found;
}

static void return_catalog(struct trace_world *world, struct trace_controller *controller) {
    GArray *machine_types = g_array_new(FALSE, TRUE, sizeof(rr_machine_type));
    for (size_t i = 0; i < G_N_ELEMENTS(catalog); i++) {
        rr_machine_type type = {.cpus = catalog[i].cpus,
                                .gpus = catalog[i].gpus,
                                .mem_gb = catalog[i].mem_gb,
                                .image_cache_gb = i == 2 ? 0 : 100,
                                .image_pull_gb_per_s = 1,
                                .price = catalog[i].price,
                                .spot_price = catalog[i].spot_price,
                                .startup_s = catalog[i].boot_s};
        g_strlcpy(type.name, catalog[i].name, sizeof type.name);
        type.zones = g_ptr_array_new_with_free_func(g_free);
        for (unsigned zone = 0; zone < TRACE_ZONES; zone++) {
            if (catalog[i].zone_bits & 1u << zone) {
                g_ptr_array_add(type.zones, g_strdup(trace_zone_names[zone]));
            }
        }
        g_array_append_val(machine_types, type);
    }
    rr_core_apply_catalog(controller->fixture.core, world->now, machine_types);
    for (guint i = 0; i < machine_types->len; i++) {
        rr_machine_type_clear(&g_array_index(machine_types, rr_machine_type, i));
    }
    g_array_free(machine_types, TRUE);
}

/* ---- lists of machines ---- */

/* Reports the listed machines to the core. A list now and then leaves out a machine. */
static void return_machine_list(struct trace_world *world, struct trace_controller *controller) {
    GArray *list = g_array_new(FALSE, TRUE, sizeof(rr_listed_machine));
    for (guint i = 0; i < world->machines->len; i++) {
        const struct trace_machine *machine = g_ptr_array_index(world->machines, i);
        if (!machine->listed || trace_chance(world, 0.002)) {
            continue;
        }
        rr_listed_machine entry = {.spot = machine->spot,
                                   .state = machine->failed ? RR_LISTED_FAILED
                                            : machine->up   ? RR_LISTED_RUNNING
                                                            : RR_LISTED_STARTING,
                                   .age_s = world->now - machine->created_at};
        g_strlcpy(entry.id, machine->id, sizeof entry.id);
        g_strlcpy(entry.address, machine->address, sizeof entry.address);
        g_strlcpy(entry.machine_type, machine->type, sizeof entry.machine_type);
        g_strlcpy(entry.zone, machine->zone, sizeof entry.zone);
        g_array_append_val(list, entry);
    }
    rr_core_apply_machine_list(controller->fixture.core, world->now - 0.2, world->now,
                               trace_wall_clock_s(world), list);
    g_array_free(list, TRUE);
}

/* ---- rentals ---- */

/* Returns the number of listed machines beyond those that the operator owns. */
static int count_rented_machines(const struct trace_world *world) {
    int count = -world->scenario.own_machines;
    for (guint i = 0; i < world->machines->len; i++) {
        count += ((const struct trace_machine *)g_ptr_array_index(world->machines, i))->listed;
    }
    return count;
}

/* Returns the constant of this text, or the first zone if there is none. */
static const char *find_zone(const char *name) {
    for (int i = 0; i < TRACE_ZONES; i++) {
        if (strcmp(trace_zone_names[i], name) == 0) {
            return trace_zone_names[i];
        }
    }
    return trace_zone_names[0];
}

/* Returns the names of the machines that the rental got, or NULL if the cloud has none left. A
 * rental is idempotent: a repeated name gets the same machines. Some rentals get one machine fewer
 * than asked for, and some machines never boot. The table of rentals owns the names. */
static GPtrArray *rent_machines(struct trace_world *world, const rr_autoscaler_step *step) {
    GPtrArray *ids = g_hash_table_lookup(world->rentals, step->rental);
    if (ids) {
        return ids;
    }
    int available = world->scenario.cloud_machines - count_rented_machines(world);
    int count = MIN(step->count, available);
    if (count <= 0) {
        return NULL;
    }
    count -= count > 1 && trace_chance(world, 0.15);
    ids = g_ptr_array_new_with_free_func(g_free);
    for (int i = 0; i < count; i++) {
        const struct machine_type *type = find_machine_type(step->machine_type);
        struct trace_machine *machine = trace_machine_create(
            world, (int)world->machines->len + 1, type->name, find_zone(step->zone), step->spot);
        if (!trace_chance(world, 0.05)) {
            machine->boots_at = world->now + type->boot_s * trace_random_double(world, 0.6, 1.6);
        }
        g_ptr_array_add(ids, g_strdup(machine->id));
    }
    g_hash_table_insert(world->rentals, g_strdup(step->rental), ids);
    return ids;
}

static void return_rental(struct trace_world *world, struct trace_controller *controller,
                          const rr_autoscaler_step *step) {
    GPtrArray *no_ids = g_ptr_array_new();
    bool refused = world->rentals_refused_until > world->now;
    GPtrArray *ids = refused ? NULL : rent_machines(world, step);
    int status = trace_chance(world, 0.1) ? 0 : ids ? 200 : 503;
    rr_core_record_scale_out_result(controller->fixture.core, world->now, step, status,
                                    status == 200 ? ids : no_ids);
    g_ptr_array_free(no_ids, TRUE);
}

static void return_release(struct trace_world *world, struct trace_controller *controller,
                           const rr_autoscaler_step *step) {
    for (guint i = 0; i < step->machines->len; i++) {
        struct trace_machine *machine =
            g_hash_table_lookup(world->machine_by_id, g_ptr_array_index(step->machines, i));
        if (machine) {
            trace_machine_kill(machine);
            machine->listed = machine->failed = false;
        }
    }
    if (!trace_chance(world, 0.1)) {
        rr_core_record_scale_in_result(controller->fixture.core, world->now, step->machines);
    }
}

void trace_run_autoscaler_step(struct trace_world *world, struct trace_controller *controller,
                               rr_autoscaler_step *step) {
    rr_core_autoscaler_step(controller->fixture.core, world->now, trace_wall_clock_s(world), step);
    trace_hash_autoscaler_step(&world->hash, step);
    switch (step->kind) {
    case RR_AUTOSCALER_READ_CATALOG:
        return_catalog(world, controller);
        break;
    case RR_AUTOSCALER_LIST_MACHINES:
        return_machine_list(world, controller);
        break;
    case RR_AUTOSCALER_COMMIT:
        trace_commit(world, controller, &step->transaction);
        break;
    case RR_AUTOSCALER_SCALE_OUT:
        return_rental(world, controller, step);
        break;
    case RR_AUTOSCALER_SCALE_IN:
        return_release(world, controller, step);
        break;
    case RR_AUTOSCALER_NONE:
        break;
    }
}
