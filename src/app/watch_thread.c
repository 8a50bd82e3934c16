/* The watch thread: keeps the store cache current by one full read, then watches from its revision
 * on. */
#include "app/thread_helpers.h"
#include "app/threads.h"
#include "common/clock.h"
#include "common/log.h"
#include "common/usage.h"
#include "core/cache_feed.h"
#include "core/leadership.h"

#include <errno.h>

/* Watches are short, because an open watch does not show that the store cache has every change
 * since the watch was opened, and answers to workers depend on the age of the store cache. */
#define WATCH_TIMEOUT_MS 2000
/* The watches of all controllers together take one in this many of the requests that the store
 * allows. */
#define REQUESTS_PER_WATCH 4.0
#define LOAD_RETRY_PAUSE_S 0.3
#define WATCH_RETRY_PAUSE_S 0.25
#define KEY_CHUNK_BYTES 1024 /* block size for the copied keys of one answer */

/* One change in the answer to a watch. */
struct record_change {
    const char *key;
    const msgpack_object *value; /* NULL: the record is deleted */
    uint64_t version;            /* of the record after the change */
};

static gint compare_change_versions(gconstpointer left_item, gconstpointer right_item) {
    const struct record_change *left = left_item, *right = right_item;
    return left->version < right->version ? -1 : left->version > right->version;
}

/* ---- full read ---- */

/* Arguments of cache_page_row(). */
struct page_context {
    rr_core *core;
    double now; /* steady */
};

/* Puts a row of a page into the store cache; an rr_store_row_fn. Caller holds rr_app.lock. */
static void cache_page_row(void *user, const char *key, const msgpack_object *value,
                           uint64_t version) {
    const struct page_context *page = user;
    rr_core_cache_put(page->core, key, value, version, page->now);
}

/* Reads all records into the store cache, page by page, so that the state is never in memory twice.
 * The core decides nothing until the read has ended. Changes made since the first page come with
 * the watch; records of older versions never replace newer ones. Returns 0 or -errno. */
static int load_cache(struct rr_app *app, rr_store *store) {
    double started_at = rr_steady_clock_s();
    rr_store_cursor cursor = {.has_more = true};
    uint64_t first_revision = 0, last_revision = 0;
    int rc = 0;
    pthread_mutex_lock(&app->lock);
    rr_core_cache_begin_reload(app->core);
    pthread_mutex_unlock(&app->lock);
    while (cursor.has_more && rc == 0 && !rr_app_is_stopping(app)) {
        rr_document document;
        rc = rr_store_read_page(store, RR_KEY_ROOT, &cursor, &document);
        if (rc != 0) {
            break;
        }
        pthread_mutex_lock(&app->lock);
        struct page_context page = {app->core, rr_steady_clock_s()};
        rr_store_for_each_row(&document, &cursor, cache_page_row, &page);
        pthread_mutex_unlock(&app->lock);
        rr_document_clear(&document);
        first_revision = first_revision ? first_revision : cursor.revision;
        last_revision = MAX(last_revision, cursor.revision);
    }
    pthread_mutex_lock(&app->lock);
    if (rc == 0 && !rr_app_is_stopping(app)) {
        rr_core_cache_end_reload(app->core, first_revision, last_revision, rr_steady_clock_s());
        rr_core_set_revision(app->core, first_revision);
        rr_core_set_cache_current(app->core, started_at);
        pthread_cond_broadcast(&app->cache_advanced);
        rr_app_wake_planner(app);
    }
    pthread_mutex_unlock(&app->lock);
    return rc;
}

/* ---- watches ---- */

/* Decodes one change. Its key is copied into `keys`; its value remains owned by the document.
 * Returns false if the change is malformed. */
static bool decode_change(const msgpack_object *object, GStringChunk *keys,
                          struct record_change *change) {
    char key[256];
    bool put = rr_map_get(object, "put") != NULL;
    if (!rr_map_get_text(object, put ? "put" : "delete", key, sizeof key) ||
        !rr_map_get_u64(object, "mark", &change->version) || (put && !rr_map_get(object, "v"))) {
        return false;
    }
    change->key = g_string_chunk_insert(keys, key);
    change->value = put ? rr_map_get(object, "v") : NULL;
    return true;
}

/* Applies the changes (struct record_change) to the store cache, which then has every change up to
 * `revision` and every change made before the steady time `requested_at`. Takes rr_app.lock; caller
 * holds no lock. */
static void apply_changes(struct rr_app *app, const GArray *changes, uint64_t revision,
                          double requested_at) {
    pthread_mutex_lock(&app->lock);
    double now = rr_steady_clock_s();
    for (guint i = 0; i < changes->len; i++) {
        const struct record_change *change = &g_array_index(changes, struct record_change, i);
        if (change->value) {
            rr_core_cache_put(app->core, change->key, change->value, change->version, now);
        } else {
            rr_core_cache_delete(app->core, change->key, change->version, now);
        }
    }
    rr_core_set_revision(app->core, revision);
    rr_core_set_cache_current(app->core, requested_at);
    app->store_answered_at = now;
    pthread_cond_broadcast(&app->cache_advanced);
    if (changes->len) {
        rr_app_wake_planner(app);
    }
    pthread_mutex_unlock(&app->lock);
    if (changes->len) {
        rr_log(RR_DEBUG_LEVEL,
               "store cache: read %u changes up to revision %" G_GUINT64_FORMAT
               " with a watch sent %.0f ms ago",
               changes->len, revision, 1000 * (now - requested_at));
    }
}

/* Applies the answer to a watch that was sent at the steady time `requested_at`. The store promises
 * no order of the changes, but a record may refer to an older one: they are applied in the order of
 * their versions. Malformed changes are skipped. Returns 0, or -EBADMSG if the answer itself is
 * malformed. */
static int apply_watch_answer(struct rr_app *app, const rr_document *document,
                              double requested_at) {
    const msgpack_object *log = rr_map_get(document->root, "log");
    uint64_t revision;
    if (!rr_map_get_u64(document->root, "epoch", &revision) ||
        (log && log->type != MSGPACK_OBJECT_ARRAY)) {
        return -EBADMSG;
    }
    uint32_t count = log ? log->via.array.size : 0;
    GArray *changes = g_array_new(FALSE, FALSE, sizeof(struct record_change));
    GStringChunk *keys = g_string_chunk_new(KEY_CHUNK_BYTES);
    for (uint32_t i = 0; i < count; i++) {
        struct record_change change = {0};
        if (decode_change(&log->via.array.ptr[i], keys, &change)) {
            g_array_append_val(changes, change);
        }
    }
    g_array_sort(changes, compare_change_versions);
    apply_changes(app, changes, revision, requested_at);
    g_array_free(changes, TRUE);
    g_string_chunk_free(keys);
    return 0;
}

/* Sends one watch and applies the changes that it returns. A watch ends with the first change.
 * Before the next one is sent, this thread waits for its share of the store's request limit, so
 * that one watch returns all changes made in the meantime. *opened_at: steady time at which the
 * previous watch was sent; set to that of this one. Returns 0 or -errno; -ESTALE if the store no
 * longer has all changes since the cache's revision. */
static int watch_once(struct rr_app *app, rr_store *store, double *opened_at) {
    rr_document document;
    pthread_mutex_lock(&app->lock);
    uint64_t revision = rr_core_revision(app->core);
    unsigned controllers = rr_core_count_members(app->core);
    pthread_mutex_unlock(&app->lock);
    rr_app_pause(app,
                 *opened_at +
                     REQUESTS_PER_WATCH * (controllers ? controllers : 1) / app->config.store_rps -
                     rr_steady_clock_s());
    *opened_at = rr_steady_clock_s();
    int rc = rr_store_watch(store, RR_KEY_ROOT, revision, WATCH_TIMEOUT_MS, &document);
    if (rc == 0) {
        rc = apply_watch_answer(app, &document, *opened_at);
        rr_document_clear(&document);
    }
    return rc;
}

void *rr_watch_thread(void *argument) {
    struct rr_app *app = argument;
    rr_usage_register_thread(RR_USAGE_STORE_CACHE);
    rr_store *store = rr_app_create_store_client(app);
    bool loaded = false;
    double opened_at = 0;
    while (!rr_app_is_stopping(app)) {
        if (!loaded) {
            loaded = load_cache(app, store) == 0;
            if (!loaded) {
                rr_app_pause(app, LOAD_RETRY_PAUSE_S);
            }
            continue;
        }
        int rc = watch_once(app, store, &opened_at);
        if (rc == -ESTALE) {
            rr_log(RR_INFO_LEVEL,
                   "store cache too old to watch from its revision, reading all records again");
            loaded = false;
        } else if (rc != 0) {
            rr_app_pause(app, WATCH_RETRY_PAUSE_S);
        }
    }
    rr_store_destroy(store);
    rr_usage_unregister_thread();
    return NULL;
}
