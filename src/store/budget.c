/* Two token buckets under one lock: requests and changes. A lower priority leaves a reserve to the
 * higher ones, so that renewals never wait behind moves. */
#include "app/clock.h"
#include "store/store.h"

#include <errno.h>
#include <pthread.h>

struct rr_budget {
    pthread_mutex_t lock;
    double rps, write_rps; /* the service's limits */
    double share;          /* our part of them */
    double tokens, writes;
    double at;
};

rr_budget *rr_budget_create(double rps, double write_rps) {
    rr_budget *b = g_new0(rr_budget, 1);
    pthread_mutex_init(&b->lock, NULL);
    b->rps = rps;
    b->write_rps = write_rps;
    b->share = 1;
    b->at = rr_now();
    return b;
}

void rr_budget_destroy(rr_budget *b) {
    if (b) {
        pthread_mutex_destroy(&b->lock);
        g_free(b);
    }
}

void rr_budget_share(rr_budget *b, unsigned live) {
    pthread_mutex_lock(&b->lock);
    b->share = 1.0 / (live ? live : 1);
    pthread_mutex_unlock(&b->lock);
}

static double refill(double have, double rate, double dt) {
    double v = have + rate * dt;
    return v > rate ? rate : v;
}

/* Seconds until the request may go; 0: taken. */
static double try_take(rr_budget *b, enum rr_prio prio, int writes) {
    static const double reserve[] = {0, 0.1, 0.1, 0.2, 0.4};
    double now = rr_now(), rate = 0.9 * b->rps * b->share, wrate = 0.9 * b->write_rps * b->share;
    if (b->at == 0 || now < b->at) {
        b->at = now;
    }
    b->tokens = refill(b->tokens, rate, now - b->at);
    b->writes = refill(b->writes, wrate, now - b->at);
    b->at = now;
    double need = 1 + reserve[prio] * rate, wneed = writes ? writes + reserve[prio] * wrate : 0;
    /* A transaction larger than the burst waits for a full bucket and leaves a debt. */
    need = need > rate ? rate : need;
    wneed = wneed > wrate ? wrate : wneed;
    if (b->tokens >= need - 1e-9 && (!writes || b->writes >= wneed - 1e-9)) {
        b->tokens -= 1;
        b->writes -= writes;
        return 0;
    }
    double w1 = (need - b->tokens) / rate, w2 = writes ? (wneed - b->writes) / wrate : 0;
    double w = w1 > w2 ? w1 : w2;
    return w > 0.002 ? w : 0.002;
}

int rr_budget_take(rr_budget *b, enum rr_prio prio, int writes, double wait_s) {
    double until = rr_now() + wait_s;
    for (;;) {
        pthread_mutex_lock(&b->lock);
        double w = try_take(b, prio, writes);
        pthread_mutex_unlock(&b->lock);
        if (w <= 0) {
            return 0;
        }
        if (rr_now() + w > until) {
            return -EAGAIN;
        }
        rr_sleep(w);
    }
}
