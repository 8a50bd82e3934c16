/* Sending transactions, and interpreting the store's replies to them. */
#include "store/store_internal.h"
#include "wire/wire_words.h"

#include <errno.h>

const char *rr_commit_status_name(enum rr_commit_status status) {
    static const char *const names[] = {
        [RR_COMMIT_DONE] = "executed",
        [RR_COMMIT_CONFLICT] = "conflict",
        [RR_COMMIT_REFUSED] = "refused",
        [RR_COMMIT_OUTCOME_UNKNOWN] = "outcome unknown",
        [RR_COMMIT_NO_LEASE] = "lease has ended",
        [RR_COMMIT_INVALID] = "beyond the limits",
    };
    return names[status];
}

static void copy_failed_keys(const msgpack_object *reply, GPtrArray *failed_keys) {
    const msgpack_object *list = rr_map_get(reply, RR_WORD_FAILED);
    if (!list || list->type != MSGPACK_OBJECT_ARRAY) {
        return;
    }
    char key[RR_STORE_KEY_SIZE];
    for (uint32_t i = 0; i < list->via.array.size; i++) {
        if (rr_object_get_text(&list->via.array.ptr[i], key, sizeof key)) {
            g_ptr_array_add(failed_keys, g_strdup(key));
        }
    }
}

/* Tells a put with an ended lease from a transaction beyond the store's limits: both get a 400. */
static enum rr_commit_status parse_bad_request(const rr_http_reply *reply) {
    rr_document document;
    rr_document_parse(&document, reply->body->data, reply->body->len);
    bool lease_ended =
        rr_object_text_equals(rr_map_get(document.root, RR_WORD_ERROR), RR_WORD_NO_LEASE);
    rr_document_clear(&document);
    return lease_ended ? RR_COMMIT_NO_LEASE : RR_COMMIT_INVALID;
}

/* Interprets a 200 or 409, which has to contain the store's revision. Without a revision the
 * outcome counts as unknown. */
static enum rr_commit_status parse_executed_or_conflict(const rr_http_reply *reply,
                                                        uint64_t *revision,
                                                        GPtrArray *failed_keys) {
    rr_document document;
    enum rr_commit_status status = RR_COMMIT_OUTCOME_UNKNOWN;
    if (rr_document_parse(&document, reply->body->data, reply->body->len) == 0 &&
        rr_map_get_u64(document.root, RR_WORD_REVISION, revision)) {
        status = reply->status == RR_HTTP_OK ? RR_COMMIT_DONE : RR_COMMIT_CONFLICT;
        if (failed_keys && status == RR_COMMIT_CONFLICT) {
            copy_failed_keys(document.root, failed_keys);
        }
    }
    rr_document_clear(&document);
    return status;
}

static enum rr_commit_status parse_commit_reply(const rr_http_reply *reply, uint64_t *revision,
                                                GPtrArray *failed_keys) {
    switch (reply->status) {
    case RR_HTTP_OK:
    case RR_HTTP_CONFLICT:
        return parse_executed_or_conflict(reply, revision, failed_keys);
    case RR_HTTP_BAD_REQUEST:
        return parse_bad_request(reply);
    case RR_HTTP_TOO_MANY_REQUESTS:
    case RR_HTTP_UNAVAILABLE:
        return RR_COMMIT_REFUSED;
    default:
        return RR_COMMIT_OUTCOME_UNKNOWN;
    }
}

enum rr_commit_status rr_store_commit(rr_store *store, enum rr_request_priority priority,
                                      const rr_transaction *transaction, double timeout_s,
                                      uint64_t *revision, GPtrArray *failed_keys) {
    rr_encoder body;
    rr_encoder_init(&body);
    rr_transaction_encode(transaction, &body);
    struct rr_store_request request = {.priority = priority,
                                       .writes = (int)transaction->changes->len,
                                       .method = "POST",
                                       .path = RR_PATH_COMMIT,
                                       .body = &body,
                                       .timeout_s = timeout_s};
    rr_http_reply reply;
    int rc = rr_store_send_request(store, &request, &reply);
    rr_encoder_clear(&body);
    if (rc == -ENOTCONN) {
        return RR_COMMIT_REFUSED;
    }
    return rc != 0 ? RR_COMMIT_OUTCOME_UNKNOWN : parse_commit_reply(&reply, revision, failed_keys);
}
