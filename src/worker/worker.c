#include "worker/worker.h"
#include "conf/endpoint.h"
#include "wire/wire.h"

#include <errno.h>

int rr_worker_call(rr_client *client, const char *address, const void *body, size_t length,
                   double timeout_s, rr_reply *out) {
    struct rr_endpoint endpoint;
    if (rr_endpoint_parse(address, &endpoint) != 0) {
        return -ENOTCONN;
    }
    struct rr_call call = {.method = body ? "POST" : "GET",
                           .to = &endpoint,
                           .path = body ? "/do" : "/status",
                           .body = body,
                           .len = length,
                           .timeout_s = timeout_s,
                           .fresh = true,
                           .answer_max = 4 * RR_BODY_BYTES_MAX};
    return rr_client_call(client, &call, out);
}
