/* Connections between cells: a listener for the neighbours' requests, a thread for each connection,
 * and clients that ask a neighbour's controllers. Blocking sockets, every wait bounded. */
#ifndef RR_CELLS_LINKS_H
#define RR_CELLS_LINKS_H

#include "cells/messages.h"

#include <stdatomic.h>

/* Answers a request from a neighbour; called by the connection's thread. *context is its own, NULL
 * at first. */
typedef void (*rr_cells_serve_fn)(void *user, void **context, size_t neighbour,
                                  const rr_cells_request *request, rr_cells_reply *reply);
typedef void (*rr_cells_context_fn)(void *context); /* frees what serving has left, if not NULL */

typedef struct rr_cells_links rr_cells_links;

typedef struct {
    uint64_t unknown_peers; /* connections from outside every neighbour's networks */
    uint64_t refused;       /* requests that were malformed, of another cell or version */
    uint64_t crowded;       /* connections beyond the bound */
} rr_cells_links_stats;

/* Connections that may stand at a time. */
#define RR_CELLS_CONNECTIONS 64

/* Listens and serves until the stop. 0 with *out, or -errno. */
int rr_cells_links_start(const rr_cells_settings *settings, const atomic_bool *stop,
                         rr_cells_serve_fn serve, rr_cells_context_fn end, void *user,
                         rr_cells_links **out);
/* After the stop; joins its threads. */
void rr_cells_links_destroy(rr_cells_links *links);
void rr_cells_links_get_stats(rr_cells_links *links, rr_cells_links_stats *out);

/* Asks one neighbour; belongs to one thread. It keeps a connection to each controller that it
 * asked, and remembers who plans which team. */
typedef struct rr_cells_client rr_cells_client;
rr_cells_client *rr_cells_client_create(const rr_cells_settings *settings, size_t neighbour,
                                        const atomic_bool *stop);
void rr_cells_client_destroy(rr_cells_client *client);
/* 0 with *reply of any status; -EIO or -EBADMSG: no answer. *reply is to be cleared in any case. */
int rr_cells_ask(rr_cells_client *client, const rr_cells_request *request, rr_cells_reply *reply);

#endif
