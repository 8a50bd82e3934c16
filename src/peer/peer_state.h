/* Internal to src/peer: the state of all links, under one lock. peer.c creates and destroys it. The
 * threads of links (link.c) and of incoming connections (listener.c) share it with the callers of
 * the public functions. */
#ifndef RR_PEER_PEER_STATE_H
#define RR_PEER_PEER_STATE_H

#include "peer/cancellations.h"
#include "peer/frame.h"
#include "peer/peer.h"

#include <pthread.h>

/* Time after a peer's last digests for which it counts as received from. */
#define RR_PEER_RECEIVED_TIMEOUT_S 4.0
#define RR_PEER_FRAME_MACHINES_MAX 512 /* machines named in one frame */

/* Hops of a heartbeat that is sent to a peer: received from the worker, or from another peer. */
enum { RR_PEER_DIRECT, RR_PEER_FORWARDED, RR_PEER_HOPS_COUNT };

/* The outgoing link to one peer. The peers' lock guards all fields but the first four, which are
 * constant while threads run. */
struct rr_peer_link {
    rr_peers *peers;
    int index; /* of the peer in the configuration */
    pthread_t thread;
    bool thread_started;

    /* Queued output. */
    pthread_cond_t wake;                     /* signalled with new output, and to stop */
    GQueue heartbeats;                       /* GBytes*: payloads of heartbeat frames */
    GHashTable *digests[RR_PEER_HOPS_COUNT]; /* machine -> rr_heartbeat_digest, by hops */
    GPtrArray *suspects;                     /* char*: machines that do not reply to commands */
    rr_cancellations *cancellations;
    GBytes *demand; /* the latest view of the demand for admission; NULL: none */

    /* The connection. */
    unsigned delivery_generation; /* incremented when a connection or a queued heartbeat is lost:
                                     what was sent in an earlier generation
                                     may not have arrived */
    double connected_at;          /* by the steady clock, in seconds */
    double confirm_timeout_s;     /* time until a connection without the peer's confirmation is
                                     replaced */

    /* Whom the peer receives from, as it last reported on its own link to this controller. */
    double digests_received_at; /* time of that report by the steady clock, in seconds; 0: none */
    bool peer_receives_from[RR_CONTROLLERS_MAX]; /* by index in this controller's configuration */
    bool peer_receives_from_us;                  /* whether it receives from this controller */
};

/* All links of this controller. The lock guards the tables, the links and the connection count. */
struct rr_peers {
    const struct rr_config *config;
    struct rr_peer_events events;
    const atomic_bool *stop;
    pthread_mutex_t lock;
    GHashTable *sent_heartbeats;     /* machine -> struct machine_sends (outbox.c) */
    double sent_heartbeats_swept_at; /* last removal of expired records, by the steady clock */
    struct rr_peer_link links[RR_CONTROLLERS_MAX]; /* by the peer's index in the configuration */

    /* Incoming connections. */
    int listener_fd; /* -1: not listening */
    pthread_t listener_thread;
    bool listener_started;
    int connection_count;            /* running connection threads */
    pthread_cond_t connection_ended; /* signalled when a connection thread ends */
};

/* Whether the peer has recently sent digests on its link to this controller. The caller holds the
 * peers' lock. */
static inline bool rr_peer_received_recently(const struct rr_peer_link *link, double now) {
    return link->digests_received_at > 0 &&
           now - link->digests_received_at < RR_PEER_RECEIVED_TIMEOUT_S;
}

/* Appends the HELLO frame that begins every connection from this controller to a peer. */
static inline void rr_peer_put_hello(const rr_peers *peers, GByteArray *buffer) {
    guint start = rr_frame_begin(buffer, RR_FRAME_HELLO);
    rr_frame_put_text(buffer, peers->config->node_name);
    rr_frame_end(buffer, start);
}

#endif
