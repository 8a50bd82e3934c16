/* This controller's part of the key-value store's limits. One object for the process: it is shared
 * by all threads and locks itself. */
#ifndef RR_STORE_BUDGET_H
#define RR_STORE_BUDGET_H

#include "core/leadership.h"

/* Who sends a request. While requests are scarce, the later ones leave a reserve to the earlier. */
enum rr_request_priority {
    RR_REQUEST_SESSION, /* leases, watches, reads of the cache; never waits for changes */
    RR_REQUEST_USER,
    RR_REQUEST_READ,
    RR_REQUEST_PLAN,
    RR_REQUEST_AUTOSCALER
};

typedef struct rr_budget rr_budget;

/* The store's limits in requests and in changes (puts and deletes) a second. */
rr_budget *rr_budget_create(double rps, double write_rps);
/* NULL is allowed. */
void rr_budget_destroy(rr_budget *budget);

/* Sets this controller's parts of the limits. */
void rr_budget_set_shares(rr_budget *budget, const struct rr_budget_shares *shares);

/* Announces limits that the store will have from an unknown moment on; 0 or a limit above the
 * present one leaves that limit as it is. The present limits are used until refusals, or a valid
 * transaction that the store calls invalid, show that the announced ones are in force. */
void rr_budget_set_next_limits(rr_budget *budget, double rps, double write_rps);
/* Counts a refusal (429); several in a short time put the announced limits in force. */
void rr_budget_request_refused(rr_budget *budget);
/* Puts the announced limits in force. */
void rr_budget_put_next_limits_in_force(rr_budget *budget);

/* How scarce changes are for plans: 0 (a second's worth is left) to 1 (none). */
double rr_budget_pressure(rr_budget *budget);
/* Number of changes that a plan may make now without waiting. */
int rr_budget_plan_writes(rr_budget *budget);

/* Takes one request with `writes` changes, blocking the caller for up to wait_s. 0, or -EAGAIN
 * as soon as it is clear that the tokens will not be there in time. */
int rr_budget_take(rr_budget *budget, enum rr_request_priority priority, int writes, double wait_s);

#endif
