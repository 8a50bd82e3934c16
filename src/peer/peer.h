/* Links between the controllers of a cell: an outgoing link to each peer, with a thread and bounded
 * queues; a listener with a thread for each incoming connection; and a separate connection for each
 * request to a peer. They only speed controllers up: correctness does not depend on them.
 *
 * A peer gets a heartbeat in full only if it needs it and the content is new to it; otherwise it
 * gets a digest in the next periodic frame. A link sends all its queued output at once.
 *
 * All functions may be called from any thread. rr_peers_request_resign() and
 * rr_peers_relay_worker_call() block; the rr_peers_send_ functions and
 * rr_peers_forward_heartbeats() only queue. */
#ifndef RR_PEER_PEER_H
#define RR_PEER_PEER_H

#include "conf/config.h"
#include "wire/wire.h"

#include <glib.h>
#include <stdatomic.h>

/* Callbacks for what peers send. They run on the thread of the connection without the peers' lock.
 * All pointers are borrowed for the call; `peer` is the sender's index in the configuration. */
struct rr_peer_events {
    void *user; /* passed to every callback */
    /* A heartbeat that the peer received from the worker (hops 0) or from another peer (hops 1). */
    void (*on_heartbeat)(void *user, int peer, unsigned hops, const void *body, size_t length);
    /* Digests of heartbeats that the peer received, sent in place of the full heartbeats. */
    void (*on_heartbeat_digests)(void *user, int peer, unsigned hops,
                                 const rr_heartbeat_digest *digests, size_t count);
    /* The machine does not reply to a peer's commands. */
    void (*on_suspect)(void *user, const char *machine);
    /* A peer has confirmed the cancellation of this job. */
    void (*on_cancelled)(void *user, const char *job_id);
    /* A peer that can't reach the key-value store asks whether this controller reaches it
     * (end_lease false), or to end the peer's lease there (end_lease true). Returns whether the
     * store is reached, or whether the lease has ended. */
    bool (*on_resign)(void *user, uint64_t lease_id, bool end_lease);
    /* A peer's view of the demand for admission, not yet checked. */
    void (*on_demand)(void *user, int peer, const void *data, size_t length);
};

/* The links of this controller to its peers. */
typedef struct rr_peers rr_peers;

/* Limit on simultaneous incoming connections; one more is closed at once. */
#define RR_PEER_CONNECTIONS_MAX 64

/* Creates the links without starting them. config and stop are borrowed and outlive the object; the
 * callbacks are copied. */
rr_peers *rr_peers_create(const struct rr_config *config, const struct rr_peer_events *events,
                          const atomic_bool *stop);
/* Binds the address and starts all threads. Returns 0; -errno if the address can't be bound;
 * -EAGAIN if the listener's thread can't be started. A link whose thread can't be started sends
 * nothing. */
int rr_peers_start(rr_peers *peers);
/* Joins all threads. The caller has set *stop. */
void rr_peers_stop(rr_peers *peers);
/* Frees the object; rr_peers_stop() comes first if its threads were started. NULL is allowed. */
void rr_peers_destroy(rr_peers *peers);

/* Queues a heartbeat that this controller received. Peers in `subscribers` (bit i: peer i) get it
 * in full if its content is new to them, peers in `occasional` at longer intervals; all others get
 * the digest. */
void rr_peers_send_heartbeat(rr_peers *peers, uint32_t subscribers, uint32_t occasional,
                             const rr_heartbeat_digest *digest, const void *body, size_t length);
/* Queues what the peer `from` sent for the peers that do not receive from it: the heartbeat if body
 * is not NULL, otherwise the digests. */
void rr_peers_forward_heartbeats(rr_peers *peers, int from, const rr_heartbeat_digest *digests,
                                 size_t count, const void *body, size_t length);
/* Queues the names (char*) of machines that do not reply to commands. */
void rr_peers_send_suspects(rr_peers *peers, const GPtrArray *machines);
/* Queues a confirmed cancellation, which is announced once over each connection until expires_at
 * (steady clock). */
void rr_peers_send_cancellation(rr_peers *peers, const char *job_id, double expires_at);
/* Queues a view of the demand for admission; it replaces one that has not been sent yet. */
void rr_peers_send_demand(rr_peers *peers, const void *demand_view, size_t length);

/* Asks a peer whether it reaches the key-value store (end_lease false), or to end this controller's
 * lease there (end_lease true). Returns whether the peer replied that it does or did; false also
 * without a reply. */
bool rr_peers_request_resign(rr_peers *peers, int peer, uint64_t lease_id, bool end_lease);

/* A worker's reply to a relayed call. */
typedef struct {
    long status;      /* HTTP status code */
    GByteArray *body; /* owned by the caller; NULL unless the call returned 0 */
} rr_relayed_reply;

/* Has a peer send commands to a worker, or ask for the worker's status if body is NULL. Returns 0
 * if the worker replied, -ENOTCONN if the call was certainly not sent to the worker, -EIO if its
 * outcome is unknown. */
int rr_peers_relay_worker_call(rr_peers *peers, int peer, const char *address, const void *body,
                               size_t length, double timeout_s, rr_relayed_reply *reply);

#endif
