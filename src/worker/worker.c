#include "worker/worker.h"
#include "app/settings.h"
#include "wire/wire.h"

#include <errno.h>

int rr_worker_call(rr_client *c, const char *addr, const void *body, size_t len, double timeout_s,
                   rr_reply *out) {
    struct rr_endpoint to;
    if (rr_endpoint_parse(addr, &to) != 0) {
        return -ENOTCONN;
    }
    struct rr_call call = {.method = body ? "POST" : "GET",
                           .to = &to,
                           .path = body ? "/do" : "/status",
                           .body = body,
                           .len = len,
                           .timeout_s = timeout_s,
                           .fresh = true,
                           .answer_max = 4 * RR_BODY_BYTES_MAX};
    return rr_client_call(c, &call, out);
}
