/* The fake key-value store: records with versions, transactions with guards, watches and leases. */
#include "fake_services_internal.h"

#include "common/clock.h"

#include <string.h>
#include <time.h>

#define STORE_PATH "/store/"
#define LEASES_PATH "/holds/"
#define KEY_SIZE 256 /* bytes of a buffer for a key */
#define DEFAULT_LEASE_TTL_MS 1000

struct record {
    void *data;
    size_t length;
    uint64_t version;  /* revision that last wrote the record */
    uint64_t lease_id; /* 0: none */
};

struct log_entry {
    char *key;
    void *data; /* NULL: deleted */
    size_t length;
    uint64_t version;
};

struct lease {
    double ttl_s;      /* seconds from a renewal to expiry */
    double expires_at; /* steady time */
};

static void record_free(gpointer data) {
    struct record *record = data;
    g_free(record->data);
    g_free(record);
}

static void log_entry_free(gpointer data) {
    struct log_entry *entry = data;
    g_free(entry->key);
    g_free(entry->data);
    g_free(entry);
}

static gint compare_keys(gconstpointer left, gconstpointer right, gpointer user) {
    (void)user;
    return strcmp(left, right);
}

void fake_store_service_init(struct fake_store_service *store) {
    store->records = g_tree_new_full(compare_keys, NULL, g_free, record_free);
    store->log = g_ptr_array_new_with_free_func(log_entry_free);
    store->leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
}

void fake_store_service_clear(struct fake_store_service *store) {
    g_tree_destroy(store->records);
    g_ptr_array_free(store->log, TRUE);
    g_hash_table_destroy(store->leases);
}

/* ---- records ---- */

/* Writes a record, or deletes it if value is NULL, and appends the change to the log under the
 * present revision. lease_id 0: no lease. */
static void write_record(struct fake_store_service *store, const char *key,
                         const msgpack_object *value, uint64_t lease_id) {
    struct log_entry *entry = g_new0(struct log_entry, 1);
    entry->key = g_strdup(key);
    entry->version = store->revision;
    if (value) {
        msgpack_sbuffer buffer;
        msgpack_packer packer;
        msgpack_sbuffer_init(&buffer);
        msgpack_packer_init(&packer, &buffer, msgpack_sbuffer_write);
        msgpack_pack_object(&packer, *value);
        struct record *record = g_new0(struct record, 1);
        record->data = g_memdup2(buffer.data, buffer.size);
        record->length = entry->length = buffer.size;
        record->version = store->revision;
        record->lease_id = lease_id;
        entry->data = g_memdup2(buffer.data, buffer.size);
        g_tree_replace(store->records, g_strdup(key), record);
        msgpack_sbuffer_destroy(&buffer);
    } else {
        g_tree_remove(store->records, key);
    }
    g_ptr_array_add(store->log, entry);
}

/* Returns the keys whose guards do not hold: char *, owned by the array, which the caller frees. */
static GPtrArray *find_conflicts(const struct fake_store_service *store,
                                 const msgpack_object *guards) {
    GPtrArray *conflicts = g_ptr_array_new_with_free_func(g_free);
    char key[KEY_SIZE];
    uint64_t version;
    for (uint32_t i = 0; guards && i < guards->via.array.size; i++) {
        const msgpack_object *guard = &guards->via.array.ptr[i];
        rr_map_get_text(guard, "path", key, sizeof key);
        rr_map_get_u64(guard, "mark", &version);
        const struct record *record = g_tree_lookup(store->records, key);
        if ((record ? record->version : 0) != version) {
            g_ptr_array_add(conflicts, g_strdup(key));
        }
    }
    return conflicts;
}

static void apply_changes(fake_services *services, const msgpack_object *changes) {
    struct fake_store_service *store = &services->store;
    char key[KEY_SIZE];
    store->revision++;
    for (uint32_t i = 0; changes && i < changes->via.array.size; i++) {
        const msgpack_object *change = &changes->via.array.ptr[i];
        uint64_t lease_id = 0;
        rr_map_get_u64(change, "tether", &lease_id);
        if (rr_map_get_text(change, "put", key, sizeof key)) {
            write_record(store, key, rr_map_get(change, "v"), lease_id);
        } else if (rr_map_get_text(change, "delete", key, sizeof key)) {
            write_record(store, key, NULL, 0);
        }
    }
    pthread_cond_broadcast(&services->changed);
}

/* Applies the transaction if all guards hold. Returns 200, or 409 with the keys that conflict. */
static int commit_transaction(fake_services *services, const msgpack_object *request,
                              rr_encoder *out) {
    GPtrArray *conflicts = find_conflicts(&services->store, rr_map_get(request, "guards"));
    bool succeeded = conflicts->len == 0;
    if (succeeded) {
        apply_changes(services, rr_map_get(request, "apply"));
    }
    rr_encode_map(out, succeeded ? 1 : 2);
    rr_encode_key_u64(out, "epoch", services->store.revision);
    if (!succeeded) {
        rr_encode_text(out, "failed");
        rr_encode_array(out, conflicts->len);
        for (guint i = 0; i < conflicts->len; i++) {
            rr_encode_text(out, conflicts->pdata[i]);
        }
    }
    g_ptr_array_free(conflicts, TRUE);
    return succeeded ? 200 : 409;
}

static int read_record(const struct fake_store_service *store, const char *key, rr_encoder *out) {
    const struct record *record = g_tree_lookup(store->records, key);
    if (!record) {
        rr_encode_map(out, 1);
        rr_encode_key_u64(out, "epoch", store->revision);
        return 404;
    }
    rr_encode_map(out, 4);
    rr_encode_key_text(out, "path", key);
    rr_encode_text(out, "v");
    msgpack_sbuffer_write(&out->buffer, record->data, record->length);
    rr_encode_key_u64(out, "mark", record->version);
    rr_encode_key_u64(out, "tether", record->lease_id);
    return 200;
}

static gboolean encode_record(gpointer key, gpointer value, gpointer user) {
    const struct record *record = value;
    rr_encoder *out = user;
    rr_encode_map(out, 3);
    rr_encode_key_text(out, "path", key);
    rr_encode_text(out, "v");
    msgpack_sbuffer_write(&out->buffer, record->data, record->length);
    rr_encode_key_u64(out, "mark", record->version);
    return FALSE;
}

static int list_records(const struct fake_store_service *store, rr_encoder *out) {
    rr_encode_map(out, 3);
    rr_encode_key_bool(out, "more", false);
    rr_encode_key_u64(out, "epoch", store->revision);
    rr_encode_text(out, "rows");
    rr_encode_array(out, (size_t)g_tree_nnodes(store->records));
    g_tree_foreach(store->records, encode_record, out);
    return 200;
}

/* ---- watches ---- */

/* Releases the lock until something changes or the time is over. */
static void wait_until_changed(fake_services *services, double seconds) {
    double deadline = rr_steady_clock_s() + seconds;
    struct timespec time = {(time_t)deadline, (long)((deadline - (double)(time_t)deadline) * 1e9)};
    pthread_cond_timedwait(&services->changed, &services->lock, &time);
}

/* Whether an injected failure keeps watches at this endpoint from delivering changes. */
static bool watch_is_blocked(const struct fake_endpoint *endpoint) {
    const struct fake_store_service *store = &endpoint->services->store;
    return store->watches_frozen || store->down || endpoint->frozen || endpoint->refused ||
           rr_steady_clock_s() < endpoint->frozen_until;
}

/* Returns the number of log entries after the revision. */
static guint count_entries_after(const struct fake_store_service *store, uint64_t revision) {
    guint count = 0;
    for (guint i = store->log->len; i > 0; i--) {
        if (((const struct log_entry *)store->log->pdata[i - 1])->version <= revision) {
            break;
        }
        count++;
    }
    return count;
}

static void encode_log_entry(const struct log_entry *entry, rr_encoder *out) {
    rr_encode_map(out, entry->data ? 3 : 2);
    rr_encode_key_text(out, entry->data ? "put" : "delete", entry->key);
    rr_encode_key_u64(out, "mark", entry->version);
    if (entry->data) {
        rr_encode_text(out, "v");
        msgpack_sbuffer_write(&out->buffer, entry->data, entry->length);
    }
}

/* Waits up to hold_s for a change after revision `from`, and encodes all changes after it. */
static int hold_watch(const struct fake_endpoint *endpoint, uint64_t from, double hold_s,
                      rr_encoder *out) {
    fake_services *services = endpoint->services;
    const struct fake_store_service *store = &services->store;
    double deadline = rr_steady_clock_s() + hold_s;
    while (!services->stopping && (watch_is_blocked(endpoint) || store->revision <= from) &&
           rr_steady_clock_s() < deadline) {
        wait_until_changed(services, deadline - rr_steady_clock_s());
    }
    bool delivers = !watch_is_blocked(endpoint);
    guint count = delivers ? count_entries_after(store, from) : 0;
    rr_encode_map(out, 2);
    rr_encode_key_u64(out, "epoch", delivers ? store->revision : from);
    rr_encode_text(out, "log");
    rr_encode_array(out, count);
    /* Newest first, as controllers must not rely on an order. */
    for (guint i = 0; i < count; i++) {
        encode_log_entry(store->log->pdata[store->log->len - 1 - i], out);
    }
    return 200;
}

/* ---- leases ---- */

struct lease_search {
    uint64_t lease_id;
    const char *key; /* result: key of a record with this lease; NULL: none */
};

static gboolean find_record_of_lease(gpointer key, gpointer value, gpointer user) {
    struct lease_search *search = user;
    if (((struct record *)value)->lease_id == search->lease_id) {
        search->key = key;
        return TRUE;
    }
    return FALSE;
}

/* Deletes the lease's records; the caller removes the lease itself. */
static int revoke_lease(fake_services *services, uint64_t lease_id) {
    struct fake_store_service *store = &services->store;
    struct lease_search search = {.lease_id = lease_id};
    store->revision++;
    do {
        search.key = NULL;
        g_tree_foreach(store->records, find_record_of_lease, &search);
        if (search.key) {
            char *key = g_strdup(search.key);
            write_record(store, key, NULL, 0);
            g_free(key);
        }
    } while (search.key);
    pthread_cond_broadcast(&services->changed);
    return 200;
}

static gboolean lease_has_expired(gpointer key, gpointer value, gpointer user) {
    (void)key;
    return ((struct lease *)value)->expires_at < *(double *)user;
}

/* While the store is down no lease expires; when it is up again, each lease has its full TTL. */
void fake_store_service_expire_leases(fake_services *services) {
    struct fake_store_service *store = &services->store;
    GHashTableIter iterator;
    gpointer key, value;
    double now = rr_steady_clock_s();
    g_hash_table_iter_init(&iterator, store->leases);
    while (g_hash_table_iter_next(&iterator, &key, &value)) {
        struct lease *lease = value;
        lease->expires_at = store->down ? now + lease->ttl_s : lease->expires_at;
        if (lease->expires_at < now) {
            revoke_lease(services, *(uint64_t *)key);
        }
    }
    g_hash_table_foreach_remove(store->leases, lease_has_expired, &now);
}

static int grant_lease(struct fake_store_service *store, const msgpack_object *request,
                       rr_encoder *out) {
    double ttl_ms = DEFAULT_LEASE_TTL_MS;
    struct lease *lease = g_new0(struct lease, 1);
    uint64_t *key = g_new(uint64_t, 1);
    rr_map_get_number(request, "life_ms", &ttl_ms);
    *key = ++store->last_lease_id;
    *lease = (struct lease){ttl_ms / 1000, rr_steady_clock_s() + ttl_ms / 1000};
    g_hash_table_insert(store->leases, key, lease);
    rr_encode_map(out, 1);
    rr_encode_key_u64(out, "tether", *key);
    return 200;
}

static int renew_lease(struct fake_store_service *store, uint64_t lease_id) {
    struct lease *lease = g_hash_table_lookup(store->leases, &lease_id);
    if (lease) {
        lease->expires_at = rr_steady_clock_s() + lease->ttl_s;
    }
    return lease ? 200 : 404;
}

/* ---- requests ---- */

bool fake_store_service_serves(const char *path) {
    return strcmp(path, "/watch") == 0 || strcmp(path, "/commit") == 0 ||
           strcmp(path, "/store") == 0 || strcmp(path, "/holds") == 0 ||
           g_str_has_prefix(path, STORE_PATH) || g_str_has_prefix(path, LEASES_PATH);
}

static int answer_watch(const struct fake_endpoint *endpoint, struct MHD_Connection *connection,
                        rr_encoder *out) {
    const char *from = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, "from");
    const char *hold_ms = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, "hold_ms");
    return hold_watch(endpoint, g_ascii_strtoull(from, NULL, 10),
                      g_ascii_strtod(hold_ms, NULL) / 1000, out);
}

int fake_store_service_answer(const struct fake_endpoint *endpoint,
                              struct MHD_Connection *connection, const char *path,
                              const char *method, const msgpack_object *request, rr_encoder *out) {
    fake_services *services = endpoint->services;
    if (strcmp(path, "/watch") == 0) {
        return answer_watch(endpoint, connection, out);
    }
    if (services->store.down || endpoint->refused) {
        return 503;
    }
    if (strcmp(path, "/commit") == 0) {
        return commit_transaction(services, request, out);
    }
    if (strcmp(path, "/store") == 0) {
        return list_records(&services->store, out);
    }
    if (g_str_has_prefix(path, STORE_PATH)) {
        return read_record(&services->store, path + strlen(STORE_PATH), out);
    }
    if (strcmp(path, "/holds") == 0) {
        return grant_lease(&services->store, request, out);
    }
    uint64_t lease_id = g_ascii_strtoull(path + strlen(LEASES_PATH), NULL, 10);
    if (strcmp(method, "DELETE") == 0) {
        g_hash_table_remove(services->store.leases, &lease_id);
        return revoke_lease(services, lease_id);
    }
    return renew_lease(&services->store, lease_id);
}
