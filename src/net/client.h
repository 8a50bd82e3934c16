/* A blocking HTTP client on libcurl's easy interface. One object a thread: it owns a handle with
 * its kept-alive connections and takes no lock. */
#ifndef RR_NET_CLIENT_H
#define RR_NET_CLIENT_H

#include "conf/config.h"

#include <glib.h>
#include <stdatomic.h>

typedef struct rr_client rr_client;

typedef struct {
    long status;
    GByteArray *body; /* owned by the client, valid until the next call */
    double retry_after_s;
} rr_reply;

int rr_net_init(void);
/* stop (may be NULL) ends running calls soon after it becomes true. */
rr_client *rr_client_create(const atomic_bool *stop);
void rr_client_destroy(rr_client *client);

struct rr_call {
    const char *method;
    const struct rr_endpoint *to;
    const char *path;
    const void *body; /* NULL: none */
    size_t len;
    double timeout_s;
    bool fresh;        /* a connection of its own, closed after */
    size_t answer_max; /* 0: no bound but memory */
};

/* 0 with a reply; -ENOTCONN: surely not sent; -EIO or -ETIMEDOUT: may have been carried out or may
 * still be; -ECANCELED: stopped (the same doubt). */
int rr_client_call(rr_client *client, const struct rr_call *call, rr_reply *out);

#endif
