#include "store/token_buckets.h"

#include <math.h>

/* Of a limit that other clients count against too. */
#define LIMIT_PART_USED 0.9
#define REQUEST_RATE_MIN 0.5
#define USER_WRITE_RATE_MIN 0.2
#define OTHER_WRITE_RATE_MIN 0.05
#define TOKEN_ROUNDING 1e-9
/* The most that a bucket of changes owes, in seconds of its rate; other controllers' unused parts
 * cover that much, and the store refuses what they don't. */
#define DEBT_MAX_S 2
#define WAIT_MIN_S 0.002

void rr_token_buckets_set_rates(struct rr_token_buckets *buckets, double rps, double write_rps,
                                const struct rr_budget_shares *shares) {
    buckets->requests.rate = fmax(LIMIT_PART_USED * rps * shares->requests, REQUEST_RATE_MIN);
    buckets->writes[RR_WRITER_USERS].rate =
        fmax(LIMIT_PART_USED * write_rps * shares->users, USER_WRITE_RATE_MIN);
    buckets->writes[RR_WRITER_PLANS].rate =
        fmax(LIMIT_PART_USED * write_rps * shares->plans, OTHER_WRITE_RATE_MIN);
    buckets->writes[RR_WRITER_AUTOSCALER].rate =
        fmax(LIMIT_PART_USED * write_rps * shares->autoscaler, OTHER_WRITE_RATE_MIN);
}

static double total_write_rate(const struct rr_token_buckets *buckets) {
    return buckets->writes[RR_WRITER_USERS].rate + buckets->writes[RR_WRITER_PLANS].rate +
           buckets->writes[RR_WRITER_AUTOSCALER].rate;
}

void rr_token_buckets_refill(struct rr_token_buckets *buckets, double now) {
    double elapsed_s = now > buckets->refilled_at ? now - buckets->refilled_at : 0;
    buckets->refilled_at = now;
    struct rr_token_bucket *requests = &buckets->requests;
    requests->tokens = fmin(requests->tokens + requests->rate * elapsed_s, requests->rate);
    double unused = 0;
    for (int i = 0; i < RR_WRITER_COUNT; i++) {
        struct rr_token_bucket *bucket = &buckets->writes[i];
        double tokens = bucket->tokens + bucket->rate * elapsed_s;
        unused += fmax(tokens - bucket->rate, 0);
        bucket->tokens = fmin(tokens, bucket->rate);
    }
    buckets->pool = fmin(buckets->pool + unused, total_write_rate(buckets));
}

static enum rr_writer writer_of(enum rr_request_priority priority) {
    switch (priority) {
    case RR_REQUEST_PLAN:
        return RR_WRITER_PLANS;
    case RR_REQUEST_AUTOSCALER:
        return RR_WRITER_AUTOSCALER;
    default:
        return RR_WRITER_USERS;
    }
}

/* Seconds until the request itself may go, whatever it changes; 0: now. */
static double request_wait_s(const struct rr_token_bucket *bucket,
                             enum rr_request_priority priority) {
    /* Left to requests of higher priority, as a part of a second's tokens. */
    static const double reserved[] = {[RR_REQUEST_SESSION] = 0,
                                      [RR_REQUEST_USER] = 0.1,
                                      [RR_REQUEST_READ] = 0.1,
                                      [RR_REQUEST_PLAN] = 0.2,
                                      [RR_REQUEST_AUTOSCALER] = 0.2};
    double needed = fmin(1 + reserved[priority] * bucket->rate, fmax(bucket->rate, 1));
    return bucket->tokens >= needed - TOKEN_ROUNDING ? 0 : (needed - bucket->tokens) / bucket->rate;
}

/* Seconds until that many changes may go; 0: now. A transaction larger than what a second brings
 * waits for that much and leaves a debt. Users' changes are few and come in bursts that somebody
 * waits for: they may owe a second's worth, which the store's own burst allowance covers. */
static double writes_wait_s(const struct rr_token_buckets *buckets, enum rr_writer writer,
                            int writes) {
    const struct rr_token_bucket *bucket = &buckets->writes[writer];
    double rate = fmax(bucket->rate, USER_WRITE_RATE_MIN);
    double needed = fmin(writes, fmax(rate, 1));
    double credit = writer == RR_WRITER_USERS ? rate : 0;
    double available = bucket->tokens + buckets->pool + credit;
    return available >= needed - TOKEN_ROUNDING ? 0 : (needed - available) / rate;
}

/* Takes changes from the writer's own tokens, then from the pool; the rest becomes its debt. */
static void take_writes(struct rr_token_buckets *buckets, enum rr_writer writer, int writes) {
    struct rr_token_bucket *bucket = &buckets->writes[writer];
    double own = fmin(fmax(bucket->tokens, 0), writes);
    double rest = writes - own;
    double pooled = fmin(buckets->pool, rest);
    bucket->tokens -= own + rest - pooled;
    buckets->pool -= pooled;
    bucket->tokens = fmax(bucket->tokens, -DEBT_MAX_S * fmax(bucket->rate, 1));
}

double rr_token_buckets_try_take(struct rr_token_buckets *buckets,
                                 enum rr_request_priority priority, int writes) {
    enum rr_writer writer = writer_of(priority);
    bool budgeted = writes && priority != RR_REQUEST_SESSION;
    double for_request_s = request_wait_s(&buckets->requests, priority);
    double for_writes_s = budgeted ? writes_wait_s(buckets, writer, writes) : 0;
    if (for_request_s > 0 || for_writes_s > 0) {
        return fmax(fmax(for_request_s, for_writes_s), WAIT_MIN_S);
    }
    buckets->requests.tokens -= 1;
    if (writes) {
        take_writes(buckets, writer, writes);
    }
    return 0;
}

double rr_token_buckets_plan_writes(const struct rr_token_buckets *buckets) {
    return buckets->writes[RR_WRITER_PLANS].tokens + buckets->pool;
}
