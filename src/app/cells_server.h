/* Answers the requests of neighbour cells: transfer messages, and users' requests that a neighbour
 * relays. */
#ifndef RR_APP_CELLS_SERVER_H
#define RR_APP_CELLS_SERVER_H

#include "cells/links.h"

/* Callbacks for rr_cells_links_start(); user is the struct rr_app *. They run on a connection's
 * thread and take `lock`. *context is the connection's store client, NULL until it is needed. */
void rr_app_cells_serve(void *user, void **context, size_t neighbour,
                        const rr_cells_request *request, rr_cells_reply *reply);
/* Frees the connection's context. */
void rr_app_cells_end_connection(void *context);

#endif
