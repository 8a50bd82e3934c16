#include "app/cancellations.h"
#include "common/clock.h"
#include "core/heartbeats.h"
#include "core/leadership.h"

void rr_app_announce_cancellation(struct rr_app *app, const char *job_id) {
    pthread_mutex_lock(&app->lock);
    bool all_capable = rr_core_all_members_support_gangs(app->core);
    pthread_mutex_unlock(&app->lock);
    if (all_capable) {
        rr_peers_send_cancellation(app->peers, job_id, rr_steady_clock_s() + app->config.cancel_s);
    }
}
