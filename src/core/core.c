/* Creates and destroys the core with each of its parts. */
#include "core/core.h"
#include "core/autoscaling/rental_records.h"
#include "core/core_internal.h"
#include "core/views/record_watches.h"

static void init_planning(struct rr_planning *planning, const struct rr_config *config) {
    planning->changes_allowed = rr_transaction_changes_max(config);
    planning->planned_moves = g_array_new(FALSE, FALSE, sizeof(rr_move));
    planning->team_reserved = g_array_new(FALSE, TRUE, sizeof(rr_resources));
}

static void clear_planning(struct rr_planning *planning) {
    g_array_free(planning->team_reserved, TRUE);
    g_array_free(planning->planned_moves, TRUE);
}

static void init_observations(struct rr_observations *observed) {
    observed->zone_heartbeats = g_array_new(FALSE, TRUE, sizeof(rr_zone_heartbeat_counts));
    observed->partitioned_at = g_array_new(FALSE, TRUE, sizeof(double));
}

static void clear_observations(struct rr_observations *observed) {
    g_array_free(observed->partitioned_at, TRUE);
    g_array_free(observed->zone_heartbeats, TRUE);
}

static void init_autoscaling(struct rr_autoscaling *autoscaling) {
    autoscaling->rentals = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, rr_rental_free);
    autoscaling->capacity_refused_until =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    autoscaling->failed_unrecorded_machines =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    autoscaling->cloud_machine_types = g_array_new(FALSE, TRUE, sizeof(rr_machine_type));
    g_array_set_clear_func(autoscaling->cloud_machine_types, rr_machine_type_clear);
}

static void clear_autoscaling(struct rr_autoscaling *autoscaling) {
    g_array_free(autoscaling->cloud_machine_types, TRUE);
    g_hash_table_destroy(autoscaling->failed_unrecorded_machines);
    g_hash_table_destroy(autoscaling->capacity_refused_until);
    g_hash_table_destroy(autoscaling->rentals);
}

static void init_extensions(struct rr_extensions *extensions) {
    extensions->transfer_holds = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
}

static void clear_extensions(struct rr_extensions *extensions) {
    rr_record_watches_clear(extensions);
    g_hash_table_destroy(extensions->transfer_holds);
}

rr_core *rr_core_create(const struct rr_config *config) {
    rr_core *core = g_new0(rr_core, 1);
    core->config = config;
    rr_stored_state_init(&core->stored, config);
    rr_membership_init(&core->membership);
    init_observations(&core->observed);
    init_planning(&core->planning, config);
    init_autoscaling(&core->autoscaling);
    init_extensions(&core->extensions);
    return core;
}

void rr_core_destroy(rr_core *core) {
    if (!core) {
        return;
    }
    clear_extensions(&core->extensions);
    clear_autoscaling(&core->autoscaling);
    clear_planning(&core->planning);
    clear_observations(&core->observed);
    rr_membership_clear(&core->membership);
    rr_stored_state_clear(&core->stored);
    g_free(core);
}
