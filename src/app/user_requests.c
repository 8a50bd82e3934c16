#include "app/user_requests.h"
#include "app/admission.h"
#include "app/cancellations.h"
#include "app/cells_user_requests.h"
#include "app/http_responses.h"
#include "app/thread_helpers.h"
#include "app/user_commit.h"
#include "common/clock.h"
#include "common/log.h"
#include "core/cache_feed.h"
#include "core/heartbeats.h"
#include "core/submissions.h"

#include <string.h>

/* With a larger lag, submissions are refused: their users would give up before the answer. */
#define SUBMISSION_TIMER_LAG_MAX_MS 1000
#define SLOW_SUBMISSION_S 0.15     /* submissions that take longer are logged */
#define CANCEL_WAIT_MAX_S 2.5      /* time for all attempts at one cancellation */
#define STORE_DOWN_CONFIRMED_S 2.0 /* time without an answer; the store then counts as down */
#define JSON_SIZE_FACTOR 1.4       /* JSON bytes per MessagePack byte; the store limits JSON */
/* Retry-After values. */
#define RETRY_SOON_S 1
#define RETRY_OVERLOADED_S 2

static const char store_unreachable[] = "state not reachable";
static const char may_run_elsewhere[] = "another cell may still run the job";

/* Copies the job's state from the store cache. */
static void copy_job_view(struct rr_app *app, const char *job_id, rr_job_view *view) {
    pthread_mutex_lock(&app->lock);
    rr_core_get_job_view(app->core, job_id, rr_steady_clock_s(), view);
    pthread_mutex_unlock(&app->lock);
}

/* Reads the job's state as of some moment after this call began, so that no answer is older than an
 * earlier one from another controller. Final states can't change, so they skip the read barrier.
 * Returns false if the store cache did not catch up in time. */
static bool read_current_job_view(struct rr_app *app, const char *job_id, rr_job_view *view) {
    copy_job_view(app, job_id, view);
    if (view->known && (view->done || view->cancelled)) {
        return true;
    }
    bool current = rr_read_barrier_wait(app);
    if (current) {
        copy_job_view(app, job_id, view);
    }
    return current;
}

/* ---- submitting jobs ---- */

/* Answers 200 if the job was accepted before, whatever the repeated submission contains, or 503 if
 * the store cache did not catch up in time. Returns false, with no answer, if the job is
 * unknown. */
static bool answer_if_known(struct rr_app *app, const char *job_id,
                            struct rr_http_response *response) {
    rr_job_view view;
    if (!read_current_job_view(app, job_id, &view)) {
        rr_app_answer_error(response, 503, store_unreachable, RETRY_SOON_S);
        return true;
    }
    if (view.known) {
        rr_app_answer_job_state(response, 200, job_id, view.state);
    }
    return view.known;
}

/* Returns whether the key-value store is known to be down. Submissions are then refused at once, as
 * waiting would be in vain. Renewals of the session show when the store is up again. */
static bool is_store_known_down(struct rr_app *app) {
    pthread_mutex_lock(&app->lock);
    bool down =
        !rr_core_cache_loaded(app->core) ||
        (app->store_down && rr_steady_clock_s() - app->store_answered_at > STORE_DOWN_CONFIRMED_S);
    pthread_mutex_unlock(&app->lock);
    return down;
}

/* Writes the job's record to the key-value store and answers with the outcome. */
static void commit_submission(struct rr_app *app, const rr_submission *submission,
                              struct rr_http_response *response) {
    struct rr_user_commit commit = {.deadline = rr_steady_clock_s() + RR_USER_COMMIT_WAIT_MAX_S,
                                    .is_submission = true};
    if (is_store_known_down(app)) {
        rr_app_answer_error(response, 503, store_unreachable, RETRY_OVERLOADED_S);
        return;
    }
    rr_core_job_key(submission->job_id, commit.key, sizeof commit.key);
    rr_encoder_init(&commit.value);
    rr_core_encode_job(&commit.value, submission, rr_wall_clock_s(), false);
    if (JSON_SIZE_FACTOR * (double)commit.value.buffer.size >
        rr_value_kb_max(&app->config) * 1024) {
        rr_app_answer_error(response, 400, "too large", 0);
    } else if (!rr_user_commit_enqueue_and_wait(app, &commit)) {
        rr_app_answer_error(response, 503, "overloaded", RETRY_OVERLOADED_S);
    } else if (commit.status == RR_COMMIT_DONE) {
        rr_app_answer_job_state(response, 201, submission->job_id, "queued");
    } else if (commit.status != RR_COMMIT_CONFLICT ||
               !answer_if_known(app, submission->job_id, response)) {
        rr_app_answer_error(response, 503, store_unreachable, RETRY_SOON_S);
    }
    rr_encoder_clear(&commit.value);
}

/* Commits the submission if its team's fair share allows it. */
static void admit_submission(struct rr_app *app, const rr_submission *submission,
                             struct rr_http_response *response) {
    int retry_after_s = 0;
    if (!rr_app_admission_check(app, submission, &retry_after_s)) {
        rr_app_answer_error(response, 503, "the fair share is used up", retry_after_s);
        return;
    }
    commit_submission(app, submission, response);
    if (response->status == 201) {
        rr_app_admission_record_accepted(app, submission);
    }
}

/* Decodes the request's body. job_id is filled in whenever the body contains an id, even if the
 * rest is malformed. Returns 0, or a negative error code with the reason for the answer in
 * *reason. */
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

/* Decodes, checks and commits the submission, and answers it. */
static void handle_submission(struct rr_app *app, const struct rr_http_request *request,
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
        /* Already answered: the job was accepted before, possibly by another controller while this
         * controller's store cache lagged behind. */
    } else if (rc != 0) {
        rr_app_answer_error(response, 400, reason, 0);
    } else if (check == RR_SUBMISSION_UNSATISFIABLE) {
        rr_app_answer_error(response, 422, reason, 0);
    } else {
        rr_app_answer_error(response, 503, reason, RETRY_SOON_S);
    }
    rr_submission_clear(&submission);
}

void rr_app_submit_job(struct rr_app *app, const struct rr_http_request *request,
                       struct rr_http_response *response) {
    double started_at = rr_steady_clock_s();
    /* Under overload, submissions are the first requests to be refused, before their body is
     * decoded. */
    if (atomic_load(&app->timer_lag_ms) > SUBMISSION_TIMER_LAG_MAX_MS) {
        rr_app_answer_error(response, 503, "overloaded", RETRY_OVERLOADED_S);
    } else {
        handle_submission(app, request, response);
    }
    double duration_s = rr_steady_clock_s() - started_at;
    rr_stats_record_submission(app->stats, response->status, duration_s);
    if (response->status >= 500 || duration_s > SLOW_SUBMISSION_S) {
        rr_log(RR_DEBUG_LEVEL, "answered a submission with status %d after %.0f ms",
               response->status, duration_s * 1000);
    }
}

/* ---- polling jobs ---- */

void rr_app_poll_local_job(struct rr_app *app, const char *job_id,
                           struct rr_http_response *response) {
    rr_job_view view = {0};
    bool valid = rr_job_id_valid(job_id);
    if (valid && !read_current_job_view(app, job_id, &view)) {
        rr_app_answer_error(response, 503, store_unreachable, RETRY_SOON_S);
    } else if (!view.known) {
        rr_app_answer_error(response, 404, "no such job", 0);
    } else if (!view.done && !view.cancelled &&
               !rr_app_cells_update_transferred_view(app, job_id, &view)) {
        rr_app_answer_error(response, 503, "the cell that has the job is not reachable",
                            RETRY_SOON_S);
    } else {
        rr_app_answer_job_view(response, job_id, view.state, view.done_count, view.running_count);
    }
}

void rr_app_poll_job(struct rr_app *app, const char *job_id, struct rr_http_response *response) {
    rr_app_poll_local_job(app, job_id, response);
    if (response->status == 404 && rr_job_id_valid(job_id)) {
        rr_app_cells_relay_request(app, RR_CELLS_POLL, job_id, response);
    }
}

/* ---- cancelling jobs ---- */

/* Whether an attempt at a cancellation has answered the request or must be repeated. */
enum cancel_progress { CANCEL_ANSWERED, CANCEL_RETRY };

/* Answers for a job that is unknown or final in the store cache, so that there is nothing to
 * cancel. */
static enum cancel_progress answer_nothing_to_cancel(struct rr_app *app, const char *job_id,
                                                     struct rr_http_response *response) {
    rr_job_view view;
    if (!read_current_job_view(app, job_id, &view)) {
        rr_app_answer_error(response, 503, store_unreachable, RETRY_SOON_S);
    } else if (!view.known) {
        rr_app_answer_error(response, 404, "no such job", 0);
    } else if (view.done || view.cancelled) {
        rr_app_answer_job_state(response, 200, job_id, view.state);
    } else {
        return CANCEL_RETRY; /* the job has just arrived in the store cache */
    }
    return CANCEL_ANSWERED;
}

/* Commits a cancellation, announces it to the other controllers and answers the request. After a
 * conflict, waits until the store cache shows the conflicting change. */
static enum cancel_progress commit_cancellation(struct rr_app *app, const char *job_id,
                                                struct rr_user_commit *commit,
                                                struct rr_http_response *response) {
    if (!rr_user_commit_enqueue_and_wait(app, commit)) {
        rr_app_answer_error(response, 503, "overloaded", RETRY_SOON_S);
        return CANCEL_ANSWERED;
    }
    if (commit->status == RR_COMMIT_DONE) {
        rr_log(RR_DEBUG_LEVEL, "job %s: cancellation committed", job_id);
        rr_app_announce_cancellation(app, job_id);
        rr_app_answer_job_state(response, 200, job_id, "aborted");
        return CANCEL_ANSWERED;
    }
    if (commit->status == RR_COMMIT_CONFLICT) {
        pthread_mutex_lock(&app->lock);
        bool reached = rr_app_wait_for_revision(app, commit->revision, commit->deadline);
        pthread_mutex_unlock(&app->lock);
        if (reached) {
            return CANCEL_RETRY;
        }
    }
    rr_app_answer_error(response, 503, store_unreachable, RETRY_SOON_S);
    return CANCEL_ANSWERED;
}

/* Makes one attempt to record the cancellation. deadline: steady clock. */
static enum cancel_progress try_cancel(struct rr_app *app, const char *job_id, double deadline,
                                       struct rr_http_response *response) {
    struct rr_user_commit commit = {.deadline = deadline};
    rr_encoder_init(&commit.value);
    rr_core_job_key(job_id, commit.key, sizeof commit.key);
    pthread_mutex_lock(&app->lock);
    bool can_cancel =
        rr_core_encode_cancelled_job(app->core, job_id, &commit.value, &commit.version);
    bool is_local = !can_cancel || rr_app_cells_may_cancel_with_guard(app, job_id, &commit);
    pthread_mutex_unlock(&app->lock);
    enum cancel_progress progress = CANCEL_ANSWERED;
    if (!is_local) {
        rr_app_answer_error(response, 503, may_run_elsewhere, RETRY_SOON_S);
    } else if (!can_cancel) {
        progress = answer_nothing_to_cancel(app, job_id, response);
    } else {
        progress = commit_cancellation(app, job_id, &commit, response);
    }
    rr_encoder_clear(&commit.value);
    return progress;
}

/* Returns whether no other cell can run the job any more. Otherwise begins to withdraw its transfer
 * where that is possible, and sets *retry_after_s to when the user should retry. */
static bool withdraw_transfer(struct rr_app *app, const char *job_id, int *retry_after_s) {
    struct rr_user_commit commit = {.deadline = rr_steady_clock_s() + RR_USER_COMMIT_WAIT_MAX_S};
    rr_encoder_init(&commit.value);
    enum rr_cancel_precondition precondition =
        rr_app_cells_prepare_cancellation(app, job_id, &commit, retry_after_s);
    if (precondition == RR_CANCEL_NEEDS_WITHDRAWAL) {
        rr_user_commit_enqueue_and_wait(app, &commit);
    }
    rr_encoder_clear(&commit.value);
    return precondition == RR_CANCEL_ALLOWED;
}

void rr_app_cancel_local_job(struct rr_app *app, const char *job_id,
                             struct rr_http_response *response) {
    double deadline = rr_steady_clock_s() + CANCEL_WAIT_MAX_S;
    int retry_after_s = 0;
    if (!rr_job_id_valid(job_id)) {
        rr_app_answer_error(response, 404, "no such job", 0);
        return;
    }
    if (!withdraw_transfer(app, job_id, &retry_after_s)) {
        rr_app_answer_error(response, 503, may_run_elsewhere, retry_after_s);
        return;
    }
    while (try_cancel(app, job_id, deadline, response) == CANCEL_RETRY) {
        if (rr_steady_clock_s() > deadline || rr_app_is_stopping(app)) {
            rr_app_answer_error(response, 503, "busy", RETRY_SOON_S);
            return;
        }
    }
}

void rr_app_cancel_job(struct rr_app *app, const char *job_id, struct rr_http_response *response) {
    rr_app_cancel_local_job(app, job_id, response);
    if (response->status == 404 && rr_job_id_valid(job_id)) {
        rr_app_cells_relay_request(app, RR_CELLS_CANCEL, job_id, response);
    }
}
