/* The shared rate limiter: limits, shares and locking around the token buckets. */
#include "store/budget.h"
#include "common/clock.h"
#include "store/token_buckets.h"

#include <errno.h>
#include <math.h>
#include <pthread.h>

/* This many refusals (429) within REFUSAL_WINDOW_S mean that the store's lower limits apply. A
 * burst of requests from several controllers at the current limits causes fewer. */
#define REFUSALS_MIN 3
#define REFUSAL_WINDOW_S 5.0

/* The store's limits in requests and in writes per second. */
struct store_limits {
    double rps, write_rps;
};

struct rr_budget {
    pthread_mutex_t lock;            /* protects all fields below */
    struct store_limits limits;      /* current */
    struct store_limits next_limits; /* announced; equal to limits if none are */
    bool next_limits_applied;        /* next_limits have become the current ones */
    unsigned refusals;               /* in the window that starts at first_refusal_at */
    double first_refusal_at;         /* steady clock, seconds */
    struct rr_budget_shares shares;
    struct rr_token_buckets buckets;
};

/* Recomputes the buckets' rates. The caller holds the lock, or the budget is not shared yet. */
static void update_bucket_rates(rr_budget *budget) {
    rr_token_buckets_set_rates(&budget->buckets, budget->limits.rps, budget->limits.write_rps,
                               &budget->shares);
}

rr_budget *rr_budget_create(double rps, double write_rps) {
    static const struct rr_budget_shares full_shares = {
        .requests = 1, .users = 0.4, .plans = 0.4, .autoscaler = 0.2};
    rr_budget *budget = g_new0(rr_budget, 1);
    pthread_mutex_init(&budget->lock, NULL);
    budget->limits = (struct store_limits){rps, write_rps};
    budget->next_limits = budget->limits;
    budget->shares = full_shares;
    budget->buckets.refilled_at = rr_steady_clock_s();
    update_bucket_rates(budget);
    return budget;
}

void rr_budget_destroy(rr_budget *budget) {
    if (budget) {
        pthread_mutex_destroy(&budget->lock);
        g_free(budget);
    }
}

void rr_budget_set_shares(rr_budget *budget, const struct rr_budget_shares *shares) {
    pthread_mutex_lock(&budget->lock);
    budget->shares = *shares;
    update_bucket_rates(budget);
    pthread_mutex_unlock(&budget->lock);
}

/* Returns the announced limit if there is one (0: none) and it is lower than the current one. */
static double cap_next_limit(double next, double current) {
    return next > 0 ? fmin(next, current) : current;
}

void rr_budget_set_next_limits(rr_budget *budget, double rps, double write_rps) {
    pthread_mutex_lock(&budget->lock);
    budget->next_limits.rps = cap_next_limit(rps, budget->limits.rps);
    budget->next_limits.write_rps = cap_next_limit(write_rps, budget->limits.write_rps);
    pthread_mutex_unlock(&budget->lock);
}

/* The caller holds the lock. */
static void apply_next_limits(rr_budget *budget) {
    budget->next_limits_applied = true;
    budget->limits = budget->next_limits;
    update_bucket_rates(budget);
}

void rr_budget_activate_next_limits(rr_budget *budget) {
    pthread_mutex_lock(&budget->lock);
    apply_next_limits(budget);
    pthread_mutex_unlock(&budget->lock);
}

void rr_budget_record_refusal(rr_budget *budget) {
    pthread_mutex_lock(&budget->lock);
    double now = rr_steady_clock_s();
    if (now - budget->first_refusal_at < REFUSAL_WINDOW_S) {
        budget->refusals++;
    } else {
        budget->refusals = 1;
    }
    if (budget->refusals == 1) {
        budget->first_refusal_at = now;
    }
    if (!budget->next_limits_applied && budget->refusals >= REFUSALS_MIN) {
        apply_next_limits(budget);
    }
    pthread_mutex_unlock(&budget->lock);
}

/* Refills the buckets and returns the writes that a plan may make now; negative while there is a
 * debt. *rate receives the write tokens per second for plans. Takes the lock. */
static double refill_plan_writes(rr_budget *budget, double *rate) {
    pthread_mutex_lock(&budget->lock);
    rr_token_buckets_refill(&budget->buckets, rr_steady_clock_s());
    double writes = rr_token_buckets_available_plan_writes(&budget->buckets);
    *rate = budget->buckets.writes[RR_WRITER_PLANS].rate;
    pthread_mutex_unlock(&budget->lock);
    return writes;
}

double rr_budget_get_write_pressure(rr_budget *budget) {
    double rate;
    double writes = refill_plan_writes(budget, &rate);
    double pressure = 1 - writes / fmax(rate, 1);
    return fmin(fmax(pressure, 0), 1);
}

int rr_budget_get_available_plan_writes(rr_budget *budget) {
    double rate;
    double writes = refill_plan_writes(budget, &rate);
    return writes > 0 ? (int)writes : 0;
}

int rr_budget_take(rr_budget *budget, enum rr_request_priority priority, int writes,
                   double wait_s) {
    double deadline = rr_steady_clock_s() + wait_s;
    for (;;) {
        pthread_mutex_lock(&budget->lock);
        rr_token_buckets_refill(&budget->buckets, rr_steady_clock_s());
        double delay_s = rr_token_buckets_try_take(&budget->buckets, priority, writes);
        pthread_mutex_unlock(&budget->lock);
        if (delay_s <= 0) {
            return 0;
        }
        if (rr_steady_clock_s() + delay_s > deadline) {
            return -EAGAIN;
        }
        rr_sleep(delay_s);
    }
}
