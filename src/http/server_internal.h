/* What the files of src/http/ share: the server with its listeners. */
#ifndef RR_HTTP_SERVER_INTERNAL_H
#define RR_HTTP_SERVER_INTERNAL_H

#include "http/server.h"

#include <microhttpd.h>
#include <pthread.h>
#include <stdatomic.h>

#define RR_LISTENERS_MAX 8

/* A libmicrohttpd daemon: one thread that accepts connections and joins the threads of those that
 * ended. All daemons share the server's listening socket. */
struct rr_listener {
    rr_http_server *server;
    struct MHD_Daemon *daemon;
    atomic_uint accepted; /* connections so far */
    /* The watcher's own, until it is joined. */
    bool stalled;
    unsigned accepted_at_stall;
};

struct rr_http_server {
    /* Read-only after rr_http_server_create(). */
    int fd; /* listening socket */
    int connections_max;
    rr_http_handler_fn handler;
    void (*on_accept)(void *user); /* may be NULL */
    void *user;

    atomic_bool stop;
    atomic_int open_connections; /* each has a thread */
    struct rr_listener listeners[RR_LISTENERS_MAX];
    atomic_uint listener_count;
    pthread_t watcher;
    bool watcher_running;
};

/* Callbacks of libmicrohttpd for requests; user is the rr_http_server *. */
enum MHD_Result rr_http_on_request(void *user, struct MHD_Connection *connection, const char *path,
                                   const char *method, const char *version, const char *data,
                                   size_t *length, void **state);
/* Frees the request's state. */
void rr_http_on_completed(void *user, struct MHD_Connection *connection, void **state,
                          enum MHD_RequestTerminationCode reason);

/* Starts a listener on the server's socket `fd`, which it takes over. False: it could not be
 * started.
 */
bool rr_http_add_listener(rr_http_server *server, int fd, int connections_max);
/* Starts the thread that watches for listeners that have stalled. */
void rr_http_start_watcher(rr_http_server *server);
/* Joins the watcher and stops the listeners. False: a stalled listener could not be stopped and
 * still uses *server. */
bool rr_http_stop_listeners(rr_http_server *server);

#endif
