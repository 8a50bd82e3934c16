/* Reads of one key, paged reads of all keys with a prefix, and watches. */
#include "store/store_internal.h"
#include "wire/wire_words.h"

#include <errno.h>

#define GET_TIMEOUT_S 2
#define PAGE_TIMEOUT_S 5
#define PAGE_ROWS_MAX 1000
#define WATCH_EXTRA_TIMEOUT_S 3 /* added to the time for which the store holds a watch open */

/* A key that never exists. The store's 404 for it contains the store's revision. */
#define NONEXISTENT_KEY "rr-epoch"

int rr_store_get_revision(rr_store *store, uint64_t *revision, double timeout_s) {
    struct rr_store_request request = {.priority = RR_REQUEST_READ,
                                       .method = "GET",
                                       .path = RR_PATH_STORE "/" NONEXISTENT_KEY,
                                       .timeout_s = timeout_s};
    rr_http_reply reply;
    rr_document document;
    if (rr_store_send_request(store, &request, &reply) != 0 || reply.status != RR_HTTP_NOT_FOUND) {
        return -EAGAIN;
    }
    int rc = rr_store_parse_reply(&reply, &document);
    if (rc != 0) {
        return rc;
    }
    rc = rr_map_get_u64(document.root, RR_WORD_REVISION, revision) ? 0 : -EAGAIN;
    rr_document_clear(&document);
    return rc;
}

int rr_store_get(rr_store *store, const char *key, rr_document *document, uint64_t *version,
                 uint64_t *lease_id) {
    char path[RR_STORE_KEY_SIZE];
    g_snprintf(path, sizeof path, RR_PATH_STORE "/%s", key);
    struct rr_store_request request = {
        .priority = RR_REQUEST_SESSION, .method = "GET", .path = path, .timeout_s = GET_TIMEOUT_S};
    rr_http_reply reply;
    if (rr_store_send_request(store, &request, &reply) != 0) {
        return -EAGAIN;
    }
    if (reply.status == RR_HTTP_NOT_FOUND) {
        return -ENOENT;
    }
    if (reply.status != RR_HTTP_OK) {
        return -EAGAIN;
    }
    int rc = rr_store_parse_reply(&reply, document);
    if (rc == 0) {
        *version = *lease_id = 0;
        rr_map_get_u64(document->root, RR_WORD_VERSION, version);
        rr_map_get_u64(document->root, RR_WORD_LEASE_ID, lease_id);
    }
    return rc;
}

int rr_store_read_page(rr_store *store, const char *prefix, rr_store_cursor *cursor,
                       rr_document *document) {
    char path[2 * RR_STORE_KEY_SIZE];
    g_snprintf(path, sizeof path, RR_PATH_STORE "?" RR_WORD_PREFIX "=%s%s%s&" RR_WORD_LIMIT "=%d",
               prefix, cursor->last_key[0] ? "&" RR_WORD_FROM "=" : "", cursor->last_key,
               PAGE_ROWS_MAX);
    struct rr_store_request request = {
        .priority = RR_REQUEST_SESSION, .method = "GET", .path = path, .timeout_s = PAGE_TIMEOUT_S};
    rr_http_reply reply;
    if (rr_store_send_request(store, &request, &reply) != 0 || reply.status != RR_HTTP_OK) {
        return -EAGAIN;
    }
    int rc = rr_store_parse_reply(&reply, document);
    if (rc != 0) {
        return rc;
    }
    cursor->has_more = false;
    rr_map_get_bool(document->root, RR_WORD_MORE, &cursor->has_more);
    const msgpack_object *rows = rr_map_get(document->root, RR_WORD_ROWS);
    if (!rr_map_get_u64(document->root, RR_WORD_REVISION, &cursor->revision) || !rows ||
        rows->type != MSGPACK_OBJECT_ARRAY) {
        rr_document_clear(document);
        return -EAGAIN;
    }
    return 0;
}

void rr_store_for_each_row(const rr_document *document, rr_store_cursor *cursor,
                           rr_store_row_fn callback, void *user_data) {
    const msgpack_object *rows = rr_map_get(document->root, RR_WORD_ROWS);
    for (uint32_t i = 0; i < rows->via.array.size; i++) {
        const msgpack_object *row = &rows->via.array.ptr[i];
        const msgpack_object *value = rr_map_get(row, RR_WORD_VALUE);
        uint64_t version;
        if (rr_map_get_text(row, RR_WORD_KEY, cursor->last_key, sizeof cursor->last_key) &&
            rr_map_get_u64(row, RR_WORD_VERSION, &version) && value) {
            callback(user_data, cursor->last_key, value, version);
        }
    }
}

int rr_store_watch(rr_store *store, const char *prefix, uint64_t after_revision, int hold_ms,
                   rr_document *document) {
    char path[RR_STORE_KEY_SIZE];
    g_snprintf(path, sizeof path,
               RR_PATH_WATCH "?" RR_WORD_PREFIX "=%s&" RR_WORD_FROM "=%" G_GUINT64_FORMAT
                             "&" RR_WORD_WATCH_MS "=%d",
               prefix, after_revision, hold_ms);
    struct rr_store_request request = {.priority = RR_REQUEST_SESSION,
                                       .method = "GET",
                                       .path = path,
                                       .timeout_s = hold_ms / 1000.0 + WATCH_EXTRA_TIMEOUT_S};
    rr_http_reply reply;
    if (rr_store_send_request(store, &request, &reply) != 0) {
        return -EAGAIN;
    }
    if (reply.status == RR_HTTP_GONE) {
        return -ESTALE;
    }
    return reply.status == RR_HTTP_OK ? rr_store_parse_reply(&reply, document) : -EAGAIN;
}
