/* Direct calls to a worker. */
#ifndef RR_WORKER_WORKER_H
#define RR_WORKER_WORKER_H

#include "net/client.h"

/* Sends a batch of commands (rr_commands_encode()), or asks for the worker's status if body is
 * NULL; the reply's body is a heartbeat. Returns as rr_client_call(); -ENOTCONN also for an address
 * that can't be read. Each call has a connection of its own, so that libcurl has no reason to send
 * a request twice. */
int rr_worker_call(rr_client *client, const char *address, const void *body, size_t length,
                   double timeout_s, rr_http_reply *out);

#endif
