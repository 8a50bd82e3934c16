#include "store/budget.h"
#include "common/clock.h"
#include "store/token_buckets.h"

#include <errno.h>
#include <math.h>
#include <pthread.h>

/* Refusals within REFUSAL_WINDOW_S that show lower limits; a burst of several controllers brings
 * fewer. */
#define REFUSALS_MIN 3
#define REFUSAL_WINDOW_S 5.0

struct store_limits {
    double rps, write_rps;
};

struct rr_budget {
    pthread_mutex_t lock; /* for all fields */
    struct store_limits limits;
    struct store_limits next_limits; /* announced */
    bool next_limits_in_force;
    unsigned refusals; /* since first_refusal_at */
    double first_refusal_at;
    struct rr_budget_shares shares;
    struct rr_token_buckets buckets;
};

/* Caller holds the lock, or is the only one to know the budget. */
static void set_rates(rr_budget *budget) {
    rr_token_buckets_set_rates(&budget->buckets, budget->limits.rps, budget->limits.write_rps,
                               &budget->shares);
}

rr_budget *rr_budget_create(double rps, double write_rps) {
    static const struct rr_budget_shares whole = {
        .requests = 1, .users = 0.4, .plans = 0.4, .autoscaler = 0.2};
    rr_budget *budget = g_new0(rr_budget, 1);
    pthread_mutex_init(&budget->lock, NULL);
    budget->limits = (struct store_limits){rps, write_rps};
    budget->next_limits = budget->limits;
    budget->shares = whole;
    budget->buckets.refilled_at = rr_steady_clock_s();
    set_rates(budget);
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
    set_rates(budget);
    pthread_mutex_unlock(&budget->lock);
}

static double lower_limit(double next, double present) {
    return next > 0 ? fmin(next, present) : present;
}

void rr_budget_set_next_limits(rr_budget *budget, double rps, double write_rps) {
    pthread_mutex_lock(&budget->lock);
    budget->next_limits.rps = lower_limit(rps, budget->limits.rps);
    budget->next_limits.write_rps = lower_limit(write_rps, budget->limits.write_rps);
    pthread_mutex_unlock(&budget->lock);
}

/* Caller holds the lock. */
static void put_next_limits_in_force(rr_budget *budget) {
    budget->next_limits_in_force = true;
    budget->limits = budget->next_limits;
    set_rates(budget);
}

void rr_budget_put_next_limits_in_force(rr_budget *budget) {
    pthread_mutex_lock(&budget->lock);
    put_next_limits_in_force(budget);
    pthread_mutex_unlock(&budget->lock);
}

void rr_budget_request_refused(rr_budget *budget) {
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
    if (!budget->next_limits_in_force && budget->refusals >= REFUSALS_MIN) {
        put_next_limits_in_force(budget);
    }
    pthread_mutex_unlock(&budget->lock);
}

/* Changes that a plan may make now; *rate gets what a second brings. */
static double refilled_plan_writes(rr_budget *budget, double *rate) {
    pthread_mutex_lock(&budget->lock);
    rr_token_buckets_refill(&budget->buckets, rr_steady_clock_s());
    double writes = rr_token_buckets_plan_writes(&budget->buckets);
    *rate = budget->buckets.writes[RR_WRITER_PLANS].rate;
    pthread_mutex_unlock(&budget->lock);
    return writes;
}

double rr_budget_pressure(rr_budget *budget) {
    double rate;
    double writes = refilled_plan_writes(budget, &rate);
    double pressure = 1 - writes / fmax(rate, 1);
    return fmin(fmax(pressure, 0), 1);
}

int rr_budget_plan_writes(rr_budget *budget) {
    double rate;
    double writes = refilled_plan_writes(budget, &rate);
    return writes > 0 ? (int)writes : 0;
}

int rr_budget_take(rr_budget *budget, enum rr_request_priority priority, int writes,
                   double wait_s) {
    double until = rr_steady_clock_s() + wait_s;
    for (;;) {
        pthread_mutex_lock(&budget->lock);
        rr_token_buckets_refill(&budget->buckets, rr_steady_clock_s());
        double delay_s = rr_token_buckets_try_take(&budget->buckets, priority, writes);
        pthread_mutex_unlock(&budget->lock);
        if (delay_s <= 0) {
            return 0;
        }
        if (rr_steady_clock_s() + delay_s > until) {
            return -EAGAIN;
        }
        rr_sleep(delay_s);
    }
}
