/* Connections between cells: a listener for the neighbours' requests with a thread for each
 * connection, and clients that ask a neighbour's controllers. Blocking sockets, every wait bounded.
 */
#ifndef RR_CELLS_LINKS_H
#define RR_CELLS_LINKS_H

#include "cells/messages.h"

#include <stdatomic.h>

/* ---- serving: links.c ---- */

/* Answers a request from a neighbour, on the connection's thread. *context belongs to the
 * connection and is NULL at first. */
typedef void (*rr_cells_serve_fn)(void *user, void **context, size_t neighbour,
                                  const rr_cells_request *request, rr_cells_reply *reply);
/* Frees a connection's context, unless it is NULL, when the connection ends. */
typedef void (*rr_cells_context_fn)(void *context);

typedef struct rr_cells_links rr_cells_links;

typedef struct {
    uint64_t unknown_peers; /* connections from outside every neighbour's networks */
    uint64_t refused;       /* requests that were malformed, of another cell or version */
    uint64_t crowded;       /* connections beyond the bound */
} rr_cells_links_stats;

#define RR_CELLS_CONNECTIONS 64 /* incoming ones at a time; a further one is closed at once */

/* Listens and serves until *stop. settings and stop are borrowed and outlive the object. 0 with
 * *out; or -errno, with NULL. */
int rr_cells_links_start(const rr_cells_settings *settings, const atomic_bool *stop,
                         rr_cells_serve_fn serve, rr_cells_context_fn end, void *user,
                         rr_cells_links **out);
/* Joins all threads, after *stop is set. */
void rr_cells_links_destroy(rr_cells_links *links);
/* Copies the counters; from any thread. */
void rr_cells_links_get_stats(rr_cells_links *links, rr_cells_links_stats *out);

/* ---- asking: link_client.c ---- */

/* Asks one neighbour; belongs to one thread. It keeps a connection to each controller that it
 * asked, and remembers which one plans which team. */
typedef struct rr_cells_client rr_cells_client;

/* settings and stop are borrowed and outlive the object. */
rr_cells_client *rr_cells_client_create(const rr_cells_settings *settings, size_t neighbour,
                                        const atomic_bool *stop);
/* Closes its connections. NULL is allowed. */
void rr_cells_client_destroy(rr_cells_client *client);

/* Sends the request to the controller that plans its team, as far as is known, and waits for the
 * reply. 0 with *reply of any status; -errno, mostly -EIO or -EBADMSG: no answer, and the next
 * request goes to another controller. *reply is to be cleared after either. */
int rr_cells_ask(rr_cells_client *client, const rr_cells_request *request, rr_cells_reply *reply);

#endif
