/* Whether the outcome of the planner's last transaction is known. Until then a job may have tasks
 * placed here that the store cache does not show, so that it must not be offered to another cell.
 * All functions are called under the lock that guards the core. */
#ifndef RR_APP_PLAN_OUTCOME_H
#define RR_APP_PLAN_OUTCOME_H

#include "core/cache_feed.h"
#include "store/store.h"

/* Zeroed: no transaction yet. */
struct rr_plan_outcome {
    bool committing;        /* the commit has not ended */
    bool unknown;           /* the commit has ended; only the store cache can show the outcome */
    rr_outcome_point point; /* from when on the cache shows it */
};

/* Notes that a plan's transaction, made in the present term, is about to be committed. */
void rr_plan_outcome_begin(struct rr_plan_outcome *outcome, const rr_core *core);
/* Notes how the commit has ended, after the core has taken the transaction's changes. revision: as
 * set by rr_app_commit_with_retry(). */
void rr_plan_outcome_end(struct rr_plan_outcome *outcome, enum rr_commit_status status,
                         uint64_t revision);
/* Returns whether the store cache has the changes of every transaction that was executed. */
bool rr_plan_outcome_is_known(const struct rr_plan_outcome *outcome, const rr_core *core);

#endif
