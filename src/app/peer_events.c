#include "app/peer_events.h"
#include "app/admission.h"
#include "app/thread_loop.h"
#include "app/worker_requests.h"
#include "common/clock.h"
#include "core/heartbeats.h"
#include "core/planning.h"

#include <errno.h>

#define STORE_REACHED_MAX_AGE_S 2.0

static void on_heartbeat(void *user, int peer, unsigned hops, const void *body, size_t length) {
    rr_app_take_heartbeat(user, body, length, peer, hops);
}

/* Where two zones can't reach each other, a third may reach both. A digest from its first sender is
 * therefore forwarded once to the peers that do not hear that sender, so that no controller
 * declares a machine dead that another one hears. */
static void on_heartbeat_digests(void *user, int peer, unsigned hops,
                                 const rr_heartbeat_digest *digests, size_t count) {
    struct rr_app *app = user;
    pthread_mutex_lock(&app->lock);
    double now = rr_steady_clock_s();
    if (hops == 0) {
        rr_core_record_peer_contact(app->core, now, peer);
    }
    for (size_t i = 0; i < count; i++) {
        rr_core_apply_heartbeat_digest(app->core, now, &digests[i], peer);
    }
    pthread_mutex_unlock(&app->lock);
    if (hops == 0) {
        rr_peers_forward_heartbeats(app->peers, peer, digests, count, NULL, 0);
    }
}

static void on_suspect(void *user, const char *machine) {
    struct rr_app *app = user;
    pthread_mutex_lock(&app->lock);
    rr_core_mark_suspect(app->core, machine, rr_steady_clock_s());
    pthread_mutex_unlock(&app->lock);
}

static void on_cancelled(void *user, const char *job_id) {
    struct rr_app *app = user;
    pthread_mutex_lock(&app->lock);
    rr_core_add_cancel_hint(app->core, job_id, rr_steady_clock_s());
    pthread_mutex_unlock(&app->lock);
}

static void on_demand(void *user, int peer, const void *data, size_t length) {
    rr_app_admission_take_demand(user, peer, data, length);
}

/* A peer that can't reach the key-value store asks whether this controller can, and with `end` has
 * it end the peer's session. */
static bool on_resign(void *user, uint64_t lease_id, bool end) {
    struct rr_app *app = user;
    pthread_mutex_lock(&app->lock);
    bool reached = rr_steady_clock_s() - app->store_ok_at < STORE_REACHED_MAX_AGE_S;
    pthread_mutex_unlock(&app->lock);
    if (!reached || !end) {
        return reached;
    }
    rr_store *store = rr_app_open_store(app);
    int rc = store ? rr_store_end_lease(store, lease_id) : -ENOMEM;
    rr_store_destroy(store);
    return rc == 0 || rc == -ENOENT;
}

struct rr_peer_events rr_app_peer_events(struct rr_app *app) {
    return (struct rr_peer_events){
        app, on_heartbeat, on_heartbeat_digests, on_suspect, on_cancelled, on_resign, on_demand};
}
