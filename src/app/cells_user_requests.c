#include "app/cells_user_requests.h"
#include "admission/verdict.h"
#include "app/cells_state.h"
#include "app/http_responses.h"
#include "common/clock.h"

#include <math.h>
#include <string.h>

/* Retry-After of the 503 response while a cell that may know the job can't be reached. */
#define RELAY_RETRY_S 2

static bool is_reachable(struct rr_app *app, size_t neighbour) {
    pthread_mutex_lock(&app->lock);
    bool reachable = rr_steady_clock_s() >= app->cells->unreachable_until[neighbour];
    pthread_mutex_unlock(&app->lock);
    return reachable;
}

/* Sends one request on a new connection. Returns 0 or -errno; *reply must be cleared after
 * either. */
static int send_request(struct rr_app *app, size_t neighbour, const rr_cells_request *request,
                        rr_cells_reply *reply) {
    rr_cells_client *client = rr_cells_client_create(&app->cells_settings, neighbour, &app->stop);
    int rc = rr_cells_send_request(client, request, reply);
    rr_cells_client_destroy(client);
    return rc;
}

/* ---- relaying requests about jobs that other cells accepted ---- */

/* Relays the request to one neighbour. Returns true with its answer in *response if it has
 * answered, even if it does not know the job. */
static bool relay_to_neighbour(struct rr_app *app, size_t neighbour,
                               const rr_cells_request *request, struct rr_http_response *response) {
    rr_cells_reply reply;
    if (!is_reachable(app, neighbour)) {
        return false;
    }
    int rc = send_request(app, neighbour, request, &reply);
    bool answered = rc == 0 && reply.status == RR_CELLS_OK && reply.http_status > 0;
    if (rc != 0) {
        rr_app_cells_record_reachability(app, neighbour, false);
    }
    if (answered) {
        response->status = reply.http_status;
        response->retry_after_s = reply.retry_after_s;
        msgpack_sbuffer_clear(&response->body.buffer);
        msgpack_sbuffer_write(&response->body.buffer, (const char *)reply.body->data,
                              reply.body->len);
    }
    rr_cells_reply_clear(&reply);
    return answered;
}

/* Answers from a job's record if the job's state is final; otherwise returns false. */
static bool answer_final_state(const msgpack_object *record, const char *job_id,
                               struct rr_http_response *response) {
    uint64_t task_count = 0;
    bool done = rr_map_get(record, "final") != NULL, cancelled = false;
    rr_map_get_u64(record, "pieces", &task_count);
    rr_map_get_bool(record, "cancelled", &cancelled);
    if (done || cancelled) {
        msgpack_sbuffer_clear(&response->body.buffer);
        rr_app_answer_job_view(response, job_id, done ? "done" : "aborted", done ? task_count : 0,
                               0);
    }
    return done || cancelled;
}

/* Answers from the job's record in the neighbour's key-value store, for when none of its
 * controllers answers. Only a final state may be answered, as it can't change any more. Returns
 * false if none was found. */
static bool answer_from_neighbour_store(struct rr_app *app, size_t neighbour, const char *job_id,
                                        struct rr_http_response *response) {
    char key[RR_ID_SIZE + 64];
    uint64_t version, lease_id;
    rr_document document;
    if (!app->cells_settings.neighbours[neighbour].claimable) {
        return false;
    }
    rr_store *store = rr_app_cells_open_neighbour_store(app, neighbour);
    rr_core_job_key(job_id, key, sizeof key);
    bool answered = false;
    if (rr_store_get(store, key, &document, &version, &lease_id) == 0) {
        answered = answer_final_state(rr_map_get(document.root, "v"), job_id, response);
        rr_document_clear(&document);
    }
    rr_store_destroy(store);
    return answered;
}

/* The job counts as unknown only if every cell has answered. */
bool rr_app_cells_relay_request(struct rr_app *app, enum rr_cells_request_kind kind,
                                const char *job_id, struct rr_http_response *response) {
    rr_cells_request request;
    bool all_answered = true, known = false;
    if (!app->cells) {
        return false;
    }
    rr_cells_request_init(&request, kind);
    g_strlcpy(request.job_id, job_id, sizeof request.job_id);
    for (size_t i = 0; i < app->cells_settings.neighbour_count && !known; i++) {
        rr_cells_request_set_cells(&request, &app->cells_settings, i);
        bool answered = relay_to_neighbour(app, i, &request, response);
        known = answered ? response->status != 404
                         : answer_from_neighbour_store(app, i, job_id, response);
        all_answered = all_answered && answered;
    }
    rr_cells_request_clear(&request);
    if (!known && !all_answered) {
        msgpack_sbuffer_clear(&response->body.buffer);
        rr_app_answer_error(response, 503, "a cell that may know the job is not reachable",
                            RELAY_RETRY_S);
    }
    return known || !all_answered;
}

/* ---- jobs of this cell that are transferred to others ---- */

/* Updates the view from the answer of the guest cell, the neighbour that runs the job. Only running
 * tasks are taken from it: done tasks count once this cell has recorded the job's end. Returns
 * false if the answer can't be used. */
static bool apply_guest_answer(const rr_cells_reply *reply, rr_job_view *view) {
    rr_document document;
    char state[32] = "";
    uint64_t running = 0;
    if (reply->status != RR_CELLS_OK || reply->http_status != 200 ||
        rr_document_parse(&document, reply->body->data, reply->body->len) != 0) {
        /* With 404, the guest cell has not accepted the job yet, and the view stays as it is. */
        return reply->status == RR_CELLS_OK && reply->http_status == 404;
    }
    rr_map_get_text(document.root, "standing", state, sizeof state);
    rr_map_get_u64(document.root, "running", &running);
    if (strcmp(state, "running") == 0) {
        view->state = "running";
        view->running_count = (uint32_t)running;
    }
    rr_document_clear(&document);
    return true;
}

bool rr_app_cells_update_transferred_view(struct rr_app *app, const char *job_id,
                                          rr_job_view *view) {
    rr_cells_request request;
    rr_cells_reply reply;
    size_t neighbour = 0;
    if (!app->cells) {
        return true;
    }
    rr_cells_request_init(&request, RR_CELLS_POLL);
    pthread_mutex_lock(&app->lock);
    bool transferred = rr_transfers_locate_job(app->cells->transfers, job_id, &neighbour,
                                               request.job_id, sizeof request.job_id);
    pthread_mutex_unlock(&app->lock);
    bool complete = !transferred;
    if (transferred && is_reachable(app, neighbour)) {
        rr_cells_request_set_cells(&request, &app->cells_settings, neighbour);
        complete =
            send_request(app, neighbour, &request, &reply) == 0 && apply_guest_answer(&reply, view);
        rr_cells_reply_clear(&reply);
    }
    rr_cells_request_clear(&request);
    return complete;
}

enum rr_cancel_precondition rr_app_cells_prepare_cancellation(struct rr_app *app,
                                                              const char *job_id,
                                                              struct rr_user_commit *commit,
                                                              int *retry_after_s) {
    rr_outgoing_record withdrawn;
    double wait_s = 0;
    if (!app->cells) {
        return RR_CANCEL_ALLOWED;
    }
    pthread_mutex_lock(&app->lock);
    enum rr_cancel_precondition precondition = rr_transfers_get_cancel_precondition(
        app->cells->transfers, job_id, rr_wall_clock_s(), &wait_s, &withdrawn, &commit->version);
    pthread_mutex_unlock(&app->lock);
    if (precondition == RR_CANCEL_NEEDS_WITHDRAWAL) {
        rr_cells_outgoing_key(job_id, commit->key, sizeof commit->key);
        rr_cells_outgoing_encode(&withdrawn, &commit->value);
    }
    *retry_after_s = (int)fmax(1, fmin(ceil(wait_s), RR_RETRY_AFTER_MAX_S));
    return precondition;
}

bool rr_app_cells_may_cancel_with_guard(const struct rr_app *app, const char *job_id,
                                        struct rr_user_commit *commit) {
    if (!app->cells) {
        return true;
    }
    rr_cells_outgoing_key(job_id, commit->extra_guard_key, sizeof commit->extra_guard_key);
    return rr_transfers_may_cancel(app->cells->transfers, job_id, rr_wall_clock_s(),
                                   &commit->extra_guard_version);
}
