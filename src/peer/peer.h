/* Links between the controllers of a cell: one outgoing link to each peer, with a thread and a
 * bounded queue; one listener with a thread for each incoming connection; and connections of their
 * own for requests to one peer. They speed controllers up; all rules hold without them.
 *
 * A heartbeat is sent in full only to controllers that need it, and only when its content is new to
 * them; others get a digest with the next list of machines. One send takes all that has collected.
 *
 * All functions may be called from any thread; rr_peers_ask_resign() and rr_peers_relay_commands()
 * block, the others only queue. */
#ifndef RR_PEER_PEER_H
#define RR_PEER_PEER_H

#include "conf/config.h"
#include "wire/wire.h"

#include <glib.h>
#include <stdatomic.h>

/* What peers send. Called on the thread of the connection, without the peers' lock; all pointers
 * are borrowed for the call. peer: its index in the configuration. */
struct rr_peer_events {
    void *user;
    /* The peer received this heartbeat, from the worker (hops 0) or from another peer (1). */
    void (*heartbeat)(void *user, int peer, unsigned hops, const void *body, size_t length);
    /* Heartbeats that the peer received and whose content it has sent before. */
    void (*heartbeat_digests)(void *user, int peer, unsigned hops, const rr_heartbeat_digest *list,
                              size_t count);
    /* A peer's commands get no answer from this machine. */
    void (*suspect)(void *user, const char *machine);
    /* A peer has confirmed this job's cancellation. */
    void (*cancelled)(void *user, const char *job_id);
    /* A peer that has lost the key-value store asks whether this controller reaches it (end false),
     * or to end the peer's lease (end true). True: yes, or done. */
    bool (*resign)(void *user, uint64_t lease_id, bool end);
    /* A peer's view of the demand for admission. */
    void (*demand)(void *user, int peer, const void *data, size_t length);
};

typedef struct rr_peers rr_peers;

#define RR_PEER_CONNECTIONS_MAX 64 /* incoming ones at a time; a further one is closed at once */

/* config and stop are borrowed and outlive the object. */
rr_peers *rr_peers_create(const struct rr_config *config, const struct rr_peer_events *events,
                          const atomic_bool *stop);
/* Starts all threads. 0; -errno: the address can't be bound, or no thread was to be had. */
int rr_peers_start(rr_peers *peers);
/* Joins every thread, after *stop is set. */
void rr_peers_stop(rr_peers *peers);
/* After rr_peers_stop(), if they were started. NULL is allowed. */
void rr_peers_destroy(rr_peers *peers);

/* Queues a heartbeat that this controller received. The peers in `wanted` (a bit for each index)
 * get it in full if its content is new to them, those in `rare` only now and then; all others get
 * the digest. */
void rr_peers_send_heartbeat(rr_peers *peers, uint32_t wanted, uint32_t rare,
                             const rr_heartbeat_digest *digest, const void *body, size_t length);
/* Forwards what peer `from` sent to those peers that do not receive from it: the heartbeat if body
 * is given, otherwise the digests. */
void rr_peers_forward_heartbeats(rr_peers *peers, int from, const rr_heartbeat_digest *list,
                                 size_t count, const void *body, size_t length);
/* Queues the names (char*) of machines that answer no command. */
void rr_peers_send_suspects(rr_peers *peers, const GPtrArray *names);
/* Announces a confirmed cancellation once over each connection, until this time of the steady
 * clock. */
void rr_peers_send_cancellation(rr_peers *peers, const char *job_id, double until);
/* Queues a view of the demand; it replaces one that has not been sent yet. */
void rr_peers_send_demand(rr_peers *peers, const void *view, size_t length);

/* Asks the peer whether it reaches the key-value store (end false), or to end our lease there (end
 * true). False also without an answer. */
bool rr_peers_ask_resign(rr_peers *peers, int peer, uint64_t lease_id, bool end);

typedef struct {
    long status;      /* HTTP status of the worker's reply */
    GByteArray *body; /* owned by the caller; NULL unless the call returned 0 */
} rr_relayed_reply;

/* Has the peer call a worker; without a body it asks for the worker's status. 0: the worker
 * answered; -ENOTCONN: certainly not sent to the worker; -EIO: outcome unknown. */
int rr_peers_relay_commands(rr_peers *peers, int peer, const char *address, const void *body,
                            size_t length, double timeout_s, rr_relayed_reply *out);

#endif
