/* This controller's part of what the store allows: a token bucket of requests, and one of changes
 * for each kind of writer, under one lock. Changes are the scarcest: with one bucket for all,
 * users' small commits took every token before the provisioner's large ones found enough, and
 * nothing was placed. What a kind leaves unused goes to a common pool. A lower priority leaves a
 * reserve of requests to the higher ones, so that renewals never wait behind plans. */
#include "app/clock.h"
#include "store/store.h"

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

static void set_shares(rr_budget *b, const struct rr_budget_shares *s) {
    b->shares = *s;
    b->rate = fmax(SAFE * b->rps * s->requests, 0.5);
    b->writes[USERS].rate = fmax(SAFE * b->write_rps * s->users, 0.2);
    b->writes[PLANS].rate = fmax(SAFE * b->write_rps * s->plans, 0.05);
    b->writes[STEWARD].rate = fmax(SAFE * b->write_rps * s->autoscaler, 0.05);
}

rr_budget *rr_budget_create(double rps, double write_rps) {
    static const struct rr_budget_shares all = {1, 0.4, 0.4, 0.2};
    rr_budget *b = g_new0(rr_budget, 1);
    pthread_mutex_init(&b->lock, NULL);
    b->rps = rps;
    b->write_rps = write_rps;
    b->next_rps = rps;
    b->next_write_rps = write_rps;
    b->at = rr_steady_clock_s();
    set_shares(b, &all);
    return b;
}

void rr_budget_set_next_limits(rr_budget *b, double rps, double write_rps) {
    pthread_mutex_lock(&b->lock);
    b->next_rps = rps > 0 ? fmin(rps, b->rps) : b->rps;
    b->next_write_rps = write_rps > 0 ? fmin(write_rps, b->write_rps) : b->write_rps;
    pthread_mutex_unlock(&b->lock);
}

static void lower(rr_budget *b) {
    b->next_limits_in_force = true;
    b->rps = b->next_rps;
    b->write_rps = b->next_write_rps;
    set_shares(b, &b->shares);
}

void rr_budget_next_limits_hold(rr_budget *b) {
    pthread_mutex_lock(&b->lock);
    lower(b);
    pthread_mutex_unlock(&b->lock);
}

#define REFUSALS 3 /* within REFUSED_S: what a burst of several controllers brings is fewer */
#define REFUSED_S 5.0

void rr_budget_request_refused(rr_budget *b) {
    pthread_mutex_lock(&b->lock);
    double now = rr_steady_clock_s();
    b->refusals = now - b->refused_at < REFUSED_S ? b->refusals + 1 : 1;
    b->refused_at = b->refusals == 1 ? now : b->refused_at;
    if (!b->next_limits_in_force && b->refusals >= REFUSALS) {
        lower(b);
    }
    pthread_mutex_unlock(&b->lock);
}

void rr_budget_destroy(rr_budget *b) {
    if (b) {
        pthread_mutex_destroy(&b->lock);
        g_free(b);
    }
}

void rr_budget_set_shares(rr_budget *b, const struct rr_budget_shares *s) {
    pthread_mutex_lock(&b->lock);
    set_shares(b, s);
    pthread_mutex_unlock(&b->lock);
}

static double all_writes(const rr_budget *b) {
    return b->writes[USERS].rate + b->writes[PLANS].rate + b->writes[STEWARD].rate;
}

static void refill(rr_budget *b) {
    double now = rr_steady_clock_s(), dt = now > b->at ? now - b->at : 0, spare = 0;
    b->at = now;
    b->tokens = fmin(b->tokens + b->rate * dt, b->rate);
    for (int k = 0; k < KINDS; k++) {
        struct bucket *w = &b->writes[k];
        double t = w->tokens + w->rate * dt;
        spare += fmax(t - w->rate, 0);
        w->tokens = fmin(t, w->rate);
    }
    b->pool = fmin(b->pool + spare, all_writes(b));
}

static enum kind kind_of(enum rr_request_priority prio) {
    return prio == RR_REQUEST_PLAN ? PLANS : prio == RR_REQUEST_AUTOSCALER ? STEWARD : USERS;
}

/* Seconds until so many changes may go; 0: now. A transaction larger than what a second brings
 * waits for that much and leaves a debt. Users' changes are few, and somebody waits for each: they
 * may run up a second's debt at once, which the service's own burst covers. Ten submissions of a
 * burst that reached one controller waited for up to 0.6 s while the average was half of the rate.
 */
static double writes_wait(const rr_budget *b, const struct bucket *w, int writes) {
    double rate = fmax(w->rate, 0.2), need = fmin(writes, fmax(rate, 1));
    double have = w->tokens + b->pool + (w == &b->writes[USERS] ? rate : 0);
    return have >= need - 1e-9 ? 0 : (need - have) / rate;
}

static void take_writes(rr_budget *b, struct bucket *w, int writes) {
    double own = fmin(fmax(w->tokens, 0), writes), rest = writes - own;
    double pooled = fmin(b->pool, rest);
    w->tokens -= own + rest - pooled;
    b->pool -= pooled;
    /* What others leave of their parts covers a small overdraft; the store says so if it does not.
     */
    w->tokens = fmax(w->tokens, -2 * fmax(w->rate, 1));
}

/* Seconds until the request may go; 0: taken. */
static double try_take(rr_budget *b, enum rr_request_priority prio, int writes) {
    static const double reserve[] = {0, 0.1, 0.1, 0.2, 0.2};
    struct bucket *w = &b->writes[kind_of(prio)];
    refill(b);
    double need = fmin(1 + reserve[prio] * b->rate, fmax(b->rate, 1));
    double w1 = b->tokens >= need - 1e-9 ? 0 : (need - b->tokens) / b->rate;
    double w2 = writes && prio != RR_REQUEST_SESSION ? writes_wait(b, w, writes) : 0;
    if (w1 <= 0 && w2 <= 0) {
        b->tokens -= 1;
        if (writes) {
            take_writes(b, w, writes);
        }
        return 0;
    }
    return fmax(fmax(w1, w2), 0.002);
}

double rr_budget_pressure(rr_budget *b) {
    pthread_mutex_lock(&b->lock);
    refill(b);
    const struct bucket *w = &b->writes[PLANS];
    double p = 1 - (w->tokens + b->pool) / fmax(w->rate, 1);
    pthread_mutex_unlock(&b->lock);
    return fmin(fmax(p, 0), 1);
}

int rr_budget_changes(rr_budget *b) {
    pthread_mutex_lock(&b->lock);
    refill(b);
    double n = b->writes[PLANS].tokens + b->pool;
    pthread_mutex_unlock(&b->lock);
    return n > 0 ? (int)n : 0;
}

int rr_budget_take(rr_budget *b, enum rr_request_priority prio, int writes, double wait_s) {
    double until = rr_steady_clock_s() + wait_s;
    for (;;) {
        pthread_mutex_lock(&b->lock);
        double w = try_take(b, prio, writes);
        pthread_mutex_unlock(&b->lock);
        if (w <= 0) {
            return 0;
        }
        if (rr_steady_clock_s() + w > until) {
            return -EAGAIN;
        }
        rr_sleep(w);
    }
}
