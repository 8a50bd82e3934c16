/* The HTTP door for users, workers and health checks, on libmicrohttpd with a thread a connection.
 * It reads and answers; what a request means is the handler's. */
#ifndef RR_HTTP_SERVER_H
#define RR_HTTP_SERVER_H

#include "conf/config.h"
#include "wire/wire.h"

struct rr_http_request {
    const char *method, *path;
    const void *body;
    size_t len;
};

struct rr_http_response {
    int status;
    rr_encoder body;   /* initialised by the HTTP server; empty: no body */
    int retry_after_s; /* 0: none */
    const char *allow; /* with 405 */
    bool yields;       /* the connection makes room for others when there are many */
};

typedef void (*rr_http_handler_fn)(void *user, const struct rr_http_request *request,
                                   struct rr_http_response *response);

typedef struct rr_http_server rr_http_server;
/* What a connection is held to take: its touched stack, its buffers, and what it makes the rest
 * hold. tests/test_load.c measures it, and fails if it grows past this. */
#define RR_CONNECTION_KB 48
#define RR_CONNECTIONS_MIN 8
/* How many connections there may be, given what the rest of the process needs of its limits; fewer
 * than the least: it can't run. */
int rr_http_server_connections_max(const struct rr_config *config, int other_threads,
                                   int other_sockets);
/* most: connections; one more is closed at once. accepted: called for each new connection by the
 * thread that takes it, may be NULL. */
rr_http_server *rr_http_server_create(const struct rr_config *config, int most,
                                      rr_http_handler_fn handler, void (*accepted)(void *user),
                                      void *user);
/* The address is taken from the start; until this call connections to it are refused. 0 or -errno.
 */
int rr_http_server_listen(rr_http_server *server);
unsigned rr_http_server_listeners(
    const rr_http_server *server); /* 1, and one more for each that stood still */
int rr_http_server_connections(const rr_http_server *server); /* connections now */
void rr_http_server_stop(rr_http_server *server);

#endif
