/* Workers' heartbeats: receiving, forwarding between controllers, and replying. */
#ifndef RR_CORE_HEARTBEATS_H
#define RR_CORE_HEARTBEATS_H

#include "core/core.h"
#include "wire/wire.h"

enum rr_heartbeat_effect {
    RR_HEARTBEAT_IGNORED,   /* not newer than the last one known */
    RR_HEARTBEAT_UNCHANGED, /* newer, with the same content as the last one */
    RR_HEARTBEAT_CHANGED    /* newer, with other content */
};

/* Updates the machine's state from the heartbeat. Its content is moved into the core and the struct
 * left cleared. forwarding_peer: index of the peer that forwarded the heartbeat, -1: the worker
 * sent it to this controller. */
enum rr_heartbeat_effect rr_core_apply_heartbeat(rr_core *core, double now, rr_heartbeat *heartbeat,
                                                 int forwarding_peer);

/* Updates the machine's state from the answer to a command or probe, as from a heartbeat, and marks
 * the machine as verified. Returns true if the machine's own heartbeats arrive as well, so that
 * peers may treat this answer as a heartbeat. */
bool rr_core_apply_command_reply(rr_core *core, double now, rr_heartbeat *heartbeat,
                                 int forwarding_peer);

/* Marks the machine as verified: it has just answered this process, whereas heartbeats alone may be
 * late copies. */
void rr_core_record_machine_answer(rr_core *core, double now, const rr_heartbeat_digest *digest);

/* Records that a peer has just sent something over its link to this controller. peer: index in the
 * settings; one out of range is ignored. */
void rr_core_record_peer_contact(rr_core *core, double now, int peer);

/* Updates the machine's state from a peer's digest of a newer heartbeat. Returns false if no
 * heartbeat of the machine's present worker epoch is known here, or if the digest is not newer. */
bool rr_core_apply_heartbeat_digest(rr_core *core, double now, const rr_heartbeat_digest *digest,
                                    int forwarding_peer);

/* Returns the peers that need every change of the machine's heartbeats in full, as a bit mask of
 * peer indices: the owners of its tasks and the autoscaler. *occasional receives the mask of all
 * owners, which may place work on any machine and need full heartbeats only now and then. */
uint32_t rr_core_heartbeat_subscribers(const rr_core *core, const char *machine_name,
                                       uint32_t *occasional);

/* HTTP status codes of the replies to heartbeats. */
enum {
    RR_HEARTBEAT_REPLY_OK = 200,
    RR_HEARTBEAT_REPLY_OTHER_CONTROLLER = 421, /* the worker is to send to `peer` */
    RR_HEARTBEAT_REPLY_UNAVAILABLE = 503
};

struct rr_heartbeat_reply {
    int status;
    uint64_t fencing_token; /* with RR_HEARTBEAT_REPLY_OK */
    const char *peer;       /* name, owned by the core; with RR_HEARTBEAT_REPLY_OTHER_CONTROLLER */
    GArray *commands;       /* rr_command, freed by the caller; NULL unless RR_HEARTBEAT_REPLY_OK */
};

/* Fills *out with the reply to a heartbeat, whether or not it was newer. */
void rr_core_reply_to_heartbeat(rr_core *core, double now, const rr_heartbeat *heartbeat,
                                struct rr_heartbeat_reply *out);

/* Records that another controller has confirmed this job's cancellation to its user, so that its
 * tasks are stopped before the store's watch shows the cancellation. */
void rr_core_add_cancel_hint(rr_core *core, const char *job_id, double now);

#endif
