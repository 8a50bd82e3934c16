/* Keeps the store cache current: one full read, then watches from its revision on. */
#include "app/thread_loop.h"
#include "app/threads.h"
#include "common/clock.h"
#include "common/log.h"
#include "common/usage.h"
#include "core/cache_feed.h"
#include "core/leadership.h"

#include <errno.h>

/* An open watch proves nothing about the time since it was opened, and answers to workers depend on
 * the age of the store cache: watches are short. */
#define WATCH_TIMEOUT_MS 2000
/* Watches take one in so many requests of the store's limit, over all controllers. */
#define REQUESTS_PER_WATCH 4.0
#define LOAD_RETRY_S 0.3
#define WATCH_RETRY_S 0.25
#define KEY_CHUNK_BYTES 1024

/* One change in the answer to a watch. */
struct log_row {
    const char *key;
    const msgpack_object *value; /* NULL: deleted */
    uint64_t version;
};

static gint compare_versions(gconstpointer left_item, gconstpointer right_item) {
    const struct log_row *left = left_item, *right = right_item;
    return left->version < right->version ? -1 : left->version > right->version;
}

/* ---- full read ---- */

struct page_context {
    rr_core *core;
    double now;
};

static void put_page_row(void *user, const char *key, const msgpack_object *value,
                         uint64_t version) {
    const struct page_context *page = user;
    rr_core_cache_put(page->core, key, value, version, page->now);
}

/* Reads all records page by page, so that the state is never in memory twice. Until the end the
 * core decides nothing on it. Changes made since the first page come with the watch; records of
 * older versions never replace newer ones. 0 or -errno. */
static int load_cache(struct rr_app *app, rr_store *store) {
    double began = rr_steady_clock_s();
    rr_store_cursor cursor = {.more = true};
    uint64_t first_revision = 0, last_revision = 0;
    int rc = 0;
    pthread_mutex_lock(&app->lock);
    rr_core_cache_begin_reload(app->core);
    pthread_mutex_unlock(&app->lock);
    while (cursor.more && rc == 0 && !rr_app_stopping(app)) {
        rr_document document;
        rc = rr_store_next_page(store, RR_KEY_ROOT, &cursor, &document);
        if (rc != 0) {
            break;
        }
        pthread_mutex_lock(&app->lock);
        struct page_context page = {app->core, rr_steady_clock_s()};
        rr_store_each_row(&document, &cursor, put_page_row, &page);
        pthread_mutex_unlock(&app->lock);
        rr_document_clear(&document);
        first_revision = first_revision ? first_revision : cursor.revision;
        last_revision = MAX(last_revision, cursor.revision);
    }
    pthread_mutex_lock(&app->lock);
    if (rc == 0 && !rr_app_stopping(app)) {
        rr_core_cache_end_reload(app->core, first_revision, last_revision, rr_steady_clock_s());
        rr_core_set_revision(app->core, first_revision);
        rr_core_set_cache_current(app->core, began);
        pthread_cond_broadcast(&app->cache_advanced);
        rr_app_wake_planner(app);
    }
    pthread_mutex_unlock(&app->lock);
    return rc;
}

/* ---- watches ---- */

/* False: the row is malformed. The key is copied into `keys`; the value stays the document's. */
static bool decode_log_row(const msgpack_object *object, GStringChunk *keys, struct log_row *row) {
    char key[256];
    bool put = rr_map_get(object, "put") != NULL;
    if (!rr_map_get_text(object, put ? "put" : "delete", key, sizeof key) ||
        !rr_map_get_u64(object, "mark", &row->version) || (put && !rr_map_get(object, "v"))) {
        return false;
    }
    row->key = g_string_chunk_insert(keys, key);
    row->value = put ? rr_map_get(object, "v") : NULL;
    return true;
}

/* Puts the rows into the store cache, which then has every change up to `revision` and every change
 * made before `asked_at`. */
static void apply_rows(struct rr_app *app, const GArray *rows, uint64_t revision, double asked_at) {
    pthread_mutex_lock(&app->lock);
    double now = rr_steady_clock_s();
    for (guint i = 0; i < rows->len; i++) {
        const struct log_row *row = &g_array_index(rows, struct log_row, i);
        if (row->value) {
            rr_core_cache_put(app->core, row->key, row->value, row->version, now);
        } else {
            rr_core_cache_delete(app->core, row->key, row->version, now);
        }
    }
    rr_core_set_revision(app->core, revision);
    rr_core_set_cache_current(app->core, asked_at);
    app->store_ok_at = now;
    pthread_cond_broadcast(&app->cache_advanced);
    if (rows->len) {
        rr_app_wake_planner(app);
    }
    pthread_mutex_unlock(&app->lock);
}

/* Applies the answer to a watch that was sent at the steady time `asked_at`. The log is in no
 * promised order, but a record may refer to an older one: changes are applied by version. 0 or
 * -EBADMSG. */
static int apply_log(struct rr_app *app, const rr_document *document, double asked_at) {
    const msgpack_object *log = rr_map_get(document->root, "log");
    uint64_t revision;
    if (!rr_map_get_u64(document->root, "epoch", &revision) ||
        (log && log->type != MSGPACK_OBJECT_ARRAY)) {
        return -EBADMSG;
    }
    uint32_t count = log ? log->via.array.size : 0;
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct log_row));
    GStringChunk *keys = g_string_chunk_new(KEY_CHUNK_BYTES);
    for (uint32_t i = 0; i < count; i++) {
        struct log_row row = {0};
        if (decode_log_row(&log->via.array.ptr[i], keys, &row)) {
            g_array_append_val(rows, row);
        }
    }
    g_array_sort(rows, compare_versions);
    apply_rows(app, rows, revision, asked_at);
    g_array_free(rows, TRUE);
    g_string_chunk_free(keys);
    return 0;
}

/* Watches for changes and applies them. A watch ends with the first change, and the next one is a
 * request of its own: changes gather while the thread waits for its share of the store's request
 * limit. *opened_at: steady, of the previous watch, then of this one. 0 or -errno. */
static int watch_once(struct rr_app *app, rr_store *store, double *opened_at) {
    rr_document document;
    pthread_mutex_lock(&app->lock);
    uint64_t revision = rr_core_revision(app->core);
    unsigned controllers = rr_core_count_members(app->core);
    pthread_mutex_unlock(&app->lock);
    rr_app_pause(app,
                 *opened_at +
                     REQUESTS_PER_WATCH * (controllers ? controllers : 1) / app->config.state_rps -
                     rr_steady_clock_s());
    *opened_at = rr_steady_clock_s();
    int rc = rr_store_watch(store, RR_KEY_ROOT, revision, WATCH_TIMEOUT_MS, &document);
    if (rc == 0) {
        rc = apply_log(app, &document, *opened_at);
        rr_document_clear(&document);
    }
    return rc;
}

void *rr_watch_thread(void *argument) {
    struct rr_app *app = argument;
    rr_usage_enter(RR_USAGE_STORE_CACHE);
    rr_store *store = rr_app_open_store(app);
    bool loaded = false;
    double opened_at = 0;
    while (!rr_app_stopping(app)) {
        if (!loaded) {
            loaded = load_cache(app, store) == 0;
            if (!loaded) {
                rr_app_pause(app, LOAD_RETRY_S);
            }
            continue;
        }
        int rc = watch_once(app, store, &opened_at);
        if (rc == -ESTALE) {
            rr_log(RR_INFO_LEVEL, "store cache too old for a watch: reading all again");
            loaded = false;
        } else if (rc != 0) {
            rr_app_pause(app, WATCH_RETRY_S);
        }
    }
    rr_store_destroy(store);
    rr_usage_leave();
    return NULL;
}
