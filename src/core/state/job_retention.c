/* Frees what is no longer needed of final jobs. */
#include "core/state/job_retention.h"
#include "core/core_internal.h"
#include "core/state/job_records.h"
#include "core/state/jobs.h"
#include "core/state/machines.h"

static bool record_in_use(const rr_core *core, const rr_ledger_record *record) {
    return record && (record->version || record->edit || record->placements->len ||
                      record->deleted_at_revision > core->stored.revision);
}

void rr_job_trim(const rr_core *core, rr_job *job) {
    for (guint i = 0; job->records && i < job->records->len; i++) {
        if (record_in_use(core, g_ptr_array_index(job->records, i))) {
            return;
        }
    }
    if (job->records && !job->open) {
        g_ptr_array_free(job->records, TRUE);
        job->records = NULL;
    }
}

static void add_jobs(GHashTable *referenced, const GArray *jobs) {
    for (guint i = 0; i < jobs->len; i++) {
        g_hash_table_add(referenced, g_array_index(jobs, rr_job *, i));
    }
}

/* Returns the set of jobs that something else points to; the caller destroys it. */
static GHashTable *referenced_jobs(const rr_core *core) {
    GHashTable *referenced = g_hash_table_new(NULL, NULL);
    GHashTableIter iter;
    gpointer value;
    add_jobs(referenced, core->stored.arrivals);
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        const rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        add_jobs(referenced, machine->failed_jobs);
    }
    for (guint i = 0; i < core->planning.moves->len; i++) {
        g_hash_table_add(referenced, g_array_index(core->planning.moves, rr_move, i).job);
    }
    g_hash_table_iter_init(&iter, core->stored.batches);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GPtrArray *jobs = ((const rr_job_batch *)value)->jobs;
        for (guint i = 0; i < jobs->len; i++) {
            g_hash_table_add(referenced, g_ptr_array_index(jobs, i));
        }
    }
    return referenced;
}

/* Final by its own record, and the watch is past every record that may still name it. */
static bool retirable(const rr_core *core, rr_job *job) {
    if (!(job->done || job->cancelled) || job->open || job->own_version == 0 ||
        job->own_version > core->stored.revision) {
        return false;
    }
    rr_job_trim(core, job);
    return job->records == NULL;
}

void rr_jobs_shrink(rr_core *core, double wall) {
    GHashTableIter iter;
    gpointer value;
    rr_arrivals_trim(core, wall);
    GHashTable *referenced = referenced_jobs(core);
    g_hash_table_iter_init(&iter, core->stored.jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        rr_job *job = value;
        bool was_idle = job->idle;
        job->idle = retirable(core, job) && !g_hash_table_contains(referenced, job);
        if (was_idle && job->idle) {
            gsize outcome = (gsize)job->done_count * 2 + (job->done ? 1 : 0);
            g_hash_table_replace(core->stored.final_jobs, g_strdup(job->submission.job_id),
                                 GSIZE_TO_POINTER(outcome));
            g_hash_table_iter_remove(&iter);
        }
    }
    g_hash_table_destroy(referenced);
}
