/* Heartbeats of workers: direct ones, which are answered with commands, and those that peers pass
 * on. */
#ifndef RR_APP_WORKER_REQUESTS_H
#define RR_APP_WORKER_REQUESTS_H

#include "app/app.h"

/* POST /hello: takes the heartbeat, forwards it to the peers that want it, and answers with
 * commands. Takes `lock`; caller holds no lock. */
void rr_app_answer_heartbeat(struct rr_app *app, const struct rr_http_request *request,
                             struct rr_http_response *response);
/* Takes a heartbeat that a peer has passed on over `hops` other controllers. peer: its index. A
 * malformed one is ignored. Takes `lock`; caller holds no lock. */
void rr_app_take_heartbeat(struct rr_app *app, const void *body, size_t length, int peer,
                           unsigned hops);
/* The digest by which peers recognise a heartbeat. */
rr_heartbeat_digest rr_app_heartbeat_digest(const rr_heartbeat *heartbeat);

#endif
