#include "app/user_requests.h"
#include "app/admission.h"
#include "app/cancellations.h"
#include "app/cells_user_requests.h"
#include "app/http_responses.h"
#include "app/thread_loop.h"
#include "app/user_commit.h"
#include "common/clock.h"
#include "common/log.h"
#include "core/cache_feed.h"
#include "core/heartbeats.h"
#include "core/submissions.h"

#include <string.h>

/* With a larger lag the request's user has given up before it is answered. */
#define SUBMISSION_TIMER_LAG_MAX_MS 1000
#define SLOW_SUBMISSION_S 0.15 /* logged */
#define CANCEL_WAIT_MAX_S 2.5
#define STORE_DOWN_CONFIRMED_S 2.0 /* without an answer from the store since so long */
#define JSON_OVERHEAD 1.4          /* the store limits the size of the value as JSON */
#define RETRY_SOON_S 1
#define RETRY_OVERLOADED_S 2

static const char store_unreachable[] = "state not reachable";
static const char may_run_elsewhere[] = "another cell may still run the job";

static void read_view(struct rr_app *app, const char *job_id, rr_job_view *view) {
    pthread_mutex_lock(&app->lock);
    rr_core_job_view(app->core, job_id, rr_steady_clock_s(), view);
    pthread_mutex_unlock(&app->lock);
}

/* Reads the job's state as of some moment after this call began, so that no answer is older than an
 * earlier one from another controller. Final states can't change and need no barrier. False: the
 * store cache did not catch up in time. */
static bool read_current_view(struct rr_app *app, const char *job_id, rr_job_view *view) {
    read_view(app, job_id, view);
    if (view->known && (view->done || view->cancelled)) {
        return true;
    }
    bool current = rr_read_barrier_wait(app);
    if (current) {
        read_view(app, job_id, view);
    }
    return current;
}

/* ---- submissions ---- */

/* Answers for a job that was accepted before: 200, whatever the repeated submission says. False:
 * the job is not known, and nothing is answered. */
static bool answer_if_known(struct rr_app *app, const char *job_id,
                            struct rr_http_response *response) {
    rr_job_view view;
    if (!read_current_view(app, job_id, &view)) {
        rr_app_refuse(response, 503, store_unreachable, RETRY_SOON_S);
        return true;
    }
    if (view.known) {
        rr_app_answer_job_state(response, 200, job_id, view.state);
    }
    return view.known;
}

/* While the store is known to be down, submissions are refused at once instead of waiting in vain.
 * The renewals of the session show when it is up again. */
static bool store_known_down(struct rr_app *app) {
    pthread_mutex_lock(&app->lock);
    bool down =
        !rr_core_cache_loaded(app->core) ||
        (app->store_down && rr_steady_clock_s() - app->store_ok_at > STORE_DOWN_CONFIRMED_S);
    pthread_mutex_unlock(&app->lock);
    return down;
}

static void commit_submission(struct rr_app *app, const rr_submission *submission,
                              struct rr_http_response *response) {
    struct rr_user_commit commit = {.deadline = rr_steady_clock_s() + RR_USER_COMMIT_WAIT_MAX_S,
                                    .is_submission = true};
    if (store_known_down(app)) {
        rr_app_refuse(response, 503, store_unreachable, RETRY_OVERLOADED_S);
        return;
    }
    rr_core_job_key(submission->job_id, commit.key, sizeof commit.key);
    rr_encoder_init(&commit.value);
    rr_core_job_encode(&commit.value, submission, rr_wall_clock_s(), false);
    if (JSON_OVERHEAD * (double)commit.value.buffer.size > rr_value_kb_max(&app->config) * 1024) {
        rr_app_refuse(response, 400, "too large", 0);
    } else if (!rr_user_commit_enqueue_and_wait(app, &commit)) {
        rr_app_refuse(response, 503, "overloaded", RETRY_OVERLOADED_S);
    } else if (commit.status == RR_COMMIT_DONE) {
        rr_app_answer_job_state(response, 201, submission->job_id, "queued");
    } else if (commit.status != RR_COMMIT_CONFLICT ||
               !answer_if_known(app, submission->job_id, response)) {
        rr_app_refuse(response, 503, store_unreachable, RETRY_SOON_S);
    }
    rr_encoder_clear(&commit.value);
}

static void admit_submission(struct rr_app *app, const rr_submission *submission,
                             struct rr_http_response *response) {
    int retry_after_s = 0;
    if (!rr_app_admission_check(app, submission, &retry_after_s)) {
        rr_app_refuse(response, 503, "the fair share is used up", retry_after_s);
        return;
    }
    commit_submission(app, submission, response);
    if (response->status == 201) {
        rr_app_admission_accepted(app, submission);
    }
}

/* Reads the job's id, as far as there is one, even where the rest is malformed. */
static int decode_submission(const struct rr_http_request *request, char job_id[RR_ID_SIZE],
                             rr_submission *submission, const char **reason) {
    rr_document document;
    *reason = "not MessagePack";
    int rc = rr_document_parse(&document, request->body, request->len);
    if (rc == 0) {
        rr_map_get_text(document.root, "ref", job_id, RR_ID_SIZE);
        rc = rr_submission_decode(document.root, submission, reason);
    }
    rr_document_clear(&document);
    return rc;
}

static enum rr_submission_check check_submission(struct rr_app *app,
                                                 const rr_submission *submission,
                                                 const char **reason) {
    pthread_mutex_lock(&app->lock);
    enum rr_submission_check check = rr_core_check_submission(app->core, submission, reason);
    pthread_mutex_unlock(&app->lock);
    return check;
}

static void decide_submission(struct rr_app *app, const struct rr_http_request *request,
                              struct rr_http_response *response) {
    rr_submission submission = {0};
    char job_id[RR_ID_SIZE] = "";
    const char *reason;
    enum rr_submission_check check = RR_SUBMISSION_UNSATISFIABLE;
    int rc = decode_submission(request, job_id, &submission, &reason);
    if (rc == 0) {
        check = check_submission(app, &submission, &reason);
    }
    if (rc == 0 && check == RR_SUBMISSION_NEW) {
        admit_submission(app, &submission, response);
    } else if (rr_job_id_valid(job_id) && answer_if_known(app, job_id, response)) {
        /* The job was accepted by another controller; the store cache had lagged behind. */
    } else if (rc != 0) {
        rr_app_refuse(response, 400, reason, 0);
    } else if (check == RR_SUBMISSION_UNSATISFIABLE) {
        rr_app_refuse(response, 422, reason, 0);
    } else {
        rr_app_refuse(response, 503, reason, RETRY_SOON_S);
    }
    rr_submission_clear(&submission);
}

void rr_app_submit_job(struct rr_app *app, const struct rr_http_request *request,
                       struct rr_http_response *response) {
    double began = rr_steady_clock_s();
    /* Submissions are shed first, before their body is decoded. */
    if (atomic_load(&app->timer_lag_ms) > SUBMISSION_TIMER_LAG_MAX_MS) {
        rr_app_refuse(response, 503, "overloaded", RETRY_OVERLOADED_S);
    } else {
        decide_submission(app, request, response);
    }
    double took_s = rr_steady_clock_s() - began;
    rr_stats_submission(app->stats, response->status, took_s);
    if (response->status >= 500 || took_s > SLOW_SUBMISSION_S) {
        rr_log(RR_DEBUG_LEVEL, "submission answered %d after %.0f ms", response->status,
               took_s * 1000);
    }
}

/* ---- polls ---- */

void rr_app_poll_local_job(struct rr_app *app, const char *job_id,
                           struct rr_http_response *response) {
    rr_job_view view = {0};
    bool valid = rr_job_id_valid(job_id);
    if (valid && !read_current_view(app, job_id, &view)) {
        rr_app_refuse(response, 503, store_unreachable, RETRY_SOON_S);
    } else if (!view.known) {
        rr_app_refuse(response, 404, "no such job", 0);
    } else if (!view.done && !view.cancelled &&
               !rr_app_cells_view_transferred(app, job_id, &view)) {
        rr_app_refuse(response, 503, "the cell that has the job is not reachable", RETRY_SOON_S);
    } else {
        rr_app_answer_job_view(response, job_id, view.state, view.done_count, view.running_count);
    }
}

void rr_app_poll_job(struct rr_app *app, const char *job_id, struct rr_http_response *response) {
    rr_app_poll_local_job(app, job_id, response);
    if (response->status == 404 && rr_job_id_valid(job_id)) {
        rr_app_cells_relay(app, RR_CELLS_POLL, job_id, response);
    }
}

/* ---- cancellations ---- */

enum cancel_progress { CANCEL_ANSWERED, CANCEL_RETRY };

/* The store cache shows no running job that could be cancelled. */
static enum cancel_progress answer_without_record(struct rr_app *app, const char *job_id,
                                                  struct rr_http_response *response) {
    rr_job_view view;
    if (!read_current_view(app, job_id, &view)) {
        rr_app_refuse(response, 503, store_unreachable, RETRY_SOON_S);
    } else if (!view.known) {
        rr_app_refuse(response, 404, "no such job", 0);
    } else if (view.done || view.cancelled) {
        rr_app_answer_job_state(response, 200, job_id, view.state);
    } else {
        return CANCEL_RETRY; /* the store cache has just learned of the job */
    }
    return CANCEL_ANSWERED;
}

static enum cancel_progress commit_cancellation(struct rr_app *app, const char *job_id,
                                                struct rr_user_commit *commit,
                                                struct rr_http_response *response) {
    if (!rr_user_commit_enqueue_and_wait(app, commit)) {
        rr_app_refuse(response, 503, "overloaded", RETRY_SOON_S);
        return CANCEL_ANSWERED;
    }
    if (commit->status == RR_COMMIT_DONE) {
        rr_log(RR_DEBUG_LEVEL, "job %s is cancelled", job_id);
        rr_app_announce_cancellation(app, job_id);
        rr_app_answer_job_state(response, 200, job_id, "aborted");
        return CANCEL_ANSWERED;
    }
    if (commit->status == RR_COMMIT_CONFLICT) {
        pthread_mutex_lock(&app->lock);
        bool reached = rr_app_wait_revision(app, commit->revision, commit->deadline);
        pthread_mutex_unlock(&app->lock);
        if (reached) {
            return CANCEL_RETRY;
        }
    }
    rr_app_refuse(response, 503, store_unreachable, RETRY_SOON_S);
    return CANCEL_ANSWERED;
}

/* One attempt to record the cancellation. until: steady. */
static enum cancel_progress try_cancel(struct rr_app *app, const char *job_id, double until,
                                       struct rr_http_response *response) {
    struct rr_user_commit commit = {.deadline = until};
    rr_encoder_init(&commit.value);
    rr_core_job_key(job_id, commit.key, sizeof commit.key);
    pthread_mutex_lock(&app->lock);
    bool can_cancel = rr_core_cancel_record(app->core, job_id, &commit.value, &commit.version);
    bool is_local = !can_cancel || rr_app_cells_guard_cancel(app, job_id, &commit);
    pthread_mutex_unlock(&app->lock);
    enum cancel_progress progress = CANCEL_ANSWERED;
    if (!is_local) {
        rr_app_refuse(response, 503, may_run_elsewhere, RETRY_SOON_S);
    } else if (!can_cancel) {
        progress = answer_without_record(app, job_id, response);
    } else {
        progress = commit_cancellation(app, job_id, &commit, response);
    }
    rr_encoder_clear(&commit.value);
    return progress;
}

/* Whether no other cell can have the job any more. If one has it, the transfer is withdrawn; the
 * user is to come back after *retry_after_s. */
static bool bring_job_home(struct rr_app *app, const char *job_id, int *retry_after_s) {
    struct rr_user_commit commit = {.deadline = rr_steady_clock_s() + RR_USER_COMMIT_WAIT_MAX_S};
    rr_encoder_init(&commit.value);
    enum rr_cancel_precondition first = rr_app_cells_cancel(app, job_id, &commit, retry_after_s);
    if (first == RR_CANCEL_WITHDRAW) {
        rr_user_commit_enqueue_and_wait(app, &commit);
    }
    rr_encoder_clear(&commit.value);
    return first == RR_CANCEL_FREE;
}

void rr_app_cancel_local_job(struct rr_app *app, const char *job_id,
                             struct rr_http_response *response) {
    double until = rr_steady_clock_s() + CANCEL_WAIT_MAX_S;
    int retry_after_s = 0;
    if (!rr_job_id_valid(job_id)) {
        rr_app_refuse(response, 404, "no such job", 0);
        return;
    }
    if (!bring_job_home(app, job_id, &retry_after_s)) {
        rr_app_refuse(response, 503, may_run_elsewhere, retry_after_s);
        return;
    }
    while (try_cancel(app, job_id, until, response) == CANCEL_RETRY) {
        if (rr_steady_clock_s() > until || rr_app_stopping(app)) {
            rr_app_refuse(response, 503, "busy", RETRY_SOON_S);
            return;
        }
    }
}

void rr_app_cancel_job(struct rr_app *app, const char *job_id, struct rr_http_response *response) {
    rr_app_cancel_local_job(app, job_id, response);
    if (response->status == 404 && rr_job_id_valid(job_id)) {
        rr_app_cells_relay(app, RR_CELLS_CANCEL, job_id, response);
    }
}
