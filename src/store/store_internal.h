/* Inside the package only: the client object and the call that all requests share. */
#ifndef RR_STORE_STORE_INTERNAL_H
#define RR_STORE_STORE_INTERNAL_H

#include "store/store.h"

struct rr_store {
    struct rr_endpoint endpoint;
    rr_budget *budget;
    rr_client *client;
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

struct rr_store_request {
    enum rr_request_priority priority;
    int writes; /* changes that it makes */
    const char *method, *path;
    const rr_encoder *body; /* NULL: none */
    double timeout_s;       /* for the budget, then for the store */
};

/* Sends the request once the budget allows it. As rr_client_call(); -ENOTCONN also when the budget
 * did not allow it in time. */
int rr_store_call(rr_store *store, const struct rr_store_request *request, rr_http_reply *reply);

/* 0 with the reply's body, a map, in *document; or -EAGAIN, and nothing is to be cleared. */
int rr_store_parse_reply(const rr_http_reply *reply, rr_document *document);

#endif
