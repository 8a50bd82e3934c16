#include "app/request_router.h"
#include "app/app.h"
#include "app/http_responses.h"
#include "app/user_requests.h"
#include "app/worker_requests.h"
#include "common/clock.h"
#include "core/submissions.h"

#include <string.h>

#define SUBMISSIONS_PATH "/submissions/"

/* GET /ready: answers 200 while this controller can serve users, otherwise 503. */
static void answer_ready(struct rr_app *app, struct rr_http_response *response) {
    pthread_mutex_lock(&app->lock);
    bool is_ready = rr_core_is_ready(app->core, rr_steady_clock_s());
    pthread_mutex_unlock(&app->lock);
    if (is_ready) {
        response->status = 200;
    } else {
        rr_app_answer_error(response, 503, "not ready", 1);
    }
}

/* Returns whether the request has this method; otherwise answers 405. */
static bool require_method(const struct rr_http_request *request, const char *method,
                           struct rr_http_response *response) {
    if (strcmp(request->method, method) == 0) {
        return true;
    }
    rr_app_answer_error(response, 405, "wrong method", 0);
    response->allow = method;
    return false;
}

/* Routes a request about one job. subpath: the path after SUBMISSIONS_PATH; valid are JOB_ID and
 * JOB_ID/cancel. */
static void route_job_request(struct rr_app *app, const struct rr_http_request *request,
                              struct rr_http_response *response, const char *subpath) {
    char job_id[RR_ID_SIZE];
    const char *slash = strchr(subpath, '/');
    size_t length = slash ? (size_t)(slash - subpath) : strlen(subpath);
    if (length >= sizeof job_id || (slash && strcmp(slash, "/cancel") != 0)) {
        rr_app_answer_error(response, 404, "no such path", 0);
        return;
    }
    memcpy(job_id, subpath, length);
    job_id[length] = 0;
    if (slash) {
        if (require_method(request, "POST", response)) {
            rr_app_cancel_job(app, job_id, response);
        }
    } else if (require_method(request, "GET", response)) {
        rr_app_poll_job(app, job_id, response);
    }
}

void rr_app_route_request(void *user, const struct rr_http_request *request,
                          struct rr_http_response *response) {
    struct rr_app *app = user;
    if (strcmp(request->path, "/hello") == 0) {
        if (require_method(request, "POST", response)) {
            rr_app_answer_heartbeat(app, request, response);
        }
    } else if (strcmp(request->path, "/submissions") == 0) {
        if (require_method(request, "POST", response)) {
            rr_app_submit_job(app, request, response);
        }
    } else if (strcmp(request->path, "/ready") == 0) {
        if (require_method(request, "GET", response)) {
            answer_ready(app, response);
        }
    } else if (strncmp(request->path, SUBMISSIONS_PATH, strlen(SUBMISSIONS_PATH)) == 0) {
        route_job_request(app, request, response, request->path + strlen(SUBMISSIONS_PATH));
    } else {
        rr_app_answer_error(response, 404, "no such path", 0);
    }
}
