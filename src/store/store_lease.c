/* Leases. When a lease ends, the store deletes the keys attached to it. */
#include "store/store_internal.h"
#include "wire/wire_words.h"

#include <errno.h>

#define LEASE_PATH_SIZE 96
#define LEASE_TIMEOUT_S 1.5

int rr_store_grant_lease(rr_store *store, double ttl_s, uint64_t *lease_id) {
    rr_encoder body;
    rr_encoder_init(&body);
    rr_encode_map(&body, 1);
    rr_encode_key_u64(&body, RR_WORD_LEASE_MS, (uint64_t)(ttl_s * 1000));
    struct rr_store_request request = {.priority = RR_REQUEST_SESSION,
                                       .method = "POST",
                                       .path = RR_PATH_LEASES,
                                       .body = &body,
                                       .timeout_s = LEASE_TIMEOUT_S};
    rr_http_reply reply;
    rr_document document;
    int rc = rr_store_send_request(store, &request, &reply);
    rr_encoder_clear(&body);
    if (rc != 0 || reply.status != RR_HTTP_OK || rr_store_parse_reply(&reply, &document) != 0) {
        return -EAGAIN;
    }
    rc = rr_map_get_u64(document.root, RR_WORD_LEASE_ID, lease_id) ? 0 : -EAGAIN;
    rr_document_clear(&document);
    return rc;
}

/* Sends a request for an existing lease, with an empty map as the body. sub_path is appended to the
 * lease's path. Returns as rr_store_renew_lease(). */
static int send_lease_request(rr_store *store, const char *method, uint64_t lease_id,
                              const char *sub_path) {
    char path[LEASE_PATH_SIZE];
    g_snprintf(path, sizeof path, RR_PATH_LEASES "/%" G_GUINT64_FORMAT "%s", lease_id, sub_path);
    rr_encoder body;
    rr_encoder_init(&body);
    rr_encode_map(&body, 0);
    struct rr_store_request request = {.priority = RR_REQUEST_SESSION,
                                       .method = method,
                                       .path = path,
                                       .body = &body,
                                       .timeout_s = LEASE_TIMEOUT_S};
    rr_http_reply reply;
    int rc = rr_store_send_request(store, &request, &reply);
    rr_encoder_clear(&body);
    if (rc != 0) {
        return -EAGAIN;
    }
    switch (reply.status) {
    case RR_HTTP_OK:
        return 0;
    case RR_HTTP_NOT_FOUND:
        return -ENOENT;
    default:
        return -EAGAIN;
    }
}

int rr_store_renew_lease(rr_store *store, uint64_t lease_id) {
    return send_lease_request(store, "POST", lease_id, RR_PATH_RENEW);
}

int rr_store_revoke_lease(rr_store *store, uint64_t lease_id) {
    return send_lease_request(store, "DELETE", lease_id, "");
}
