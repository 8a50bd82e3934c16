#include "app/batch.h"

#include <string.h>

#define BATCH_BYTES ((size_t)40 * 1024)

/* The store counts JSON, which is longer than what is packed. */
static size_t json_size(const struct rr_user_commit *u) {
    return u->value.buffer.size * 14 / 10 + 16;
}

/* A transaction guards and writes a key once. An acceptance whose answer was lost, on its way
 * again, and the cancellation of the job that others had read meanwhile once went together: the
 * guard of one stood for both, the later put won, and a job that was told to be cancelled ran on.
 */
static bool batch_contains(const struct rr_user_batch *b, const char *key) {
    for (guint i = 0; i < b->n; i++) {
        if (strcmp(b->entries[i]->key, key) == 0) {
            return true;
        }
    }
    return false;
}

bool rr_user_batch_add(const struct rr_config *cfg, struct rr_user_batch *b,
                       struct rr_user_commit *u) {
    size_t size = json_size(u), most = (size_t)(rr_value_kb_max(cfg) * 1024) - 64;
    bool joins = u->is_submission && b->open > 0 && b->open + size <= most;
    guint records = b->records + !joins;
    guint guards = b->n + 1 + records + b->more_guards + (u->also_key[0] != 0);
    if (b->n == RR_USER_BATCH_MAX || batch_contains(b, u->key) ||
        records > (guint)rr_transaction_changes_max(cfg) || b->bytes + size > BATCH_BYTES ||
        guards > 4 * (guint)rr_transaction_changes_max(cfg)) {
        return b->n == 0;
    }
    b->open = joins ? b->open + size : u->is_submission ? size : b->open;
    b->records = records;
    b->more_guards += u->also_key[0] != 0;
    b->bytes += size + 100;
    b->joins[b->n] = joins;
    b->entries[b->n++] = u;
    return true;
}

static void put_alone(rr_transaction *t, const struct rr_user_commit *u) {
    rr_change ch = {g_strdup(u->key), g_memdup2(u->value.buffer.data, u->value.buffer.size),
                    u->value.buffer.size, 0};
    g_array_append_val(t->changes, ch);
}

/* entries[from..to) are new jobs that share a record. */
static void put_together(uint64_t tether, uint64_t *batches, rr_transaction *t,
                         struct rr_user_commit **entries, guint n) {
    char key[96];
    rr_encoder o;
    if (n == 1) {
        put_alone(t, entries[0]);
        return;
    }
    rr_encoder_init(&o);
    rr_core_batch_begin(&o, n);
    for (guint i = 0; i < n; i++) {
        msgpack_sbuffer_write(&o.buffer, entries[i]->value.buffer.data,
                              entries[i]->value.buffer.size);
    }
    rr_core_batch_key(tether, ++*batches, key, sizeof key);
    rr_transaction_guard(t, key, 0);
    rr_transaction_put(t, key, &o, 0);
}

/* Every job is guarded by its own key, batch or not: a cancellation or an earlier acceptance of it
 * fails the transaction, and the others go again without it. */
void rr_user_batch_transaction(const struct rr_user_batch *b, uint64_t tether, uint64_t *batches,
                               rr_transaction *t) {
    struct rr_user_commit *group[RR_USER_BATCH_MAX];
    guint n = 0;
    for (guint i = 0; i < b->n; i++) {
        struct rr_user_commit *u = b->entries[i];
        rr_transaction_guard(t, u->key, u->version);
        if (u->also_key[0]) {
            rr_transaction_guard(t, u->also_key, u->also_version);
        }
        if (!u->is_submission) {
            put_alone(t, u);
            continue;
        }
        if (n > 0 && !b->joins[i]) {
            put_together(tether, batches, t, group, n);
            n = 0;
        }
        group[n++] = u;
    }
    if (n > 0) {
        put_together(tether, batches, t, group, n);
    }
}
