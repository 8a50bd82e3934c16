#include "app/user_batch.h"
#include "core/state/transaction.h"
#include "core/submissions.h"

#include <string.h>

#define TRANSACTION_BYTES_MAX ((size_t)40 * 1024)
#define VALUE_RESERVE_BYTES 64 /* for the frame of a job batch's record */
#define CHANGE_OVERHEAD_BYTES 100
#define GUARDS_PER_CHANGE_MAX 4

/* The store's limits count JSON, which is longer than the packed form. */
static size_t json_size(const struct rr_user_commit *commit) {
    return commit->value.buffer.size * 14 / 10 + 16;
}

static bool contains_key(const struct rr_user_batch *batch, const char *key) {
    for (guint i = 0; i < batch->entry_count; i++) {
        if (strcmp(batch->entries[i]->key, key) == 0) {
            return true;
        }
    }
    return false;
}

/* A transaction guards and writes each key once at most. Otherwise a repeated submission and the
 * cancellation of the same job could share it: one guard would cover both changes, the later change
 * would win, and a job whose cancellation was confirmed would run. */
bool rr_user_batch_add(const struct rr_config *config, struct rr_user_batch *batch,
                       struct rr_user_commit *commit) {
    guint changes_max = (guint)rr_transaction_changes_max(config);
    size_t value_max = (size_t)(rr_value_kb_max(config) * 1024) - VALUE_RESERVE_BYTES;
    size_t size = json_size(commit);
    bool has_extra_guard = commit->also_key[0] != 0;
    bool joins = commit->is_submission && batch->open_record_bytes > 0 &&
                 batch->open_record_bytes + size <= value_max;
    guint records = batch->record_count + !joins;
    guint guards = batch->entry_count + 1 + records + batch->extra_guard_count + has_extra_guard;
    if (batch->entry_count == RR_USER_BATCH_MAX || contains_key(batch, commit->key) ||
        records > changes_max || batch->bytes + size > TRANSACTION_BYTES_MAX ||
        guards > GUARDS_PER_CHANGE_MAX * changes_max) {
        return batch->entry_count == 0;
    }
    if (joins) {
        batch->open_record_bytes += size;
    } else if (commit->is_submission) {
        batch->open_record_bytes = size;
    }
    batch->record_count = records;
    batch->extra_guard_count += has_extra_guard;
    batch->bytes += size + CHANGE_OVERHEAD_BYTES;
    batch->joins_previous[batch->entry_count] = joins;
    batch->entries[batch->entry_count++] = commit;
    return true;
}

static void put_own_record(rr_transaction *transaction, const struct rr_user_commit *commit) {
    rr_change change = {g_strdup(commit->key),
                        g_memdup2(commit->value.buffer.data, commit->value.buffer.size),
                        commit->value.buffer.size, 0};
    g_array_append_val(transaction->changes, change);
}

/* Puts new jobs into one record, a job batch; a single one into a record of its own. */
static void put_shared_record(uint64_t lease_id, uint64_t *batch_count, rr_transaction *transaction,
                              struct rr_user_commit **entries, guint count) {
    char key[96];
    rr_encoder encoder;
    if (count == 1) {
        put_own_record(transaction, entries[0]);
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

/* Every job is guarded by its own key, in a job batch or not: an earlier cancellation or acceptance
 * of it fails the transaction, and the other changes are repeated without it. */
void rr_user_batch_transaction(const struct rr_user_batch *batch, uint64_t lease_id,
                               uint64_t *batch_count, rr_transaction *transaction) {
    struct rr_user_commit *group[RR_USER_BATCH_MAX];
    guint count = 0;
    for (guint i = 0; i < batch->entry_count; i++) {
        struct rr_user_commit *commit = batch->entries[i];
        rr_transaction_guard(transaction, commit->key, commit->version);
        if (commit->also_key[0]) {
            rr_transaction_guard(transaction, commit->also_key, commit->also_version);
        }
        if (!commit->is_submission) {
            put_own_record(transaction, commit);
            continue;
        }
        if (count > 0 && !batch->joins_previous[i]) {
            put_shared_record(lease_id, batch_count, transaction, group, count);
            count = 0;
        }
        group[count++] = commit;
    }
    if (count > 0) {
        put_shared_record(lease_id, batch_count, transaction, group, count);
    }
}
