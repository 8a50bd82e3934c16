/* Heartbeats of workers: acceptance, forwarding between controllers, and the replies to them. */
#ifndef RR_CORE_HEARTBEATS_H
#define RR_CORE_HEARTBEATS_H

#include "core/core.h"
#include "wire/wire.h"

enum rr_heartbeat_effect {
    RR_HEARTBEAT_IGNORED,   /* not newer than what is known */
    RR_HEARTBEAT_UNCHANGED, /* newer, with the content of the one before */
    RR_HEARTBEAT_CHANGED
};

/* Takes over the heartbeat's content and clears the struct. heard_via: index of the peer that
 * forwarded it, -1: it was sent to this controller. */
enum rr_heartbeat_effect rr_core_take_heartbeat(rr_core *core, double now, rr_heartbeat *heartbeat,
                                                int heard_via);

/* Takes over the answer to a command or probe, as with a heartbeat, and verifies the machine. True:
 * the machine's own heartbeats arrive too, so that peers may take this answer for one. */
bool rr_core_take_command_reply(rr_core *core, double now, rr_heartbeat *heartbeat, int heard_via);

/* Notes that the machine has just answered this process, so that it is not known from late copies
 * of heartbeats alone. */
void rr_core_verify_machine(rr_core *core, double now, const rr_heartbeat_digest *digest);

/* Notes that a peer has just sent something over its link to this controller. */
void rr_core_peer_contacted(rr_core *core, double now, int peer);

/* Takes a peer's digest of a newer heartbeat. False: the machine is not known here, or the digest
 * is not newer. */
bool rr_core_take_heartbeat_digest(rr_core *core, double now, const rr_heartbeat_digest *digest,
                                   int heard_via);

/* The peers that need the machine's heartbeats in full, as bits of their indices. Returned: the
 * owners of its tasks and the autoscaler, which need every change; *occasional: all owners, which
 * place work on any machine. */
uint32_t rr_core_heartbeat_subscribers(const rr_core *core, const char *machine_name,
                                       uint32_t *occasional);

/* Statuses of HTTP. */
enum {
    RR_HEARTBEAT_REPLY_OK = 200,
    RR_HEARTBEAT_REPLY_OTHER_CONTROLLER = 421, /* the worker is to use `peer` */
    RR_HEARTBEAT_REPLY_UNAVAILABLE = 503
};

struct rr_heartbeat_reply {
    int status;
    uint64_t fencing_token; /* with RR_HEARTBEAT_REPLY_OK */
    const char *peer;       /* the core's; with RR_HEARTBEAT_REPLY_OTHER_CONTROLLER */
    GArray *commands;       /* rr_command, the caller's; with RR_HEARTBEAT_REPLY_OK, else NULL */
};

/* Fills *out with the reply to a heartbeat, whether or not it was newer. */
void rr_core_reply_to_heartbeat(rr_core *core, double now, const rr_heartbeat *heartbeat,
                                struct rr_heartbeat_reply *out);

/* Notes that another controller has confirmed this job's cancellation to its user. */
void rr_core_add_cancel_hint(rr_core *core, const char *job_id, double now);

#endif
