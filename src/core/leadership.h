/* Sessions, terms and fencing tokens, and this controller's shares of the store's limits. */
#ifndef RR_CORE_LEADERSHIP_H
#define RR_CORE_LEADERSHIP_H

#include "core/core.h"
#include "core/state/transaction.h"

/* Sets the lease of this controller's session. valid_until: steady seconds before which the lease
 * has certainly not expired; until then this controller may plan. */
void rr_core_set_session(rr_core *core, uint64_t lease_id, double valid_until);
/* Appends this controller's session record to the encoder. */
void rr_core_encode_session(const struct rr_config *config, rr_encoder *encoder, uint64_t lease_id);
/* Whether the store cache contains this controller's session with this lease. Also true during a
 * full reload, which may not have reached the session's record yet. */
bool rr_core_session_seen(const rr_core *core, uint64_t lease_id);
/* Whether this controller is a member of the term under a lease that has certainly not expired.
 * Only then may it plan and send commands. */
bool rr_core_lease_valid(const rr_core *core, double now);

/* Records that the store cache contains every change made before this time, in steady seconds; an
 * earlier time than the last one is ignored. Workers' heartbeats may be answered for
 * rr_heartbeat_reply_window_s() seconds from then on, which is longer than the session lasts. */
void rr_core_set_cache_current(rr_core *core, double current_as_of);
/* Records that the application's timers have just fired late, for lack of processor time. */
void rr_core_record_late_timers(rr_core *core, double now);
/* Whether the timers have fired late within the last `within` seconds. */
bool rr_core_timers_late(const rr_core *core, double now, double within);

/* Adds the record of the next term to the transaction if the sessions differ from the present
 * members or a new term has been requested. Returns false without adding it if neither is the case,
 * if the store cache is not loaded or if it does not contain this controller's session yet. */
bool rr_core_add_next_term_record(rr_core *core, double now, double wall, rr_transaction *out);
/* Returns the number of members of the present term. */
unsigned rr_core_count_members(const rr_core *core);
/* Returns the fencing token of the present term, 0 before the first one. */
uint64_t rr_core_fencing_token(const rr_core *core);
/* Whether this controller is the term's autoscaler and its lease is valid (rr_core_lease_valid). */
bool rr_core_is_autoscaler(const rr_core *core, double now);

/* One controller's shares, 0 to 1, of what the store allows per second in requests and changes. */
struct rr_budget_shares {
    double requests;   /* of all requests */
    double users;      /* of changes, for users' requests */
    double plans;      /* of changes, for plans */
    double autoscaler; /* of changes, for the autoscaler's records */
};
/* Computes this controller's shares. Outside the term those for plans and the autoscaler are 0. */
void rr_core_budget_shares(const rr_core *core, struct rr_budget_shares *out);

/* Whether every member of the term understands records and messages about gangs. */
bool rr_core_all_members_support_gangs(const rr_core *core);

#endif
