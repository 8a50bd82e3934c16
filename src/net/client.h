/* A blocking HTTP client on libcurl's easy interface. One object a thread: it owns a handle with
 * its kept-alive connections and takes no lock. */
#ifndef RR_NET_CLIENT_H
#define RR_NET_CLIENT_H

#include "conf/config.h"

#include <glib.h>
#include <stdatomic.h>

/* Initialises libcurl: once in a process, before any thread starts. 0 or -EIO. */
int rr_net_init(void);

typedef struct rr_client rr_client;

/* *stop (stop may be NULL) ends running calls soon after it becomes true; it is borrowed. NULL: no
 * handle is to be had. */
rr_client *rr_client_create(const atomic_bool *stop);
/* Closes its connections. NULL is allowed. */
void rr_client_destroy(rr_client *client);

struct rr_http_call {
    const char *method; /* GET, POST or DELETE */
    const struct rr_endpoint *endpoint;
    const char *path; /* with its query */
    const void *body; /* NULL: none; a GET has none */
    size_t len;
    double timeout_s;       /* of the whole call */
    bool fresh;             /* over a connection of its own, closed afterwards */
    size_t reply_bytes_max; /* bytes of the reply's body; 0: no bound */
};

typedef struct {
    long status;
    GByteArray *body;     /* owned by the client, valid until its next call */
    double retry_after_s; /* 0: the reply does not say */
} rr_http_reply;

/* 0 with a reply of any status; -ENOTCONN: certainly not sent; -EIO, -ETIMEDOUT or, if stopped,
 * -ECANCELED: the request may have been executed, or may still be. */
int rr_client_call(rr_client *client, const struct rr_http_call *call, rr_http_reply *out);

#endif
