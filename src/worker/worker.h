/* HTTP calls from a controller to a worker. */
#ifndef RR_WORKER_WORKER_H
#define RR_WORKER_WORKER_H

#include "net/client.h"

/* Sends the worker a batch of commands encoded by rr_commands_encode(), or requests its status if
 * body is NULL. The body of the reply is a heartbeat. Returns as rr_http_client_call(); -ENOTCONN
 * also for an address that can't be parsed. Every call uses a new connection: over a kept-alive one
 * that fails, libcurl could send the request twice. */
int rr_worker_call(rr_http_client *client, const char *address, const void *body, size_t length,
                   double timeout_s, rr_http_reply *reply);

#endif
