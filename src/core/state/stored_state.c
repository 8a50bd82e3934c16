/* Initialization and destruction of the store cache. */
#include "core/state/stored_state.h"

static void init_names(struct rr_stored_state *stored, const struct rr_config *config) {
    rr_name_index_init(&stored->teams);
    rr_name_index_init(&stored->zones);
    rr_name_index_init(&stored->machine_type_names);
    rr_name_index_init(&stored->job_classes);
    rr_name_index_init(&stored->images);
    for (size_t i = 0; i < config->team_count; i++) {
        rr_name_index_add(&stored->teams, config->teams[i].name);
    }
}

static void clear_names(struct rr_stored_state *stored) {
    rr_name_index_clear(&stored->teams);
    rr_name_index_clear(&stored->zones);
    rr_name_index_clear(&stored->machine_type_names);
    rr_name_index_clear(&stored->job_classes);
    rr_name_index_clear(&stored->images);
}

void rr_stored_state_init(struct rr_stored_state *stored, const struct rr_config *config) {
    init_names(stored, config);
    stored->tasks_per_record = rr_tasks_per_record(config->value_kb);
    stored->next_page_id = 1;
    stored->machine_types = g_array_new(FALSE, TRUE, sizeof(rr_machine_type));
    g_array_set_clear_func(stored->machine_types, rr_machine_type_clear);
    stored->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, rr_job_free);
    stored->job_outcomes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    stored->open_jobs = g_ptr_array_new();
    stored->recent_arrivals = g_array_new(FALSE, FALSE, sizeof(rr_job *));
    stored->job_batches = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, rr_job_batch_free);
    stored->cancel_hints = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    stored->machines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, rr_machine_free);
    stored->machine_list = g_ptr_array_new();
    stored->dirty_machines = g_ptr_array_new();
    stored->gone_machines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    stored->pages = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    stored->orphan_record_keys = g_ptr_array_new_with_free_func(g_free);
    stored->team_usage = g_array_new(FALSE, TRUE, sizeof(rr_resources));
}

void rr_stored_state_clear(struct rr_stored_state *stored) {
    g_array_free(stored->team_usage, TRUE);
    g_ptr_array_free(stored->orphan_record_keys, TRUE);
    g_hash_table_destroy(stored->pages);
    g_hash_table_destroy(stored->gone_machines);
    g_ptr_array_free(stored->dirty_machines, TRUE);
    g_ptr_array_free(stored->machine_list, TRUE);
    g_hash_table_destroy(stored->machines);
    g_hash_table_destroy(stored->cancel_hints);
    g_hash_table_destroy(stored->job_batches);
    g_array_free(stored->recent_arrivals, TRUE);
    g_ptr_array_free(stored->open_jobs, TRUE);
    g_hash_table_destroy(stored->job_outcomes);
    g_hash_table_destroy(stored->jobs);
    g_array_free(stored->machine_types, TRUE);
    clear_names(stored);
}
