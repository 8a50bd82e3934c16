/* Routes HTTP requests to the handlers of users' and workers' requests, and answers readiness
 * checks. */
#ifndef RR_APP_REQUEST_ROUTER_H
#define RR_APP_REQUEST_ROUTER_H

#include "http/server.h"

/* Request handler for rr_http_server_create(). user: the struct rr_app *. Runs on the connection's
 * thread. */
void rr_app_route_request(void *user, const struct rr_http_request *request,
                          struct rr_http_response *response);

#endif
