/* What each request of users, workers and health checks gets. */
#include "app/app.h"
#include "common/clock.h"
#include "common/log.h"
#include "core/cache_feed.h"
#include "core/heartbeats.h"
#include "core/submissions.h"

#include <string.h>

#define QUEUE_MAX 256 /* submissions that wait for the store at most */
#define LAG_MS 1000   /* pauses late by more: nobody waits as long for what is asked now */
#define BARRIER_S 1.6 /* a poll's user waits for 2 s */

void rr_app_refuse(struct rr_http_response *response, int status, const char *why,
                   int retry_after_s) {
    response->status = status;
    response->retry_after_s = retry_after_s;
    rr_encode_map(&response->body, 1);
    rr_encode_key_text(&response->body, "error", why);
}

static void answer_job_state(struct rr_http_response *response, int status, const char *job_id,
                             const char *state) {
    response->status = status;
    rr_encode_map(&response->body, 2);
    rr_encode_key_text(&response->body, "ref", job_id);
    rr_encode_key_text(&response->body, "standing", state);
}

static void view_of(struct rr_app *app, const char *job_id, rr_job_view *view) {
    pthread_mutex_lock(&app->lock);
    rr_core_job_view(app->core, job_id, rr_steady_clock_s(), view);
    pthread_mutex_unlock(&app->lock);
}

/* The job as of some moment after this call began: no node can have told a newer state before.
 * Final states can't change and need no barrier. False: can't be told now. */
static bool view_behind_barrier(struct rr_app *app, const char *job_id, rr_job_view *view) {
    view_of(app, job_id, view);
    if (view->known && (view->done || view->cancelled)) {
        return true;
    }
    double until = rr_steady_clock_s() + BARRIER_S;
    pthread_mutex_lock(&app->user_lock);
    uint64_t group = app->gathering_group;
    struct rr_read_barrier *barrier = &app->barrier[group % 2];
    barrier->number = group;
    if (barrier->waiting++ == 0) {
        pthread_cond_signal(&app->barrier_wake);
    }
    while (!atomic_load(&app->stop) && barrier->served < group && rr_steady_clock_s() < until) {
        rr_app_wait(app, &barrier->done, &app->user_lock, until - rr_steady_clock_s());
    }
    /* A later group was served after this one, and its read is the newer one. */
    bool succeeded = barrier->served >= group && barrier->ok;
    pthread_mutex_unlock(&app->user_lock);
    if (succeeded) {
        view_of(app, job_id, view);
    }
    return succeeded;
}

/* Seconds until so many changes are served at the pace of the last transaction. */
static double wait_of(const struct rr_app *app, guint count) {
    return count < RR_USER_BATCH_MAX || app->commit_rate <= 0 ? 0 : count / app->commit_rate;
}

/* False if too many wait already, more than are served before the first of them would be given up:
 * that is said at once. */
static bool commit_for_user(struct rr_app *app, struct rr_user_commit *commit) {
    pthread_mutex_lock(&app->user_lock);
    guint count = g_queue_get_length(&app->commits);
    bool room =
        !atomic_load(&app->stop) && count < QUEUE_MAX && wait_of(app, count) < RR_SUBMISSION_WAIT_S;
    if (room) {
        rr_app_cond_init(&commit->done);
        g_queue_push_tail(&app->commits, commit);
        pthread_cond_signal(&app->commit_wake);
        /* Bounded: the committer gives every entry an outcome by its time, or at the stop. */
        while (!commit->finished) {
            rr_app_wait(app, &commit->done, &app->user_lock, 1.0);
        }
        pthread_cond_destroy(&commit->done);
    }
    pthread_mutex_unlock(&app->user_lock);
    return room;
}

/* ---- submissions ---- */

/* A job that was accepted before is answered 200, whatever the repeat says. False: not known. */
static bool answer_known(struct rr_app *app, const char *job_id,
                         struct rr_http_response *response) {
    rr_job_view view;
    if (!view_behind_barrier(app, job_id, &view)) {
        rr_app_refuse(response, 503, "state not reachable", 1);
        return true;
    }
    if (view.known) {
        answer_job_state(response, 200, job_id, view.state);
    }
    return view.known;
}

static void accept_job(struct rr_app *app, const rr_submission *submission,
                       struct rr_http_response *response) {
    struct rr_user_commit commit = {.deadline = rr_steady_clock_s() + RR_SUBMISSION_WAIT_S,
                                    .is_submission = true};
    pthread_mutex_lock(&app->lock);
    /* Known to be down: answered at once, with the time to come back. The session's renewals tell
     * when it is up again; when one submission in two tried, each of those waited for 1.5 s. */
    bool down = !rr_core_cache_loaded(app->core) ||
                (app->store_down && rr_steady_clock_s() - app->store_ok_at > 2);
    pthread_mutex_unlock(&app->lock);
    if (down) {
        rr_app_refuse(response, 503, "state not reachable", 2);
        return;
    }
    rr_core_job_key(submission->job_id, commit.key, sizeof commit.key);
    rr_encoder_init(&commit.value);
    rr_core_job_encode(&commit.value, submission, rr_wall_clock_s(), false);
    /* The store counts JSON, which is longer than what is packed here. */
    if (1.4 * (double)commit.value.buffer.size > rr_value_kb_max(&app->config) * 1024) {
        rr_app_refuse(response, 400, "too large", 0);
    } else if (!commit_for_user(app, &commit)) {
        rr_app_refuse(response, 503, "overloaded", 2);
    } else if (commit.status == RR_COMMIT_DONE) {
        answer_job_state(response, 201, submission->job_id, "queued");
    } else if (commit.status != RR_COMMIT_CONFLICT ||
               !answer_known(app, submission->job_id, response)) {
        rr_app_refuse(response, 503, "state not reachable", 1);
    }
    rr_encoder_clear(&commit.value);
}

static void decide_submission(struct rr_app *app, const struct rr_http_request *request,
                              struct rr_http_response *response) {
    rr_document document;
    rr_submission submission = {0};
    const char *why = "not MessagePack";
    char job_id[RR_ID_SIZE] = "";
    int rc = rr_document_parse(&document, request->body, request->len);
    if (rc == 0) {
        rr_map_get_text(document.root, "ref", job_id, sizeof job_id);
        rc = rr_submission_decode(document.root, &submission, &why);
    }
    rr_document_clear(&document);
    enum rr_submission_check admit = RR_SUBMISSION_UNSATISFIABLE;
    if (rc == 0) {
        pthread_mutex_lock(&app->lock);
        admit = rr_core_check_submission(app->core, &submission, &why);
        pthread_mutex_unlock(&app->lock);
    }
    if (rc == 0 && admit == RR_SUBMISSION_NEW) {
        int retry_after_s = 0;
        if (!rr_app_admission_ask(app, &submission, &retry_after_s)) {
            rr_app_refuse(response, 503, "the fair share is used up", retry_after_s);
        } else {
            accept_job(app, &submission, response);
            if (response->status == 201) {
                rr_app_admission_accepted(app, &submission);
            }
        }
        rr_submission_clear(&submission);
        return;
    }
    rr_submission_clear(&submission);
    /* Before a refusal for good: the job may be known where this store cache does not reach yet. */
    if (rr_job_id_valid(job_id) && answer_known(app, job_id, response)) {
        return;
    }
    if (rc != 0) {
        rr_app_refuse(response, 400, why, 0);
    } else if (admit == RR_SUBMISSION_UNSATISFIABLE) {
        rr_app_refuse(response, 422, why, 0);
    } else {
        rr_app_refuse(response, 503, why, 1);
    }
}

static void submit(struct rr_app *app, const struct rr_http_request *request,
                   struct rr_http_response *response) {
    double began = rr_steady_clock_s();
    /* New work is what goes first when there is too little time: told before a byte is decoded. */
    if (atomic_load(&app->lag_ms) > LAG_MS) {
        rr_app_refuse(response, 503, "overloaded", 2);
    } else {
        decide_submission(app, request, response);
    }
    double took = rr_steady_clock_s() - began;
    rr_stats_submission(app->stats, response->status, took);
    if (response->status >= 500 || took > 0.15) {
        rr_log(RR_DEBUG_LEVEL, "submission answered %d after %.0f ms", response->status,
               took * 1000);
    }
}

void rr_app_poll_here(struct rr_app *app, const char *job_id, struct rr_http_response *response) {
    rr_job_view view = {0};
    bool valid = rr_job_id_valid(job_id);
    if (valid && !view_behind_barrier(app, job_id, &view)) {
        rr_app_refuse(response, 503, "state not reachable", 1);
    } else if (!view.known) {
        rr_app_refuse(response, 404, "no such job", 0);
    } else if (!view.done && !view.cancelled &&
               !rr_app_cells_view_transferred(app, job_id, &view)) {
        rr_app_refuse(response, 503, "the cell that has the job is not reachable", 1);
    } else {
        response->status = 200;
        rr_encode_map(&response->body, 4);
        rr_encode_key_text(&response->body, "ref", job_id);
        rr_encode_key_text(&response->body, "standing", view.state);
        rr_encode_key_u64(&response->body, "done", view.done_count);
        rr_encode_key_u64(&response->body, "running", view.running_count);
    }
}

/* The other controllers stop the job's tasks in their answers from now on, also one that the
 * key-value store refuses and whose store cache does not bring it the cancellation. */
void rr_app_announce_cancellation(struct rr_app *app, const char *job_id) {
    pthread_mutex_lock(&app->lock);
    bool capable = rr_core_all_gang_capable(app->core);
    pthread_mutex_unlock(&app->lock);
    if (capable) {
        rr_peers_send_cancellation(app->peers, job_id, rr_steady_clock_s() + app->config.cancel_s);
    }
}

/* One try to record the cancellation. True: answered. */
static bool try_cancel(struct rr_app *app, const char *job_id, double until,
                       struct rr_http_response *response) {
    struct rr_user_commit commit = {.deadline = until};
    rr_job_view view;
    rr_encoder_init(&commit.value);
    rr_core_job_key(job_id, commit.key, sizeof commit.key);
    pthread_mutex_lock(&app->lock);
    bool open = rr_core_cancel_record(app->core, job_id, &commit.value, &commit.version);
    bool here = !open || rr_app_cells_guard_cancel(app, job_id, &commit);
    pthread_mutex_unlock(&app->lock);
    bool answered = true;
    if (!here) {
        rr_app_refuse(response, 503, "another cell may still run the job", 1);
    } else if (!open) {
        if (!view_behind_barrier(app, job_id, &view)) {
            rr_app_refuse(response, 503, "state not reachable", 1);
        } else if (!view.known) {
            rr_app_refuse(response, 404, "no such job", 0);
        } else if (view.done || view.cancelled) {
            answer_job_state(response, 200, job_id, view.state);
        } else {
            answered = false; /* it came to be known just now */
        }
    } else if (!commit_for_user(app, &commit)) {
        rr_app_refuse(response, 503, "overloaded", 1);
    } else if (commit.status == RR_COMMIT_DONE) {
        rr_log(RR_DEBUG_LEVEL, "job %s is cancelled", job_id);
        rr_app_announce_cancellation(app, job_id);
        answer_job_state(response, 200, job_id, "aborted");
    } else if (commit.status == RR_COMMIT_CONFLICT) {
        pthread_mutex_lock(&app->lock);
        answered = !rr_app_wait_revision(app, commit.revision, until);
        pthread_mutex_unlock(&app->lock);
        if (answered) {
            rr_app_refuse(response, 503, "state not reachable", 1);
        }
    } else {
        rr_app_refuse(response, 503, "state not reachable", 1);
    }
    rr_encoder_clear(&commit.value);
    return answered;
}

/* Whether no other cell can have the job any more; if one has it, it is taken back. */
static bool is_here(struct rr_app *app, const char *job_id, int *retry_after_s) {
    struct rr_user_commit commit = {.deadline = rr_steady_clock_s() + RR_SUBMISSION_WAIT_S};
    rr_encoder_init(&commit.value);
    enum rr_cancel_first first = rr_app_cells_cancel(app, job_id, &commit, retry_after_s);
    if (first == RR_CANCEL_WITHDRAW) {
        commit_for_user(app, &commit);
    }
    rr_encoder_clear(&commit.value);
    return first == RR_CANCEL_FREE;
}

void rr_app_cancel_here(struct rr_app *app, const char *job_id, struct rr_http_response *response) {
    double until = rr_steady_clock_s() + 2.5;
    int retry_after_s = 0;
    if (!rr_job_id_valid(job_id)) {
        rr_app_refuse(response, 404, "no such job", 0);
        return;
    }
    if (!is_here(app, job_id, &retry_after_s)) {
        rr_app_refuse(response, 503, "another cell may still run the job", retry_after_s);
        return;
    }
    while (!try_cancel(app, job_id, until, response)) {
        if (rr_steady_clock_s() > until || atomic_load(&app->stop)) {
            rr_app_refuse(response, 503, "busy", 1);
            return;
        }
    }
}

static void poll_job(struct rr_app *app, const char *job_id, struct rr_http_response *response) {
    rr_app_poll_here(app, job_id, response);
    if (response->status == 404 && rr_job_id_valid(job_id)) {
        rr_app_cells_relay(app, false, job_id, response);
    }
}

static void cancel_job(struct rr_app *app, const char *job_id, struct rr_http_response *response) {
    rr_app_cancel_here(app, job_id, response);
    if (response->status == 404 && rr_job_id_valid(job_id)) {
        rr_app_cells_relay(app, true, job_id, response);
    }
}

/* ---- workers ---- */

void rr_app_take_heartbeat(struct rr_app *app, const void *body, size_t length, int via,
                           unsigned hops) {
    rr_document document;
    rr_heartbeat heartbeat;
    if (rr_document_parse(&document, body, length) == 0) {
        if (rr_heartbeat_decode(document.root, &heartbeat) == 0) {
            rr_heartbeat_digest digest = {.worker_epoch = heartbeat.worker_epoch,
                                          .sequence = heartbeat.sequence,
                                          .hash = rr_heartbeat_hash(&heartbeat)};
            g_strlcpy(digest.machine, heartbeat.machine, sizeof digest.machine);
            pthread_mutex_lock(&app->lock);
            enum rr_heartbeat_news news =
                rr_core_take_heartbeat(app->core, rr_steady_clock_s(), &heartbeat, via);
            if (news == RR_HEARTBEAT_CHANGED) {
                rr_app_wake(app);
            }
            pthread_mutex_unlock(&app->lock);
            if (news != RR_HEARTBEAT_IGNORED && hops == 0) {
                rr_peers_forward_heartbeats(app->peers, via, &digest, 1, body, length);
            }
        }
        rr_heartbeat_clear(&heartbeat);
    }
    rr_document_clear(&document);
}

static void hello(struct rr_app *app, const struct rr_http_request *request,
                  struct rr_http_response *response) {
    response->yields = true;
    rr_document document;
    rr_heartbeat heartbeat = {0};
    struct rr_heartbeat_reply ans = {0};
    int rc = rr_document_parse(&document, request->body, request->len);
    if (rc == 0) {
        rc = rr_heartbeat_decode(document.root, &heartbeat);
    }
    rr_document_clear(&document);
    if (rc != 0) {
        rr_heartbeat_clear(&heartbeat);
        rr_log(RR_INFO_LEVEL, "unreadable report of %zu bytes", request->len);
        rr_app_refuse(response, 400, "unreadable report", 0);
        return;
    }
    rr_heartbeat_digest digest = {.worker_epoch = heartbeat.worker_epoch,
                                  .sequence = heartbeat.sequence,
                                  .hash = rr_heartbeat_hash(&heartbeat)};
    g_strlcpy(digest.machine, heartbeat.machine, sizeof digest.machine);
    pthread_mutex_lock(&app->lock);
    double now = rr_steady_clock_s();
    rr_core_reply_to_heartbeat(app->core, now, &heartbeat, &ans);
    enum rr_heartbeat_news news = rr_core_take_heartbeat(app->core, now, &heartbeat, -1);
    if (news == RR_HEARTBEAT_CHANGED) {
        rr_app_wake(app);
    }
    uint32_t rare, wanted = rr_core_heartbeat_subscribers(app->core, digest.machine, &rare);
    pthread_mutex_unlock(&app->lock);
    if (news != RR_HEARTBEAT_IGNORED) {
        rr_peers_send_heartbeat(app->peers, wanted, rare, &digest, request->body, request->len);
    }
    response->status = ans.status;
    if (ans.status == 200) {
        rr_commands_encode(&response->body, ans.fencing_token, 0, ans.commands);
        g_array_free(ans.commands, TRUE);
    } else {
        rr_encode_map(&response->body, ans.peer ? 1 : 0);
        if (ans.peer) {
            rr_encode_key_text(&response->body, "answers_to", ans.peer);
        }
    }
}

static void ready(struct rr_app *app, struct rr_http_response *response) {
    pthread_mutex_lock(&app->lock);
    bool succeeded = rr_core_ready(app->core, rr_steady_clock_s());
    pthread_mutex_unlock(&app->lock);
    if (succeeded) {
        response->status = 200;
    } else {
        rr_app_refuse(response, 503, "not ready", 1);
    }
}

/* ---- routes ---- */

static bool expect(const struct rr_http_request *request, const char *method,
                   struct rr_http_response *response) {
    if (strcmp(request->method, method) == 0) {
        return true;
    }
    rr_app_refuse(response, 405, "wrong method", 0);
    response->allow = method;
    return false;
}

static void route_job(struct rr_app *app, const struct rr_http_request *request,
                      struct rr_http_response *response, const char *rest) {
    char job_id[RR_ID_SIZE];
    const char *slash = strchr(rest, '/');
    size_t count = slash ? (size_t)(slash - rest) : strlen(rest);
    if (count >= sizeof job_id || (slash && strcmp(slash, "/cancel") != 0)) {
        rr_app_refuse(response, 404, "no such path", 0);
        return;
    }
    memcpy(job_id, rest, count);
    job_id[count] = 0;
    if (slash) {
        if (expect(request, "POST", response)) {
            cancel_job(app, job_id, response);
        }
    } else if (expect(request, "GET", response)) {
        poll_job(app, job_id, response);
    }
}

void rr_app_handle(void *user, const struct rr_http_request *request,
                   struct rr_http_response *response) {
    struct rr_app *app = user;
    if (strcmp(request->path, "/hello") == 0) {
        if (expect(request, "POST", response)) {
            hello(app, request, response);
        }
    } else if (strcmp(request->path, "/submissions") == 0) {
        if (expect(request, "POST", response)) {
            submit(app, request, response);
        }
    } else if (strcmp(request->path, "/ready") == 0) {
        if (expect(request, "GET", response)) {
            ready(app, response);
        }
    } else if (strncmp(request->path, "/submissions/", 13) == 0) {
        route_job(app, request, response, request->path + 13);
    } else {
        rr_app_refuse(response, 404, "no such path", 0);
    }
}
