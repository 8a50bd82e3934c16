/* Internal to the package: the store client's state and the function that sends every request. */
#ifndef RR_STORE_STORE_INTERNAL_H
#define RR_STORE_STORE_INTERNAL_H

#include "store/store.h"

struct rr_store {
    struct rr_endpoint endpoint;
    rr_budget *budget;      /* borrowed */
    rr_http_client *client; /* owned */
};

enum rr_http_status {
    RR_HTTP_OK = 200,
    RR_HTTP_BAD_REQUEST = 400,
    RR_HTTP_NOT_FOUND = 404,
    RR_HTTP_CONFLICT = 409,
    RR_HTTP_GONE = 410,
    RR_HTTP_TOO_MANY_REQUESTS = 429,
    RR_HTTP_UNAVAILABLE = 503
};

/* A request to the store, with what the rate limiter has to know about it. */
struct rr_store_request {
    enum rr_request_priority priority;
    int writes;                /* puts and deletes in the request */
    const char *method, *path; /* the path includes the query */
    const rr_encoder *body;    /* NULL: none */
    double timeout_s;          /* of the wait for the budget, and again of the HTTP call */
};

/* Sends the request as soon as the budget allows it. Returns as rr_http_client_call(); -ENOTCONN
 * (not sent) also if the budget did not allow it in time. */
int rr_store_send_request(rr_store *store, const struct rr_store_request *request,
                          rr_http_reply *reply);

/* Decodes the reply's body, which has to be a map. Returns 0 with *document for the caller to
 * clear; or -EAGAIN, after which there is nothing to clear. */
int rr_store_parse_reply(const rr_http_reply *reply, rr_document *document);

#endif
