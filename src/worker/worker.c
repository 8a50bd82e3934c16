#include "worker/worker.h"
#include "conf/endpoint.h"
#include "wire/wire_limits.h"
#include "wire/wire_words.h"

#include <errno.h>

/* Larger than the usual limit of a body, for a worker that lists many ended tasks. */
#define REPLY_BYTES_MAX (4 * RR_BODY_BYTES_MAX)

int rr_worker_call(rr_http_client *client, const char *address, const void *body, size_t length,
                   double timeout_s, rr_http_reply *reply) {
    struct rr_endpoint endpoint;
    if (rr_endpoint_parse(address, &endpoint) != 0) {
        return -ENOTCONN;
    }
    struct rr_http_call call = {.method = body ? "POST" : "GET",
                                .endpoint = &endpoint,
                                .path = body ? RR_PATH_COMMANDS : RR_PATH_WORKER_STATUS,
                                .body = body,
                                .body_bytes = length,
                                .timeout_s = timeout_s,
                                .use_new_connection = true,
                                .reply_bytes_max = REPLY_BYTES_MAX};
    return rr_http_client_call(client, &call, reply);
}
