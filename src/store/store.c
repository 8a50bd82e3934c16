#include "store/store.h"
#include "core/state/transaction.h"

#include <errno.h>
#include <string.h>

struct rr_store {
    struct rr_endpoint to;
    rr_budget *budget;
    rr_client *client;
};

rr_store *rr_store_create(const struct rr_endpoint *endpoint, rr_budget *budget,
                          const atomic_bool *stop) {
    rr_store *store = g_new0(rr_store, 1);
    store->to = *endpoint;
    store->budget = budget;
    store->client = rr_client_create(stop);
    if (!store->client) {
        g_free(store);
        return NULL;
    }
    return store;
}

void rr_store_destroy(rr_store *store) {
    if (store) {
        rr_client_destroy(store->client);
        g_free(store);
    }
}

static int call(rr_store *store, enum rr_request_priority prio, int writes, const char *method,
                const char *path, rr_encoder *body, double timeout_s, rr_reply *reply) {
    if (rr_budget_take(store->budget, prio, writes, timeout_s) != 0) {
        return -ENOTCONN;
    }
    struct rr_call call = {.method = method,
                           .to = &store->to,
                           .path = path,
                           .body = body ? body->buffer.data : NULL,
                           .len = body ? body->buffer.size : 0,
                           .timeout_s = timeout_s};
    int rc = rr_client_call(store->client, &call, reply);
    if (rc == 0 && reply->status == 429) {
        rr_budget_request_refused(store->budget);
    }
    return rc;
}

static void failed_keys(const msgpack_object *root, GPtrArray *failed) {
    const msgpack_object *list = rr_map_get(root, "failed");
    char key[256];
    for (uint32_t i = 0; list && list->type == MSGPACK_OBJECT_ARRAY && i < list->via.array.size;
         i++) {
        if (rr_object_text(&list->via.array.ptr[i], key, sizeof key)) {
            g_ptr_array_add(failed, g_strdup(key));
        }
    }
}

static enum rr_commit_status outcome(const rr_reply *reply, uint64_t *revision, GPtrArray *failed) {
    if (reply->status == 400) {
        rr_document encoded;
        rr_document_parse(&encoded, reply->body->data, reply->body->len);
        bool lease = rr_object_text_equals(rr_map_get(encoded.root, "error"), "no such lease");
        rr_document_clear(&encoded);
        return lease ? RR_COMMIT_NO_LEASE : RR_COMMIT_INVALID;
    }
    if (reply->status != 200 && reply->status != 409) {
        return reply->status == 503 || reply->status == 429 ? RR_COMMIT_REFUSED
                                                            : RR_COMMIT_OUTCOME_UNKNOWN;
    }
    rr_document document;
    enum rr_commit_status rc = RR_COMMIT_OUTCOME_UNKNOWN;
    if (rr_document_parse(&document, reply->body->data, reply->body->len) == 0 &&
        rr_map_get_u64(document.root, "epoch", revision)) {
        rc = reply->status == 200 ? RR_COMMIT_DONE : RR_COMMIT_CONFLICT;
        if (failed && rc == RR_COMMIT_CONFLICT) {
            failed_keys(document.root, failed);
        }
    }
    rr_document_clear(&document);
    return rc;
}

enum rr_commit_status rr_store_commit(rr_store *store, enum rr_request_priority prio,
                                      const rr_transaction *transaction, double timeout_s,
                                      uint64_t *revision, GPtrArray *failed) {
    rr_encoder encoder;
    rr_reply reply;
    rr_encoder_init(&encoder);
    rr_transaction_encode(transaction, &encoder);
    int rc = call(store, prio, (int)transaction->changes->len, "POST", "/commit", &encoder,
                  timeout_s, &reply);
    rr_encoder_clear(&encoder);
    if (rc == -ENOTCONN) {
        return RR_COMMIT_REFUSED;
    }
    return rc != 0 ? RR_COMMIT_OUTCOME_UNKNOWN : outcome(&reply, revision, failed);
}

int rr_store_revision(rr_store *store, uint64_t *revision, double timeout_s) {
    /* A key that never exists: its 404 carries the store's revision. */
    rr_reply reply;
    rr_document document;
    if (call(store, RR_REQUEST_READ, 0, "GET", "/store/rr-epoch", NULL, timeout_s, &reply) != 0 ||
        reply.status != 404) {
        return -EAGAIN;
    }
    int rc = -EAGAIN;
    if (rr_document_parse(&document, reply.body->data, reply.body->len) == 0 &&
        rr_map_get_u64(document.root, "epoch", revision)) {
        rc = 0;
    }
    rr_document_clear(&document);
    return rc;
}

static int parse_reply(const rr_reply *reply, rr_document *document) {
    if (rr_document_parse(document, reply->body->data, reply->body->len) != 0 ||
        !rr_object_is_map(document->root)) {
        rr_document_clear(document);
        return -EAGAIN;
    }
    return 0;
}

int rr_store_get(rr_store *store, const char *key, rr_document *document, uint64_t *version,
                 uint64_t *lease_id) {
    char path[256];
    rr_reply reply;
    g_snprintf(path, sizeof path, "/store/%s", key);
    if (call(store, RR_REQUEST_SESSION, 0, "GET", path, NULL, 2, &reply) != 0 ||
        (reply.status != 200 && reply.status != 404)) {
        return -EAGAIN;
    }
    if (reply.status == 404) {
        return -ENOENT;
    }
    int rc = parse_reply(&reply, document);
    if (rc == 0) {
        *version = *lease_id = 0;
        rr_map_get_u64(document->root, "mark", version);
        rr_map_get_u64(document->root, "tether", lease_id);
    }
    return rc;
}

int rr_store_next_page(rr_store *store, const char *prefix, rr_store_cursor *cursor,
                       rr_document *document) {
    char path[512];
    rr_reply reply;
    g_snprintf(path, sizeof path, "/store?starts=%s%s%s&limit=1000", prefix,
               cursor->from_key[0] ? "&from=" : "", cursor->from_key);
    if (call(store, RR_REQUEST_SESSION, 0, "GET", path, NULL, 5, &reply) != 0 ||
        reply.status != 200) {
        return -EAGAIN;
    }
    int rc = parse_reply(&reply, document);
    if (rc != 0) {
        return rc;
    }
    const msgpack_object *rows = rr_map_get(document->root, "rows");
    cursor->more = false;
    rr_map_get_bool(document->root, "more", &cursor->more);
    if (!rr_map_get_u64(document->root, "epoch", &cursor->revision) || !rows ||
        rows->type != MSGPACK_OBJECT_ARRAY) {
        rr_document_clear(document);
        return -EAGAIN;
    }
    return 0;
}

void rr_store_each_row(const rr_document *document, rr_store_cursor *cursor,
                       rr_store_row_fn callback, void *user) {
    const msgpack_object *rows = rr_map_get(document->root, "rows");
    for (uint32_t i = 0; i < rows->via.array.size; i++) {
        const msgpack_object *row = &rows->via.array.ptr[i];
        uint64_t version;
        if (rr_map_get_text(row, "path", cursor->from_key, sizeof cursor->from_key) &&
            rr_map_get_u64(row, "mark", &version) && rr_map_get(row, "v")) {
            callback(user, cursor->from_key, rr_map_get(row, "v"), version);
        }
    }
}

int rr_store_watch(rr_store *store, const char *prefix, uint64_t from, int hold_ms,
                   rr_document *document) {
    char path[256];
    rr_reply reply;
    g_snprintf(path, sizeof path, "/watch?starts=%s&from=%" G_GUINT64_FORMAT "&hold_ms=%d", prefix,
               from, hold_ms);
    if (call(store, RR_REQUEST_SESSION, 0, "GET", path, NULL, hold_ms / 1000.0 + 3, &reply) != 0) {
        return -EAGAIN;
    }
    if (reply.status == 410) {
        return -ESTALE;
    }
    return reply.status == 200 ? parse_reply(&reply, document) : -EAGAIN;
}

int rr_store_grant_lease(rr_store *store, double life_s, uint64_t *lease_id) {
    rr_encoder encoder;
    rr_reply reply;
    rr_document document;
    rr_encoder_init(&encoder);
    rr_encode_map(&encoder, 1);
    rr_encode_key_u64(&encoder, "life_ms", (uint64_t)(life_s * 1000));
    int rc = call(store, RR_REQUEST_SESSION, 0, "POST", "/holds", &encoder, 1.5, &reply);
    rr_encoder_clear(&encoder);
    if (rc != 0 || reply.status != 200 || parse_reply(&reply, &document) != 0) {
        return -EAGAIN;
    }
    rc = rr_map_get_u64(document.root, "tether", lease_id) ? 0 : -EAGAIN;
    rr_document_clear(&document);
    return rc;
}

static int hold_call(rr_store *store, const char *method, uint64_t lease_id,
                     const char *command_kind) {
    char path[96];
    rr_reply reply;
    rr_encoder encoder;
    g_snprintf(path, sizeof path, "/holds/%" G_GUINT64_FORMAT "%s", lease_id, command_kind);
    rr_encoder_init(&encoder);
    rr_encode_map(&encoder, 0);
    int rc = call(store, RR_REQUEST_SESSION, 0, method, path, &encoder, 1.5, &reply);
    rr_encoder_clear(&encoder);
    if (rc != 0) {
        return -EAGAIN;
    }
    return reply.status == 200 ? 0 : reply.status == 404 ? -ENOENT : -EAGAIN;
}

int rr_store_renew_lease(rr_store *store, uint64_t lease_id) {
    return hold_call(store, "POST", lease_id, "/renew");
}

int rr_store_end_lease(rr_store *store, uint64_t lease_id) {
    return hold_call(store, "DELETE", lease_id, "");
}
