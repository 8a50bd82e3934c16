/* HTTP server for users, workers and health checks, on libmicrohttpd with one thread per
 * connection. It reads requests, has the caller's handler fill the responses, and sends them. */
#ifndef RR_HTTP_SERVER_H
#define RR_HTTP_SERVER_H

#include "conf/config.h"
#include "wire/wire.h"

/* A request; its pointers are valid during the handler's call only. */
struct rr_http_request {
    const char *method, *path;
    const void *body;
    size_t len; /* of the body, in bytes */
};

/* A response, filled by the handler. */
struct rr_http_response {
    int status;        /* HTTP status code */
    rr_encoder body;   /* initialised and cleared by the server; empty: no body */
    int retry_after_s; /* value of the Retry-After header; 0: no such header */
    const char *allow; /* value of the Allow header, for status 405; NULL: no such header */
    /* Close the connection after the response if the server is near its limit of connections. */
    bool close_if_near_limit;
};

/* Fills the response to a request. Runs on the connection's thread, so that calls for different
 * connections run at the same time. */
typedef void (*rr_http_handler_fn)(void *user_data, const struct rr_http_request *request,
                                   struct rr_http_response *response);

typedef struct rr_http_server rr_http_server;

/* Memory budgeted for a connection, in KiB: its stack, its buffers, and what other parts of the
 * process hold on its behalf. tests/test_load.c fails if a connection takes more. */
#define RR_CONNECTION_KB 48
/* The process can't serve with fewer connections. */
#define RR_CONNECTIONS_MIN 8

/* Returns the number of connections that the configured limits on connections, threads, sockets and
 * memory allow, after the threads and sockets of the rest of the process are subtracted. The result
 * may be below RR_CONNECTIONS_MIN, or negative. */
int rr_http_server_connections_max(const struct rr_config *config, int other_threads,
                                   int other_sockets);
/* Creates a server and binds it to the configured address. Connections are refused until
 * rr_http_server_listen(); later, those beyond connections_max are closed at once. on_accept is
 * called on the accepting thread for each connection; it may be NULL. Returns NULL if the address
 * can't be bound. The caller stops and frees the server with rr_http_server_stop(). */
rr_http_server *rr_http_server_create(const struct rr_config *config, int connections_max,
                                      rr_http_handler_fn handler,
                                      void (*on_accept)(void *user_data), void *user_data);
/* Starts to accept connections. Returns 0 or -errno. */
int rr_http_server_listen(rr_http_server *server);
/* Returns the number of listeners: one, and another for each time that all of them had stalled; 0
 * before rr_http_server_listen(). */
unsigned rr_http_server_listener_count(const rr_http_server *server);
/* Returns the number of open connections. */
int rr_http_server_connection_count(const rr_http_server *server);
/* Closes all connections, joins their threads and frees the server, which may be NULL. While a
 * listener is stalled, its thread can't be joined; the server then stays allocated until the
 * process ends. */
void rr_http_server_stop(rr_http_server *server);

#endif
