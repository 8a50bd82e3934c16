#include "core/txn.h"

#include <string.h>

static void guard_free(gpointer p) {
    g_free(((rr_guard *)p)->key);
}

static void change_free(gpointer p) {
    rr_change *c = p;
    g_free(c->key);
    g_free(c->value);
}

void rr_transaction_init(rr_transaction *t) {
    t->guards = g_array_new(FALSE, FALSE, sizeof(rr_guard));
    t->changes = g_array_new(FALSE, FALSE, sizeof(rr_change));
    g_array_set_clear_func(t->guards, guard_free);
    g_array_set_clear_func(t->changes, change_free);
}

void rr_transaction_clear(rr_transaction *t) {
    if (t->guards) {
        g_array_free(t->guards, TRUE);
        g_array_free(t->changes, TRUE);
    }
    t->guards = t->changes = NULL;
}

void rr_transaction_guard(rr_transaction *t, const char *key, uint64_t mark) {
    for (guint i = 0; i < t->guards->len; i++) {
        if (strcmp(g_array_index(t->guards, rr_guard, i).key, key) == 0) {
            return;
        }
    }
    rr_guard g = {g_strdup(key), mark};
    g_array_append_val(t->guards, g);
}

void rr_transaction_put(rr_transaction *t, const char *key, rr_encoder *value, uint64_t tether) {
    rr_change c = {g_strdup(key), g_memdup2(value->buffer.data, value->buffer.size),
                   value->buffer.size, tether};
    g_array_append_val(t->changes, c);
    rr_encoder_clear(value);
}

void rr_transaction_delete(rr_transaction *t, const char *key) {
    rr_change c = {g_strdup(key), NULL, 0, 0};
    g_array_append_val(t->changes, c);
}

void rr_transaction_encode(const rr_transaction *t, rr_encoder *o) {
    rr_encode_map(o, 2);
    rr_encode_text(o, "guards");
    rr_encode_array(o, t->guards->len);
    for (guint i = 0; i < t->guards->len; i++) {
        const rr_guard *g = &g_array_index(t->guards, rr_guard, i);
        rr_encode_map(o, 2);
        rr_encode_key_text(o, "path", g->key);
        rr_encode_key_u64(o, "mark", g->version);
    }
    rr_encode_text(o, "apply");
    rr_encode_array(o, t->changes->len);
    for (guint i = 0; i < t->changes->len; i++) {
        const rr_change *c = &g_array_index(t->changes, rr_change, i);
        if (!c->value) {
            rr_encode_map(o, 1);
            rr_encode_key_text(o, "delete", c->key);
            continue;
        }
        rr_encode_map(o, c->lease_id ? 3 : 2);
        rr_encode_key_text(o, "put", c->key);
        rr_encode_text(o, "v");
        msgpack_sbuffer_write(&o->buffer, c->value, c->length);
        if (c->lease_id) {
            rr_encode_key_u64(o, "tether", c->lease_id);
        }
    }
}
