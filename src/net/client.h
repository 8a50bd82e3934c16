/* A blocking HTTP/1.1 client on libcurl's easy interface. Each thread uses its own client, which
 * owns a libcurl handle with its kept-alive connections and takes no lock. */
#ifndef RR_NET_CLIENT_H
#define RR_NET_CLIENT_H

#include "conf/config.h"

#include <glib.h>
#include <stdatomic.h>

/* Initialises libcurl. Call once per process, before any thread starts. Returns 0 or -EIO. */
int rr_http_client_init(void);

/* An HTTP client with its connections. */
typedef struct rr_http_client rr_http_client;

/* Creates a client that the caller destroys; NULL if libcurl has no handle. stop is borrowed and
 * may be NULL; a running call is aborted soon after *stop becomes true. */
rr_http_client *rr_http_client_create(const atomic_bool *stop);
/* Closes the client's connections and frees it. NULL is allowed. */
void rr_http_client_destroy(rr_http_client *client);

/* A request; all pointers are borrowed for the call. */
struct rr_http_call {
    const char *method; /* GET, POST or DELETE */
    const struct rr_endpoint *endpoint;
    const char *path;        /* with its query string */
    const void *body;        /* NULL: none; ignored with GET */
    size_t body_bytes;       /* of the request body, in bytes */
    double timeout_s;        /* of the whole call, connecting included */
    bool use_new_connection; /* uses a new connection, which is closed after the call */
    size_t reply_bytes_max;  /* of the reply body; a longer one fails the call; 0: unlimited */
};

/* The reply to a request, whatever its status. */
typedef struct {
    long status;          /* HTTP status code */
    GByteArray *body;     /* owned by the client, valid until its next call */
    double retry_after_s; /* from the Retry-After header; 0: none */
} rr_http_reply;

/* Sends the request and waits for its reply. Returns 0 with *reply set, whatever its status;
 * -ENOTCONN if the request was certainly not sent; or -EIO, -ETIMEDOUT or -ECANCELED (*stop was
 * set), after which the request may have been executed or may still be. */
int rr_http_client_call(rr_http_client *client, const struct rr_http_call *call,
                        rr_http_reply *reply);

#endif
