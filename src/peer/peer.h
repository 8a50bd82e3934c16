/* Links between controllers. A speed-up: the rules hold without them. One listener with a thread a
 * connection, one outgoing link a peer with its own thread and a bounded queue of reports, and
 * one-shot connections that ask a peer to carry a call to a worker. */
#ifndef RR_PEER_PEER_H
#define RR_PEER_PEER_H

#include "core/config.h"

#include <glib.h>
#include <stdatomic.h>

struct rr_peer_events {
    void *user;
    /* A peer heard this report, itself (hops 0) or from another peer (1). Called on a connection's
     * thread; body is borrowed. */
    void (*report)(void *user, int peer, unsigned hops, const void *body, size_t len);
    /* A peer that has lost the state service asks whether we have it (end false), or to end its
     * lease for it. True: yes, or done. */
    bool (*resign)(void *user, uint64_t tether, bool end);
};

typedef struct rr_peers rr_peers;
rr_peers *rr_peers_create(const struct rr_config *cfg, const struct rr_peer_events *ev,
                          const atomic_bool *stop);
int rr_peers_start(rr_peers *p); /* -errno if the address can't be bound */
void rr_peers_stop(rr_peers *p); /* after *stop is set: joins every thread */
void rr_peers_destroy(rr_peers *p);

/* Queues a report for every peer but `except` (-1: none); a full queue drops its oldest. */
void rr_peers_report(rr_peers *p, int except, unsigned hops, const void *body, size_t len);

/* Asks peer i whether it reaches the state service, or to end our lease there. */
bool rr_peers_resign(rr_peers *p, int peer, uint64_t tether, bool end);

typedef struct {
    long status;
    GByteArray *body; /* owned by the caller */
} rr_relayed;
/* Has peer i call the worker. 0: the worker answered; -ENOTCONN: surely not sent to it; else in
 * doubt. */
int rr_peers_relay(rr_peers *p, int peer, const char *addr, const void *body, size_t len,
                   double timeout_s, rr_relayed *out);

#endif
