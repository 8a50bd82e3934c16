/* The life of the core's model, its keys and its objectives. */
#include "core/autoscaling/autoscaling_state.h"
#include "core/core_internal.h"
#include "core/health/failure_detector.h"
#include "core/membership/membership.h"
#include "core/state/jobs.h"
#include "core/state/ledger.h"
#include "core/state/machine_pages.h"
#include "core/state/machines.h"
#include "core/state/name_index.h"
#include "core/state/record_handlers.h"
#include "core/state/resources.h"
#include "core/planning.h"
#include "core/submissions.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

void rr_log_line_at(const rr_core *core, int level, const char *fmt, ...) {
    char line[512];
    va_list args;
    va_start(args, fmt);
    vsnprintf(line, sizeof line, fmt, args);
    va_end(args);
    core->log_fn(level, line);
}

void rr_core_set_log(rr_core *core, rr_core_log_fn log_fn, int level) {
    core->log_fn = log_fn;
    core->log_level = level;
}

void rr_core_set_pressure(rr_core *core, double pressure, int changes) {
    core->planning.write_pressure = pressure;
    core->planning.changes_allowed = changes;
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
    rr_name_index_init(&core->stored.teams);
    rr_name_index_init(&core->stored.zones);
    rr_name_index_init(&core->stored.machine_type_names);
    rr_name_index_init(&core->stored.job_classes);
    rr_name_index_init(&core->stored.images);
    for (size_t i = 0; i < config->team_count; i++) {
        rr_name_index_add(&core->stored.teams, config->teams[i].name);
    }
    core->stored.machine_types = machine_types_new();
    core->autoscaling.catalog_types = machine_types_new();
    core->stored.jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_free);
    core->stored.final_jobs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    core->stored.open_jobs = g_ptr_array_new();
    core->stored.machines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, machine_free);
    core->stored.machine_list = g_ptr_array_new();
    core->stored.dirty_machines = g_ptr_array_new();
    core->stored.orphan_record_keys = g_ptr_array_new_with_free_func(g_free);
    core->stored.team_used = g_array_new(FALSE, TRUE, sizeof(rr_resources));
    core->planning.team_reserved = g_array_new(FALSE, TRUE, sizeof(rr_resources));
    core->membership.team_owners = g_array_new(FALSE, TRUE, sizeof(int));
    core->membership.autoscaler_member = core->membership.member_index = -1;
    /* The same on every controller: from the settings alone. */
    core->stored.tasks_per_record = RR_TASKS_PER_RECORD_MIN;
    while (core->stored.tasks_per_record < RR_TASKS_PER_RECORD_MAX &&
           (double)rr_ledger_record_bytes(2 * core->stored.tasks_per_record) <
               config->value_kb * 1024) {
        core->stored.tasks_per_record *= 2;
    }
    core->stored.pages = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    core->stored.batches = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, batch_free);
    core->stored.next_page = 1;
    core->planning.changes_allowed = rr_transaction_changes_max(config);
    core->observed.zone_heartbeats = g_array_new(FALSE, TRUE, sizeof(rr_zone_heartbeats));
    core->stored.gone_machines = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    core->extensions.transfer_holds =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    core->stored.cancel_hints = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    core->membership.sessions = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    core->autoscaling.rentals = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, rental_free);
    core->autoscaling.refused_capacity =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    core->autoscaling.stray_failed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    core->membership.term.members = g_array_new(FALSE, TRUE, sizeof(rr_session));
    core->observed.partitioned_at = g_array_new(FALSE, TRUE, sizeof(double));
    core->stored.arrivals = g_array_new(FALSE, FALSE, sizeof(rr_job *));
    core->planning.moves = g_array_new(FALSE, FALSE, sizeof(rr_move));
    return core;
}

void rr_core_destroy(rr_core *core) {
    if (!core) {
        return;
    }
    for (guint i = 0; i < core->extensions.record_watch_count; i++) {
        g_free(core->extensions.record_watches[i].prefix);
    }
    g_hash_table_destroy(core->extensions.transfer_holds);
    g_array_free(core->planning.moves, TRUE);
    g_array_free(core->stored.arrivals, TRUE);
    g_array_free(core->observed.partitioned_at, TRUE);
    g_array_free(core->observed.zone_heartbeats, TRUE);
    g_array_free(core->stored.team_used, TRUE);
    g_array_free(core->planning.team_reserved, TRUE);
    g_array_free(core->membership.team_owners, TRUE);
    g_hash_table_destroy(core->stored.pages);
    g_hash_table_destroy(core->stored.batches);
    g_ptr_array_free(core->stored.dirty_machines, TRUE);
    g_ptr_array_free(core->stored.orphan_record_keys, TRUE);
    g_array_free(core->membership.term.members, TRUE);
    g_hash_table_destroy(core->autoscaling.stray_failed);
    g_hash_table_destroy(core->autoscaling.refused_capacity);
    g_hash_table_destroy(core->autoscaling.rentals);
    g_hash_table_destroy(core->membership.sessions);
    g_hash_table_destroy(core->stored.gone_machines);
    g_hash_table_destroy(core->stored.cancel_hints);
    g_ptr_array_free(core->stored.machine_list, TRUE);
    g_hash_table_destroy(core->stored.machines);
    g_ptr_array_free(core->stored.open_jobs, TRUE);
    g_hash_table_destroy(core->stored.jobs);
    g_hash_table_destroy(core->stored.final_jobs);
    g_array_free(core->stored.machine_types, TRUE);
    g_array_free(core->autoscaling.catalog_types, TRUE);
    rr_name_index_clear(&core->stored.teams);
    rr_name_index_clear(&core->stored.zones);
    rr_name_index_clear(&core->stored.machine_type_names);
    rr_name_index_clear(&core->stored.job_classes);
    rr_name_index_clear(&core->stored.images);
    g_free(core);
}

/* ---- keys ----
 * A full reload comes in key order, and a record may only speak of what was read before it:
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
