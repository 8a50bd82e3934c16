/* The store cache: read in full once, then kept by a watch. */
#include "app/duty.h"
#include "app/clock.h"
#include "app/log.h"
#include "app/usage.h"

#include <errno.h>

struct row {
    const char *key;
    const msgpack_object *value; /* NULL: deleted */
    uint64_t version;
};

static gint by_version(gconstpointer a, gconstpointer b) {
    const struct row *x = a, *y = b;
    return x->version < y->version ? -1 : x->version > y->version;
}

static bool row_of(const msgpack_object *o, const char *name, char *key, size_t size,
                   uint64_t *mark) {
    return rr_map_get_text(o, name, key, size) && rr_map_get_u64(o, "mark", mark);
}

struct page_put {
    rr_core *core;
    double now;
};

static void put_row(void *user, const char *key, const msgpack_object *value, uint64_t mark) {
    const struct page_put *page = user;
    rr_core_cache_put(page->core, key, value, mark, page->now);
}

/* Page by page, so that a mirror of any size is never held twice. Nobody is shown half a state:
 * until the end nothing is decided, and answers wait for the revision. The changes since the first
 * page come with the watch; older marks never undo newer ones. */
static int reread(struct rr_app *a, rr_store *s) {
    double began = rr_steady_clock_s();
    rr_store_cursor cursor = {.more = true};
    uint64_t first = 0, last = 0;
    int rc = 0;
    pthread_mutex_lock(&a->lock);
    rr_core_cache_begin_reload(a->core);
    pthread_mutex_unlock(&a->lock);
    while (cursor.more && rc == 0 && !rr_app_stopping(a)) {
        rr_document d;
        rc = rr_store_next_page(s, RR_KEY_ROOT, &cursor, &d);
        if (rc != 0) {
            break;
        }
        pthread_mutex_lock(&a->lock);
        struct page_put page = {a->core, rr_steady_clock_s()};
        rr_store_each_row(&d, &cursor, put_row, &page);
        pthread_mutex_unlock(&a->lock);
        rr_document_clear(&d);
        first = first ? first : cursor.revision;
        last = cursor.revision > last ? cursor.revision : last;
    }
    pthread_mutex_lock(&a->lock);
    if (rc == 0 && !rr_app_stopping(a)) {
        rr_core_cache_end_reload(a->core, first, last, rr_steady_clock_s());
        rr_core_set_revision(a->core, first);
        rr_core_set_cache_current(a->core, began);
        pthread_cond_broadcast(&a->cache_advanced);
        rr_app_wake(a);
    }
    pthread_mutex_unlock(&a->lock);
    return rc;
}

/* The log comes in no promised order; a record may speak of an older one, so by mark. It answers a
 * request sent at `asked` and has every change made before. */
static int apply_log(struct rr_app *a, const rr_document *d, double asked) {
    const msgpack_object *log = rr_map_get(d->root, "log");
    uint64_t epoch;
    if (!rr_map_get_u64(d->root, "epoch", &epoch) || (log && log->type != MSGPACK_OBJECT_ARRAY)) {
        return -EBADMSG;
    }
    uint32_t n = log ? log->via.array.size : 0;
    GArray *rows = g_array_new(FALSE, FALSE, sizeof(struct row));
    GStringChunk *keys = g_string_chunk_new(1024);
    for (uint32_t i = 0; i < n; i++) {
        const msgpack_object *o = &log->via.array.ptr[i];
        char key[256];
        struct row r = {0};
        bool put = rr_map_get(o, "put") != NULL;
        if (row_of(o, put ? "put" : "delete", key, sizeof key, &r.version) &&
            (!put || rr_map_get(o, "v"))) {
            r.key = g_string_chunk_insert(keys, key);
            r.value = put ? rr_map_get(o, "v") : NULL;
            g_array_append_val(rows, r);
        }
    }
    g_array_sort(rows, by_version);
    pthread_mutex_lock(&a->lock);
    double now = rr_steady_clock_s();
    for (guint i = 0; i < rows->len; i++) {
        const struct row *r = &g_array_index(rows, struct row, i);
        if (r->value) {
            rr_core_cache_put(a->core, r->key, r->value, r->version, now);
        } else {
            rr_core_cache_delete(a->core, r->key, r->version, now);
        }
    }
    rr_core_set_revision(a->core, epoch);
    rr_core_set_cache_current(a->core, asked);
    a->store_ok_at = now;
    pthread_cond_broadcast(&a->cache_advanced);
    if (rows->len) {
        rr_app_wake(a);
    }
    pthread_mutex_unlock(&a->lock);
    g_array_free(rows, TRUE);
    g_string_chunk_free(keys);
    return 0;
}

/* Short, since an open watch says nothing of the time since it was opened, and answers to workers
 * are bounded by how old the mirror may be. */
#define WATCH_MS 2000

void *rr_watch_thread(void *app) {
    struct rr_app *a = app;
    rr_usage_enter(RR_USAGE_STORE_CACHE);
    rr_store *s = rr_app_open_store(a);
    bool loaded = false;
    double opened = 0;
    while (!rr_app_stopping(a)) {
        rr_document d;
        if (!loaded) {
            loaded = reread(a, s) == 0;
            if (!loaded) {
                rr_app_pause(a, 0.3);
            }
            continue;
        }
        pthread_mutex_lock(&a->lock);
        uint64_t from = rr_core_revision(a->core);
        unsigned live = rr_core_live_controllers(a->core);
        pthread_mutex_unlock(&a->lock);
        /* A watch ends with the first change, and the next one is a request: under load changes
         * gather, so that watches take a quarter of the limit of requests at most. */
        rr_app_pause(a,
                     opened + 4.0 * (live ? live : 1) / a->config.state_rps - rr_steady_clock_s());
        opened = rr_steady_clock_s();
        int rc = rr_store_watch(s, RR_KEY_ROOT, from, WATCH_MS, &d);
        if (rc == 0) {
            rc = apply_log(a, &d, opened);
            rr_document_clear(&d);
        }
        if (rc == -ESTALE) {
            rr_log(RR_INFO_LEVEL, "mirror too old: reading all again");
            loaded = false;
        } else if (rc != 0) {
            rr_app_pause(a, 0.25);
        }
    }
    rr_store_destroy(s);
    rr_usage_leave();
    return NULL;
}
