#include "core/scaling.h"
#include "trace_world.h"

#include <string.h>

/* ---- the catalogue ---- */

struct machine_type {
    const char *name;
    double cpus, gpus, mem_gb, price, spot_price, boot_s;
    unsigned zones; /* bits */
};

static const struct machine_type types[] = {
    {"m1", 16, 4, 64, 10, 4, 10, 7}, {"m2", 32, 0, 64, 8, 3, 6, 3}, {"m3", 8, 0, 32, 3, 1, 4, 5}};

static const struct machine_type *type_named(const char *name) {
    const struct machine_type *found = &types[0];
    for (size_t i = 0; i < G_N_ELEMENTS(types); i++) {
        found = strcmp(types[i].name, name) == 0 ? &types[i] : found;
    }
    return found;
}

static void answer_catalogue(struct trace_world *world, struct trace_controller *controller) {
    GArray *machine_types = g_array_new(FALSE, TRUE, sizeof(rr_machine_type));
    for (size_t i = 0; i < G_N_ELEMENTS(types); i++) {
        rr_machine_type type = {.cpus = types[i].cpus,
                                .gpus = types[i].gpus,
                                .mem_gb = types[i].mem_gb,
                                .image_cache_gb = i == 2 ? 0 : 100,
                                .image_pull_gb_per_s = 1,
                                .price = types[i].price,
                                .spot_price = types[i].spot_price,
                                .startup_s = types[i].boot_s};
        g_strlcpy(type.name, types[i].name, sizeof type.name);
        type.zones = g_ptr_array_new_with_free_func(g_free);
        for (unsigned zone = 0; zone < TRACE_ZONES; zone++) {
            if (types[i].zones & 1u << zone) {
                g_ptr_array_add(type.zones, g_strdup(trace_zone_names[zone]));
            }
        }
        g_array_append_val(machine_types, type);
    }
    rr_core_apply_catalog(controller->node.core, world->now, machine_types);
    for (guint i = 0; i < machine_types->len; i++) {
        rr_machine_type_clear(&g_array_index(machine_types, rr_machine_type, i));
    }
    g_array_free(machine_types, TRUE);
}

/* ---- lists ---- */

static void answer_list(struct trace_world *world, struct trace_controller *controller) {
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
                                   .age_s = world->now - machine->made_at};
        g_strlcpy(entry.id, machine->id, sizeof entry.id);
        g_strlcpy(entry.address, machine->address, sizeof entry.address);
        g_strlcpy(entry.machine_type, machine->type, sizeof entry.machine_type);
        g_strlcpy(entry.zone, machine->zone, sizeof entry.zone);
        g_array_append_val(list, entry);
    }
    rr_core_apply_machine_list(controller->node.core, world->now - 0.2, world->now,
                               trace_wall(world), list);
    g_array_free(list, TRUE);
}

/* ---- rentals ---- */

static int rented_now(const struct trace_world *world) {
    int count = -world->scenario.own_machines;
    for (guint i = 0; i < world->machines->len; i++) {
        count += ((const struct trace_machine *)g_ptr_array_index(world->machines, i))->listed;
    }
    return count;
}

static const char *zone_named(const char *name) {
    for (int i = 0; i < TRACE_ZONES; i++) {
        if (strcmp(trace_zone_names[i], name) == 0) {
            return trace_zone_names[i];
        }
    }
    return trace_zone_names[0];
}

/* The same name asked for again gets the same machines. */
static GPtrArray *rent(struct trace_world *world, const rr_autoscaler_step *step) {
    GPtrArray *ids = g_hash_table_lookup(world->rentals, step->rental);
    if (ids) {
        return ids;
    }
    int room = world->scenario.cloud_machines - rented_now(world);
    int count = MIN(step->count, room);
    if (count <= 0) {
        return NULL;
    }
    count -= count > 1 && trace_chance(world, 0.15);
    ids = g_ptr_array_new_with_free_func(g_free);
    for (int i = 0; i < count; i++) {
        const struct machine_type *type = type_named(step->machine_type);
        struct trace_machine *machine = trace_machine_new(
            world, (int)world->machines->len + 1, type->name, zone_named(step->zone), step->spot);
        if (!trace_chance(world, 0.05)) {
            machine->up_at = world->now + type->boot_s * trace_between(world, 0.6, 1.6);
        }
        g_ptr_array_add(ids, g_strdup(machine->id));
    }
    g_hash_table_insert(world->rentals, g_strdup(step->rental), ids);
    return ids;
}

static void answer_rental(struct trace_world *world, struct trace_controller *controller,
                          const rr_autoscaler_step *step) {
    GPtrArray *none = g_ptr_array_new();
    bool refused = world->zone_empty_until > world->now;
    GPtrArray *ids = refused ? NULL : rent(world, step);
    int status = trace_chance(world, 0.1) ? 0 : ids ? 200 : 503;
    rr_core_record_scale_out_result(controller->node.core, world->now, step, status,
                                    status == 200 ? ids : none);
    g_ptr_array_free(none, TRUE);
}

static void answer_release(struct trace_world *world, struct trace_controller *controller,
                           const rr_autoscaler_step *step) {
    for (guint i = 0; i < step->machines->len; i++) {
        struct trace_machine *machine =
            g_hash_table_lookup(world->machine_by_id, g_ptr_array_index(step->machines, i));
        if (machine) {
            trace_machine_dies(machine);
            machine->listed = machine->failed = false;
        }
    }
    if (!trace_chance(world, 0.1)) {
        rr_core_record_scale_in_result(controller->node.core, world->now, step->machines);
    }
}

void trace_cloud_step(struct trace_world *world, struct trace_controller *controller,
                      rr_autoscaler_step *step) {
    rr_core_autoscaler_step(controller->node.core, world->now, trace_wall(world), step);
    trace_step(&world->hash, step);
    switch (step->kind) {
    case RR_AUTOSCALER_READ_CATALOG:
        answer_catalogue(world, controller);
        break;
    case RR_AUTOSCALER_LIST_MACHINES:
        answer_list(world, controller);
        break;
    case RR_AUTOSCALER_COMMIT:
        trace_commit(world, controller, &step->transaction);
        break;
    case RR_AUTOSCALER_SCALE_OUT:
        answer_rental(world, controller, step);
        break;
    case RR_AUTOSCALER_SCALE_IN:
        answer_release(world, controller, step);
        break;
    case RR_AUTOSCALER_NONE:
        break;
    }
}
