/* Frees the ledger records of closed jobs, and evicts final jobs to which nothing refers. */
#include "core/state/job_retention.h"
#include "core/core_internal.h"
#include "core/state/job_outcomes.h"
#include "core/state/job_records.h"
#include "core/state/jobs.h"
#include "core/state/machines.h"

/* Returns whether the record is stored, being edited or not empty, or the watch may still deliver a
 * version older than its deletion. */
static bool is_record_in_use(const rr_core *core, const rr_ledger_record *record) {
    return record && (record->version || record->edit || record->placements->len ||
                      record->deleted_at_revision > core->stored.revision);
}

void rr_job_free_unused_records(const rr_core *core, rr_job *job) {
    for (guint i = 0; job->records && i < job->records->len; i++) {
        if (is_record_in_use(core, g_ptr_array_index(job->records, i))) {
            return;
        }
    }
    if (job->records && !job->open) {
        g_ptr_array_free(job->records, TRUE);
        job->records = NULL;
    }
}

static void add_to_set(GHashTable *referenced, const GArray *jobs) {
    for (guint i = 0; i < jobs->len; i++) {
        g_hash_table_add(referenced, g_array_index(jobs, rr_job *, i));
    }
}

/* Collects the jobs (rr_job*) to which other objects point. The caller destroys the set. */
static GHashTable *collect_referenced_jobs(const rr_core *core) {
    GHashTable *referenced = g_hash_table_new(NULL, NULL);
    GHashTableIter iter;
    gpointer value;
    add_to_set(referenced, core->stored.recent_arrivals);
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        const rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        add_to_set(referenced, machine->failed_jobs);
    }
    for (guint i = 0; i < core->planning.planned_moves->len; i++) {
        g_hash_table_add(referenced, g_array_index(core->planning.planned_moves, rr_move, i).job);
    }
    g_hash_table_iter_init(&iter, core->stored.job_batches);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GPtrArray *jobs = ((const rr_job_batch *)value)->jobs;
        for (guint i = 0; i < jobs->len; i++) {
            g_hash_table_add(referenced, g_ptr_array_index(jobs, i));
        }
    }
    return referenced;
}

/* Returns whether the job is final by its own record and closed, and the watch has passed every
 * record that may still name it. */
static bool is_evictable(const rr_core *core, rr_job *job) {
    if (!(job->done || job->cancelled) || job->open || job->own_record_version == 0 ||
        job->own_record_version > core->stored.revision) {
        return false;
    }
    rr_job_free_unused_records(core, job);
    return job->records == NULL;
}

void rr_jobs_evict_final(rr_core *core, double wall) {
    GHashTableIter iter;
    gpointer value;
    rr_arrivals_trim(core, wall);
    GHashTable *referenced = collect_referenced_jobs(core);
    g_hash_table_iter_init(&iter, core->stored.jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        rr_job *job = value;
        bool was_evictable = job->evictable;
        job->evictable = is_evictable(core, job) && !g_hash_table_contains(referenced, job);
        if (was_evictable && job->evictable) {
            rr_job_outcome_add(core, job);
            g_hash_table_iter_remove(&iter);
        }
    }
    g_hash_table_destroy(referenced);
}
