/* Connections between cells: a listener that serves the neighbours' requests with one thread for
 * each connection, and clients that send requests to a neighbour's controllers. Sockets are
 * blocking, and every wait has a timeout. */
#ifndef RR_CELLS_LINKS_H
#define RR_CELLS_LINKS_H

#include "cells/messages.h"

#include <stdatomic.h>

/* ---- serving requests: link_server.c ---- */

/* Answers a request from a neighbour, on the connection's thread. neighbour: index into
 * settings->neighbours. *context belongs to the connection and is NULL at its first request. */
typedef void (*rr_cells_serve_fn)(void *user, void **context, size_t neighbour,
                                  const rr_cells_request *request, rr_cells_reply *reply);
/* Frees a connection's context when the connection ends. Not called if the context is NULL. */
typedef void (*rr_cells_context_free_fn)(void *context);

/* The listener and its connections. */
typedef struct rr_cells_server rr_cells_server;

/* Counters since the start. */
typedef struct {
    /* Connections closed because their address is in no neighbour's networks. */
    uint64_t unknown_peer_connections;
    /* Requests refused: malformed, of unknown version, or with wrong cells. */
    uint64_t refused_requests;
    /* Connections closed because RR_CELLS_CONNECTIONS_MAX were open. */
    uint64_t connections_over_limit;
} rr_cells_server_stats;

/* Limit of open incoming connections; a further connection is closed at once. */
#define RR_CELLS_CONNECTIONS_MAX 64

/* Listens on the settings' endpoint and serves until *stop is set. settings, stop and user are
 * borrowed and outlive the object. Returns 0 with *out, or -errno with *out NULL. */
int rr_cells_server_start(const rr_cells_settings *settings, const atomic_bool *stop,
                          rr_cells_serve_fn serve, rr_cells_context_free_fn free_context,
                          void *user, rr_cells_server **out);
/* Waits for all threads to end and frees the object. Call it after *stop is set. NULL is allowed.
 */
void rr_cells_server_destroy(rr_cells_server *server);
/* Copies the counters. May be called from any thread. */
void rr_cells_server_get_stats(rr_cells_server *server, rr_cells_server_stats *out);

/* ---- sending requests: link_client.c ---- */

/* A client for one neighbour; it belongs to one thread. It keeps a connection open to each
 * controller that it has sent a request to, and remembers which controller plans which team. */
typedef struct rr_cells_client rr_cells_client;

/* neighbour: index into settings->neighbours. settings and stop are borrowed and outlive the
 * client. */
rr_cells_client *rr_cells_client_create(const rr_cells_settings *settings, size_t neighbour,
                                        const atomic_bool *stop);
/* Closes the connections and frees the client. NULL is allowed. */
void rr_cells_client_destroy(rr_cells_client *client);

/* Sends the request to the controller that plans its team, or to any if that one is not known, and
 * waits for the reply. Returns 0 with *reply, whose status may be any; or -errno, mostly -EIO or
 * -EBADMSG, if there was no valid reply: the next request then goes to another controller. The
 * caller clears *reply in either case. */
int rr_cells_send_request(rr_cells_client *client, const rr_cells_request *request,
                          rr_cells_reply *reply);

#endif
