/* Links between controllers. A speed-up: the rules hold without them. One listener with a thread a
 * connection, one outgoing link a peer with its own thread and a bounded queue, and one-shot
 * connections that ask a peer to carry a call to a worker.
 *
 * A report goes whole only to those who need it and only when it says something new; for the rest a
 * line in the next list of machines heard is enough. One send takes all that has gathered. */
#ifndef RR_PEER_PEER_H
#define RR_PEER_PEER_H

#include "conf/config.h"
#include "wire/wire.h"

#include <glib.h>
#include <stdatomic.h>

struct rr_peer_events {
    void *user;
    /* A peer heard this report, itself (hops 0) or from another peer (1). Called on a connection's
     * thread; body is borrowed. */
    void (*heartbeat)(void *user, int peer, unsigned hops, const void *body, size_t length);
    /* Machines that a peer heard again, with nothing to say that it has not sent before. */
    void (*heartbeat_digests)(void *user, int peer, unsigned hops, const rr_heartbeat_digest *list,
                              size_t count);
    /* A peer's commands get no answer from this machine. */
    void (*suspect)(void *user, const char *machine);
    /* A peer has confirmed this job's cancellation. */
    void (*cancelled)(void *user, const char *job_id);
    /* A peer that has lost the key-value store asks whether we have it (end false), or to end its
     * lease for it. True: yes, or done. */
    bool (*resign)(void *user, uint64_t lease_id, bool end);
    /* A peer's view of the demand for admission; data is borrowed. */
    void (*demand)(void *user, int peer, const void *data, size_t length);
};

typedef struct rr_peers rr_peers;
#define RR_PEER_CONNECTIONS_MAX 64 /* taken from peers at a time; one more is closed at once */
rr_peers *rr_peers_create(const struct rr_config *config, const struct rr_peer_events *events,
                          const atomic_bool *stop);
int rr_peers_start(rr_peers *peers); /* -errno if the address can't be bound */
void rr_peers_stop(rr_peers *peers); /* after *stop is set: joins every thread */
void rr_peers_destroy(rr_peers *peers);

/* Queues a report that this controller heard: whole for the peers in `wanted` (bits of indices) if
 * they have not had its content, for those in `rare` now and then; for all others a line. */
void rr_peers_send_heartbeat(rr_peers *peers, uint32_t wanted, uint32_t rare,
                             const rr_heartbeat_digest *digest, const void *body, size_t length);
/* Passes on what peer `from` sent to those who say that they don't hear it: the report's body if
 * there is one, else lines. */
void rr_peers_forward_heartbeats(rr_peers *peers, int from, const rr_heartbeat_digest *list,
                                 size_t count, const void *body, size_t length);
void rr_peers_send_suspects(rr_peers *peers, const GPtrArray *names /* char* */);

/* Tells all peers that this job's cancellation is confirmed, over each connection anew until then.
 */
void rr_peers_send_cancellation(rr_peers *peers, const char *job_id, double until);

/* Tells all peers this view of the demand; one that has not gone out yet is replaced. */
void rr_peers_send_demand(rr_peers *peers, const void *view, size_t length);

/* Asks peer i whether it reaches the key-value store, or to end our lease there. */
bool rr_peers_ask_resign(rr_peers *peers, int peer, uint64_t lease_id, bool end);

typedef struct {
    long status;
    GByteArray *body; /* owned by the caller */
} rr_relayed;
/* Has peer i call the worker. 0: the worker answered; -ENOTCONN: surely not sent to it; else in
 * doubt. */
int rr_peers_relay_commands(rr_peers *peers, int peer, const char *address, const void *body,
                            size_t length, double timeout_s, rr_relayed *out);

#endif
