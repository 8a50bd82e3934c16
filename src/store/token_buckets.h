/* Internal to the package: token buckets for requests to the key-value store and for the writes
 * that they contain. The buckets have no clock and no lock; budget.c provides both.
 *
 * Writes are scarcer than requests, so each kind of writer has its own write bucket. With a single
 * bucket, users' small commits would take every token before enough had gathered for the
 * autoscaler's large ones. Tokens that a kind of writer leaves unused go to a shared pool. */
#ifndef RR_STORE_TOKEN_BUCKETS_H
#define RR_STORE_TOKEN_BUCKETS_H

#include "store/budget.h"

/* Kinds of writers, each with its own write bucket. */
enum rr_writer { RR_WRITER_USERS, RR_WRITER_PLANS, RR_WRITER_AUTOSCALER, RR_WRITER_COUNT };

struct rr_token_bucket {
    double rate;   /* tokens per second; also the capacity: one second's tokens */
    double tokens; /* negative while a write bucket is in debt */
};

/* All buckets of one rate limiter. */
struct rr_token_buckets {
    struct rr_token_bucket requests;
    struct rr_token_bucket writes[RR_WRITER_COUNT];
    double shared_pool; /* write tokens that overflowed from full buckets */
    double refilled_at; /* steady clock, seconds */
};

/* Computes the rates from the store's limits and this controller's shares of them. The tokens stay
 * as they are. */
void rr_token_buckets_set_rates(struct rr_token_buckets *buckets, double rps, double write_rps,
                                const struct rr_budget_shares *shares);
/* Adds the tokens for the time since the last refill. now is steady clock time in seconds. */
void rr_token_buckets_refill(struct rr_token_buckets *buckets, double now);
/* Takes the tokens for one request with this number of writes; the buckets have to be refilled just
 * before. Returns 0 if the tokens were taken. Otherwise takes none and returns the seconds to wait
 * before the next attempt. */
double rr_token_buckets_try_take(struct rr_token_buckets *buckets,
                                 enum rr_request_priority priority, int writes);
/* Returns the write tokens that a plan may take now; negative while there is a debt. */
double rr_token_buckets_available_plan_writes(const struct rr_token_buckets *buckets);

#endif
