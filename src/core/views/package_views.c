/* The interface of the packages beside the core, fair admission and cells, to machines and jobs. */
#include "core/core_internal.h"
#include "core/extensions.h"
#include "core/state/cancel_hints.h"
#include "core/state/job_outcomes.h"
#include "core/state/job_records.h"
#include "core/state/jobs.h"
#include "core/state/machine_pages.h"
#include "core/state/machines.h"
#include "core/state/name_index.h"
#include "core/state/store_keys.h"
#include "core/state/transaction.h"
#include "core/state/transfer_holds.h"
#include "core/submissions.h"

/* ---- machines and jobs ---- */

void rr_core_foreach_machine(const rr_core *core, rr_core_machine_fn callback, void *user) {
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        const rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        const rr_machine_type *type = rr_machine_type_at(core, machine->machine_type);
        if (type && machine->recorded && !machine->scaling_in && machine->zone >= 0) {
            callback(user, type->name, rr_name_index_at(&core->stored.zones, machine->zone),
                     type->cpus, type->gpus, type->mem_gb);
        }
    }
}

void rr_core_foreach_job(const rr_core *core, rr_core_job_fn callback, void *user) {
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, core->stored.jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const rr_job *job = value;
        if (!job->version) {
            continue;
        }
        bool schedulable = !job->cancelled && !job->done && !rr_job_transferred(core, job);
        uint32_t waiting =
            schedulable ? job->submission.task_count - job->done_count - job->placed_count : 0;
        callback(user, &job->submission, job->team, waiting, job->placed_count, job->done_count);
    }
}

bool rr_core_job_known(const rr_core *core, const char *job_id) {
    const rr_job *job = g_hash_table_lookup(core->stored.jobs, job_id);
    return (job && job->version) || rr_job_outcome(core, job_id, NULL, NULL);
}

bool rr_core_find_job(const rr_core *core, const char *job_id, rr_core_job *out) {
    const rr_job *job = g_hash_table_lookup(core->stored.jobs, job_id);
    if (!job || !job->version) {
        return false;
    }
    *out = (rr_core_job){.submission = &job->submission,
                         .accepted_at = job->accepted_at,
                         .known = true,
                         .done = job->done,
                         .cancelled = job->cancelled,
                         .placed = job->placed_count,
                         .done_count = job->done_count};
    return true;
}

/* ---- changes to a job ---- */

/* Returns the job if its record is known and it is neither done nor cancelled, else NULL. */
static rr_job *find_open_job(const rr_core *core, const char *job_id) {
    rr_job *job = g_hash_table_lookup(core->stored.jobs, job_id);
    return job && job->version && !job->done && !job->cancelled ? job : NULL;
}

bool rr_core_add_finished_job_record(const rr_core *core, const char *job_id,
                                     bool placed_tasks_gone, rr_transaction *transaction) {
    const rr_job *job = find_open_job(core, job_id);
    bool can_finish = job && (job->placed_count == 0 || placed_tasks_gone);
    if (can_finish) {
        rr_job_add_final_record(job, transaction);
    }
    return can_finish;
}

bool rr_core_guard_open_job(const rr_core *core, const char *job_id, rr_transaction *transaction) {
    const rr_job *job = find_open_job(core, job_id);
    if (job) {
        char key[RR_KEY_SIZE];
        rr_core_job_key(job_id, key, sizeof key);
        rr_transaction_guard(transaction, key, job->own_record_version);
    }
    return job != NULL;
}

bool rr_core_add_cancelled_job_record(const rr_core *core, const char *job_id,
                                      rr_transaction *transaction) {
    char key[RR_KEY_SIZE];
    uint64_t version;
    rr_encoder encoder;
    if (!find_open_job(core, job_id)) {
        return false;
    }
    rr_encoder_init(&encoder);
    rr_core_encode_cancelled_job(core, job_id, &encoder, &version);
    rr_core_job_key(job_id, key, sizeof key);
    rr_transaction_guard(transaction, key, version);
    rr_transaction_put(transaction, key, &encoder, 0);
    return true;
}

bool rr_core_job_cancelled(const rr_core *core, const char *job_id, double now) {
    const rr_job *job = g_hash_table_lookup(core->stored.jobs, job_id);
    bool done = false;
    bool final = rr_job_outcome(core, job_id, &done, NULL);
    return (job && job->cancelled) || (final && !done) || rr_has_cancel_hint(core, job_id, now);
}
