/* The rate limiter for requests to the key-value store. It keeps this controller within its shares
 * of the store's limits on requests and writes (puts and deletes) per second. A process has one
 * budget for its own store; all threads share it, and it does its own locking. */
#ifndef RR_STORE_BUDGET_H
#define RR_STORE_BUDGET_H

#include "core/leadership.h"

/* Priorities of requests, highest first. While request tokens are scarce, a lower priority leaves
 * a reserve for the higher ones. */
enum rr_request_priority {
    RR_REQUEST_SESSION,   /* sessions, leases, watches, reads of records: no wait for writes */
    RR_REQUEST_USER,      /* commits of users' requests, also of jobs that move between cells */
    RR_REQUEST_READ,      /* reads of the store's revision */
    RR_REQUEST_PLAN,      /* commits of plans */
    RR_REQUEST_AUTOSCALER /* commits of the autoscaler and of admission */
};

typedef struct rr_budget rr_budget;

/* Creates a budget for the store's limits in requests and in writes (puts and deletes) per second.
 * The caller owns it. */
rr_budget *rr_budget_create(double rps, double write_rps);
/* Frees a budget that no thread uses any more. NULL is allowed. */
void rr_budget_destroy(rr_budget *budget);

/* Sets this controller's shares of the limits. */
void rr_budget_set_shares(rr_budget *budget, const struct rr_budget_shares *shares);

/* Announces lower limits that the store will switch to at an unknown time. A value of 0, or one
 * above the current limit, leaves that limit unchanged. The current limits stay in use until
 * refusals, or a transaction within the current limits that the store calls invalid, show that the
 * store has switched. */
void rr_budget_set_next_limits(rr_budget *budget, double rps, double write_rps);
/* Counts a request that the store refused with status 429. Several refusals within a short time
 * make the announced limits the current ones. */
void rr_budget_record_refusal(rr_budget *budget);
/* Makes the announced limits the current ones. */
void rr_budget_activate_next_limits(rr_budget *budget);

/* Returns how scarce write tokens are for plans, from 0 (the tokens of one second are left) to 1
 * (none is left). */
double rr_budget_get_write_pressure(rr_budget *budget);
/* Returns the number of writes that a plan may make now without waiting. */
int rr_budget_get_available_plan_writes(rr_budget *budget);

/* Takes the tokens for one request with this number of writes, blocking for up to wait_s. Returns
 * 0, or -EAGAIN as soon as it is clear that the tokens will not be available in time. */
int rr_budget_take(rr_budget *budget, enum rr_request_priority priority, int writes, double wait_s);

#endif
