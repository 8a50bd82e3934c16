/* Inside the package only: the state of all peers, under one lock. peer.c creates and destroys it;
 * the threads of links (link.c), of incoming connections (listener.c) and the callers of the public
 * functions share it. */
#ifndef RR_PEER_PEER_STATE_H
#define RR_PEER_PEER_STATE_H

#include "peer/cancellations.h"
#include "peer/frame.h"
#include "peer/peer.h"

#include <pthread.h>

#define RR_PEER_RECEIVED_S                                                                         \
    4.0                         /* a peer counts as received from for so long after its last frame \
                                 */
#define RR_PEER_DIGESTS_MAX 512 /* machines in a frame */

enum { RR_PEER_DIRECT, RR_PEER_FORWARDED, RR_PEER_HOPS_COUNT };

/* The outgoing link to one peer. All fields but the constant ones are under the peers' lock. */
struct rr_peer_link {
    rr_peers *owner; /* constant, as are index and thread */
    int index;
    pthread_t thread;
    bool started;

    /* What waits to be sent. */
    pthread_cond_t wake;
    GQueue heartbeats;                       /* GBytes*: payloads of heartbeat frames */
    GHashTable *digests[RR_PEER_HOPS_COUNT]; /* machine -> rr_heartbeat_digest, by hops */
    GPtrArray *suspects;                     /* char*: machines */
    rr_cancellations *cancellations;
    GBytes *demand; /* NULL: none */

    /* The connection. */
    unsigned generation;      /* counts losses: what an earlier one sent may not have arrived */
    double connected_at;      /* of the present connection */
    double confirm_timeout_s; /* how long it may stand without the peer's confirmation */

    /* What the peer last reported, on its own link to us, about whom it receives from. */
    double digests_received_at;
    bool peer_receives[RR_CONTROLLERS_MAX]; /* by index of our configuration */
    bool peer_receives_us;
};

struct rr_peers {
    const struct rr_config *config;
    struct rr_peer_events events;
    const atomic_bool *stop;
    pthread_mutex_t lock;
    GHashTable *sent_heartbeats; /* machine -> struct sent_heartbeat (outbox.c) */
    double sent_heartbeats_swept_at;
    struct rr_peer_link links[RR_CONTROLLERS_MAX];

    int listener;
    pthread_t acceptor;
    bool accepting;
    int connection_count;            /* running connection threads */
    pthread_cond_t connection_ended; /* signalled with each that ends */
};

/* Whether the peer has lately sent digests on its link to us. Caller holds the lock. */
static inline bool rr_peer_received_lately(const struct rr_peer_link *link, double now) {
    return link->digests_received_at > 0 && now - link->digests_received_at < RR_PEER_RECEIVED_S;
}

/* Appends the frame that opens every connection of ours. */
static inline void rr_peer_put_hello(const rr_peers *peers, GByteArray *buffer) {
    guint start = rr_frame_begin(buffer, RR_FRAME_HELLO);
    rr_frame_put_text(buffer, peers->config->node_name);
    rr_frame_end(buffer, start);
}

#endif
