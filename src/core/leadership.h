/* Sessions, terms and fencing tokens, and this controller's shares of the store's limits. */
#ifndef RR_CORE_LEADERSHIP_H
#define RR_CORE_LEADERSHIP_H

#include "core/core.h"
#include "core/state/transaction.h"

/* Sets the lease of this controller's session and the steady time until which it surely lasts:
 * until then this controller may plan. */
void rr_core_set_session(rr_core *core, uint64_t lease_id, double valid_until);
/* Encodes this controller's session record. */
void rr_core_encode_session(const struct rr_config *config, rr_encoder *encoder, uint64_t lease_id);
/* Whether the store cache has this controller's session with this lease; also true during a full
 * reload, which may not have brought it yet. */
bool rr_core_session_seen(const rr_core *core, uint64_t lease_id);
/* Whether this controller is a member of the term under a lease that surely lasts: only then may it
 * command. */
bool rr_core_lease_valid(const rr_core *core, double now);

/* The store cache has every change made before this time. Workers' heartbeats may be answered for
 * rr_heartbeat_reply_s from there, longer than the session lasts. */
void rr_core_set_cache_current(rr_core *core, double when);
/* The shell's timers have just fired late: there is more work than processor time. */
void rr_core_set_timers_late(rr_core *core, double now);
/* Whether they did so within the last `within` seconds. */
bool rr_core_timers_late(const rr_core *core, double now, double within);

/* Adds the next term to the transaction if the sessions differ from the present members or a new
 * term is wanted. False: nothing to change, or not known yet. */
bool rr_core_next_term(rr_core *core, double now, double wall, rr_transaction *out);
unsigned rr_core_live_controllers(const rr_core *core); /* members of the term */
uint64_t rr_core_fencing_token(const rr_core *core);
/* Whether this controller is the term's autoscaler and its lease is valid. */
bool rr_core_is_autoscaler(const rr_core *core, double now);

/* Shares, 0 to 1, of what the store allows per second: of all requests, and of changes for users,
 * for plans and for the autoscaler's records. */
struct rr_budget_shares {
    double requests, users, plans, autoscaler;
};
/* Computes this controller's shares; outside the term it has none for plans and the autoscaler. */
void rr_core_budget_shares(const rr_core *core, struct rr_budget_shares *out);

/* Whether every controller of the term understands records and messages about gangs. */
bool rr_core_all_gang_capable(const rr_core *core);

#endif
