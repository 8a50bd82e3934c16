/* Opens the HTTP server once there is something to tell. */
#include "app/thread_loop.h"
#include "common/clock.h"
#include "common/log.h"
#include "core/leadership.h"

#include <string.h>

/* Nobody is let in before there is something to tell them: in term, with the store cache read.
 * After a crash of all controllers every worker and user came at once to processes that could only
 * refuse them, and come again a second later; each refusal cost a connection and its thread, and
 * the reading of the store cache waited for the processor beside them. A refused connection costs
 * nothing, and sends users and workers to the next controller all the same. In an outage of the
 * key-value store users are to be told, so that the HTTP server opens after a session's time at the
 * latest. */
void *rr_startup_thread(void *argument) {
    struct rr_app *app = argument;
    double until = rr_steady_clock_s() + rr_session_lease_s(&app->config);
    pthread_mutex_lock(&app->lock);
    while (!rr_app_stopping(app) && !rr_core_lease_valid(app->core, rr_steady_clock_s()) &&
           rr_steady_clock_s() < until) {
        rr_app_wait(app, &app->cache_advanced, &app->lock, until - rr_steady_clock_s());
    }
    pthread_mutex_unlock(&app->lock);
    int rc;
    while (!rr_app_stopping(app) && (rc = rr_http_server_listen(app->http_server)) != 0) {
        rr_log(RR_ERROR_LEVEL, "bind: can't listen: %s", strerror(-rc));
        rr_app_pause(app, 1);
    }
    return NULL;
}
