/* Builds transactions and encodes them for the store. */
#include "core/state/transaction.h"
#include "wire/wire_words.h"

#include <string.h>

/* GDestroyNotify of the guards: frees what a guard owns. */
static void clear_guard(gpointer data) {
    g_free(((rr_guard *)data)->key);
}

/* GDestroyNotify of the changes: frees what a change owns. */
static void clear_change(gpointer data) {
    rr_change *change = data;
    g_free(change->key);
    g_free(change->value);
}

void rr_transaction_init(rr_transaction *transaction) {
    transaction->guards = g_array_new(FALSE, FALSE, sizeof(rr_guard));
    transaction->changes = g_array_new(FALSE, FALSE, sizeof(rr_change));
    g_array_set_clear_func(transaction->guards, clear_guard);
    g_array_set_clear_func(transaction->changes, clear_change);
}

void rr_transaction_clear(rr_transaction *transaction) {
    if (transaction->guards) {
        g_array_free(transaction->guards, TRUE);
        g_array_free(transaction->changes, TRUE);
    }
    transaction->guards = transaction->changes = NULL;
}

void rr_transaction_guard(rr_transaction *transaction, const char *key, uint64_t version) {
    for (guint i = 0; i < transaction->guards->len; i++) {
        if (strcmp(g_array_index(transaction->guards, rr_guard, i).key, key) == 0) {
            return;
        }
    }
    rr_guard guard = {g_strdup(key), version};
    g_array_append_val(transaction->guards, guard);
}

void rr_transaction_put(rr_transaction *transaction, const char *key, rr_encoder *value,
                        uint64_t lease_id) {
    rr_change change = {g_strdup(key), g_memdup2(value->buffer.data, value->buffer.size),
                        value->buffer.size, lease_id};
    g_array_append_val(transaction->changes, change);
    rr_encoder_clear(value);
}

void rr_transaction_delete(rr_transaction *transaction, const char *key) {
    rr_change change = {g_strdup(key), NULL, 0, 0};
    g_array_append_val(transaction->changes, change);
}

static void encode_guard(rr_encoder *encoder, const rr_guard *guard) {
    rr_encode_map(encoder, 2);
    rr_encode_key_text(encoder, RR_WORD_KEY, guard->key);
    rr_encode_key_u64(encoder, RR_WORD_VERSION, guard->version);
}

static void encode_change(rr_encoder *encoder, const rr_change *change) {
    if (!change->value) {
        rr_encode_map(encoder, 1);
        rr_encode_key_text(encoder, RR_WORD_DELETE, change->key);
        return;
    }
    rr_encode_map(encoder, change->lease_id ? 3 : 2);
    rr_encode_key_text(encoder, RR_WORD_PUT, change->key);
    rr_encode_text(encoder, RR_WORD_VALUE);
    msgpack_sbuffer_write(&encoder->buffer, change->value, change->length);
    if (change->lease_id) {
        rr_encode_key_u64(encoder, RR_WORD_LEASE_ID, change->lease_id);
    }
}

void rr_transaction_encode(const rr_transaction *transaction, rr_encoder *encoder) {
    rr_encode_map(encoder, 2);
    rr_encode_text(encoder, RR_WORD_GUARDS);
    rr_encode_array(encoder, transaction->guards->len);
    for (guint i = 0; i < transaction->guards->len; i++) {
        encode_guard(encoder, &g_array_index(transaction->guards, rr_guard, i));
    }
    rr_encode_text(encoder, RR_WORD_CHANGES);
    rr_encode_array(encoder, transaction->changes->len);
    for (guint i = 0; i < transaction->changes->len; i++) {
        encode_change(encoder, &g_array_index(transaction->changes, rr_change, i));
    }
}
