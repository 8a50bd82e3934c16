/* Ledger record objects: creation, lookup, store keys and estimated sizes. */
#include "core/state/ledger_record.h"
#include "core/core_internal.h"
#include "core/state/jobs.h"
#include "core/state/store_keys.h"

#include <string.h>

/* Sizes in bytes of JSON, because the store's limits apply to the JSON form of a value. */
#define RECORD_BASE_BYTES 220 /* of a record without placements */
#define PLACEMENT_BYTES 44    /* of task, machine name, attempt, worker epoch and preempt mode */
#define BYTES_PER_KB 1024

rr_ledger_record *rr_job_ledger_record_find(const rr_job *job, uint32_t chunk) {
    return job->records && chunk < job->records->len ? g_ptr_array_index(job->records, chunk)
                                                     : NULL;
}

rr_ledger_record *rr_job_ledger_record_get(rr_job *job, uint32_t chunk) {
    if (!job->records) {
        job->records = g_ptr_array_new_with_free_func(rr_ledger_record_free);
    }
    if (chunk >= job->records->len) {
        g_ptr_array_set_size(job->records, (gint)chunk + 1);
    }
    rr_ledger_record *record = g_ptr_array_index(job->records, chunk);
    if (!record) {
        record = g_new0(rr_ledger_record, 1);
        record->chunk = chunk;
        record->placements = g_array_new(FALSE, TRUE, sizeof(rr_placement_record));
        job->records->pdata[chunk] = record;
    }
    return record;
}

void rr_ledger_record_free(gpointer data) {
    rr_ledger_record *record = data;
    if (record) {
        g_array_free(record->placements, TRUE);
        g_free(record);
    }
}

uint32_t rr_job_count_chunks(const rr_job *job) {
    return (job->submission.task_count + job->tasks_per_record - 1) / job->tasks_per_record;
}

bool rr_job_has_overflow_records(const rr_job *job) {
    return job->records && job->records->len > rr_job_count_chunks(job);
}

void rr_ledger_record_key(const char *job_id, uint32_t chunk, char *out, size_t size) {
    g_snprintf(out, size, RR_KEY_LEDGER "%s/%u", job_id, chunk);
}

bool rr_ledger_record_key_parse(const char *key_suffix, char *job_id, size_t size,
                                uint32_t *chunk) {
    /* Both a task name and this suffix have the form <job id>/<number>. */
    return rr_task_name_parse(key_suffix, job_id, size, chunk);
}

size_t rr_ledger_record_bytes(guint placement_count) {
    return RECORD_BASE_BYTES + (size_t)placement_count * PLACEMENT_BYTES;
}

uint32_t rr_tasks_per_record(double value_kb) {
    uint32_t tasks = RR_TASKS_PER_RECORD_MIN;
    while (tasks < RR_TASKS_PER_RECORD_MAX &&
           (double)rr_ledger_record_bytes(2 * tasks) < value_kb * BYTES_PER_KB) {
        tasks *= 2;
    }
    return tasks;
}

void rr_orphan_record_add(rr_core *core, const char *job_id, uint32_t chunk) {
    char key[RR_KEY_SIZE];
    rr_ledger_record_key(job_id, chunk, key, sizeof key);
    g_ptr_array_add(core->stored.orphan_record_keys, g_strdup(key));
}

rr_ledger_record *rr_orphan_record_find(const rr_core *core, guint i, rr_job **job) {
    const char *key = g_ptr_array_index(core->stored.orphan_record_keys, i);
    char job_id[RR_ID_SIZE];
    uint32_t chunk;
    rr_job *found =
        rr_ledger_record_key_parse(key + strlen(RR_KEY_LEDGER), job_id, sizeof job_id, &chunk)
            ? g_hash_table_lookup(core->stored.jobs, job_id)
            : NULL;
    if (job) {
        *job = found;
    }
    return found ? rr_job_ledger_record_find(found, chunk) : NULL;
}
