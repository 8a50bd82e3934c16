/* This controller's part of what the store allows: a token bucket of requests, and one of changes
 * for each kind of writer, under one lock. Changes are the scarcest: with one bucket for all,
 * users' small commits took every token before the autoscaler's large ones found enough, and
 * nothing was placed. What a kind leaves unused goes to a common pool. A lower priority leaves a
 * reserve of requests to the higher ones, so that renewals never wait behind plans. */
#include "common/clock.h"
#include "store/store.h"
#include "core/leadership.h"

#include <errno.h>
#include <math.h>
#include <pthread.h>

enum kind { USERS, PLANS, STEWARD, KINDS };

struct bucket {
    double rate, tokens;
};

struct rr_budget {
    pthread_mutex_t lock;
    double rps, write_rps;           /* the service's limits */
    double next_rps, next_write_rps; /* those that it will have from some moment on */
    bool next_limits_in_force;
    unsigned refusals; /* since refused_at */
    double refused_at;
    struct rr_budget_shares shares;
    double rate, tokens; /* requests */
    struct bucket writes[KINDS];
    double pool; /* changes left unused */
    double at;
};

#define SAFE 0.9 /* of a limit that others count against too */

static void set_shares(rr_budget *budget, const struct rr_budget_shares *shares) {
    budget->shares = *shares;
    budget->rate = fmax(SAFE * budget->rps * shares->requests, 0.5);
    budget->writes[USERS].rate = fmax(SAFE * budget->write_rps * shares->users, 0.2);
    budget->writes[PLANS].rate = fmax(SAFE * budget->write_rps * shares->plans, 0.05);
    budget->writes[STEWARD].rate = fmax(SAFE * budget->write_rps * shares->autoscaler, 0.05);
}

rr_budget *rr_budget_create(double rps, double write_rps) {
    static const struct rr_budget_shares all = {1, 0.4, 0.4, 0.2};
    rr_budget *budget = g_new0(rr_budget, 1);
    pthread_mutex_init(&budget->lock, NULL);
    budget->rps = rps;
    budget->write_rps = write_rps;
    budget->next_rps = rps;
    budget->next_write_rps = write_rps;
    budget->at = rr_steady_clock_s();
    set_shares(budget, &all);
    return budget;
}

void rr_budget_set_next_limits(rr_budget *budget, double rps, double write_rps) {
    pthread_mutex_lock(&budget->lock);
    budget->next_rps = rps > 0 ? fmin(rps, budget->rps) : budget->rps;
    budget->next_write_rps = write_rps > 0 ? fmin(write_rps, budget->write_rps) : budget->write_rps;
    pthread_mutex_unlock(&budget->lock);
}

static void lower(rr_budget *budget) {
    budget->next_limits_in_force = true;
    budget->rps = budget->next_rps;
    budget->write_rps = budget->next_write_rps;
    set_shares(budget, &budget->shares);
}

void rr_budget_next_limits_hold(rr_budget *budget) {
    pthread_mutex_lock(&budget->lock);
    lower(budget);
    pthread_mutex_unlock(&budget->lock);
}

#define REFUSALS 3 /* within REFUSED_S: what a burst of several controllers brings is fewer */
#define REFUSED_S 5.0

void rr_budget_request_refused(rr_budget *budget) {
    pthread_mutex_lock(&budget->lock);
    double now = rr_steady_clock_s();
    budget->refusals = now - budget->refused_at < REFUSED_S ? budget->refusals + 1 : 1;
    budget->refused_at = budget->refusals == 1 ? now : budget->refused_at;
    if (!budget->next_limits_in_force && budget->refusals >= REFUSALS) {
        lower(budget);
    }
    pthread_mutex_unlock(&budget->lock);
}

void rr_budget_destroy(rr_budget *budget) {
    if (budget) {
        pthread_mutex_destroy(&budget->lock);
        g_free(budget);
    }
}

void rr_budget_set_shares(rr_budget *budget, const struct rr_budget_shares *shares) {
    pthread_mutex_lock(&budget->lock);
    set_shares(budget, shares);
    pthread_mutex_unlock(&budget->lock);
}

static double all_writes(const rr_budget *budget) {
    return budget->writes[USERS].rate + budget->writes[PLANS].rate + budget->writes[STEWARD].rate;
}

static void refill(rr_budget *budget) {
    double now = rr_steady_clock_s(), elapsed_s = now > budget->at ? now - budget->at : 0,
           spare = 0;
    budget->at = now;
    budget->tokens = fmin(budget->tokens + budget->rate * elapsed_s, budget->rate);
    for (int k = 0; k < KINDS; k++) {
        struct bucket *bucket = &budget->writes[k];
        double tokens = bucket->tokens + bucket->rate * elapsed_s;
        spare += fmax(tokens - bucket->rate, 0);
        bucket->tokens = fmin(tokens, bucket->rate);
    }
    budget->pool = fmin(budget->pool + spare, all_writes(budget));
}

static enum kind kind_of(enum rr_request_priority prio) {
    return prio == RR_REQUEST_PLAN ? PLANS : prio == RR_REQUEST_AUTOSCALER ? STEWARD : USERS;
}

/* Seconds until so many changes may go; 0: now. A transaction larger than what a second brings
 * waits for that much and leaves a debt. Users' changes are few, and somebody waits for each: they
 * may run up a second's debt at once, which the service's own burst covers. Ten submissions of a
 * burst that reached one controller waited for up to 0.6 s while the average was half of the rate.
 */
static double writes_wait(const rr_budget *budget, const struct bucket *bucket, int writes) {
    double rate = fmax(bucket->rate, 0.2), need = fmin(writes, fmax(rate, 1));
    double have = bucket->tokens + budget->pool + (bucket == &budget->writes[USERS] ? rate : 0);
    return have >= need - 1e-9 ? 0 : (need - have) / rate;
}

static void take_writes(rr_budget *budget, struct bucket *bucket, int writes) {
    double own = fmin(fmax(bucket->tokens, 0), writes), rest = writes - own;
    double pooled = fmin(budget->pool, rest);
    bucket->tokens -= own + rest - pooled;
    budget->pool -= pooled;
    /* What others leave of their parts covers a small overdraft; the store says so if it does not.
     */
    bucket->tokens = fmax(bucket->tokens, -2 * fmax(bucket->rate, 1));
}

/* Seconds until the request may go; 0: taken. */
static double try_take(rr_budget *budget, enum rr_request_priority prio, int writes) {
    static const double reserve[] = {0, 0.1, 0.1, 0.2, 0.2};
    struct bucket *bucket = &budget->writes[kind_of(prio)];
    refill(budget);
    double need = fmin(1 + reserve[prio] * budget->rate, fmax(budget->rate, 1));
    double request_wait_s =
        budget->tokens >= need - 1e-9 ? 0 : (need - budget->tokens) / budget->rate;
    double write_wait_s =
        writes && prio != RR_REQUEST_SESSION ? writes_wait(budget, bucket, writes) : 0;
    if (request_wait_s <= 0 && write_wait_s <= 0) {
        budget->tokens -= 1;
        if (writes) {
            take_writes(budget, bucket, writes);
        }
        return 0;
    }
    return fmax(fmax(request_wait_s, write_wait_s), 0.002);
}

double rr_budget_pressure(rr_budget *budget) {
    pthread_mutex_lock(&budget->lock);
    refill(budget);
    const struct bucket *bucket = &budget->writes[PLANS];
    double pressure = 1 - (bucket->tokens + budget->pool) / fmax(bucket->rate, 1);
    pthread_mutex_unlock(&budget->lock);
    return fmin(fmax(pressure, 0), 1);
}

int rr_budget_changes(rr_budget *budget) {
    pthread_mutex_lock(&budget->lock);
    refill(budget);
    double number = budget->writes[PLANS].tokens + budget->pool;
    pthread_mutex_unlock(&budget->lock);
    return number > 0 ? (int)number : 0;
}

int rr_budget_take(rr_budget *budget, enum rr_request_priority prio, int writes, double wait_s) {
    double until = rr_steady_clock_s() + wait_s;
    for (;;) {
        pthread_mutex_lock(&budget->lock);
        double delay_s = try_take(budget, prio, writes);
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
