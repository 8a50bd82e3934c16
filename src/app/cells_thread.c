/* Cells in this process: a thread for each neighbour drives the transfers with it, connections from
 * neighbours are answered, and users' requests for jobs of other cells are carried there.
 *
 * The transfers are under the core's lock. Requests, replies and changes go on without it. */
#include "app/thread_loop.h"
#include "common/clock.h"
#include "common/log.h"
#include "common/usage.h"
#include "admission/verdict.h"
#include "common/thread.h"
#include "cells/links.h"
#include "cells/transfers.h"
#include "core/cache_feed.h"
#include "core/extensions.h"
#include "core/heartbeats.h"
#include "core/leadership.h"
#include "core/submissions.h"

#include <errno.h>
#include <math.h>
#include <string.h>

#define LOOKS 40.0 /* at the transfers in a lease */
#define LOOK_MAX_S 0.5
#define READINGS                                                                                   \
    6.0 /* of a neighbour's key-value store in a lease, while it has no controllers                \
         */
#define READ_SHARE 0.25 /* of its limits, which are taken to be like this cell's */
#define THERE_S 1.5
#define DOWN_S 5.0 /* a neighbour that did not answer is taken for unreachable for so long */
#define RELAY_RETRY_S 2

/* A neighbour's key-value store, read while it has no controllers; its thread's own. */
struct absent_reader {
    rr_store *store; /* NULL: the settings name none */
    rr_absent *absent;
    double unanswered_since; /* steady, 0: its controllers answer */
    double heartbeat_at, asked_at, read_at;
};

struct neighbour_thread {
    struct rr_app *app;
    size_t neighbour;
    pthread_t thread;
    bool started;
};

struct rr_app_cells {
    rr_transfers *transfers; /* under the core's lock */
    rr_cells_links *links;
    struct neighbour_thread neighbour_threads[RR_CELLS_MAX];
    double down_until[RR_CELLS_MAX]; /* steady, under the core's lock */
    rr_budget
        *budgets[RR_CELLS_MAX]; /* for the neighbours' key-value stores; NULL: not claimable */
};

/* Called with the core's lock held, as records come. */
static void on_record(void *user, const char *rest, const msgpack_object *value, uint64_t version) {
    struct rr_app_cells *state = user;
    if (!rr_transfers_put(state->transfers, rest, value, version)) {
        rr_log(RR_DEBUG_LEVEL, "cells: a record of an unknown form is passed over");
    }
}

/* ---- changes ---- */

/* All controllers stop the tasks of a copy in their answers. */
static void announce_end_of_copy(struct rr_app *app, const char *local_id) {
    pthread_mutex_lock(&app->lock);
    rr_core_add_cancel_hint(app->core, local_id, rr_steady_clock_s());
    pthread_mutex_unlock(&app->lock);
    rr_app_announce_cancellation(app, local_id);
}

static rr_transfer_message commit_write(struct rr_app *app, rr_store *store,
                                        const rr_transfer_write *write) {
    uint64_t revision = 0;
    if (write->ends_copy) {
        announce_end_of_copy(app, write->id);
    }
    enum rr_commit_status rc =
        rr_app_commit(app, store, RR_REQUEST_USER, &write->transaction, &revision);
    pthread_mutex_lock(&app->lock);
    double now = rr_steady_clock_s();
    if (rc == RR_COMMIT_DONE) {
        rr_core_apply(app->core, &write->transaction, revision, now);
    } else if (rc == RR_COMMIT_CONFLICT) {
        rr_app_wait_revision(app, revision, now + 1);
    }
    rr_transfer_message message =
        rr_transfers_written(app->cells->transfers, write, rc == RR_COMMIT_DONE);
    rr_app_wake(app);
    pthread_mutex_unlock(&app->lock);
    if (rc != RR_COMMIT_DONE) {
        rr_log(RR_DEBUG_LEVEL, "cells: a change of %s was not made (%d)", write->id, (int)rc);
    }
    return message;
}

/* ---- replies ---- */

static void take_replies(struct rr_app *app, rr_store *store, size_t neighbour,
                         const rr_cells_request *request, const rr_cells_reply *reply) {
    for (guint i = 0; i < request->items->len; i++) {
        rr_transfer_write write;
        pthread_mutex_lock(&app->lock);
        bool writes = rr_transfers_replied(app->cells->transfers, neighbour,
                                           &g_array_index(request->items, rr_cells_item, i),
                                           &g_array_index(reply->items, rr_cells_item, i).message,
                                           rr_steady_clock_s(), rr_wall_clock_s(), &write);
        pthread_mutex_unlock(&app->lock);
        if (writes) {
            commit_write(app, store, &write);
            rr_transfer_write_clear(&write);
        }
    }
}

static void note_answer(struct rr_app *app, size_t neighbour, bool answered) {
    pthread_mutex_lock(&app->lock);
    app->cells->down_until[neighbour] = answered ? 0 : rr_steady_clock_s() + DOWN_S;
    if (!answered) {
        rr_transfers_unanswered(app->cells->transfers, neighbour, rr_steady_clock_s());
    }
    pthread_mutex_unlock(&app->lock);
}

/* ---- a neighbour without controllers ---- */

static void reader_init(struct rr_app *app, size_t neighbour, struct absent_reader *reader) {
    const rr_cell *cell = &app->cells_settings.neighbours[neighbour];
    memset(reader, 0, sizeof *reader);
    if (cell->claimable) {
        reader->store = rr_store_create(&cell->state, app->cells->budgets[neighbour], &app->stop);
        reader->absent = rr_absent_create(&app->config, app->cells_settings.name);
    }
}

static void reader_clear(struct absent_reader *reader) {
    rr_absent_destroy(reader->absent);
    rr_store_destroy(reader->store);
}

static void count_session(void *user, const char *key, const msgpack_object *value,
                          uint64_t version) {
    (void)value;
    (void)version;
    *(unsigned *)user += g_str_has_prefix(key, RR_KEY_ROOT "node/");
}

static void put_record(void *user, const char *key, const msgpack_object *value, uint64_t version) {
    rr_absent_put(user, key, value, version, rr_steady_clock_s());
}

static int read_all(struct rr_app *app, struct absent_reader *reader, const char *prefix,
                    rr_store_row_fn callback, void *user) {
    rr_store_cursor cursor = {.more = true};
    int rc = 0;
    while (rc == 0 && cursor.more && !rr_app_stopping(app)) {
        rr_document document;
        rc = rr_store_next_page(reader->store, prefix, &cursor, &document);
        if (rc == 0) {
            rr_store_each_row(&document, &cursor, callback, user);
            rr_document_clear(&document);
        }
    }
    return rr_app_stopping(app) ? -ECANCELED : rc;
}

/* Sessions, all records, sessions again. False: it could not be read. */
static bool read_absent(struct rr_app *app, struct absent_reader *reader) {
    unsigned sessions = 0;
    reader->asked_at = rr_steady_clock_s();
    int rc = read_all(app, reader, RR_KEY_ROOT "node/", count_session, &sessions);
    if (rc == 0 && sessions == 0) {
        rr_absent_begin(reader->absent);
        rc = read_all(app, reader, RR_KEY_ROOT, put_record, reader->absent);
        rr_absent_end(reader->absent, rr_steady_clock_s());
    }
    if (rc == 0 && sessions == 0) {
        rc = read_all(app, reader, RR_KEY_ROOT "node/", count_session, &sessions);
    }
    rr_absent_confirm(reader->absent, rc == 0 && sessions == 0, rr_steady_clock_s());
    return rc == 0 && sessions == 0;
}

/* One change to the neighbour's own key-value store. One whose outcome is not known is read next
 * time, and its guards keep it from being made twice. */
static void commit_there(struct rr_app *app, struct absent_reader *reader,
                         const rr_transfer_write *write) {
    uint64_t revision;
    enum rr_commit_status rc = rr_store_commit(reader->store, RR_REQUEST_USER, &write->transaction,
                                               THERE_S, &revision, NULL);
    if (rc == RR_COMMIT_DONE) {
        pthread_mutex_lock(&app->lock);
        rr_transfers_absent_written(app->cells->transfers, write);
        pthread_mutex_unlock(&app->lock);
    }
}

static void look_absent(struct rr_app *app, rr_store *store, struct absent_reader *reader,
                        size_t neighbour) {
    double pause = app->cells_settings.lease_s / READINGS;
    if (!reader->store || reader->unanswered_since <= 0 ||
        rr_steady_clock_s() - reader->unanswered_since < app->cells_settings.lease_s / 2 ||
        rr_steady_clock_s() - reader->read_at < pause) {
        return;
    }
    reader->read_at = rr_steady_clock_s();
    if (!read_absent(app, reader)) {
        return;
    }
    rr_transfers_plan here;
    GPtrArray *there = g_ptr_array_new();
    rr_transfers_plan_init(&here);
    pthread_mutex_lock(&app->lock);
    rr_transfers_look_absent(app->cells->transfers, neighbour, reader->absent, reader->asked_at,
                             rr_steady_clock_s(), rr_wall_clock_s(), &here, there);
    pthread_mutex_unlock(&app->lock);
    for (guint i = 0; i < here.writes->len; i++) {
        commit_write(app, store, g_ptr_array_index(here.writes, i));
    }
    for (guint i = 0; i < there->len && !rr_app_stopping(app); i++) {
        commit_there(app, reader, g_ptr_array_index(there, i));
    }
    g_ptr_array_free(there, TRUE);
    rr_transfers_plan_clear(&here);
}

/* ---- the thread ---- */

/* False: there was no answer. */
static bool send_request(struct rr_app *app, rr_store *store, rr_cells_client *client,
                         size_t neighbour, const rr_cells_request *request) {
    rr_cells_reply reply;
    int rc = rr_cells_ask(client, request, &reply);
    note_answer(app, neighbour, rc == 0);
    if (rc == 0 && reply.status == RR_CELLS_OK && reply.items->len == request->items->len) {
        pthread_mutex_lock(&app->lock);
        rr_transfers_room_announced(app->cells->transfers, neighbour, &reply.room,
                                    rr_steady_clock_s());
        pthread_mutex_unlock(&app->lock);
        take_replies(app, store, neighbour, request, &reply);
    } else if (rc == 0) {
        rr_log(RR_DEBUG_LEVEL, "cells: %s answers: %s", request->to,
               rr_cells_status_name(reply.status));
    }
    rr_cells_reply_clear(&reply);
    return rc == 0;
}

/* Where jobs may be claimed, it must be known whether the neighbour answers. */
static void add_heartbeat(struct rr_app *app, size_t neighbour, rr_transfers_plan *plan) {
    rr_cells_request *request = g_new0(rr_cells_request, 1);
    rr_cells_request_init(request, RR_CELLS_TRANSFERS);
    rr_cells_request_address(request, &app->cells_settings, neighbour);
    g_strlcpy(request->team, app->config.teams[0].name, sizeof request->team);
    g_ptr_array_add(plan->requests, request);
}

static void look(struct rr_app *app, rr_store *store, rr_cells_client *client,
                 struct absent_reader *reader, size_t neighbour) {
    rr_transfers_plan plan;
    rr_transfers_plan_init(&plan);
    pthread_mutex_lock(&app->lock);
    rr_transfers_look(app->cells->transfers, neighbour, !app->planning, rr_steady_clock_s(),
                      rr_wall_clock_s(), &plan);
    pthread_mutex_unlock(&app->lock);
    for (guint i = 0; i < plan.writes->len; i++) {
        commit_write(app, store, g_ptr_array_index(plan.writes, i));
    }
    bool heartbeat =
        reader->store && plan.requests->len == 0 &&
        rr_steady_clock_s() - reader->heartbeat_at >= app->cells_settings.lease_s / READINGS;
    if (heartbeat) {
        add_heartbeat(app, neighbour, &plan);
    }
    bool answers = true, asked = plan.requests->len > 0;
    for (guint i = 0; i < plan.requests->len && answers && !rr_app_stopping(app); i++) {
        answers = send_request(app, store, client, neighbour, g_ptr_array_index(plan.requests, i));
    }
    if (asked) {
        reader->heartbeat_at = rr_steady_clock_s();
        reader->unanswered_since = answers                        ? 0
                                   : reader->unanswered_since > 0 ? reader->unanswered_since
                                                                  : reader->heartbeat_at;
    }
    rr_transfers_plan_clear(&plan);
}

static void *neighbour_main(void *argument) {
    const struct neighbour_thread *duty = argument;
    struct rr_app *app = duty->app;
    rr_usage_enter(RR_USAGE_CELLS);
    rr_store *store = rr_app_open_store(app);
    rr_cells_client *client =
        rr_cells_client_create(&app->cells_settings, duty->neighbour, &app->stop);
    double pause = fmin(app->cells_settings.lease_s / LOOKS, LOOK_MAX_S);
    struct absent_reader reader;
    reader_init(app, duty->neighbour, &reader);
    while (!rr_app_stopping(app)) {
        look(app, store, client, &reader, duty->neighbour);
        look_absent(app, store, &reader, duty->neighbour);
        rr_app_pause(app, pause);
    }
    reader_clear(&reader);
    rr_cells_client_destroy(client);
    rr_store_destroy(store);
    rr_usage_leave();
    return NULL;
}

/* ---- requests of neighbours ---- */

static void serve_item(struct rr_app *app, void **context, size_t neighbour,
                       const rr_cells_request *request, const rr_cells_item *item,
                       rr_transfer_message *reply) {
    rr_transfer_write write;
    pthread_mutex_lock(&app->lock);
    double now = rr_steady_clock_s();
    bool speaks = rr_transfers_speaks_for(app->cells->transfers, request->team, now);
    bool writes = speaks && rr_transfers_receive(app->cells->transfers, neighbour, request, item,
                                                 now, rr_wall_clock_s(), reply, &write);
    pthread_mutex_unlock(&app->lock);
    if (writes) {
        if (!*context) {
            *context = rr_app_open_store(app);
        }
        *reply = commit_write(app, *context, &write);
        rr_transfer_write_clear(&write);
    }
}

static void serve_transfers(struct rr_app *app, void **context, size_t neighbour,
                            const rr_cells_request *request, rr_cells_reply *reply) {
    pthread_mutex_lock(&app->lock);
    bool speaks =
        rr_transfers_speaks_for(app->cells->transfers, request->team, rr_steady_clock_s());
    const char *owner = rr_core_team_owner(app->core, request->team);
    g_strlcpy(reply->owner, owner && strcmp(owner, app->config.node_name) != 0 ? owner : "",
              sizeof reply->owner);
    pthread_mutex_unlock(&app->lock);
    if (!speaks) {
        reply->status = RR_CELLS_NOT_OWNER;
        return;
    }
    for (guint i = 0; i < request->items->len; i++) {
        const rr_cells_item *item = &g_array_index(request->items, rr_cells_item, i);
        rr_transfer_message message = {.kind = RR_TRANSFER_NOTHING};
        serve_item(app, context, neighbour, request, item, &message);
        rr_cells_add_item(reply->items, item->job_id, &message);
    }
    pthread_mutex_lock(&app->lock);
    reply->room = rr_transfers_room(app->cells->transfers, rr_steady_clock_s());
    pthread_mutex_unlock(&app->lock);
}

/* Another cell's user asks here, for a job that this cell may have accepted. */
static void serve_user(struct rr_app *app, const rr_cells_request *request, rr_cells_reply *reply) {
    struct rr_http_response response = {0};
    rr_encoder_init(&response.body);
    if (request->kind == RR_CELLS_POLL) {
        rr_app_poll_here(app, request->job_id, &response);
    } else {
        rr_app_cancel_here(app, request->job_id, &response);
    }
    reply->http_status = response.status;
    reply->retry_after_s = response.retry_after_s;
    g_byte_array_append(reply->body, (const guint8 *)response.body.buffer.data,
                        (guint)response.body.buffer.size);
    rr_encoder_clear(&response.body);
}

static void serve(void *user, void **context, size_t neighbour, const rr_cells_request *request,
                  rr_cells_reply *reply) {
    if (request->kind == RR_CELLS_TRANSFERS) {
        serve_transfers(user, context, neighbour, request, reply);
    } else {
        serve_user(user, request, reply);
    }
}

static void end_context(void *context) {
    rr_store_destroy(context);
}

/* ---- users' requests for other cells' jobs ---- */

static bool reachable(struct rr_app *app, size_t neighbour) {
    pthread_mutex_lock(&app->lock);
    bool is_up = rr_steady_clock_s() >= app->cells->down_until[neighbour];
    pthread_mutex_unlock(&app->lock);
    return is_up;
}

/* One question, on a connection of its own. *reply is to be cleared in any case. */
static int ask_once(struct rr_app *app, size_t neighbour, const rr_cells_request *request,
                    rr_cells_reply *reply) {
    rr_cells_client *client = rr_cells_client_create(&app->cells_settings, neighbour, &app->stop);
    int rc = rr_cells_ask(client, request, reply);
    rr_cells_client_destroy(client);
    return rc;
}

/* True: the cell has answered, and knows the job or not. */
static bool relay_to(struct rr_app *app, size_t neighbour, const rr_cells_request *request,
                     struct rr_http_response *response) {
    rr_cells_reply reply;
    if (!reachable(app, neighbour)) {
        return false;
    }
    int rc = ask_once(app, neighbour, request, &reply);
    bool answered = rc == 0 && reply.status == RR_CELLS_OK && reply.http_status > 0;
    if (rc != 0) {
        note_answer(app, neighbour, false);
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

/* A final state that stands in the cell's key-value store can't change any more: it may be told
 * while nobody there answers. */
static bool read_final(struct rr_app *app, size_t neighbour, const char *job_id,
                       struct rr_http_response *response) {
    const rr_cell *cell = &app->cells_settings.neighbours[neighbour];
    char key[RR_ID_SIZE + 64];
    uint64_t version, lease, tasks = 0;
    bool cancelled = false;
    rr_document document;
    if (!cell->claimable) {
        return false;
    }
    rr_store *store = rr_store_create(&cell->state, app->cells->budgets[neighbour], &app->stop);
    rr_core_job_key(job_id, key, sizeof key);
    bool found = rr_store_get(store, key, &document, &version, &lease) == 0;
    if (found) {
        const msgpack_object *value = rr_map_get(document.root, "v");
        bool done = rr_map_get(value, "final") != NULL;
        rr_map_get_u64(value, "pieces", &tasks);
        rr_map_get_bool(value, "cancelled", &cancelled);
        found = done || cancelled;
        if (found) {
            msgpack_sbuffer_clear(&response->body.buffer);
            response->status = 200;
            rr_encode_map(&response->body, 4);
            rr_encode_key_text(&response->body, "ref", job_id);
            rr_encode_key_text(&response->body, "standing", done ? "done" : "aborted");
            rr_encode_key_u64(&response->body, "done", done ? tasks : 0);
            rr_encode_key_u64(&response->body, "running", 0);
        }
        rr_document_clear(&document);
    }
    rr_store_destroy(store);
    return found;
}

/* One that knows the job answers; that none does is said only when every one was asked. */
bool rr_app_cells_relay(struct rr_app *app, bool cancel, const char *job_id,
                        struct rr_http_response *response) {
    rr_cells_request request;
    bool all = true, known = false;
    if (!app->cells) {
        return false;
    }
    rr_cells_request_init(&request, cancel ? RR_CELLS_CANCEL : RR_CELLS_POLL);
    g_strlcpy(request.job_id, job_id, sizeof request.job_id);
    for (size_t i = 0; i < app->cells_settings.neighbour_count && !known; i++) {
        rr_cells_request_address(&request, &app->cells_settings, i);
        bool answered = relay_to(app, i, &request, response);
        known = answered ? response->status != 404 : read_final(app, i, job_id, response);
        all = all && answered;
    }
    rr_cells_request_clear(&request);
    if (!known && !all) {
        msgpack_sbuffer_clear(&response->body.buffer);
        rr_app_refuse(response, 503, "a cell that may know the job is not reachable",
                      RELAY_RETRY_S);
    }
    return known || !all;
}

/* What the guest says of its copy, as far as it may change: tasks that are done there count only
 * when the home has recorded the end. */
static bool read_transferred(const rr_cells_reply *reply, rr_job_view *view) {
    rr_document document;
    char state[32] = "";
    uint64_t running = 0;
    if (reply->status != RR_CELLS_OK || reply->http_status != 200 ||
        rr_document_parse(&document, reply->body->data, reply->body->len) != 0) {
        return reply->status == RR_CELLS_OK && reply->http_status == 404; /* not taken yet */
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

bool rr_app_cells_view_transferred(struct rr_app *app, const char *job_id, rr_job_view *view) {
    rr_cells_request request;
    rr_cells_reply reply;
    size_t neighbour = 0;
    if (!app->cells) {
        return true;
    }
    rr_cells_request_init(&request, RR_CELLS_POLL);
    pthread_mutex_lock(&app->lock);
    bool transferred = rr_transfers_transferred(app->cells->transfers, job_id, &neighbour,
                                                request.job_id, sizeof request.job_id);
    pthread_mutex_unlock(&app->lock);
    bool announced = !transferred;
    if (transferred && reachable(app, neighbour)) {
        rr_cells_request_address(&request, &app->cells_settings, neighbour);
        announced =
            ask_once(app, neighbour, &request, &reply) == 0 && read_transferred(&reply, view);
        rr_cells_reply_clear(&reply);
    }
    rr_cells_request_clear(&request);
    return announced;
}

enum rr_cancel_first rr_app_cells_cancel(struct rr_app *app, const char *job_id,
                                         struct rr_user_commit *commit, int *retry_after_s) {
    rr_out_record withdrawn;
    double wait_s = 0;
    if (!app->cells) {
        return RR_CANCEL_FREE;
    }
    pthread_mutex_lock(&app->lock);
    enum rr_cancel_first first = rr_transfers_cancel(
        app->cells->transfers, job_id, rr_wall_clock_s(), &wait_s, &withdrawn, &commit->version);
    pthread_mutex_unlock(&app->lock);
    if (first == RR_CANCEL_WITHDRAW) {
        rr_cells_out_key(job_id, commit->key, sizeof commit->key);
        rr_cells_out_encode(&withdrawn, &commit->value);
    }
    *retry_after_s = (int)fmax(1, fmin(ceil(wait_s), RR_RETRY_AFTER_MAX_S));
    return first;
}

bool rr_app_cells_guard_cancel(const struct rr_app *app, const char *job_id,
                               struct rr_user_commit *commit) {
    if (!app->cells) {
        return true;
    }
    rr_cells_out_key(job_id, commit->also_key, sizeof commit->also_key);
    return rr_transfers_may_cancel(app->cells->transfers, job_id, rr_wall_clock_s(),
                                   &commit->also_version);
}

/* ---- life ---- */

static rr_budget *neighbour_budget(const struct rr_app *app, size_t neighbour) {
    struct rr_budget_shares all = {1, 1, 1, 1};
    if (!app->cells_settings.neighbours[neighbour].claimable) {
        return NULL;
    }
    rr_budget *budget = rr_budget_create(READ_SHARE * app->config.state_rps,
                                         READ_SHARE * app->config.state_write_rps);
    rr_budget_set_shares(budget, &all);
    return budget;
}

int rr_app_cells_start(struct rr_app *app) {
    if (!app->config.cells) {
        return 0;
    }
    struct rr_app_cells *state = g_new0(struct rr_app_cells, 1);
    uint64_t process = (uint64_t)g_random_int() << 32 | g_random_int();
    state->transfers = rr_transfers_create(&app->cells_settings, &app->config, app->core, process);
    rr_core_watch_records(app->core, RR_CELLS_PREFIX, on_record, state);
    app->cells = state;
    for (size_t i = 0; i < app->cells_settings.neighbour_count; i++) {
        state->budgets[i] = neighbour_budget(app, i);
    }
    int rc = rr_cells_links_start(&app->cells_settings, &app->stop, serve, end_context, app,
                                  &state->links);
    for (size_t i = 0; rc == 0 && i < app->cells_settings.neighbour_count; i++) {
        struct neighbour_thread *duty = &state->neighbour_threads[i];
        *duty = (struct neighbour_thread){.app = app, .neighbour = i};
        rc = rr_thread_start(&duty->thread, neighbour_main, duty, false);
        duty->started = rc == 0;
    }
    if (rc != 0) {
        rr_log(RR_ERROR_LEVEL, "cells: %s:%u: %s", app->cells_settings.listen.host,
               app->cells_settings.listen.port, strerror(-rc));
    }
    return rc;
}

void rr_app_cells_join(struct rr_app *app) {
    for (size_t i = 0; app->cells && i < RR_CELLS_MAX; i++) {
        if (app->cells->neighbour_threads[i].started) {
            pthread_join(app->cells->neighbour_threads[i].thread, NULL);
        }
    }
    if (app->cells) {
        rr_cells_links_destroy(app->cells->links);
        app->cells->links = NULL;
    }
}

void rr_app_cells_stop(struct rr_app *app) {
    if (app->cells) {
        rr_transfers_destroy(app->cells->transfers);
        for (size_t i = 0; i < app->cells_settings.neighbour_count; i++) {
            rr_budget_destroy(app->cells->budgets[i]);
        }
        g_free(app->cells);
        app->cells = NULL;
    }
    rr_cells_settings_clear(&app->cells_settings);
}

void rr_app_cells_log(struct rr_app *app) {
    rr_transfers_stats stats;
    rr_cells_links_stats links;
    if (!app->cells) {
        return;
    }
    pthread_mutex_lock(&app->lock);
    rr_transfers_get_stats(app->cells->transfers, &stats);
    pthread_mutex_unlock(&app->lock);
    rr_cells_links_get_stats(app->cells->links, &links);
    rr_log(RR_INFO_LEVEL,
           "cells: %s, %u of our jobs away or back, %u of others here; so far offered "
           "%" G_GUINT64_FORMAT ", taken %" G_GUINT64_FORMAT ", refused %" G_GUINT64_FORMAT
           ", ended elsewhere %" G_GUINT64_FORMAT ", withdrawn %" G_GUINT64_FORMAT
           "; accepted %" G_GUINT64_FORMAT ", given back %" G_GUINT64_FORMAT
           ", lapsed %" G_GUINT64_FORMAT "; granted %" G_GUINT64_FORMAT
           ", claimed %" G_GUINT64_FORMAT "; strangers %" G_GUINT64_FORMAT
           ", refused requests %" G_GUINT64_FORMAT,
           stats.spilling ? "spilling" : "not spilling", stats.outgoing, stats.incoming,
           stats.offered, stats.taken, stats.refused, stats.finished, stats.withdrawn,
           stats.accepted, stats.given_back, stats.lapsed, stats.granted, stats.claimed,
           links.unknown_peers, links.refused);
}
