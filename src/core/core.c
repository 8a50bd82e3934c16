/* The life of the core's model, its keys and its objectives. */
#include "core/state/record_handlers.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

void rr_log_line_at(const rr_core *core, int level, const char *fmt, ...) {
    char line[512];
    va_list args;
    va_start(args, fmt);
    vsnprintf(line, sizeof line, fmt, args);
    va_end(args);
    core->log(level, line);
}

void rr_core_set_log(rr_core *core, rr_core_log_fn log_fn, int level) {
    core->log = log_fn;
    core->log_level = level;
}

void rr_core_set_pressure(rr_core *core, double pressure, int changes) {
    core->pressure = pressure;
    core->changes = changes;
}

void rr_ledger_record_free(gpointer data) {
    rr_ledger_record *record = data;
    if (record) {
        g_array_free(record->placements, TRUE);
        g_free(record);
    }
}

static void job_free(gpointer data) {
    rr_job *job = data;
    rr_submission_clear(&job->submission);
    g_free(job->done_bits);
    g_free(job->placed);
    if (job->failed_machines) {
        g_array_free(job->failed_machines, TRUE);
    }
    if (job->records) {
        g_ptr_array_free(job->records, TRUE);
    }
    g_free(job);
}

static void machine_free(gpointer data) {
    rr_machine *machine = data;
    g_array_free(machine->placements, TRUE);
    rr_heartbeat_clear(&machine->heartbeat);
    g_array_free(machine->images, TRUE);
    g_array_free(machine->failed_jobs, TRUE);
    g_hash_table_destroy(machine->unanswered_starts);
    if (machine->reserved_jobs) {
        g_array_free(machine->reserved_jobs, TRUE);
    }
    g_free(machine);
}

static void batch_free(gpointer data) {
    rr_job_batch *batch = data;
    g_ptr_array_free(batch->jobs, TRUE);
    g_free(batch);
}

static void rental_free(gpointer data) {
    rr_rental *rental = data;
    g_ptr_array_free(rental->machine_ids, TRUE);
    g_free(rental);
}

static void machine_type_clear(gpointer data) {
    rr_machine_type_clear(data);
}

static GArray *machine_types_new(void) {
    GArray *left = g_array_new(FALSE, TRUE, sizeof(rr_machine_type));
    g_array_set_clear_func(left, machine_type_clear);
    return left;
}

rr_core *rr_core_create(const struct rr_config *config) {
    rr_core *core = g_new0(rr_core, 1);
    core->config = config;
    rr_name_index_init(&core->teams);
    rr_name_index_init(&core->zones);
    rr_name_index_init(&core->machine_types);
    rr_name_index_init(&core->job_classes);
    rr_name_index_init(&core->images);
    for (size_t i = 0; i < config->team_count; i++) {
        rr_name_index_add(&core->teams, config->teams[i].name);
    }
    core->build_info = machine_types_new();
    core->fresh_builds = machine_types_new();
    core->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_free);
    core->finals = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    core->open = g_ptr_array_new();
    core->machines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, machine_free);
    core->machine_list = g_ptr_array_new();
    core->dirty = g_ptr_array_new();
    core->garbage = g_ptr_array_new_with_free_func(g_free);
    core->team_used = g_array_new(FALSE, TRUE, sizeof(rr_resources));
    core->team_booked = g_array_new(FALSE, TRUE, sizeof(rr_resources));
    core->owners = g_array_new(FALSE, TRUE, sizeof(int));
    core->autoscaler = core->place = -1;
    /* The same on every controller: from the settings alone. */
    core->chunk = RR_TASKS_PER_RECORD_MIN;
    while (core->chunk < RR_TASKS_PER_RECORD_MAX &&
           (double)rr_ledger_record_bytes(2 * core->chunk) < config->value_kb * 1024) {
        core->chunk *= 2;
    }
    core->pages = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    core->batches = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, batch_free);
    core->next_page = 1;
    core->changes = rr_transaction_changes_max(config);
    core->zone_counts = g_array_new(FALSE, TRUE, sizeof(rr_zone_heartbeats));
    core->gone = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    core->holds = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    core->cancel_hints = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    core->sessions = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    core->rentals = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, rental_free);
    core->refused = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    core->stray_failed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    core->term.members = g_array_new(FALSE, TRUE, sizeof(rr_session));
    core->cut_at = g_array_new(FALSE, TRUE, sizeof(double));
    core->arrivals = g_array_new(FALSE, FALSE, sizeof(rr_job *));
    core->plan_moves = g_array_new(FALSE, FALSE, sizeof(rr_move));
    return core;
}

void rr_core_destroy(rr_core *core) {
    if (!core) {
        return;
    }
    for (guint i = 0; i < core->record_watch_count; i++) {
        g_free(core->watches[i].prefix);
    }
    g_hash_table_destroy(core->holds);
    g_array_free(core->plan_moves, TRUE);
    g_array_free(core->arrivals, TRUE);
    g_array_free(core->cut_at, TRUE);
    g_array_free(core->zone_counts, TRUE);
    g_array_free(core->team_used, TRUE);
    g_array_free(core->team_booked, TRUE);
    g_array_free(core->owners, TRUE);
    g_hash_table_destroy(core->pages);
    g_hash_table_destroy(core->batches);
    g_ptr_array_free(core->dirty, TRUE);
    g_ptr_array_free(core->garbage, TRUE);
    g_array_free(core->term.members, TRUE);
    g_hash_table_destroy(core->stray_failed);
    g_hash_table_destroy(core->refused);
    g_hash_table_destroy(core->rentals);
    g_hash_table_destroy(core->sessions);
    g_hash_table_destroy(core->gone);
    g_hash_table_destroy(core->cancel_hints);
    g_ptr_array_free(core->machine_list, TRUE);
    g_hash_table_destroy(core->machines);
    g_ptr_array_free(core->open, TRUE);
    g_hash_table_destroy(core->jobs);
    g_hash_table_destroy(core->finals);
    g_array_free(core->build_info, TRUE);
    g_array_free(core->fresh_builds, TRUE);
    rr_name_index_clear(&core->teams);
    rr_name_index_clear(&core->zones);
    rr_name_index_clear(&core->machine_types);
    rr_name_index_clear(&core->job_classes);
    rr_name_index_clear(&core->images);
    g_free(core);
}

/* ---- keys ----
 * A full reread comes in key order, and a record may only speak of what was read before it:
 * machines (fleet) of builds, runs of jobs and machines. */

void rr_core_job_key(const char *job_id, char *out, size_t size) {
    g_snprintf(out, size, RR_KEY_ROOT "job/%s", job_id);
}

void rr_machine_page_key(uint32_t page, char *out, size_t size) {
    g_snprintf(out, size, RR_KEY_ROOT "fleet/%08u", page);
}

void rr_rental_key(const char *name, char *out, size_t size) {
    g_snprintf(out, size, RR_KEY_ROOT "hire/%s", name);
}

void rr_ledger_record_key(const char *job_id, uint32_t chunk, char *out, size_t size) {
    g_snprintf(out, size, RR_KEY_ROOT "run/%s/%u", job_id, chunk);
}

/* ---- objectives ---- */

const struct rr_objective *rr_objective_for(const rr_core *core, const char *kind,
                                            const char *job_class) {
    for (size_t i = 0; i < core->config->objective_count; i++) {
        const struct rr_objective *objective = &core->config->objectives[i];
        if (strcmp(objective->kind, kind) == 0 && strcmp(objective->job_class, job_class) == 0) {
            return objective;
        }
    }
    return NULL;
}
