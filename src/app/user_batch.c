#include "app/user_batch.h"
#include "core/state/transaction.h"
#include "core/submissions.h"

#include <string.h>

#define TRANSACTION_BYTES_MAX ((size_t)40 * 1024)
#define BATCH_HEADER_BYTES 64     /* of a value, kept free for the header of a job batch's record */
#define CHANGE_OVERHEAD_BYTES 100 /* of a change beyond its value */
#define GUARDS_PER_CHANGE_MAX 4
/* Estimated JSON size of a MessagePack value, in tenths of its size plus a fixed part. */
#define JSON_SIZE_TENTHS 14
#define JSON_SIZE_EXTRA_BYTES 16

/* Estimates the size of the commit's value as JSON, which is longer than MessagePack. The limits of
 * the key-value store apply to JSON. */
static size_t estimate_json_size(const struct rr_user_commit *commit) {
    return commit->value.buffer.size * JSON_SIZE_TENTHS / 10 + JSON_SIZE_EXTRA_BYTES;
}

static bool contains_key(const struct rr_user_batch *batch, const char *key) {
    for (guint i = 0; i < batch->entry_count; i++) {
        if (strcmp(batch->entries[i]->key, key) == 0) {
            return true;
        }
    }
    return false;
}

/* A transaction must guard and write each key at most once. Otherwise a repeated submission and the
 * cancellation of the same job could share a transaction: one guard would cover both changes, the
 * later change would win, and a job whose cancellation was confirmed could run. */
bool rr_user_batch_add(const struct rr_config *config, struct rr_user_batch *batch,
                       struct rr_user_commit *commit) {
    guint changes_max = (guint)rr_transaction_changes_max(config);
    size_t value_max = (size_t)(rr_value_kb_max(config) * 1024) - BATCH_HEADER_BYTES;
    size_t size = estimate_json_size(commit);
    bool has_extra_guard = commit->extra_guard_key[0] != 0;
    bool joins_open_record = commit->is_submission && batch->open_record_bytes > 0 &&
                             batch->open_record_bytes + size <= value_max;
    guint record_count = batch->record_count + !joins_open_record;
    guint guard_count =
        batch->entry_count + 1 + record_count + batch->extra_guard_count + has_extra_guard;
    if (batch->entry_count == RR_USER_BATCH_MAX || contains_key(batch, commit->key) ||
        record_count > changes_max || batch->json_bytes + size > TRANSACTION_BYTES_MAX ||
        guard_count > GUARDS_PER_CHANGE_MAX * changes_max) {
        return batch->entry_count == 0;
    }
    if (joins_open_record) {
        batch->open_record_bytes += size;
    } else if (commit->is_submission) {
        batch->open_record_bytes = size;
    }
    batch->record_count = record_count;
    batch->extra_guard_count += has_extra_guard;
    batch->json_bytes += size + CHANGE_OVERHEAD_BYTES;
    batch->joins_previous_record[batch->entry_count] = joins_open_record;
    batch->entries[batch->entry_count++] = commit;
    return true;
}

/* Writes the commit's value under its own key. */
static void put_single_record(rr_transaction *transaction, const struct rr_user_commit *commit) {
    rr_change change = {g_strdup(commit->key),
                        g_memdup2(commit->value.buffer.data, commit->value.buffer.size),
                        commit->value.buffer.size, 0};
    g_array_append_val(transaction->changes, change);
}

/* Writes several new jobs as one record, a job batch; writes a single new job under its own key. */
static void put_new_jobs(uint64_t lease_id, uint64_t *batch_count, rr_transaction *transaction,
                         struct rr_user_commit **entries, guint count) {
    char key[96];
    rr_encoder encoder;
    if (count == 1) {
        put_single_record(transaction, entries[0]);
        return;
    }
    rr_encoder_init(&encoder);
    rr_core_begin_job_batch(&encoder, count);
    for (guint i = 0; i < count; i++) {
        msgpack_sbuffer_write(&encoder.buffer, entries[i]->value.buffer.data,
                              entries[i]->value.buffer.size);
    }
    rr_core_job_batch_key(lease_id, ++*batch_count, key, sizeof key);
    rr_transaction_guard(transaction, key, 0);
    rr_transaction_put(transaction, key, &encoder, 0);
}

/* Every job is guarded by its own key, whether or not it is in a job batch: if the job was
 * cancelled or accepted before, the transaction fails, and the other changes are retried without
 * it. */
void rr_user_batch_build_transaction(const struct rr_user_batch *batch, uint64_t lease_id,
                                     uint64_t *batch_count, rr_transaction *transaction) {
    struct rr_user_commit *new_jobs[RR_USER_BATCH_MAX];
    guint new_job_count = 0;
    for (guint i = 0; i < batch->entry_count; i++) {
        struct rr_user_commit *commit = batch->entries[i];
        rr_transaction_guard(transaction, commit->key, commit->version);
        if (commit->extra_guard_key[0]) {
            rr_transaction_guard(transaction, commit->extra_guard_key, commit->extra_guard_version);
        }
        if (!commit->is_submission) {
            put_single_record(transaction, commit);
            continue;
        }
        if (new_job_count > 0 && !batch->joins_previous_record[i]) {
            put_new_jobs(lease_id, batch_count, transaction, new_jobs, new_job_count);
            new_job_count = 0;
        }
        new_jobs[new_job_count++] = commit;
    }
    if (new_job_count > 0) {
        put_new_jobs(lease_id, batch_count, transaction, new_jobs, new_job_count);
    }
}
