/* The session with the key-value store: taken, renewed, and resigned where the store is unreachable
 * from this controller alone. */
#include "app/thread_loop.h"
#include "app/threads.h"
#include "common/clock.h"
#include "common/log.h"
#include "common/usage.h"
#include "core/cache_feed.h"
#include "core/leadership.h"

#include <errno.h>

/* This process's clock may run slower than the store's: the lease counts as a little shorter. */
#define LEASE_DRIFT_FACTOR 0.998
#define LEASE_MARGIN_S 0.1
#define RENEWALS_PER_LEASE 8
#define RENEWAL_PERIOD_MIN_S 0.3
#define RETRY_PAUSE_S 0.3
#define COMMIT_TIMEOUT_S 1.5
/* A store cache that has been current for SESSION_SEEN_WAIT_S must show the session's record. */
#define SESSION_SEEN_WAIT_S 3.0
#define STORE_CURRENT_MAX_AGE_S 1.0
/* Without a renewal for so long the peers are asked whether they reach the store. */
#define RESIGN_AFTER_S 3.0

/* lease_id 0: no session. sent: steady, when the lease was requested. */
static void set_session(struct rr_app *app, uint64_t lease_id, double sent) {
    double until = sent + rr_session_lease_s(&app->config) * LEASE_DRIFT_FACTOR - LEASE_MARGIN_S;
    pthread_mutex_lock(&app->user_lock);
    app->lease_id = lease_id;
    pthread_mutex_unlock(&app->user_lock);
    pthread_mutex_lock(&app->lock);
    rr_core_set_session(app->core, lease_id, lease_id ? until : 0);
    rr_app_wake_planner(app);
    pthread_cond_broadcast(&app->cache_advanced);
    pthread_mutex_unlock(&app->lock);
}

/* Replaces the session's record of this version. 0, or -EAGAIN if that was not done for sure. */
static int write_session(struct rr_app *app, rr_store *store, const char *key, uint64_t version,
                         uint64_t lease_id) {
    rr_transaction transaction;
    rr_encoder encoder;
    uint64_t revision;
    rr_transaction_init(&transaction);
    rr_encoder_init(&encoder);
    rr_core_encode_session(&app->config, &encoder, lease_id);
    rr_transaction_guard(&transaction, key, version);
    rr_transaction_put(&transaction, key, &encoder, lease_id);
    enum rr_commit_status outcome =
        rr_store_commit(store, RR_REQUEST_SESSION, &transaction, COMMIT_TIMEOUT_S, &revision, NULL);
    rr_transaction_clear(&transaction);
    return outcome == RR_COMMIT_DONE ? 0 : -EAGAIN;
}

/* Takes a new session. The record of this controller's previous incarnation is replaced in the same
 * change, so that a restart costs one term; the previous lease is ended after that. */
static int take_session(struct rr_app *app, rr_store *store, uint64_t *lease_id) {
    char key[RR_NAME_SIZE + 16];
    uint64_t version = 0, previous_lease_id = 0;
    double lease_s = rr_session_lease_s(&app->config);
    rr_document document;
    g_snprintf(key, sizeof key, RR_KEY_ROOT "node/%s", app->config.node_name);
    int rc = rr_store_get(store, key, &document, &version, &previous_lease_id);
    if (rc == 0) {
        rr_document_clear(&document);
    } else if (rc != -ENOENT) {
        return rc;
    }
    double sent = rr_steady_clock_s();
    rc = rr_store_grant_lease(store, lease_s, lease_id);
    if (rc != 0) {
        return rc;
    }
    rc = write_session(app, store, key, version, *lease_id);
    if (rc != 0) {
        rr_store_end_lease(store, *lease_id);
        return rc;
    }
    if (previous_lease_id) {
        rr_store_end_lease(store, previous_lease_id);
    }
    set_session(app, *lease_id, sent);
    rr_log(RR_INFO_LEVEL, "session %" G_GUINT64_FORMAT " for %.1f s", *lease_id, lease_s);
    return 0;
}

/* Whether the session's record is gone, though its lease lives: a late change of an earlier
 * incarnation may have overwritten it. taken_at: steady. */
static bool session_overwritten(struct rr_app *app, uint64_t lease_id, double taken_at) {
    pthread_mutex_lock(&app->lock);
    bool overwritten = rr_core_cache_loaded(app->core) &&
                       rr_steady_clock_s() - taken_at > SESSION_SEEN_WAIT_S &&
                       !rr_core_session_seen(app->core, lease_id) &&
                       rr_steady_clock_s() - app->store_ok_at < STORE_CURRENT_MAX_AGE_S;
    pthread_mutex_unlock(&app->lock);
    return overwritten;
}

static int renew_session(struct rr_app *app, rr_store *store, uint64_t lease_id) {
    double sent = rr_steady_clock_s();
    int rc = rr_store_renew_lease(store, lease_id);
    if (rc == 0) {
        set_session(app, lease_id, sent);
        pthread_mutex_lock(&app->lock);
        app->store_ok_at = rr_steady_clock_s();
        pthread_mutex_unlock(&app->lock);
    }
    return rc;
}

/* Whether missed renewals may be this process's own fault: without processor time it does not read
 * the answers, and resigning would move its teams for nothing. */
static bool timers_are_late(struct rr_app *app) {
    pthread_mutex_lock(&app->lock);
    bool late = rr_core_timers_late(app->core, rr_steady_clock_s(), RESIGN_AFTER_S);
    pthread_mutex_unlock(&app->lock);
    return late;
}

/* Resigns if a peer reaches the store, so that others take over now and not when the lease runs
 * out. This controller stops commanding first; then the peer ends the lease. While no peer reaches
 * the store, all controllers keep their sessions. */
static bool resign_if_alone(struct rr_app *app, uint64_t lease_id) {
    for (size_t i = 0; i < app->config.peer_count && !rr_app_stopping(app); i++) {
        if (rr_peers_ask_resign(app->peers, (int)i, lease_id, false)) {
            rr_log(RR_INFO_LEVEL,
                   "key-value store unreachable from here alone: resigning session "
                   "%" G_GUINT64_FORMAT,
                   lease_id);
            set_session(app, 0, 0);
            rr_peers_ask_resign(app->peers, (int)i, lease_id, true);
            return true;
        }
    }
    return false;
}

void *rr_session_thread(void *argument) {
    struct rr_app *app = argument;
    rr_usage_enter(RR_USAGE_SESSION);
    rr_store *store = rr_app_open_store(app);
    double renewal_period_s = rr_session_lease_s(&app->config) / RENEWALS_PER_LEASE;
    renewal_period_s = MAX(renewal_period_s, RENEWAL_PERIOD_MIN_S);
    double taken_at = 0, renewed_at = 0;
    uint64_t lease_id = 0; /* 0: no session */
    while (!rr_app_stopping(app)) {
        if (!lease_id) {
            if (take_session(app, store, &lease_id) != 0) {
                lease_id = 0;
                rr_app_pause(app, RETRY_PAUSE_S);
                continue;
            }
            renewed_at = taken_at = rr_steady_clock_s();
        }
        rr_app_pause(app, renewal_period_s);
        int rc = renew_session(app, store, lease_id);
        renewed_at = rc == 0 ? rr_steady_clock_s() : renewed_at;
        if (rc == -ENOENT || session_overwritten(app, lease_id, taken_at)) {
            rr_log(RR_INFO_LEVEL, "session %" G_GUINT64_FORMAT " has ended", lease_id);
            set_session(app, 0, 0);
            lease_id = 0;
        } else if (rc != 0 && rr_steady_clock_s() - renewed_at > RESIGN_AFTER_S &&
                   !timers_are_late(app) && resign_if_alone(app, lease_id)) {
            lease_id = 0;
        }
    }
    if (lease_id) {
        rr_store_end_lease(store, lease_id);
    }
    rr_store_destroy(store);
    rr_usage_leave();
    return NULL;
}
