/* The session with the state service: taken, renewed, and resigned where it is refused here alone.
 */
#include "app/duty.h"
#include "app/clock.h"
#include "app/log.h"
#include "app/usage.h"

#include <errno.h>

/* Our steady clock may run slow against the store's: drift and a little more come off. */
static void set_session(struct rr_app *a, uint64_t tether, double sent) {
    double until = sent + rr_session_lease_s(&a->config) * 0.998 - 0.1;
    pthread_mutex_lock(&a->user_lock);
    a->lease_id = tether;
    pthread_mutex_unlock(&a->user_lock);
    pthread_mutex_lock(&a->lock);
    rr_core_set_session(a->core, tether, tether ? until : 0);
    rr_app_wake(a);
    pthread_cond_broadcast(&a->cache_advanced);
    pthread_mutex_unlock(&a->lock);
}

/* Takes over from our own last incarnation in one change, so that an ordinary restart costs one
 * term; its lease is ended after. */
static int take_session(struct rr_app *a, rr_store *s, uint64_t *tether) {
    char key[RR_NAME_SIZE + 16];
    uint64_t mark = 0, old = 0, epoch;
    double life = rr_session_lease_s(&a->config);
    rr_document doc;
    rr_transaction t;
    rr_encoder o;
    g_snprintf(key, sizeof key, RR_KEY_ROOT "node/%s", a->config.node_name);
    int rc = rr_store_get(s, key, &doc, &mark, &old);
    if (rc == 0) {
        rr_document_clear(&doc);
    } else if (rc != -ENOENT) {
        return rc;
    }
    double sent = rr_steady_clock_s();
    rc = rr_store_grant_lease(s, life, tether);
    if (rc != 0) {
        return rc;
    }
    rr_transaction_init(&t);
    rr_encoder_init(&o);
    rr_core_encode_session(&a->config, &o, *tether);
    rr_transaction_guard(&t, key, mark);
    rr_transaction_put(&t, key, &o, *tether);
    rc = rr_store_commit(s, RR_REQUEST_SESSION, &t, 1.5, &epoch, NULL) == RR_COMMIT_DONE ? 0
                                                                                         : -EAGAIN;
    rr_transaction_clear(&t);
    if (rc != 0) {
        rr_store_end_lease(s, *tether);
        return rc;
    }
    if (old) {
        rr_store_end_lease(s, old);
    }
    set_session(a, *tether, sent);
    rr_log(RR_INFO_LEVEL, "session %" G_GUINT64_FORMAT " for %.1f s", *tether, life);
    return 0;
}

/* The key may have been overwritten by a late change of an earlier incarnation. */
static bool session_lost(struct rr_app *a, uint64_t tether, double since) {
    pthread_mutex_lock(&a->lock);
    bool lost = rr_core_cache_loaded(a->core) && rr_steady_clock_s() - since > 3 &&
                !rr_core_session_seen(a->core, tether) && rr_steady_clock_s() - a->store_ok_at < 1;
    pthread_mutex_unlock(&a->lock);
    return lost;
}

static int renew(struct rr_app *a, rr_store *s, uint64_t tether) {
    double sent = rr_steady_clock_s();
    int rc = rr_store_renew_lease(s, tether);
    if (rc == 0) {
        set_session(a, tether, sent);
        pthread_mutex_lock(&a->lock);
        a->store_ok_at = rr_steady_clock_s();
        pthread_mutex_unlock(&a->lock);
    }
    return rc;
}

#define ALONE_S 3.0

/* Renewals that went unanswered while this process had no time to read the answers say nothing of
 * the state service: a healthy controller resigned just after a restart of all, and its teams went
 * round once more. */
static bool is_late(struct rr_app *a) {
    pthread_mutex_lock(&a->lock);
    bool late = rr_core_timers_late(a->core, rr_steady_clock_s(), ALONE_S);
    pthread_mutex_unlock(&a->lock);
    return late;
}

/* Refused by the state service while a peer reaches it: another should take over now, not when our
 * lease runs out. We stop commanding first, then have the peer end the lease. In an outage for all
 * no peer says yes, and everybody stays. */
static bool resign(struct rr_app *a, uint64_t tether) {
    for (size_t i = 0; i < a->config.peer_count && !rr_app_stopping(a); i++) {
        if (rr_peers_ask_resign(a->peers, (int)i, tether, false)) {
            rr_log(RR_INFO_LEVEL,
                   "state service lost here alone: resigning session %" G_GUINT64_FORMAT, tether);
            set_session(a, 0, 0);
            rr_peers_ask_resign(a->peers, (int)i, tether, true);
            return true;
        }
    }
    return false;
}

void *rr_session_thread(void *app) {
    struct rr_app *a = app;
    rr_usage_enter(RR_USAGE_SESSION);
    rr_store *s = rr_app_open_store(a);
    double life = rr_session_lease_s(&a->config), step = life / 8 < 0.3 ? 0.3 : life / 8, since = 0;
    uint64_t tether = 0;
    double renewed = 0;
    while (!rr_app_stopping(a)) {
        if (!tether) {
            if (take_session(a, s, &tether) != 0) {
                tether = 0;
                rr_app_pause(a, 0.3);
                continue;
            }
            renewed = since = rr_steady_clock_s();
        }
        rr_app_pause(a, step);
        int rc = renew(a, s, tether);
        renewed = rc == 0 ? rr_steady_clock_s() : renewed;
        if (rc == -ENOENT || session_lost(a, tether, since)) {
            rr_log(RR_INFO_LEVEL, "session %" G_GUINT64_FORMAT " has ended", tether);
            set_session(a, 0, 0);
            tether = 0;
        } else if (rc != 0 && rr_steady_clock_s() - renewed > ALONE_S && !is_late(a) &&
                   resign(a, tether)) {
            tether = 0;
        }
    }
    if (tether) {
        rr_store_end_lease(s, tether);
    }
    rr_store_destroy(s);
    rr_usage_leave();
    return NULL;
}
