/* The store cache: read in full once, then kept by a watch. */
#include "app/thread_loop.h"
#include "common/clock.h"
#include "common/log.h"
#include "common/usage.h"
#include "core/cache_feed.h"
#include "core/leadership.h"

#include <errno.h>

struct row {
    const char *key;
    const msgpack_object *value; /* NULL: deleted */
    uint64_t version;
};

static gint by_version(gconstpointer left_item, gconstpointer right_item) {
    const struct row *left = left_item, *right = right_item;
    return left->version < right->version ? -1 : left->version > right->version;
}

static bool row_of(const msgpack_object *object, const char *name, char *key, size_t size,
                   uint64_t *version) {
    return rr_map_get_text(object, name, key, size) && rr_map_get_u64(object, "mark", version);
}

struct page_put {
    rr_core *core;
    double now;
};

static void put_row(void *user, const char *key, const msgpack_object *value, uint64_t version) {
    const struct page_put *page = user;
    rr_core_cache_put(page->core, key, value, version, page->now);
}

/* Page by page, so that a store cache of any size is never held twice. Nobody is shown half a
 * state: until the end nothing is decided, and answers wait for the revision. The changes since the
 * first page come with the watch; older versions never undo newer ones. */
static int reread(struct rr_app *app, rr_store *store) {
    double began = rr_steady_clock_s();
    rr_store_cursor cursor = {.more = true};
    uint64_t first = 0, last = 0;
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
        struct page_put page = {app->core, rr_steady_clock_s()};
        rr_store_each_row(&document, &cursor, put_row, &page);
        pthread_mutex_unlock(&app->lock);
        rr_document_clear(&document);
        first = first ? first : cursor.revision;
        last = cursor.revision > last ? cursor.revision : last;
    }
    pthread_mutex_lock(&app->lock);
    if (rc == 0 && !rr_app_stopping(app)) {
        rr_core_cache_end_reload(app->core, first, last, rr_steady_clock_s());
        rr_core_set_revision(app->core, first);
        rr_core_set_cache_current(app->core, began);
        pthread_cond_broadcast(&app->cache_advanced);
        rr_app_wake(app);
    }
    pthread_mutex_unlock(&app->lock);
    return rc;
}

/* The log comes in no promised order; a record may speak of an older one, so by mark. It answers a
 * request sent at `asked` and has every change made before. */
static int apply_log(struct rr_app *app, const rr_document *document, double asked) {
    const msgpack_object *log = rr_map_get(document->root, "log");
    uint64_t revision;
    if (!rr_map_get_u64(document->root, "epoch", &revision) ||
        (log && log->type != MSGPACK_OBJECT_ARRAY)) {
        return -EBADMSG;
    }
    uint32_t count = log ? log->via.array.size : 0;
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct row));
    GStringChunk *keys = g_string_chunk_new(1024);
    for (uint32_t i = 0; i < count; i++) {
        const msgpack_object *object = &log->via.array.ptr[i];
        char key[256];
        struct row row = {0};
        bool put = rr_map_get(object, "put") != NULL;
        if (row_of(object, put ? "put" : "delete", key, sizeof key, &row.version) &&
            (!put || rr_map_get(object, "v"))) {
            row.key = g_string_chunk_insert(keys, key);
            row.value = put ? rr_map_get(object, "v") : NULL;
            g_array_append_val(rows, row);
        }
    }
    g_array_sort(rows, by_version);
    pthread_mutex_lock(&app->lock);
    double now = rr_steady_clock_s();
    for (guint i = 0; i < rows->len; i++) {
        const struct row *row = &g_array_index(rows, struct row, i);
        if (row->value) {
            rr_core_cache_put(app->core, row->key, row->value, row->version, now);
        } else {
            rr_core_cache_delete(app->core, row->key, row->version, now);
        }
    }
    rr_core_set_revision(app->core, revision);
    rr_core_set_cache_current(app->core, asked);
    app->store_ok_at = now;
    pthread_cond_broadcast(&app->cache_advanced);
    if (rows->len) {
        rr_app_wake(app);
    }
    pthread_mutex_unlock(&app->lock);
    g_array_free(rows, TRUE);
    g_string_chunk_free(keys);
    return 0;
}

/* Short, since an open watch says nothing of the time since it was opened, and answers to workers
 * are bounded by how old the store cache may be. */
#define WATCH_MS 2000

void *rr_watch_thread(void *argument) {
    struct rr_app *app = argument;
    rr_usage_enter(RR_USAGE_STORE_CACHE);
    rr_store *store = rr_app_open_store(app);
    bool loaded = false;
    double opened = 0;
    while (!rr_app_stopping(app)) {
        rr_document document;
        if (!loaded) {
            loaded = reread(app, store) == 0;
            if (!loaded) {
                rr_app_pause(app, 0.3);
            }
            continue;
        }
        pthread_mutex_lock(&app->lock);
        uint64_t from = rr_core_revision(app->core);
        unsigned live = rr_core_live_controllers(app->core);
        pthread_mutex_unlock(&app->lock);
        /* A watch ends with the first change, and the next one is a request: under load changes
         * gather, so that watches take a quarter of the limit of requests at most. */
        rr_app_pause(app, opened + 4.0 * (live ? live : 1) / app->config.state_rps -
                              rr_steady_clock_s());
        opened = rr_steady_clock_s();
        int rc = rr_store_watch(store, RR_KEY_ROOT, from, WATCH_MS, &document);
        if (rc == 0) {
            rc = apply_log(app, &document, opened);
            rr_document_clear(&document);
        }
        if (rc == -ESTALE) {
            rr_log(RR_INFO_LEVEL, "mirror too old: reading all again");
            loaded = false;
        } else if (rc != 0) {
            rr_app_pause(app, 0.25);
        }
    }
    rr_store_destroy(store);
    rr_usage_leave();
    return NULL;
}
