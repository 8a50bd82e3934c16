/* HTTP server for users, workers and health checks, on libmicrohttpd with a thread for each
 * connection. It reads requests and sends responses; the handler decides on their content. */
#ifndef RR_HTTP_SERVER_H
#define RR_HTTP_SERVER_H

#include "conf/config.h"
#include "wire/wire.h"

/* Valid during the handler's call. */
struct rr_http_request {
    const char *method, *path;
    const void *body;
    size_t len; /* of the body, in bytes */
};

struct rr_http_response {
    int status;
    rr_encoder body;   /* initialised and cleared by the server; empty: no body */
    int retry_after_s; /* 0: no Retry-After header */
    const char *allow; /* Allow header, for 405; NULL: none */
    bool yields;       /* the connection is closed if there are many */
};

/* Answers a request. Runs on the connection's thread; several run at a time. */
typedef void (*rr_http_handler_fn)(void *user, const struct rr_http_request *request,
                                   struct rr_http_response *response);

typedef struct rr_http_server rr_http_server;

/* Memory that a connection is counted with: stack, buffers, and what it makes other parts hold.
 * tests/test_load.c fails if a connection takes more. */
#define RR_CONNECTION_KB 48
/* With fewer connections the process can't serve. */
#define RR_CONNECTIONS_MIN 8

/* The number of connections that the process's limits on threads, sockets and memory leave room
 * for, given what the rest of the process needs. May be below RR_CONNECTIONS_MIN, or negative. */
int rr_http_server_connections_max(const struct rr_config *config, int other_threads,
                                   int other_sockets);
/* Binds the configured address; connections are refused until rr_http_server_listen(). Connections
 * beyond connections_max are closed at once. on_accept is called by the accepting thread for each
 * connection; it may be NULL. NULL: the address can't be bound. The caller ends the server with
 * rr_http_server_stop(). */
rr_http_server *rr_http_server_create(const struct rr_config *config, int connections_max,
                                      rr_http_handler_fn handler, void (*on_accept)(void *user),
                                      void *user);
/* Starts to accept connections. 0 or -errno. */
int rr_http_server_listen(rr_http_server *server);
/* The number of listeners: 1, and one more for each time that all had stalled. */
unsigned rr_http_server_listeners(const rr_http_server *server);
/* The number of connections that are open now. */
int rr_http_server_connections(const rr_http_server *server);
/* Closes all connections, joins their threads and frees the server, unless a stalled listener keeps
 * it until the process ends. NULL is allowed. */
void rr_http_server_stop(rr_http_server *server);

#endif
