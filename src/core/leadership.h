/* Sessions, terms and fencing tokens, and the parts of the budgets that follow from them. */
#ifndef RR_CORE_LEADERSHIP_H
#define RR_CORE_LEADERSHIP_H

#include "core/core.h"
#include "core/state/transaction.h"

/* Our own session: its lease, and until when it surely holds: until then we may plan. */
void rr_core_set_session(rr_core *core, uint64_t lease_id, double valid_until);
/* The store cache has every change made before this time: workers' reports may be answered for
 * rr_heartbeat_reply_s from there, longer than the session lasts. */
void rr_core_set_cache_current(rr_core *core, double when);
bool rr_core_lease_valid(const rr_core *core, double now);
/* The shell's own timers have just fired late: there is more work than processor time. */
void rr_core_set_timers_late(rr_core *core, double now);
bool rr_core_timers_late(const rr_core *core, double now,
                         double within); /* so, not longer ago than this */
/* Whether our node key stands in the store cache with this lease. */
bool rr_core_session_seen(const rr_core *core, uint64_t lease_id);
void rr_core_encode_session(const struct rr_config *config, rr_encoder *encoder, uint64_t lease_id);
/* The transaction that makes the next term if the sessions differ from the present one; false:
 * nothing to change. */
bool rr_core_next_term(rr_core *core, double now, double wall, rr_transaction *out);
unsigned rr_core_live_controllers(const rr_core *core);
/* This controller's part of what the store allows a second, by what it has to write: requests, and
 * changes for users, its plans and the autoscaler's records. */
struct rr_budget_shares {
    double requests, users, plans, autoscaler;
};
void rr_core_budget_shares(const rr_core *core, struct rr_budget_shares *out);
uint64_t rr_core_fencing_token(const rr_core *core);
bool rr_core_is_autoscaler(const rr_core *core, double now);

#endif
