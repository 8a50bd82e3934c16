/* Token buckets for requests to the key-value store and for the changes they make. Inside the
 * package; no clock and no lock of their own: budget.c has both.
 *
 * Changes are the scarcest, so each kind of writer has a bucket: with one for all, users' small
 * commits would take every token before the autoscaler's large ones found enough. What a kind
 * leaves unused goes to a common pool. */
#ifndef RR_STORE_TOKEN_BUCKETS_H
#define RR_STORE_TOKEN_BUCKETS_H

#include "store/budget.h"

enum rr_writer { RR_WRITER_USERS, RR_WRITER_PLANS, RR_WRITER_AUTOSCALER, RR_WRITER_COUNT };

struct rr_token_bucket {
    double rate; /* tokens a second, and the most that the bucket holds */
    double tokens;
};

struct rr_token_buckets {
    struct rr_token_bucket requests;
    struct rr_token_bucket writes[RR_WRITER_COUNT];
    double pool; /* changes that full buckets left */
    double refilled_at;
};

/* Sets the rates from the store's limits and this controller's parts; tokens stay. */
void rr_token_buckets_set_rates(struct rr_token_buckets *buckets, double rps, double write_rps,
                                const struct rr_budget_shares *shares);
/* Adds the tokens of the time since the last refill; now: steady clock, in seconds. */
void rr_token_buckets_refill(struct rr_token_buckets *buckets, double now);
/* Takes one request with `writes` changes from buckets refilled just before. 0: taken; otherwise
 * the seconds to wait until the next attempt, and nothing is taken. */
double rr_token_buckets_try_take(struct rr_token_buckets *buckets,
                                 enum rr_request_priority priority, int writes);
/* Changes that a plan may make now. */
double rr_token_buckets_plan_writes(const struct rr_token_buckets *buckets);

#endif
