/* The startup thread: opens the HTTP server once requests can be answered, then ends. */
#include "app/thread_helpers.h"
#include "app/threads.h"
#include "common/clock.h"
#include "common/log.h"
#include "core/leadership.h"

#include <string.h>

#define LISTEN_RETRY_PAUSE_S 1.0

/* Connections are refused until this controller is a member of the term and has loaded its store
 * cache. A refused connection costs nothing and makes users and workers try another controller,
 * whereas answering 503 would take a thread for each connection and delay the loading. If the
 * key-value store is down, the server nevertheless opens after the length of a session's lease, so
 * that users get an answer. */
void *rr_startup_thread(void *argument) {
    struct rr_app *app = argument;
    double until = rr_steady_clock_s() + rr_session_lease_s(&app->config);
    pthread_mutex_lock(&app->lock);
    while (!rr_app_is_stopping(app) && !rr_core_lease_valid(app->core, rr_steady_clock_s()) &&
           rr_steady_clock_s() < until) {
        rr_app_cond_timedwait(&app->cache_advanced, &app->lock, until - rr_steady_clock_s());
    }
    pthread_mutex_unlock(&app->lock);
    int rc;
    while (!rr_app_is_stopping(app) && (rc = rr_http_server_listen(app->http_server)) != 0) {
        rr_log(RR_ERROR_LEVEL, "bind: HTTP server cannot listen, retrying: %s", strerror(-rc));
        rr_app_pause(app, LISTEN_RETRY_PAUSE_S);
    }
    return NULL;
}
