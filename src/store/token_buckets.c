#include "store/token_buckets.h"

#include <math.h>

/* Only this fraction of each limit is used, since other clients count against the limits, too. */
#define USED_LIMIT_FRACTION 0.9

/* Lower bounds of the rates, in tokens per second. */
#define REQUEST_RATE_MIN 0.5
#define USER_WRITE_RATE_MIN 0.2
#define OTHER_WRITE_RATE_MIN 0.05

#define TOKEN_TOLERANCE 1e-9 /* tolerance for rounding errors in token counts */

/* The largest debt of a write bucket, in seconds of its rate or, if that is lower, of one token per
 * second. The unused shares of other controllers cover a debt of this size; what they don't cover
 * the store refuses. */
#define DEBT_MAX_S 2
#define DELAY_MIN_S 0.002 /* shortest wait between two attempts to take tokens */

void rr_token_buckets_set_rates(struct rr_token_buckets *buckets, double rps, double write_rps,
                                const struct rr_budget_shares *shares) {
    buckets->requests.rate = fmax(USED_LIMIT_FRACTION * rps * shares->requests, REQUEST_RATE_MIN);
    buckets->writes[RR_WRITER_USERS].rate =
        fmax(USED_LIMIT_FRACTION * write_rps * shares->users, USER_WRITE_RATE_MIN);
    buckets->writes[RR_WRITER_PLANS].rate =
        fmax(USED_LIMIT_FRACTION * write_rps * shares->plans, OTHER_WRITE_RATE_MIN);
    buckets->writes[RR_WRITER_AUTOSCALER].rate =
        fmax(USED_LIMIT_FRACTION * write_rps * shares->autoscaler, OTHER_WRITE_RATE_MIN);
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
    double overflow = 0;
    for (int i = 0; i < RR_WRITER_COUNT; i++) {
        struct rr_token_bucket *bucket = &buckets->writes[i];
        double tokens = bucket->tokens + bucket->rate * elapsed_s;
        overflow += fmax(tokens - bucket->rate, 0);
        bucket->tokens = fmin(tokens, bucket->rate);
    }
    buckets->shared_pool = fmin(buckets->shared_pool + overflow, total_write_rate(buckets));
}

/* Sessions have no write bucket of their own: their few writes count against the users' one. */
static enum rr_writer select_writer(enum rr_request_priority priority) {
    switch (priority) {
    case RR_REQUEST_PLAN:
        return RR_WRITER_PLANS;
    case RR_REQUEST_AUTOSCALER:
        return RR_WRITER_AUTOSCALER;
    default:
        return RR_WRITER_USERS;
    }
}

/* Returns the seconds until a request token is available, without regard to the request's writes;
 * 0: now. */
static double request_token_delay_s(const struct rr_token_bucket *bucket,
                                    enum rr_request_priority priority) {
    /* Tokens left to requests of higher priority, as a fraction of one second's tokens. */
    static const double reserved[] = {[RR_REQUEST_SESSION] = 0,
                                      [RR_REQUEST_USER] = 0.1,
                                      [RR_REQUEST_READ] = 0.1,
                                      [RR_REQUEST_PLAN] = 0.2,
                                      [RR_REQUEST_AUTOSCALER] = 0.2};
    double needed = fmin(1 + reserved[priority] * bucket->rate, fmax(bucket->rate, 1));
    return bucket->tokens >= needed - TOKEN_TOLERANCE ? 0
                                                      : (needed - bucket->tokens) / bucket->rate;
}

/* Returns the seconds until this many write tokens may be taken; 0: now. A transaction with more
 * writes than one second's tokens waits for one second's tokens only and leaves a debt. Users'
 * writes are few, come in bursts, and somebody waits for them: they may also go into debt by one
 * second's tokens, which the store's own burst allowance covers. */
static double write_token_delay_s(const struct rr_token_buckets *buckets, enum rr_writer writer,
                                  int writes) {
    const struct rr_token_bucket *bucket = &buckets->writes[writer];
    double rate = fmax(bucket->rate, USER_WRITE_RATE_MIN);
    double needed = fmin(writes, fmax(rate, 1));
    double credit = writer == RR_WRITER_USERS ? rate : 0;
    double available = bucket->tokens + buckets->shared_pool + credit;
    return available >= needed - TOKEN_TOLERANCE ? 0 : (needed - available) / rate;
}

/* Takes write tokens from the writer's own bucket, then from the shared pool. The rest becomes a
 * debt of the bucket, which DEBT_MAX_S limits. */
static void take_writes(struct rr_token_buckets *buckets, enum rr_writer writer, int writes) {
    struct rr_token_bucket *bucket = &buckets->writes[writer];
    double from_bucket = fmin(fmax(bucket->tokens, 0), writes);
    double remaining = writes - from_bucket;
    double from_pool = fmin(buckets->shared_pool, remaining);
    bucket->tokens -= from_bucket + remaining - from_pool;
    buckets->shared_pool -= from_pool;
    bucket->tokens = fmax(bucket->tokens, -DEBT_MAX_S * fmax(bucket->rate, 1));
}

double rr_token_buckets_try_take(struct rr_token_buckets *buckets,
                                 enum rr_request_priority priority, int writes) {
    enum rr_writer writer = select_writer(priority);
    bool waits_for_writes = writes && priority != RR_REQUEST_SESSION;
    double request_delay_s = request_token_delay_s(&buckets->requests, priority);
    double writes_delay_s = waits_for_writes ? write_token_delay_s(buckets, writer, writes) : 0;
    if (request_delay_s > 0 || writes_delay_s > 0) {
        return fmax(fmax(request_delay_s, writes_delay_s), DELAY_MIN_S);
    }
    buckets->requests.tokens -= 1;
    if (writes) {
        take_writes(buckets, writer, writes);
    }
    return 0;
}

double rr_token_buckets_available_plan_writes(const struct rr_token_buckets *buckets) {
    return buckets->writes[RR_WRITER_PLANS].tokens + buckets->shared_pool;
}
