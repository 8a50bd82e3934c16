/* The in-memory key-value store: its records, and a log of every change for the cores that follow
 * it. */
#include "fake_store.h"
#include "core/cache_feed.h"
#include "core/leadership.h"

#include <errno.h>
#include <string.h>

/* A stored record. */
struct fake_value {
    void *data;
    size_t len;
    uint64_t version;
};

/* A change in the log. */
struct fake_change {
    char *key;
    void *data; /* NULL: deleted */
    size_t len;
    uint64_t version;
};

static void value_free(gpointer data) {
    struct fake_value *value = data;
    g_free(value->data);
    g_free(value);
}

static void change_free(gpointer data) {
    struct fake_change *change = data;
    g_free(change->key);
    g_free(change->data);
    g_free(change);
}

fake_store *fake_store_create(void) {
    fake_store *store = g_new0(fake_store, 1);
    store->records = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, value_free);
    store->log = g_ptr_array_new_with_free_func(change_free);
    return store;
}

void fake_store_destroy(fake_store *store) {
    g_hash_table_destroy(store->records);
    g_ptr_array_free(store->log, TRUE);
    g_free(store);
}

uint64_t fake_store_version(const fake_store *store, const char *key) {
    const struct fake_value *value = g_hash_table_lookup(store->records, key);
    return value ? value->version : 0;
}

uint64_t fake_store_change_revision(const fake_store *store, guint i) {
    return ((const struct fake_change *)g_ptr_array_index(store->log, i))->version;
}

void fake_store_foreach(const fake_store *store, fake_store_record_fn callback, void *user) {
    GHashTableIter iter;
    gpointer key, value;
    g_hash_table_iter_init(&iter, store->records);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct fake_value *record = value;
        rr_document document;
        assert_int_equal(rr_document_parse(&document, record->data, record->len), 0);
        callback(user, key, document.root, record->version);
        rr_document_clear(&document);
    }
}

unsigned fake_store_count(const fake_store *store, const char *prefix) {
    GHashTableIter iter;
    gpointer key;
    unsigned count = 0;
    g_hash_table_iter_init(&iter, store->records);
    while (g_hash_table_iter_next(&iter, &key, NULL)) {
        count += g_str_has_prefix(key, prefix);
    }
    return count;
}

/* Returns the size of an encoded value as JSON, which is how the key-value store counts it. */
static size_t size_as_json(const void *data, size_t length) {
    static char text[256 * 1024];
    rr_document document;
    assert_int_equal(rr_document_parse(&document, data, length), 0);
    int count = msgpack_object_print_buffer(text, sizeof text, *document.root);
    rr_document_clear(&document);
    return (size_t)count;
}

size_t fake_store_value_size(const fake_store *store, const char *key) {
    const struct fake_value *value = g_hash_table_lookup(store->records, key);
    return value ? size_as_json(value->data, value->len) : 0;
}

/* Whether the transaction keeps the store's limits. */
static bool within_limits(const fake_store *store, const rr_transaction *transaction) {
    if (store->change_count_max && (transaction->changes->len > store->change_count_max ||
                                    transaction->guards->len > 4 * store->change_count_max)) {
        return false;
    }
    for (guint i = 0; store->value_bytes_max && i < transaction->changes->len; i++) {
        const rr_change *change = &g_array_index(transaction->changes, rr_change, i);
        if (change->value && size_as_json(change->value, change->length) > store->value_bytes_max) {
            return false;
        }
    }
    return true;
}

int fake_store_commit(fake_store *store, const rr_transaction *transaction) {
    if (!within_limits(store, transaction)) {
        return -EINVAL;
    }
    for (guint i = 0; i < transaction->guards->len; i++) {
        const rr_guard *guard = &g_array_index(transaction->guards, rr_guard, i);
        if (fake_store_version(store, guard->key) != guard->version) {
            return -EAGAIN;
        }
    }
    store->revision++;
    for (guint i = 0; i < transaction->changes->len; i++) {
        const rr_change *change = &g_array_index(transaction->changes, rr_change, i);
        struct fake_change *log_entry = g_new0(struct fake_change, 1);
        log_entry->key = g_strdup(change->key);
        log_entry->version = store->revision;
        if (change->value) {
            struct fake_value *value = g_new0(struct fake_value, 1);
            value->data = g_memdup2(change->value, change->length);
            value->len = log_entry->len = change->length;
            value->version = store->revision;
            log_entry->data = g_memdup2(change->value, change->length);
            g_hash_table_replace(store->records, g_strdup(change->key), value);
        } else {
            g_hash_table_remove(store->records, change->key);
        }
        g_ptr_array_add(store->log, log_entry);
    }
    return 0;
}

void fake_store_sync(fake_store *store, rr_core *core, double now) {
    uint64_t from = rr_core_revision(core);
    if (store->watch_stuck) {
        return;
    }
    if (!rr_core_cache_loaded(core)) {
        rr_core_cache_begin_reload(core);
    }
    for (guint i = 0; i < store->log->len; i++) {
        const struct fake_change *change = g_ptr_array_index(store->log, i);
        if (change->version <= from) {
            continue;
        }
        if (!change->data) {
            rr_core_cache_delete(core, change->key, change->version, now);
            continue;
        }
        rr_document document;
        assert_int_equal(rr_document_parse(&document, change->data, change->len), 0);
        rr_core_cache_put(core, change->key, document.root, change->version, now);
        rr_document_clear(&document);
    }
    if (!rr_core_cache_loaded(core)) {
        rr_core_cache_end_reload(core, store->revision, store->revision, now);
    }
    rr_core_set_revision(core, store->revision);
    rr_core_set_cache_current(core, now);
}

static gint compare_keys(gconstpointer left, gconstpointer right) {
    return strcmp(left, right);
}

void fake_store_reload(fake_store *store, rr_core *core, double now) {
    GList *keys = g_list_sort(g_hash_table_get_keys(store->records), compare_keys);
    rr_core_cache_begin_reload(core);
    for (const GList *item = keys; item; item = item->next) {
        const struct fake_value *value = g_hash_table_lookup(store->records, item->data);
        rr_document document;
        assert_int_equal(rr_document_parse(&document, value->data, value->len), 0);
        rr_core_cache_put(core, item->data, document.root, value->version, now);
        rr_document_clear(&document);
    }
    rr_core_cache_end_reload(core, store->revision, store->revision, now);
    rr_core_set_revision(core, store->revision);
    rr_core_set_cache_current(core, now);
    g_list_free(keys);
}

GString *fake_store_dump(const fake_store *store) {
    GString *out = g_string_new(NULL);
    GList *keys = g_list_sort(g_hash_table_get_keys(store->records), compare_keys);
    for (const GList *item = keys; item; item = item->next) {
        const struct fake_value *value = g_hash_table_lookup(store->records, item->data);
        g_string_append_printf(out, "%s ", (const char *)item->data);
        for (size_t i = 0; i < value->len; i++) {
            g_string_append_printf(out, "%02x", ((const uint8_t *)value->data)[i]);
        }
        g_string_append_c(out, '\n');
    }
    g_list_free(keys);
    return out;
}

void fake_store_put(fake_store *store, const char *key, rr_encoder *encoder) {
    rr_transaction transaction;
    rr_transaction_init(&transaction);
    rr_transaction_put(&transaction, key, encoder, 0);
    assert_int_equal(fake_store_commit(store, &transaction), 0);
    rr_transaction_clear(&transaction);
}

void fake_store_delete(fake_store *store, const char *key) {
    rr_transaction transaction;
    rr_transaction_init(&transaction);
    rr_transaction_delete(&transaction, key);
    assert_int_equal(fake_store_commit(store, &transaction), 0);
    rr_transaction_clear(&transaction);
}

bool fake_store_has_machine(const fake_store *store, const char *id) {
    GHashTableIter iter;
    gpointer key, value;
    bool found = false;
    g_hash_table_iter_init(&iter, store->records);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct fake_value *page = value;
        rr_document document;
        if (!g_str_has_prefix(key, RR_KEY_ROOT "fleet/")) {
            continue;
        }
        assert_int_equal(rr_document_parse(&document, page->data, page->len), 0);
        const msgpack_object *entries = rr_map_get(document.root, "stones");
        for (uint32_t i = 0; i < entries->via.array.size; i++) {
            found = found || rr_object_text_equals(&entries->via.array.ptr[i].via.array.ptr[0], id);
        }
        rr_document_clear(&document);
    }
    return found;
}

/* Returns the attempt of the task on machine `id` in a placement record; 0: none. */
static uint64_t find_attempt_in_record(const struct fake_value *value, const char *id,
                                       uint32_t task) {
    uint64_t found = 0;
    rr_document document;
    assert_int_equal(rr_document_parse(&document, value->data, value->len), 0);
    const msgpack_object *placements = rr_map_get(document.root, "tasks");
    for (uint32_t i = 0; i < placements->via.array.size; i++) {
        const msgpack_object *fields = placements->via.array.ptr[i].via.array.ptr;
        if (rr_object_text_equals(&fields[1], id) && fields[0].via.u64 == task) {
            found = fields[2].via.u64;
        }
    }
    rr_document_clear(&document);
    return found;
}

#define TASKS_PER_RECORD                                                                           \
    64 /* tasks of one placement record with the settings of test_config_init() */

/* Searches the placement record of the task's chunk, then the overflow records that follow it. */
uint64_t fake_store_find_attempt(const fake_store *store, const char *id, const char *job_id,
                                 uint32_t task) {
    uint64_t found = 0;
    for (uint32_t chunk = task / TASKS_PER_RECORD; found == 0; chunk++) {
        char key[128];
        g_snprintf(key, sizeof key, RR_KEY_ROOT "run/%s/%u", job_id, chunk);
        const struct fake_value *value = g_hash_table_lookup(store->records, key);
        if (!value) {
            break;
        }
        found = find_attempt_in_record(value, id, task);
    }
    return found;
}

unsigned fake_store_placed_count(const fake_store *store, const char *job_id) {
    GHashTableIter iter;
    gpointer key, value;
    unsigned count = 0;
    char prefix[64];
    g_snprintf(prefix, sizeof prefix, RR_KEY_ROOT "run/%s/", job_id);
    g_hash_table_iter_init(&iter, store->records);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const struct fake_value *record = value;
        rr_document document;
        if (g_str_has_prefix(key, prefix)) {
            assert_int_equal(rr_document_parse(&document, record->data, record->len), 0);
            count += rr_map_get(document.root, "tasks")->via.array.size;
            rr_document_clear(&document);
        }
    }
    return count;
}
