/* Creation of store clients, and the function that sends every request. */
#include "store/store_internal.h"

#include <errno.h>

rr_store *rr_store_create(const struct rr_endpoint *endpoint, rr_budget *budget,
                          const atomic_bool *stop) {
    rr_store *store = g_new0(rr_store, 1);
    store->endpoint = *endpoint;
    store->budget = budget;
    store->client = rr_http_client_create(stop);
    if (!store->client) {
        g_free(store);
        return NULL;
    }
    return store;
}

void rr_store_destroy(rr_store *store) {
    if (store) {
        rr_http_client_destroy(store->client);
        g_free(store);
    }
}

int rr_store_send_request(rr_store *store, const struct rr_store_request *request,
                          rr_http_reply *reply) {
    if (rr_budget_take(store->budget, request->priority, request->writes, request->timeout_s) !=
        0) {
        return -ENOTCONN;
    }
    struct rr_http_call call = {.method = request->method,
                                .endpoint = &store->endpoint,
                                .path = request->path,
                                .body = request->body ? request->body->buffer.data : NULL,
                                .body_bytes = request->body ? request->body->buffer.size : 0,
                                .timeout_s = request->timeout_s};
    int rc = rr_http_client_call(store->client, &call, reply);
    if (rc == 0 && reply->status == RR_HTTP_TOO_MANY_REQUESTS) {
        rr_budget_record_refusal(store->budget);
    }
    return rc;
}

int rr_store_parse_reply(const rr_http_reply *reply, rr_document *document) {
    if (rr_document_parse(document, reply->body->data, reply->body->len) != 0 ||
        !rr_object_is_map(document->root)) {
        rr_document_clear(document);
        return -EAGAIN;
    }
    return 0;
}
