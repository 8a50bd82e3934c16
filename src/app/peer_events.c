/* Handlers for the messages of peers. They run on the threads of the peer connections; `user` is
 * the struct rr_app, and `peer` the sender's index in the configuration. */
#include "app/peer_events.h"
#include "app/admission.h"
#include "app/thread_helpers.h"
#include "app/worker_requests.h"
#include "common/clock.h"
#include "core/heartbeats.h"
#include "core/planning.h"

#include <errno.h>

/* The key-value store counts as reachable if it has answered this recently. */
#define STORE_ANSWER_AGE_MAX_S 2.0

static void on_heartbeat(void *user, int peer, unsigned hops, const void *body, size_t length) {
    rr_app_receive_forwarded_heartbeat(user, body, length, peer, hops);
}

/* Passes the digests to the core and forwards those of their first sender (hops 0) once, to the
 * peers that receive nothing from that sender. Where two zones can't reach each other, a third may
 * reach both: without forwarding, a controller could declare a machine dead whose heartbeats
 * another one receives. */
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

/* A peer has found that the machine sends heartbeats but answers no commands. */
static void on_suspect(void *user, const char *machine) {
    struct rr_app *app = user;
    pthread_mutex_lock(&app->lock);
    rr_core_mark_suspect(app->core, machine, rr_steady_clock_s());
    pthread_mutex_unlock(&app->lock);
}

/* A peer has confirmed the job's cancellation to its user. */
static void on_cancelled(void *user, const char *job_id) {
    struct rr_app *app = user;
    pthread_mutex_lock(&app->lock);
    rr_core_add_cancel_hint(app->core, job_id, rr_steady_clock_s());
    pthread_mutex_unlock(&app->lock);
}

static void on_demand_view(void *user, int peer, const void *data, size_t length) {
    rr_app_admission_receive_demand(user, peer, data, length);
}

/* A peer has lost the key-value store. Without `end`, returns whether this controller reaches the
 * store. With `end`, also ends the peer's lease there, and returns whether it has ended. */
static bool on_resign(void *user, uint64_t lease_id, bool end) {
    struct rr_app *app = user;
    pthread_mutex_lock(&app->lock);
    bool reachable = rr_steady_clock_s() - app->store_answered_at < STORE_ANSWER_AGE_MAX_S;
    pthread_mutex_unlock(&app->lock);
    if (!reachable || !end) {
        return reachable;
    }
    rr_store *store = rr_app_create_store_client(app);
    int rc = store ? rr_store_revoke_lease(store, lease_id) : -ENOMEM;
    rr_store_destroy(store);
    return rc == 0 || rc == -ENOENT;
}

struct rr_peer_events rr_app_peer_events(struct rr_app *app) {
    return (struct rr_peer_events){app,          on_heartbeat, on_heartbeat_digests, on_suspect,
                                   on_cancelled, on_resign,    on_demand_view};
}
