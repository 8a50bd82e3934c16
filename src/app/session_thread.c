/* The session thread: acquires and renews this process's session, a record in the key-value store
 * under a lease, and resigns it if the store is unreachable from this controller but not from its
 * peers. */
#include "app/thread_helpers.h"
#include "app/threads.h"
#include "common/clock.h"
#include "common/log.h"
#include "common/usage.h"
#include "core/cache_feed.h"
#include "core/leadership.h"

#include <errno.h>

/* This process's clock may run slower than the store's: the lease is assumed to be a little shorter
 * than granted. */
#define LEASE_DRIFT_FACTOR 0.998
#define LEASE_MARGIN_S 0.1
#define RENEWALS_PER_LEASE 8
#define RENEWAL_PERIOD_MIN_S 0.3
#define RETRY_PAUSE_S 0.3
#define COMMIT_TIMEOUT_S 1.5
/* A store cache that is current must show the session's record this long after it was written. */
#define SESSION_SEEN_WAIT_S 3.0
/* The store cache counts as current if the store has answered this recently. */
#define STORE_ANSWER_AGE_MAX_S 1.0
/* Time without a renewal after which the peers are asked whether they reach the store. */
#define RESIGN_AFTER_S 3.0

/* Tells the core and the commit thread of the session's lease. lease_id 0: there is no session.
 * requested_at: steady time at which the grant or renewal was requested; its length is
 * counted from there. Takes both locks, one after the other; caller holds no lock. */
static void set_session(struct rr_app *app, uint64_t lease_id, double requested_at) {
    double valid_until =
        requested_at + rr_session_lease_s(&app->config) * LEASE_DRIFT_FACTOR - LEASE_MARGIN_S;
    pthread_mutex_lock(&app->user_lock);
    app->lease_id = lease_id;
    pthread_mutex_unlock(&app->user_lock);
    pthread_mutex_lock(&app->lock);
    rr_core_set_session(app->core, lease_id, lease_id ? valid_until : 0);
    rr_app_wake_planner(app);
    pthread_cond_broadcast(&app->cache_advanced);
    pthread_mutex_unlock(&app->lock);
}

/* Writes the session's record, replacing the one of this version (0: none). Returns 0, or -EAGAIN
 * if the record is not known to be written. */
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

/* Acquires a new session and sets *lease_id. The transaction that writes the new session's record
 * also replaces the record of this controller's previous process, so that a restart causes only one
 * new term; the previous lease is revoked afterwards. Returns 0, or -errno with *lease_id
 * undefined. */
static int acquire_session(struct rr_app *app, rr_store *store, uint64_t *lease_id) {
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
    double requested_at = rr_steady_clock_s();
    rc = rr_store_grant_lease(store, lease_s, lease_id);
    if (rc != 0) {
        return rc;
    }
    rc = write_session(app, store, key, version, *lease_id);
    if (rc != 0) {
        rr_store_revoke_lease(store, *lease_id);
        return rc;
    }
    if (previous_lease_id) {
        rr_store_revoke_lease(store, previous_lease_id);
    }
    set_session(app, *lease_id, requested_at);
    rr_log(RR_INFO_LEVEL, "session %" G_GUINT64_FORMAT " acquired, lease %.1f s", *lease_id,
           lease_s);
    return 0;
}

/* Returns whether the session's record is gone although its lease has not ended: a delayed write of
 * an earlier incarnation may have overwritten it. acquired_at: steady time. */
static bool is_session_overwritten(struct rr_app *app, uint64_t lease_id, double acquired_at) {
    pthread_mutex_lock(&app->lock);
    bool overwritten = rr_core_cache_loaded(app->core) &&
                       rr_steady_clock_s() - acquired_at > SESSION_SEEN_WAIT_S &&
                       !rr_core_session_seen(app->core, lease_id) &&
                       rr_steady_clock_s() - app->store_answered_at < STORE_ANSWER_AGE_MAX_S;
    pthread_mutex_unlock(&app->lock);
    return overwritten;
}

/* Renews the session's lease. Returns 0; -ENOENT if the lease has ended; -EAGAIN if the store gave
 * no answer or refused. */
static int renew_session(struct rr_app *app, rr_store *store, uint64_t lease_id) {
    double requested_at = rr_steady_clock_s();
    int rc = rr_store_renew_lease(store, lease_id);
    if (rc == 0) {
        set_session(app, lease_id, requested_at);
        pthread_mutex_lock(&app->lock);
        app->store_answered_at = rr_steady_clock_s();
        pthread_mutex_unlock(&app->lock);
    }
    return rc;
}

/* Returns whether this process has lately been short of processor time. Renewals may then be missed
 * because it does not read the answers, and resigning would move its teams for nothing. */
static bool are_timers_late(struct rr_app *app) {
    pthread_mutex_lock(&app->lock);
    bool late = rr_core_timers_late(app->core, rr_steady_clock_s(), RESIGN_AFTER_S);
    pthread_mutex_unlock(&app->lock);
    return late;
}

/* Resigns the session if a peer reaches the store, so that other controllers take over now and not
 * only when the lease expires. This controller stops sending commands first; then the peer ends the
 * lease. While no peer reaches the store, all controllers keep their sessions. Returns whether the
 * session was resigned. */
static bool resign_if_peer_reaches_store(struct rr_app *app, uint64_t lease_id) {
    for (size_t i = 0; i < app->config.peer_count && !rr_app_is_stopping(app); i++) {
        if (rr_peers_request_resign(app->peers, (int)i, lease_id, false)) {
            rr_log(RR_INFO_LEVEL,
                   "key-value store unreachable from here but not from a peer: resigning session "
                   "%" G_GUINT64_FORMAT,
                   lease_id);
            set_session(app, 0, 0);
            rr_peers_request_resign(app->peers, (int)i, lease_id, true);
            return true;
        }
    }
    return false;
}

void *rr_session_thread(void *argument) {
    struct rr_app *app = argument;
    rr_usage_register_thread(RR_USAGE_SESSION);
    rr_store *store = rr_app_create_store_client(app);
    double renewal_period_s = rr_session_lease_s(&app->config) / RENEWALS_PER_LEASE;
    renewal_period_s = MAX(renewal_period_s, RENEWAL_PERIOD_MIN_S);
    double acquired_at = 0, renewed_at = 0; /* steady */
    uint64_t lease_id = 0;                  /* 0: no session */
    while (!rr_app_is_stopping(app)) {
        if (!lease_id) {
            if (acquire_session(app, store, &lease_id) != 0) {
                lease_id = 0;
                rr_app_pause(app, RETRY_PAUSE_S);
                continue;
            }
            renewed_at = acquired_at = rr_steady_clock_s();
        }
        rr_app_pause(app, renewal_period_s);
        int rc = renew_session(app, store, lease_id);
        renewed_at = rc == 0 ? rr_steady_clock_s() : renewed_at;
        if (rc == -ENOENT || is_session_overwritten(app, lease_id, acquired_at)) {
            rr_log(RR_INFO_LEVEL, "session %" G_GUINT64_FORMAT " has ended, acquiring a new one",
                   lease_id);
            set_session(app, 0, 0);
            lease_id = 0;
        } else if (rc != 0 && rr_steady_clock_s() - renewed_at > RESIGN_AFTER_S &&
                   !are_timers_late(app) && resign_if_peer_reaches_store(app, lease_id)) {
            lease_id = 0;
        }
    }
    if (lease_id) {
        rr_store_revoke_lease(store, lease_id);
    }
    rr_store_destroy(store);
    rr_usage_unregister_thread();
    return NULL;
}
