/* Handlers of workers' heartbeats: those that workers send to this controller, which are answered
 * with commands, and those that peers forward. */
#ifndef RR_APP_WORKER_REQUESTS_H
#define RR_APP_WORKER_REQUESTS_H

#include "app/app.h"

/* POST /hello: applies the heartbeat, forwards it to the peers that need it, and answers with
 * commands. Takes rr_app.lock; the caller must hold no lock. */
void rr_app_answer_heartbeat(struct rr_app *app, const struct rr_http_request *request,
                             struct rr_http_response *response);
/* Applies a heartbeat that the peer with index `peer` has forwarded; a malformed one is ignored.
 * hops: the number of other controllers it passed before that peer; with 0, it may be forwarded
 * once more. Takes rr_app.lock; the caller must hold no lock. */
void rr_app_receive_forwarded_heartbeat(struct rr_app *app, const void *body, size_t length,
                                        int peer, unsigned hops);
/* Returns the digest by which peers recognise the heartbeat. */
rr_heartbeat_digest rr_app_make_heartbeat_digest(const rr_heartbeat *heartbeat);

#endif
