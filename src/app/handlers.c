/* What each request of users, workers and health checks gets. */
#include "app/app.h"
#include "app/clock.h"
#include "app/log.h"

#include <string.h>

#define QUEUE_MAX 256 /* submissions that wait for the store at most */
#define LAG_MS 1000   /* pauses late by more: nobody waits as long for what is asked now */
#define BARRIER_S 1.6 /* a poll's user waits for 2 s */

void rr_app_refuse(struct rr_http_response *rs, int status, const char *why, int retry_after_s) {
    rs->status = status;
    rs->retry_after_s = retry_after_s;
    rr_encode_map(&rs->body, 1);
    rr_encode_key_text(&rs->body, "error", why);
}

static void answer_job_state(struct rr_http_response *rs, int status, const char *ref,
                             const char *standing) {
    rs->status = status;
    rr_encode_map(&rs->body, 2);
    rr_encode_key_text(&rs->body, "ref", ref);
    rr_encode_key_text(&rs->body, "standing", standing);
}

static void view_of(struct rr_app *a, const char *ref, rr_job_view *v) {
    pthread_mutex_lock(&a->lock);
    rr_core_job_view(a->core, ref, rr_steady_clock_s(), v);
    pthread_mutex_unlock(&a->lock);
}

/* The job as of some moment after this call began: no node can have told a newer state before.
 * Final states can't change and need no barrier. False: can't be told now. */
static bool view_behind_barrier(struct rr_app *a, const char *ref, rr_job_view *v) {
    view_of(a, ref, v);
    if (v->known && (v->done || v->cancelled)) {
        return true;
    }
    double until = rr_steady_clock_s() + BARRIER_S;
    pthread_mutex_lock(&a->user_lock);
    uint64_t group = a->gathering_group;
    struct rr_read_barrier *b = &a->barrier[group % 2];
    b->number = group;
    if (b->waiting++ == 0) {
        pthread_cond_signal(&a->barrier_wake);
    }
    while (!atomic_load(&a->stop) && b->served < group && rr_steady_clock_s() < until) {
        rr_app_wait(a, &b->done, &a->user_lock, until - rr_steady_clock_s());
    }
    /* A later group was served after this one, and its read is the newer one. */
    bool ok = b->served >= group && b->ok;
    pthread_mutex_unlock(&a->user_lock);
    if (ok) {
        view_of(a, ref, v);
    }
    return ok;
}

/* Seconds until so many changes are served at the pace of the last transaction. */
static double wait_of(const struct rr_app *a, guint n) {
    return n < RR_USER_BATCH_MAX || a->commit_rate <= 0 ? 0 : n / a->commit_rate;
}

/* False if too many wait already, more than are served before the first of them would be given up:
 * that is said at once. */
static bool commit_for_user(struct rr_app *a, struct rr_user_commit *u) {
    pthread_mutex_lock(&a->user_lock);
    guint n = g_queue_get_length(&a->commits);
    bool room = !atomic_load(&a->stop) && n < QUEUE_MAX && wait_of(a, n) < RR_SUBMISSION_WAIT_S;
    if (room) {
        rr_app_cond_init(&u->done);
        g_queue_push_tail(&a->commits, u);
        pthread_cond_signal(&a->commit_wake);
        /* Bounded: the committer gives every entry an outcome by its time, or at the stop. */
        while (!u->finished) {
            rr_app_wait(a, &u->done, &a->user_lock, 1.0);
        }
        pthread_cond_destroy(&u->done);
    }
    pthread_mutex_unlock(&a->user_lock);
    return room;
}

/* ---- submissions ---- */

/* A job that was accepted before is answered 200, whatever the repeat says. False: not known. */
static bool answer_known(struct rr_app *a, const char *ref, struct rr_http_response *rs) {
    rr_job_view v;
    if (!view_behind_barrier(a, ref, &v)) {
        rr_app_refuse(rs, 503, "state not reachable", 1);
        return true;
    }
    if (v.known) {
        answer_job_state(rs, 200, ref, v.state);
    }
    return v.known;
}

static void accept_job(struct rr_app *a, const rr_submission *s, struct rr_http_response *rs) {
    struct rr_user_commit u = {.deadline = rr_steady_clock_s() + RR_SUBMISSION_WAIT_S,
                               .is_submission = true};
    pthread_mutex_lock(&a->lock);
    /* Known to be down: answered at once, with the time to come back. The session's renewals tell
     * when it is up again; when one submission in two tried, each of those waited for 1.5 s. */
    bool down = !rr_core_cache_loaded(a->core) ||
                (a->store_down && rr_steady_clock_s() - a->store_ok_at > 2);
    pthread_mutex_unlock(&a->lock);
    if (down) {
        rr_app_refuse(rs, 503, "state not reachable", 2);
        return;
    }
    rr_core_job_key(s->job_id, u.key, sizeof u.key);
    rr_encoder_init(&u.value);
    rr_core_job_encode(&u.value, s, rr_wall_clock_s(), false);
    /* The store counts JSON, which is longer than what is packed here. */
    if (1.4 * (double)u.value.buffer.size > rr_value_kb_max(&a->config) * 1024) {
        rr_app_refuse(rs, 400, "too large", 0);
    } else if (!commit_for_user(a, &u)) {
        rr_app_refuse(rs, 503, "overloaded", 2);
    } else if (u.status == RR_COMMIT_DONE) {
        answer_job_state(rs, 201, s->job_id, "queued");
    } else if (u.status != RR_COMMIT_CONFLICT || !answer_known(a, s->job_id, rs)) {
        rr_app_refuse(rs, 503, "state not reachable", 1);
    }
    rr_encoder_clear(&u.value);
}

static void decide_submission(struct rr_app *a, const struct rr_http_request *rq,
                              struct rr_http_response *rs) {
    rr_document doc;
    rr_submission s = {0};
    const char *why = "not MessagePack";
    char ref[RR_ID_SIZE] = "";
    int rc = rr_document_parse(&doc, rq->body, rq->len);
    if (rc == 0) {
        rr_map_get_text(doc.root, "ref", ref, sizeof ref);
        rc = rr_submission_decode(doc.root, &s, &why);
    }
    rr_document_clear(&doc);
    enum rr_submission_check admit = RR_SUBMISSION_UNSATISFIABLE;
    if (rc == 0) {
        pthread_mutex_lock(&a->lock);
        admit = rr_core_check_submission(a->core, &s, &why);
        pthread_mutex_unlock(&a->lock);
    }
    if (rc == 0 && admit == RR_SUBMISSION_NEW) {
        int retry_after_s = 0;
        if (!rr_app_admission_ask(a, &s, &retry_after_s)) {
            rr_app_refuse(rs, 503, "the fair share is used up", retry_after_s);
        } else {
            accept_job(a, &s, rs);
            if (rs->status == 201) {
                rr_app_admission_accepted(a, &s);
            }
        }
        rr_submission_clear(&s);
        return;
    }
    rr_submission_clear(&s);
    /* Before a refusal for good: the job may be known where this mirror does not reach yet. */
    if (rr_job_id_valid(ref) && answer_known(a, ref, rs)) {
        return;
    }
    if (rc != 0) {
        rr_app_refuse(rs, 400, why, 0);
    } else if (admit == RR_SUBMISSION_UNSATISFIABLE) {
        rr_app_refuse(rs, 422, why, 0);
    } else {
        rr_app_refuse(rs, 503, why, 1);
    }
}

static void submit(struct rr_app *a, const struct rr_http_request *rq,
                   struct rr_http_response *rs) {
    double began = rr_steady_clock_s();
    /* New work is what goes first when there is too little time: told before a byte is decoded. */
    if (atomic_load(&a->lag_ms) > LAG_MS) {
        rr_app_refuse(rs, 503, "overloaded", 2);
    } else {
        decide_submission(a, rq, rs);
    }
    double took = rr_steady_clock_s() - began;
    rr_stats_submission(a->stats, rs->status, took);
    if (rs->status >= 500 || took > 0.15) {
        rr_log(RR_DEBUG_LEVEL, "submission answered %d after %.0f ms", rs->status, took * 1000);
    }
}

void rr_app_poll_here(struct rr_app *a, const char *ref, struct rr_http_response *rs) {
    rr_job_view v = {0};
    bool valid = rr_job_id_valid(ref);
    if (valid && !view_behind_barrier(a, ref, &v)) {
        rr_app_refuse(rs, 503, "state not reachable", 1);
    } else if (!v.known) {
        rr_app_refuse(rs, 404, "no such job", 0);
    } else if (!v.done && !v.cancelled && !rr_app_cells_view_transferred(a, ref, &v)) {
        rr_app_refuse(rs, 503, "the cell that has the job is not reachable", 1);
    } else {
        rs->status = 200;
        rr_encode_map(&rs->body, 4);
        rr_encode_key_text(&rs->body, "ref", ref);
        rr_encode_key_text(&rs->body, "standing", v.state);
        rr_encode_key_u64(&rs->body, "done", v.done_count);
        rr_encode_key_u64(&rs->body, "running", v.running_count);
    }
}

/* The other controllers stop the job's tasks in their answers from now on, also one that the state
 * service refuses and whose mirror does not bring it the cancellation. */
void rr_app_announce_cancellation(struct rr_app *a, const char *ref) {
    pthread_mutex_lock(&a->lock);
    bool able = rr_core_all_gang_capable(a->core);
    pthread_mutex_unlock(&a->lock);
    if (able) {
        rr_peers_send_cancellation(a->peers, ref, rr_steady_clock_s() + a->config.cancel_s);
    }
}

/* One try to record the cancellation. True: answered. */
static bool try_cancel(struct rr_app *a, const char *ref, double until,
                       struct rr_http_response *rs) {
    struct rr_user_commit u = {.deadline = until};
    rr_job_view v;
    rr_encoder_init(&u.value);
    rr_core_job_key(ref, u.key, sizeof u.key);
    pthread_mutex_lock(&a->lock);
    bool open = rr_core_cancel_record(a->core, ref, &u.value, &u.version);
    bool here = !open || rr_app_cells_guard_cancel(a, ref, &u);
    pthread_mutex_unlock(&a->lock);
    bool answered = true;
    if (!here) {
        rr_app_refuse(rs, 503, "another cell may still run the job", 1);
    } else if (!open) {
        if (!view_behind_barrier(a, ref, &v)) {
            rr_app_refuse(rs, 503, "state not reachable", 1);
        } else if (!v.known) {
            rr_app_refuse(rs, 404, "no such job", 0);
        } else if (v.done || v.cancelled) {
            answer_job_state(rs, 200, ref, v.state);
        } else {
            answered = false; /* it came to be known just now */
        }
    } else if (!commit_for_user(a, &u)) {
        rr_app_refuse(rs, 503, "overloaded", 1);
    } else if (u.status == RR_COMMIT_DONE) {
        rr_log(RR_DEBUG_LEVEL, "job %s is cancelled", ref);
        rr_app_announce_cancellation(a, ref);
        answer_job_state(rs, 200, ref, "aborted");
    } else if (u.status == RR_COMMIT_CONFLICT) {
        pthread_mutex_lock(&a->lock);
        answered = !rr_app_wait_revision(a, u.revision, until);
        pthread_mutex_unlock(&a->lock);
        if (answered) {
            rr_app_refuse(rs, 503, "state not reachable", 1);
        }
    } else {
        rr_app_refuse(rs, 503, "state not reachable", 1);
    }
    rr_encoder_clear(&u.value);
    return answered;
}

/* Whether no other cell can have the job any more; if one has it, it is taken back. */
static bool is_here(struct rr_app *a, const char *ref, int *retry_after_s) {
    struct rr_user_commit u = {.deadline = rr_steady_clock_s() + RR_SUBMISSION_WAIT_S};
    rr_encoder_init(&u.value);
    enum rr_cancel_first first = rr_app_cells_cancel(a, ref, &u, retry_after_s);
    if (first == RR_CANCEL_WITHDRAW) {
        commit_for_user(a, &u);
    }
    rr_encoder_clear(&u.value);
    return first == RR_CANCEL_FREE;
}

void rr_app_cancel_here(struct rr_app *a, const char *ref, struct rr_http_response *rs) {
    double until = rr_steady_clock_s() + 2.5;
    int retry_after_s = 0;
    if (!rr_job_id_valid(ref)) {
        rr_app_refuse(rs, 404, "no such job", 0);
        return;
    }
    if (!is_here(a, ref, &retry_after_s)) {
        rr_app_refuse(rs, 503, "another cell may still run the job", retry_after_s);
        return;
    }
    while (!try_cancel(a, ref, until, rs)) {
        if (rr_steady_clock_s() > until || atomic_load(&a->stop)) {
            rr_app_refuse(rs, 503, "busy", 1);
            return;
        }
    }
}

static void poll_job(struct rr_app *a, const char *ref, struct rr_http_response *rs) {
    rr_app_poll_here(a, ref, rs);
    if (rs->status == 404 && rr_job_id_valid(ref)) {
        rr_app_cells_relay(a, false, ref, rs);
    }
}

static void cancel_job(struct rr_app *a, const char *ref, struct rr_http_response *rs) {
    rr_app_cancel_here(a, ref, rs);
    if (rs->status == 404 && rr_job_id_valid(ref)) {
        rr_app_cells_relay(a, true, ref, rs);
    }
}

/* ---- workers ---- */

void rr_app_take_heartbeat(struct rr_app *a, const void *body, size_t len, int via, unsigned hops) {
    rr_document doc;
    rr_heartbeat r;
    if (rr_document_parse(&doc, body, len) == 0) {
        if (rr_heartbeat_decode(doc.root, &r) == 0) {
            rr_heartbeat_digest h = {.worker_epoch = r.worker_epoch,
                                     .sequence = r.sequence,
                                     .hash = rr_heartbeat_hash(&r)};
            g_strlcpy(h.machine, r.machine, sizeof h.machine);
            pthread_mutex_lock(&a->lock);
            enum rr_heartbeat_news news =
                rr_core_take_heartbeat(a->core, rr_steady_clock_s(), &r, via);
            if (news == RR_HEARTBEAT_CHANGED) {
                rr_app_wake(a);
            }
            pthread_mutex_unlock(&a->lock);
            if (news != RR_HEARTBEAT_IGNORED && hops == 0) {
                rr_peers_forward_heartbeats(a->peers, via, &h, 1, body, len);
            }
        }
        rr_heartbeat_clear(&r);
    }
    rr_document_clear(&doc);
}

static void hello(struct rr_app *a, const struct rr_http_request *rq, struct rr_http_response *rs) {
    rs->yields = true;
    rr_document doc;
    rr_heartbeat r = {0};
    struct rr_heartbeat_reply ans = {0};
    int rc = rr_document_parse(&doc, rq->body, rq->len);
    if (rc == 0) {
        rc = rr_heartbeat_decode(doc.root, &r);
    }
    rr_document_clear(&doc);
    if (rc != 0) {
        rr_heartbeat_clear(&r);
        rr_log(RR_INFO_LEVEL, "unreadable report of %zu bytes", rq->len);
        rr_app_refuse(rs, 400, "unreadable report", 0);
        return;
    }
    rr_heartbeat_digest h = {
        .worker_epoch = r.worker_epoch, .sequence = r.sequence, .hash = rr_heartbeat_hash(&r)};
    g_strlcpy(h.machine, r.machine, sizeof h.machine);
    pthread_mutex_lock(&a->lock);
    double now = rr_steady_clock_s();
    rr_core_reply_to_heartbeat(a->core, now, &r, &ans);
    enum rr_heartbeat_news news = rr_core_take_heartbeat(a->core, now, &r, -1);
    if (news == RR_HEARTBEAT_CHANGED) {
        rr_app_wake(a);
    }
    uint32_t rare, wanted = rr_core_heartbeat_subscribers(a->core, h.machine, &rare);
    pthread_mutex_unlock(&a->lock);
    if (news != RR_HEARTBEAT_IGNORED) {
        rr_peers_send_heartbeat(a->peers, wanted, rare, &h, rq->body, rq->len);
    }
    rs->status = ans.status;
    if (ans.status == 200) {
        rr_commands_encode(&rs->body, ans.fencing_token, 0, ans.commands);
        g_array_free(ans.commands, TRUE);
    } else {
        rr_encode_map(&rs->body, ans.peer ? 1 : 0);
        if (ans.peer) {
            rr_encode_key_text(&rs->body, "answers_to", ans.peer);
        }
    }
}

static void ready(struct rr_app *a, struct rr_http_response *rs) {
    pthread_mutex_lock(&a->lock);
    bool ok = rr_core_ready(a->core, rr_steady_clock_s());
    pthread_mutex_unlock(&a->lock);
    if (ok) {
        rs->status = 200;
    } else {
        rr_app_refuse(rs, 503, "not ready", 1);
    }
}

/* ---- routes ---- */

static bool expect(const struct rr_http_request *rq, const char *method,
                   struct rr_http_response *rs) {
    if (strcmp(rq->method, method) == 0) {
        return true;
    }
    rr_app_refuse(rs, 405, "wrong method", 0);
    rs->allow = method;
    return false;
}

static void route_job(struct rr_app *a, const struct rr_http_request *rq,
                      struct rr_http_response *rs, const char *rest) {
    char ref[RR_ID_SIZE];
    const char *slash = strchr(rest, '/');
    size_t n = slash ? (size_t)(slash - rest) : strlen(rest);
    if (n >= sizeof ref || (slash && strcmp(slash, "/cancel") != 0)) {
        rr_app_refuse(rs, 404, "no such path", 0);
        return;
    }
    memcpy(ref, rest, n);
    ref[n] = 0;
    if (slash) {
        if (expect(rq, "POST", rs)) {
            cancel_job(a, ref, rs);
        }
    } else if (expect(rq, "GET", rs)) {
        poll_job(a, ref, rs);
    }
}

void rr_app_handle(void *user, const struct rr_http_request *rq, struct rr_http_response *rs) {
    struct rr_app *a = user;
    if (strcmp(rq->path, "/hello") == 0) {
        if (expect(rq, "POST", rs)) {
            hello(a, rq, rs);
        }
    } else if (strcmp(rq->path, "/submissions") == 0) {
        if (expect(rq, "POST", rs)) {
            submit(a, rq, rs);
        }
    } else if (strcmp(rq->path, "/ready") == 0) {
        if (expect(rq, "GET", rs)) {
            ready(a, rs);
        }
    } else if (strncmp(rq->path, "/submissions/", 13) == 0) {
        route_job(a, rq, rs, rq->path + 13);
    } else {
        rr_app_refuse(rs, 404, "no such path", 0);
    }
}
