/* Inside the package only: the state that its files share. peer.c begins and ends it, link.c says
 * what gathers for a peer, outbox.c gathers it, listener.c takes what peers say, relay.c asks one
 * of them, stream.c moves frames over sockets. */
#ifndef RR_PEER_PEERS_INTERNAL_H
#define RR_PEER_PEERS_INTERNAL_H

#include "net/client.h"
#include "peer/cancellations.h"
#include "peer/frame.h"
#include "peer/peer.h"
#include "peer/stream.h"

#include <pthread.h>

#define RR_PEER_HEARD_S 4.0  /* a peer heard not longer ago is heard */
#define RR_PEER_LIST_MAX 512 /* machines in a frame */

struct link {
    rr_peers *owner;
    int index;
    pthread_t thread;
    bool started;
    pthread_cond_t wake;
    GQueue queue;           /* GBytes*: payloads of report frames */
    GHashTable *digests[2]; /* machine -> rr_heartbeat_digest, by hops */
    GPtrArray *suspects;    /* char* */
    rr_cancellations *cancelled;
    GBytes *demand;      /* to be told, NULL: none */
    unsigned losses;     /* counts losses: what was sent before may not have arrived */
    double connected_at; /* since when our connection to it stands */
    double patience;     /* how long it may stand without a sign that it works */
    /* What the peer last said of whom it hears, by index of ours. */
    double peer_digest_at; /* when it last said so: on its link to us, nothing else shows that that
                              works */
    bool peer_hears[RR_CONTROLLERS_MAX], peer_hears_us;
};

struct rr_peers {
    const struct rr_config *config;
    struct rr_peer_events events;
    const atomic_bool *stop;
    pthread_mutex_t lock;
    pthread_cond_t wake; /* connections end */
    GHashTable *sent;    /* machine -> struct sent */
    double swept_at;
    struct link links[RR_CONTROLLERS_MAX];
    int listener;
    pthread_t acceptor;
    bool accepting;
    int connection_count; /* running connection threads, under lock */
};

void rr_peer_put_hello(const rr_peers *peers, GByteArray *buffer);

/* ---- threads ---- */
void *rr_link_main(void *link);           /* link.c: one for each peer */
void *rr_peer_listener_main(void *peers); /* listener.c */

/* The peer has lately said something on its link to us. Caller holds the lock. */
bool rr_link_heard_lately(const struct link *link, double now);

#endif
