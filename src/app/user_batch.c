#include "app/user_batch.h"
#include "core/state/transaction.h"
#include "core/submissions.h"

#include <string.h>

#define BATCH_BYTES ((size_t)40 * 1024)

/* The store counts JSON, which is longer than what is packed. */
static size_t json_size(const struct rr_user_commit *commit) {
    return commit->value.buffer.size * 14 / 10 + 16;
}

/* A transaction guards and writes a key once. An acceptance whose answer was lost, on its way
 * again, and the cancellation of the job that others had read meanwhile once went together: the
 * guard of one stood for both, the later put won, and a job that was told to be cancelled ran on.
 */
static bool batch_contains(const struct rr_user_batch *batch, const char *key) {
    for (guint i = 0; i < batch->n; i++) {
        if (strcmp(batch->entries[i]->key, key) == 0) {
            return true;
        }
    }
    return false;
}

bool rr_user_batch_add(const struct rr_config *config, struct rr_user_batch *batch,
                       struct rr_user_commit *commit) {
    size_t size = json_size(commit), most = (size_t)(rr_value_kb_max(config) * 1024) - 64;
    bool joins = commit->is_submission && batch->open > 0 && batch->open + size <= most;
    guint records = batch->records + !joins;
    guint guards = batch->n + 1 + records + batch->more_guards + (commit->also_key[0] != 0);
    if (batch->n == RR_USER_BATCH_MAX || batch_contains(batch, commit->key) ||
        records > (guint)rr_transaction_changes_max(config) || batch->bytes + size > BATCH_BYTES ||
        guards > 4 * (guint)rr_transaction_changes_max(config)) {
        return batch->n == 0;
    }
    batch->open = joins ? batch->open + size : commit->is_submission ? size : batch->open;
    batch->records = records;
    batch->more_guards += commit->also_key[0] != 0;
    batch->bytes += size + 100;
    batch->joins[batch->n] = joins;
    batch->entries[batch->n++] = commit;
    return true;
}

static void put_alone(rr_transaction *transaction, const struct rr_user_commit *commit) {
    rr_change change = {g_strdup(commit->key),
                        g_memdup2(commit->value.buffer.data, commit->value.buffer.size),
                        commit->value.buffer.size, 0};
    g_array_append_val(transaction->changes, change);
}

/* entries[from..to) are new jobs that share a record. */
static void put_together(uint64_t lease_id, uint64_t *batches, rr_transaction *transaction,
                         struct rr_user_commit **entries, guint count) {
    char key[96];
    rr_encoder encoder;
    if (count == 1) {
        put_alone(transaction, entries[0]);
        return;
    }
    rr_encoder_init(&encoder);
    rr_core_batch_begin(&encoder, count);
    for (guint i = 0; i < count; i++) {
        msgpack_sbuffer_write(&encoder.buffer, entries[i]->value.buffer.data,
                              entries[i]->value.buffer.size);
    }
    rr_core_batch_key(lease_id, ++*batches, key, sizeof key);
    rr_transaction_guard(transaction, key, 0);
    rr_transaction_put(transaction, key, &encoder, 0);
}

/* Every job is guarded by its own key, batch or not: a cancellation or an earlier acceptance of it
 * fails the transaction, and the others go again without it. */
void rr_user_batch_transaction(const struct rr_user_batch *batch, uint64_t lease_id,
                               uint64_t *batches, rr_transaction *transaction) {
    struct rr_user_commit *group[RR_USER_BATCH_MAX];
    guint count = 0;
    for (guint i = 0; i < batch->n; i++) {
        struct rr_user_commit *commit = batch->entries[i];
        rr_transaction_guard(transaction, commit->key, commit->version);
        if (commit->also_key[0]) {
            rr_transaction_guard(transaction, commit->also_key, commit->also_version);
        }
        if (!commit->is_submission) {
            put_alone(transaction, commit);
            continue;
        }
        if (count > 0 && !batch->joins[i]) {
            put_together(lease_id, batches, transaction, group, count);
            count = 0;
        }
        group[count++] = commit;
    }
    if (count > 0) {
        put_together(lease_id, batches, transaction, group, count);
    }
}
