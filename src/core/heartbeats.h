/* Heartbeats of workers and the replies to them. */
#ifndef RR_CORE_HEARTBEATS_H
#define RR_CORE_HEARTBEATS_H

#include "core/core.h"
#include "wire/wire.h"

enum rr_heartbeat_news { RR_HEARTBEAT_IGNORED, RR_HEARTBEAT_UNCHANGED, RR_HEARTBEAT_CHANGED };
/* Takes over the report's content. via: index of the peer that heard it, -1: this controller. What
 * it was: nothing new, only a sign of life, or news. */
enum rr_heartbeat_news rr_core_take_heartbeat(rr_core *core, double now, rr_heartbeat *heartbeat,
                                              int via);
/* Takes over the answer to a command or probe, and vouches for the machine. True: the machine has
 * lately reported by itself, so that others may take this for a report. */
bool rr_core_take_command_reply(rr_core *core, double now, rr_heartbeat *heartbeat, int via);
/* The machine has just answered this process: it is not known from late copies alone. */
void rr_core_verify_machine(rr_core *core, double now, const rr_heartbeat_digest *digest);
/* A peer has just said something on its link to us. */
void rr_core_peer_contacted(rr_core *core, double now, int peer);
/* A peer heard the machine again. False: not known here, or not news. */
bool rr_core_take_heartbeat_digest(rr_core *core, double now, const rr_heartbeat_digest *digest,
                                   int via);
/* Which peers need a machine's reports whole, as bits of their indices: with every change the
 * owners of its tasks and the autoscaler; now and then all owners. */
uint32_t rr_core_heartbeat_subscribers(const rr_core *core, const char *machine,
                                       uint32_t *now_and_then);
struct rr_heartbeat_reply {
    int status; /* 200, 421 or 503 */
    uint64_t fencing_token;
    const char *peer; /* with 421, may be NULL */
    GArray *commands; /* rr_command, with 200 */
};
/* Another controller has confirmed this job's cancellation to its user. */
void rr_core_add_cancel_hint(rr_core *core, const char *job_id, double now);
/* Every controller of the term reads what this version tells its peers beside the one before. */
bool rr_core_all_gang_capable(const rr_core *core);
void rr_core_reply_to_heartbeat(rr_core *core, double now, const rr_heartbeat *heartbeat,
                                struct rr_heartbeat_reply *out);

#endif
