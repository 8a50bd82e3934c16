/* Answers requests from neighbour cells: messages about job transfers, and users' requests that a
 * neighbour relays. */
#ifndef RR_APP_CELLS_SERVER_H
#define RR_APP_CELLS_SERVER_H

#include "cells/links.h"

/* Callbacks for rr_cells_server_start(). They run on the connection's thread. The context of a
 * connection is its store client (rr_store *), which is NULL until it is needed. */

/* Answers a request. user: the struct rr_app *. Takes rr_app.lock; the caller must hold no lock. */
void rr_app_cells_handle_request(void *user, void **context, size_t neighbour,
                                 const rr_cells_request *request, rr_cells_reply *reply);
/* Frees a connection's context; NULL is allowed. */
void rr_app_cells_free_connection_context(void *context);

#endif
