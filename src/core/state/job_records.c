/* Encodes job records for the store and applies them to the store cache. */
#include "core/state/job_records.h"
#include "core/core_internal.h"
#include "core/state/job_outcomes.h"
#include "core/state/machines.h"
#include "core/state/name_index.h"
#include "core/state/placement_accounting.h"
#include "core/state/record_words.h"
#include "core/state/store_keys.h"
#include "core/submissions.h"
#include "wire/wire_words.h"

/* ---- encoding records ---- */

void rr_core_job_key(const char *job_id, char *out, size_t size) {
    g_snprintf(out, size, RR_KEY_JOB "%s", job_id);
}

void rr_core_encode_job(rr_encoder *encoder, const rr_submission *submission, double accepted_at,
                        bool cancelled) {
    rr_encode_map(encoder, rr_submission_field_count(submission) + 2);
    rr_submission_encode_fields(encoder, submission);
    rr_encode_key_number(encoder, RR_RECORD_ACCEPTED_AT, accepted_at);
    rr_encode_key_bool(encoder, RR_RECORD_CANCELLED, cancelled);
}

bool rr_core_encode_cancelled_job(const rr_core *core, const char *job_id, rr_encoder *encoder,
                                  uint64_t *version) {
    const rr_job *job = g_hash_table_lookup(core->stored.jobs, job_id);
    if (!job || job->done || job->cancelled) {
        return false;
    }
    rr_core_encode_job(encoder, &job->submission, job->accepted_at, true);
    *version = job->own_record_version;
    return true;
}

void rr_job_add_final_record(const rr_job *job, rr_transaction *transaction) {
    char key[RR_KEY_SIZE];
    rr_encoder encoder;
    rr_encoder_init(&encoder);
    rr_encode_map(&encoder, 4);
    rr_encode_key_text(&encoder, RR_WORD_JOB_ID, job->submission.job_id);
    rr_encode_key_text(&encoder, RR_RECORD_FINAL, RR_RECORD_FINAL_DONE);
    rr_encode_key_text(&encoder, RR_WORD_TEAM, job->submission.team);
    rr_encode_key_u64(&encoder, RR_WORD_TASKS, job->submission.task_count);
    rr_core_job_key(job->submission.job_id, key, sizeof key);
    rr_transaction_guard(transaction, key, job->own_record_version);
    rr_transaction_put(transaction, key, &encoder, 0);
}

void rr_core_begin_job_batch(rr_encoder *encoder, size_t count) {
    rr_encode_map(encoder, 1);
    rr_encode_text(encoder, RR_RECORD_JOBS);
    rr_encode_array(encoder, count);
}

void rr_core_job_batch_key(uint64_t lease_id, uint64_t number, char *out, size_t size) {
    g_snprintf(out, size, RR_KEY_JOB_BATCH "%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT, lease_id,
               number);
}

/* ---- applying records to the store cache ---- */

/* Applies the final record of a completed job, which has no submission any more. */
static void apply_final_record(rr_core *core, rr_job *job, const msgpack_object *value) {
    uint64_t task_count = 0;
    rr_map_get_u64(value, RR_WORD_TASKS, &task_count);
    if (job->submission.task_count == 0) {
        job->submission.task_count = (uint32_t)task_count;
    }
    rr_map_get_text(value, RR_WORD_TEAM, job->submission.team, sizeof job->submission.team);
    job->done = true;
    job->done_count = job->submission.task_count;
    job->team = rr_name_index_add(&core->stored.teams, job->submission.team);
}

/* Converts the names in the submission to indices, and its resources to a request. */
static void index_submission_names(rr_core *core, rr_job *job) {
    const rr_submission *submission = &job->submission;
    job->team = rr_name_index_add(&core->stored.teams, submission->team);
    job->job_class = rr_name_index_add(&core->stored.job_classes, submission->job_class);
    job->image = rr_name_index_add(&core->stored.images, submission->image);
    job->request = (rr_resources){submission->cpus, submission->gpus, submission->mem_gb};
}

/* Adds (sign 1) or subtracts (sign -1) the job's placements in the totals. */
static void account_placements(rr_core *core, rr_job *job, int sign) {
    for (guint k = 0; job->records && k < job->records->len; k++) {
        const rr_ledger_record *record = g_ptr_array_index(job->records, k);
        for (guint i = 0; record && i < record->placements->len; i++) {
            const rr_placement_record *recorded =
                &g_array_index(record->placements, rr_placement_record, i);
            rr_placement placement = {.job = job, .task = recorded->task};
            rr_account_placement(core, recorded->machine, &placement, sign);
        }
    }
}

/* Takes only the cancellation from a record whose submission this version can't read. Such a
 * record may come from a version that does not know the job's kind: it writes the job's
 * cancellation without the submission. */
static void apply_cancellation_only(rr_core *core, rr_job *job, const msgpack_object *value,
                                    const char *field) {
    rr_log_at(core, RR_LOG_ERROR,
              "job %s: submission in stored record ignored, field %s is missing or invalid",
              job->submission.job_id, field);
    rr_map_get_bool(value, RR_RECORD_CANCELLED, &job->cancelled);
    account_placements(core, job, -1);
    account_placements(core, job, 1); /* totals are unchanged, but the machines are now dirty */
}

/* Applies a submission from a job's own record or from an entry of a batch record. */
static void apply_submission(rr_core *core, rr_job *job, const msgpack_object *value, bool is_new) {
    rr_submission submission;
    const char *field;
    if (rr_submission_decode(value, &submission, &field) != 0) {
        apply_cancellation_only(core, job, value, field);
        return;
    }
    if (job->submission.task_count && job->submission.task_count != submission.task_count) {
        rr_log_at(core, RR_LOG_ERROR,
                  "job %s: stored record ignored, its task count differs from the known one",
                  job->submission.job_id);
        rr_submission_clear(&submission);
        return;
    }
    /* Ledger records may have arrived before the submission, so their placements were counted
     * without resources. Subtract them as they were counted, and add them again with resources. */
    account_placements(core, job, -1);
    rr_submission_clear(&job->submission);
    job->submission = submission;
    rr_map_get_number(value, RR_RECORD_ACCEPTED_AT, &job->accepted_at);
    rr_map_get_bool(value, RR_RECORD_CANCELLED, &job->cancelled);
    index_submission_names(core, job);
    rr_job_open(core, job);
    account_placements(core, job, 1);
    if (is_new) {
        rr_arrivals_add(core, job);
    }
}

void rr_job_put(rr_core *core, const char *job_id, const msgpack_object *value, uint64_t version,
                double now) {
    if (rr_job_outcome(core, job_id, NULL, NULL)) {
        return; /* an evicted job is final and does not change any more */
    }
    rr_job *job = rr_job_get(core, job_id, now);
    bool is_new = job->version == 0;
    if (version < job->own_record_version) {
        return;
    }
    job->version = job->own_record_version = version;
    if (rr_map_get(value, RR_RECORD_FINAL)) {
        apply_final_record(core, job, value);
    } else {
        apply_submission(core, job, value, is_new);
    }
    rr_job_close_if_final(core, job);
}

static void apply_batch_entry(rr_core *core, rr_job_batch *batch, const msgpack_object *entry,
                              double now) {
    char job_id[RR_ID_SIZE];
    if (!rr_map_get_text(entry, RR_WORD_JOB_ID, job_id, sizeof job_id) ||
        !rr_job_id_valid(job_id) || rr_job_outcome(core, job_id, NULL, NULL)) {
        return;
    }
    rr_job *job = rr_job_get(core, job_id, now);
    g_ptr_array_add(batch->jobs, job);
    if (job->own_record_version == 0 && (job->version == 0 || batch->version < job->version)) {
        bool is_new = job->version == 0;
        job->version = batch->version;
        apply_submission(core, job, entry, is_new);
    }
}

void rr_job_batch_put(rr_core *core, const char *key, const msgpack_object *value, uint64_t version,
                      double now) {
    const msgpack_object *entries = rr_map_get(value, RR_RECORD_JOBS);
    rr_job_batch *batch = g_new0(rr_job_batch, 1);
    batch->version = version;
    batch->jobs = g_ptr_array_new();
    g_hash_table_replace(core->stored.job_batches, g_strdup(key), batch);
    if (!entries || entries->type != MSGPACK_OBJECT_ARRAY) {
        return;
    }
    for (uint32_t i = 0; i < entries->via.array.size; i++) {
        apply_batch_entry(core, batch, &entries->via.array.ptr[i], now);
    }
}

void rr_job_batch_free(gpointer data) {
    rr_job_batch *batch = data;
    g_ptr_array_free(batch->jobs, TRUE);
    g_free(batch);
}

void rr_job_batch_delete(rr_core *core, const char *key) {
    g_hash_table_remove(core->stored.job_batches, key);
}

void rr_job_batches_begin_reload(rr_core *core) {
    g_hash_table_remove_all(core->stored.job_batches);
}
