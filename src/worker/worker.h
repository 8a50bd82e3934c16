/* Direct calls to a worker. */
#ifndef RR_WORKER_WORKER_H
#define RR_WORKER_WORKER_H

#include "net/client.h"

/* POST /do with body, or GET /status without. As rr_client_call(); a connection of its own each
 * time, so that a held-up copy can't be followed by a hidden second one. */
int rr_worker_call(rr_client *client, const char *address, const void *body, size_t length,
                   double timeout_s, rr_reply *out);

#endif
