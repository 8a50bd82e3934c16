/* The session with the key-value store: taken, renewed, and resigned where it is refused here
 * alone.
 */
#include "app/thread_loop.h"
#include "common/clock.h"
#include "common/log.h"
#include "common/usage.h"
#include "core/cache_feed.h"
#include "core/leadership.h"
#include "core/state/transaction.h"

#include <errno.h>

/* Our steady clock may run slow against the store's: drift and a little more come off. */
static void set_session(struct rr_app *app, uint64_t lease_id, double sent) {
    double until = sent + rr_session_lease_s(&app->config) * 0.998 - 0.1;
    pthread_mutex_lock(&app->user_lock);
    app->lease_id = lease_id;
    pthread_mutex_unlock(&app->user_lock);
    pthread_mutex_lock(&app->lock);
    rr_core_set_session(app->core, lease_id, lease_id ? until : 0);
    rr_app_wake(app);
    pthread_cond_broadcast(&app->cache_advanced);
    pthread_mutex_unlock(&app->lock);
}

/* Takes over from our own last incarnation in one change, so that an ordinary restart costs one
 * term; its lease is ended after. */
static int take_session(struct rr_app *app, rr_store *store, uint64_t *lease_id) {
    char key[RR_NAME_SIZE + 16];
    uint64_t version = 0, old = 0, revision;
    double life = rr_session_lease_s(&app->config);
    rr_document document;
    rr_transaction transaction;
    rr_encoder encoder;
    g_snprintf(key, sizeof key, RR_KEY_ROOT "node/%s", app->config.node_name);
    int rc = rr_store_get(store, key, &document, &version, &old);
    if (rc == 0) {
        rr_document_clear(&document);
    } else if (rc != -ENOENT) {
        return rc;
    }
    double sent = rr_steady_clock_s();
    rc = rr_store_grant_lease(store, life, lease_id);
    if (rc != 0) {
        return rc;
    }
    rr_transaction_init(&transaction);
    rr_encoder_init(&encoder);
    rr_core_encode_session(&app->config, &encoder, *lease_id);
    rr_transaction_guard(&transaction, key, version);
    rr_transaction_put(&transaction, key, &encoder, *lease_id);
    rc = rr_store_commit(store, RR_REQUEST_SESSION, &transaction, 1.5, &revision, NULL) ==
                 RR_COMMIT_DONE
             ? 0
             : -EAGAIN;
    rr_transaction_clear(&transaction);
    if (rc != 0) {
        rr_store_end_lease(store, *lease_id);
        return rc;
    }
    if (old) {
        rr_store_end_lease(store, old);
    }
    set_session(app, *lease_id, sent);
    rr_log(RR_INFO_LEVEL, "session %" G_GUINT64_FORMAT " for %.1f s", *lease_id, life);
    return 0;
}

/* The key may have been overwritten by a late change of an earlier incarnation. */
static bool session_lost(struct rr_app *app, uint64_t lease_id, double since) {
    pthread_mutex_lock(&app->lock);
    bool lost = rr_core_cache_loaded(app->core) && rr_steady_clock_s() - since > 3 &&
                !rr_core_session_seen(app->core, lease_id) &&
                rr_steady_clock_s() - app->store_ok_at < 1;
    pthread_mutex_unlock(&app->lock);
    return lost;
}

static int renew(struct rr_app *app, rr_store *store, uint64_t lease_id) {
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

#define ALONE_S 3.0

/* Renewals that went unanswered while this process had no time to read the answers say nothing of
 * the key-value store: a healthy controller resigned just after a restart of all, and its teams
 * went round once more. */
static bool is_late(struct rr_app *app) {
    pthread_mutex_lock(&app->lock);
    bool late = rr_core_timers_late(app->core, rr_steady_clock_s(), ALONE_S);
    pthread_mutex_unlock(&app->lock);
    return late;
}

/* Refused by the key-value store while a peer reaches it: another should take over now, not when
 * our lease runs out. We stop commanding first, then have the peer end the lease. In an outage for
 * all no peer says yes, and everybody stays. */
static bool resign(struct rr_app *app, uint64_t lease_id) {
    for (size_t i = 0; i < app->config.peer_count && !rr_app_stopping(app); i++) {
        if (rr_peers_ask_resign(app->peers, (int)i, lease_id, false)) {
            rr_log(RR_INFO_LEVEL,
                   "state service lost here alone: resigning session %" G_GUINT64_FORMAT, lease_id);
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
    double life = rr_session_lease_s(&app->config), step = life / 8 < 0.3 ? 0.3 : life / 8,
           since = 0;
    uint64_t lease_id = 0;
    double renewed = 0;
    while (!rr_app_stopping(app)) {
        if (!lease_id) {
            if (take_session(app, store, &lease_id) != 0) {
                lease_id = 0;
                rr_app_pause(app, 0.3);
                continue;
            }
            renewed = since = rr_steady_clock_s();
        }
        rr_app_pause(app, step);
        int rc = renew(app, store, lease_id);
        renewed = rc == 0 ? rr_steady_clock_s() : renewed;
        if (rc == -ENOENT || session_lost(app, lease_id, since)) {
            rr_log(RR_INFO_LEVEL, "session %" G_GUINT64_FORMAT " has ended", lease_id);
            set_session(app, 0, 0);
            lease_id = 0;
        } else if (rc != 0 && rr_steady_clock_s() - renewed > ALONE_S && !is_late(app) &&
                   resign(app, lease_id)) {
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
