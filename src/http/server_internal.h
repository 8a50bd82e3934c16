/* The server and its listeners, shared by the files of src/http/. */
#ifndef RR_HTTP_SERVER_INTERNAL_H
#define RR_HTTP_SERVER_INTERNAL_H

#include "http/server.h"

#include <microhttpd.h>
#include <pthread.h>
#include <stdatomic.h>

/* Most listeners of a server: the first one, and those added after stalls. */
#define RR_LISTENERS_MAX 8

/* A libmicrohttpd daemon, whose thread accepts connections and joins the threads of closed ones.
 * All listeners of a server accept from the same socket. */
struct rr_listener {
    rr_http_server *server;
    struct MHD_Daemon *daemon;
    atomic_uint accepted; /* number of connections accepted so far */
    /* Used by the watcher thread only, until it is joined. */
    bool stalled;               /* whether this listener has ever stalled */
    unsigned accepted_at_stall; /* the value of accepted at the last stall */
};

struct rr_http_server {
    /* Read-only after rr_http_server_create(). */
    int listen_fd;
    int connections_max;
    rr_http_handler_fn handler;
    void (*on_accept)(void *user_data); /* may be NULL */
    void *user_data;

    atomic_bool stopping;
    atomic_int open_connections; /* each has a thread */
    /* The listeners in use are the first listener_count. Only one thread adds listeners at a time:
     * the one that calls rr_http_server_listen(), then the watcher. */
    struct rr_listener listeners[RR_LISTENERS_MAX];
    atomic_uint listener_count;
    pthread_t watcher; /* valid if watcher_running */
    bool watcher_running;
};

/* The callback of libmicrohttpd that receives requests. user_data is the rr_http_server *;
 * *request_state is NULL at a request's first call and belongs to this module. */
enum MHD_Result rr_http_on_request(void *user_data, struct MHD_Connection *connection,
                                   const char *path, const char *method, const char *version,
                                   const char *data, size_t *length, void **request_state);
/* The callback of libmicrohttpd at the end of a request; frees its state. */
void rr_http_on_completed(void *user_data, struct MHD_Connection *connection, void **request_state,
                          enum MHD_RequestTerminationCode reason);

/* Starts a listener on fd, the server's socket or a duplicate of it. Returns false if it can't be
 * started; otherwise the listener owns fd. */
bool rr_http_add_listener(rr_http_server *server, int fd, int connections_max);
/* Starts the watcher, a thread that adds a listener when all listeners have stalled. If it can't be
 * started, the server runs without it. */
void rr_http_start_watcher(rr_http_server *server);
/* Joins the watcher, which ends once server->stopping is set, and stops the listeners. Returns
 * false if a stalled listener could not be stopped; it continues to use *server. */
bool rr_http_stop_listeners(rr_http_server *server);

#endif
