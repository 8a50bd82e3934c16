/* Cells in this process: a duty for each neighbour drives the transfers with it, connections from
 * neighbours are answered, and users' requests for jobs of other cells are carried there.
 *
 * The transfers are under the core's lock. Requests, replies and changes go on without it. */
#include "app/duty.h"
#include "app/clock.h"
#include "app/log.h"
#include "app/usage.h"
#include "admission/verdict.h"
#include "app/thread.h"
#include "cells/links.h"
#include "cells/transfers.h"

#include <errno.h>
#include <math.h>
#include <string.h>

#define LOOKS 40.0 /* at the transfers in a lease */
#define LOOK_MAX_S 0.5
#define READINGS 6.0    /* of a neighbour's state service in a lease, while it has no controllers */
#define READ_SHARE 0.25 /* of its limits, which are taken to be like this cell's */
#define THERE_S 1.5
#define DOWN_S 5.0 /* a neighbour that did not answer is taken for unreachable for so long */
#define RELAY_RETRY_S 2

/* A neighbour's state service, read while it has no controllers; its duty's own. */
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
    double down_until[RR_CELLS_MAX];  /* steady, under the core's lock */
    rr_budget *budgets[RR_CELLS_MAX]; /* for the neighbours' state services; NULL: not claimable */
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
static void announce_end_of_copy(struct rr_app *a, const char *local_id) {
    pthread_mutex_lock(&a->lock);
    rr_core_add_cancel_hint(a->core, local_id, rr_steady_clock_s());
    pthread_mutex_unlock(&a->lock);
    rr_app_announce_cancellation(a, local_id);
}

static rr_transfer_message commit_write(struct rr_app *a, rr_store *store,
                                        const rr_transfer_write *write) {
    uint64_t revision = 0;
    if (write->ends_copy) {
        announce_end_of_copy(a, write->id);
    }
    enum rr_commit_status rc =
        rr_app_commit(a, store, RR_REQUEST_USER, &write->transaction, &revision);
    pthread_mutex_lock(&a->lock);
    double now = rr_steady_clock_s();
    if (rc == RR_COMMIT_DONE) {
        rr_core_apply(a->core, &write->transaction, revision, now);
    } else if (rc == RR_COMMIT_CONFLICT) {
        rr_app_wait_revision(a, revision, now + 1);
    }
    rr_transfer_message message =
        rr_transfers_written(a->cells->transfers, write, rc == RR_COMMIT_DONE);
    rr_app_wake(a);
    pthread_mutex_unlock(&a->lock);
    if (rc != RR_COMMIT_DONE) {
        rr_log(RR_DEBUG_LEVEL, "cells: a change of %s was not made (%d)", write->id, (int)rc);
    }
    return message;
}

/* ---- replies ---- */

static void take_replies(struct rr_app *a, rr_store *store, size_t neighbour,
                         const rr_cells_request *request, const rr_cells_reply *reply) {
    for (guint i = 0; i < request->items->len; i++) {
        rr_transfer_write write;
        pthread_mutex_lock(&a->lock);
        bool writes = rr_transfers_replied(a->cells->transfers, neighbour,
                                           &g_array_index(request->items, rr_cells_item, i),
                                           &g_array_index(reply->items, rr_cells_item, i).message,
                                           rr_steady_clock_s(), rr_wall_clock_s(), &write);
        pthread_mutex_unlock(&a->lock);
        if (writes) {
            commit_write(a, store, &write);
            rr_transfer_write_clear(&write);
        }
    }
}

static void note_answer(struct rr_app *a, size_t neighbour, bool answered) {
    pthread_mutex_lock(&a->lock);
    a->cells->down_until[neighbour] = answered ? 0 : rr_steady_clock_s() + DOWN_S;
    if (!answered) {
        rr_transfers_unanswered(a->cells->transfers, neighbour, rr_steady_clock_s());
    }
    pthread_mutex_unlock(&a->lock);
}

/* ---- a neighbour without controllers ---- */

static void reader_init(struct rr_app *a, size_t neighbour, struct absent_reader *reader) {
    const rr_cell *cell = &a->cells_settings.neighbours[neighbour];
    memset(reader, 0, sizeof *reader);
    if (cell->claimable) {
        reader->store = rr_store_create(&cell->state, a->cells->budgets[neighbour], &a->stop);
        reader->absent = rr_absent_create(&a->config, a->cells_settings.name);
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

static int read_all(struct rr_app *a, struct absent_reader *reader, const char *prefix,
                    rr_store_row_fn fn, void *user) {
    rr_store_cursor cursor = {.more = true};
    int rc = 0;
    while (rc == 0 && cursor.more && !rr_app_stopping(a)) {
        rr_document doc;
        rc = rr_store_next_page(reader->store, prefix, &cursor, &doc);
        if (rc == 0) {
            rr_store_each_row(&doc, &cursor, fn, user);
            rr_document_clear(&doc);
        }
    }
    return rr_app_stopping(a) ? -ECANCELED : rc;
}

/* Sessions, all records, sessions again. False: it could not be read. */
static bool read_absent(struct rr_app *a, struct absent_reader *reader) {
    unsigned sessions = 0;
    reader->asked_at = rr_steady_clock_s();
    int rc = read_all(a, reader, RR_KEY_ROOT "node/", count_session, &sessions);
    if (rc == 0 && sessions == 0) {
        rr_absent_begin(reader->absent);
        rc = read_all(a, reader, RR_KEY_ROOT, put_record, reader->absent);
        rr_absent_end(reader->absent, rr_steady_clock_s());
    }
    if (rc == 0 && sessions == 0) {
        rc = read_all(a, reader, RR_KEY_ROOT "node/", count_session, &sessions);
    }
    rr_absent_confirm(reader->absent, rc == 0 && sessions == 0, rr_steady_clock_s());
    return rc == 0 && sessions == 0;
}

/* One change to the neighbour's own state service. One whose outcome is not known is read next
 * time, and its guards keep it from being made twice. */
static void commit_there(struct rr_app *a, struct absent_reader *reader,
                         const rr_transfer_write *write) {
    uint64_t revision;
    enum rr_commit_status rc = rr_store_commit(reader->store, RR_REQUEST_USER, &write->transaction,
                                               THERE_S, &revision, NULL);
    if (rc == RR_COMMIT_DONE) {
        pthread_mutex_lock(&a->lock);
        rr_transfers_absent_written(a->cells->transfers, write);
        pthread_mutex_unlock(&a->lock);
    }
}

static void look_absent(struct rr_app *a, rr_store *store, struct absent_reader *reader,
                        size_t neighbour) {
    double pause = a->cells_settings.lease_s / READINGS;
    if (!reader->store || reader->unanswered_since <= 0 ||
        rr_steady_clock_s() - reader->unanswered_since < a->cells_settings.lease_s / 2 ||
        rr_steady_clock_s() - reader->read_at < pause) {
        return;
    }
    reader->read_at = rr_steady_clock_s();
    if (!read_absent(a, reader)) {
        return;
    }
    rr_transfers_plan here;
    GPtrArray *there = g_ptr_array_new();
    rr_transfers_plan_init(&here);
    pthread_mutex_lock(&a->lock);
    rr_transfers_look_absent(a->cells->transfers, neighbour, reader->absent, reader->asked_at,
                             rr_steady_clock_s(), rr_wall_clock_s(), &here, there);
    pthread_mutex_unlock(&a->lock);
    for (guint i = 0; i < here.writes->len; i++) {
        commit_write(a, store, g_ptr_array_index(here.writes, i));
    }
    for (guint i = 0; i < there->len && !rr_app_stopping(a); i++) {
        commit_there(a, reader, g_ptr_array_index(there, i));
    }
    g_ptr_array_free(there, TRUE);
    rr_transfers_plan_clear(&here);
}

/* ---- the duty ---- */

/* False: there was no answer. */
static bool send_request(struct rr_app *a, rr_store *store, rr_cells_client *client,
                         size_t neighbour, const rr_cells_request *request) {
    rr_cells_reply reply;
    int rc = rr_cells_ask(client, request, &reply);
    note_answer(a, neighbour, rc == 0);
    if (rc == 0 && reply.status == RR_CELLS_OK && reply.items->len == request->items->len) {
        pthread_mutex_lock(&a->lock);
        rr_transfers_room_announced(a->cells->transfers, neighbour, &reply.room,
                                    rr_steady_clock_s());
        pthread_mutex_unlock(&a->lock);
        take_replies(a, store, neighbour, request, &reply);
    } else if (rc == 0) {
        rr_log(RR_DEBUG_LEVEL, "cells: %s answers: %s", request->to,
               rr_cells_status_name(reply.status));
    }
    rr_cells_reply_clear(&reply);
    return rc == 0;
}

/* Where jobs may be claimed, it must be known whether the neighbour answers. */
static void add_heartbeat(struct rr_app *a, size_t neighbour, rr_transfers_plan *plan) {
    rr_cells_request *request = g_new0(rr_cells_request, 1);
    rr_cells_request_init(request, RR_CELLS_TRANSFERS);
    rr_cells_request_address(request, &a->cells_settings, neighbour);
    g_strlcpy(request->team, a->config.teams[0].name, sizeof request->team);
    g_ptr_array_add(plan->requests, request);
}

static void look(struct rr_app *a, rr_store *store, rr_cells_client *client,
                 struct absent_reader *reader, size_t neighbour) {
    rr_transfers_plan plan;
    rr_transfers_plan_init(&plan);
    pthread_mutex_lock(&a->lock);
    rr_transfers_look(a->cells->transfers, neighbour, !a->planning, rr_steady_clock_s(),
                      rr_wall_clock_s(), &plan);
    pthread_mutex_unlock(&a->lock);
    for (guint i = 0; i < plan.writes->len; i++) {
        commit_write(a, store, g_ptr_array_index(plan.writes, i));
    }
    bool heartbeat =
        reader->store && plan.requests->len == 0 &&
        rr_steady_clock_s() - reader->heartbeat_at >= a->cells_settings.lease_s / READINGS;
    if (heartbeat) {
        add_heartbeat(a, neighbour, &plan);
    }
    bool answers = true, asked = plan.requests->len > 0;
    for (guint i = 0; i < plan.requests->len && answers && !rr_app_stopping(a); i++) {
        answers = send_request(a, store, client, neighbour, g_ptr_array_index(plan.requests, i));
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
    struct rr_app *a = duty->app;
    rr_usage_enter(RR_USAGE_CELLS);
    rr_store *store = rr_app_open_store(a);
    rr_cells_client *client = rr_cells_client_create(&a->cells_settings, duty->neighbour, &a->stop);
    double pause = fmin(a->cells_settings.lease_s / LOOKS, LOOK_MAX_S);
    struct absent_reader reader;
    reader_init(a, duty->neighbour, &reader);
    while (!rr_app_stopping(a)) {
        look(a, store, client, &reader, duty->neighbour);
        look_absent(a, store, &reader, duty->neighbour);
        rr_app_pause(a, pause);
    }
    reader_clear(&reader);
    rr_cells_client_destroy(client);
    rr_store_destroy(store);
    rr_usage_leave();
    return NULL;
}

/* ---- requests of neighbours ---- */

static void serve_item(struct rr_app *a, void **context, size_t neighbour,
                       const rr_cells_request *request, const rr_cells_item *item,
                       rr_transfer_message *reply) {
    rr_transfer_write write;
    pthread_mutex_lock(&a->lock);
    double now = rr_steady_clock_s();
    bool speaks = rr_transfers_speaks_for(a->cells->transfers, request->team, now);
    bool writes = speaks && rr_transfers_receive(a->cells->transfers, neighbour, request, item, now,
                                                 rr_wall_clock_s(), reply, &write);
    pthread_mutex_unlock(&a->lock);
    if (writes) {
        if (!*context) {
            *context = rr_app_open_store(a);
        }
        *reply = commit_write(a, *context, &write);
        rr_transfer_write_clear(&write);
    }
}

static void serve_transfers(struct rr_app *a, void **context, size_t neighbour,
                            const rr_cells_request *request, rr_cells_reply *reply) {
    pthread_mutex_lock(&a->lock);
    bool speaks = rr_transfers_speaks_for(a->cells->transfers, request->team, rr_steady_clock_s());
    const char *owner = rr_core_team_owner(a->core, request->team);
    g_strlcpy(reply->owner, owner && strcmp(owner, a->config.node_name) != 0 ? owner : "",
              sizeof reply->owner);
    pthread_mutex_unlock(&a->lock);
    if (!speaks) {
        reply->status = RR_CELLS_NOT_OWNER;
        return;
    }
    for (guint i = 0; i < request->items->len; i++) {
        const rr_cells_item *item = &g_array_index(request->items, rr_cells_item, i);
        rr_transfer_message message = {.kind = RR_TRANSFER_NOTHING};
        serve_item(a, context, neighbour, request, item, &message);
        rr_cells_add_item(reply->items, item->job_id, &message);
    }
    pthread_mutex_lock(&a->lock);
    reply->room = rr_transfers_room(a->cells->transfers, rr_steady_clock_s());
    pthread_mutex_unlock(&a->lock);
}

/* Another cell's user asks here, for a job that this cell may have accepted. */
static void serve_user(struct rr_app *a, const rr_cells_request *request, rr_cells_reply *reply) {
    struct rr_http_response response = {0};
    rr_encoder_init(&response.body);
    if (request->kind == RR_CELLS_POLL) {
        rr_app_poll_here(a, request->job_id, &response);
    } else {
        rr_app_cancel_here(a, request->job_id, &response);
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

static bool reachable(struct rr_app *a, size_t neighbour) {
    pthread_mutex_lock(&a->lock);
    bool up = rr_steady_clock_s() >= a->cells->down_until[neighbour];
    pthread_mutex_unlock(&a->lock);
    return up;
}

/* One question, on a connection of its own. *reply is to be cleared in any case. */
static int ask_once(struct rr_app *a, size_t neighbour, const rr_cells_request *request,
                    rr_cells_reply *reply) {
    rr_cells_client *client = rr_cells_client_create(&a->cells_settings, neighbour, &a->stop);
    int rc = rr_cells_ask(client, request, reply);
    rr_cells_client_destroy(client);
    return rc;
}

/* True: the cell has answered, and knows the job or not. */
static bool relay_to(struct rr_app *a, size_t neighbour, const rr_cells_request *request,
                     struct rr_http_response *response) {
    rr_cells_reply reply;
    if (!reachable(a, neighbour)) {
        return false;
    }
    int rc = ask_once(a, neighbour, request, &reply);
    bool answered = rc == 0 && reply.status == RR_CELLS_OK && reply.http_status > 0;
    if (rc != 0) {
        note_answer(a, neighbour, false);
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

/* A final state that stands in the cell's state service can't change any more: it may be told while
 * nobody there answers. */
static bool read_final(struct rr_app *a, size_t neighbour, const char *job_id,
                       struct rr_http_response *response) {
    const rr_cell *cell = &a->cells_settings.neighbours[neighbour];
    char key[RR_ID_SIZE + 64];
    uint64_t version, lease, tasks = 0;
    bool cancelled = false;
    rr_document doc;
    if (!cell->claimable) {
        return false;
    }
    rr_store *store = rr_store_create(&cell->state, a->cells->budgets[neighbour], &a->stop);
    rr_core_job_key(job_id, key, sizeof key);
    bool found = rr_store_get(store, key, &doc, &version, &lease) == 0;
    if (found) {
        const msgpack_object *value = rr_map_get(doc.root, "v");
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
        rr_document_clear(&doc);
    }
    rr_store_destroy(store);
    return found;
}

/* One that knows the job answers; that none does is said only when every one was asked. */
bool rr_app_cells_relay(struct rr_app *a, bool cancel, const char *job_id,
                        struct rr_http_response *response) {
    rr_cells_request request;
    bool all = true, known = false;
    if (!a->cells) {
        return false;
    }
    rr_cells_request_init(&request, cancel ? RR_CELLS_CANCEL : RR_CELLS_POLL);
    g_strlcpy(request.job_id, job_id, sizeof request.job_id);
    for (size_t i = 0; i < a->cells_settings.neighbour_count && !known; i++) {
        rr_cells_request_address(&request, &a->cells_settings, i);
        bool answered = relay_to(a, i, &request, response);
        known = answered ? response->status != 404 : read_final(a, i, job_id, response);
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
    rr_document doc;
    char standing[32] = "";
    uint64_t running = 0;
    if (reply->status != RR_CELLS_OK || reply->http_status != 200 ||
        rr_document_parse(&doc, reply->body->data, reply->body->len) != 0) {
        return reply->status == RR_CELLS_OK && reply->http_status == 404; /* not taken yet */
    }
    rr_map_get_text(doc.root, "standing", standing, sizeof standing);
    rr_map_get_u64(doc.root, "running", &running);
    if (strcmp(standing, "running") == 0) {
        view->state = "running";
        view->running_count = (uint32_t)running;
    }
    rr_document_clear(&doc);
    return true;
}

bool rr_app_cells_view_transferred(struct rr_app *a, const char *job_id, rr_job_view *view) {
    rr_cells_request request;
    rr_cells_reply reply;
    size_t neighbour = 0;
    if (!a->cells) {
        return true;
    }
    rr_cells_request_init(&request, RR_CELLS_POLL);
    pthread_mutex_lock(&a->lock);
    bool away = rr_transfers_transferred(a->cells->transfers, job_id, &neighbour, request.job_id,
                                         sizeof request.job_id);
    pthread_mutex_unlock(&a->lock);
    bool told = !away;
    if (away && reachable(a, neighbour)) {
        rr_cells_request_address(&request, &a->cells_settings, neighbour);
        told = ask_once(a, neighbour, &request, &reply) == 0 && read_transferred(&reply, view);
        rr_cells_reply_clear(&reply);
    }
    rr_cells_request_clear(&request);
    return told;
}

enum rr_cancel_first rr_app_cells_cancel(struct rr_app *a, const char *job_id,
                                         struct rr_user_commit *u, int *retry_after_s) {
    rr_out_record withdrawn;
    double wait_s = 0;
    if (!a->cells) {
        return RR_CANCEL_FREE;
    }
    pthread_mutex_lock(&a->lock);
    enum rr_cancel_first first = rr_transfers_cancel(a->cells->transfers, job_id, rr_wall_clock_s(),
                                                     &wait_s, &withdrawn, &u->version);
    pthread_mutex_unlock(&a->lock);
    if (first == RR_CANCEL_WITHDRAW) {
        rr_cells_out_key(job_id, u->key, sizeof u->key);
        rr_cells_out_encode(&withdrawn, &u->value);
    }
    *retry_after_s = (int)fmax(1, fmin(ceil(wait_s), RR_RETRY_AFTER_MAX_S));
    return first;
}

bool rr_app_cells_guard_cancel(const struct rr_app *a, const char *job_id,
                               struct rr_user_commit *u) {
    if (!a->cells) {
        return true;
    }
    rr_cells_out_key(job_id, u->also_key, sizeof u->also_key);
    return rr_transfers_may_cancel(a->cells->transfers, job_id, rr_wall_clock_s(),
                                   &u->also_version);
}

/* ---- life ---- */

static rr_budget *neighbour_budget(const struct rr_app *a, size_t neighbour) {
    struct rr_budget_shares all = {1, 1, 1, 1};
    if (!a->cells_settings.neighbours[neighbour].claimable) {
        return NULL;
    }
    rr_budget *budget =
        rr_budget_create(READ_SHARE * a->config.state_rps, READ_SHARE * a->config.state_write_rps);
    rr_budget_set_shares(budget, &all);
    return budget;
}

int rr_app_cells_start(struct rr_app *a) {
    if (!a->config.cells) {
        return 0;
    }
    struct rr_app_cells *state = g_new0(struct rr_app_cells, 1);
    uint64_t process = (uint64_t)g_random_int() << 32 | g_random_int();
    state->transfers = rr_transfers_create(&a->cells_settings, &a->config, a->core, process);
    rr_core_watch_records(a->core, RR_CELLS_PREFIX, on_record, state);
    a->cells = state;
    for (size_t i = 0; i < a->cells_settings.neighbour_count; i++) {
        state->budgets[i] = neighbour_budget(a, i);
    }
    int rc =
        rr_cells_links_start(&a->cells_settings, &a->stop, serve, end_context, a, &state->links);
    for (size_t i = 0; rc == 0 && i < a->cells_settings.neighbour_count; i++) {
        struct neighbour_thread *duty = &state->neighbour_threads[i];
        *duty = (struct neighbour_thread){.app = a, .neighbour = i};
        rc = rr_thread_start(&duty->thread, neighbour_main, duty, false);
        duty->started = rc == 0;
    }
    if (rc != 0) {
        rr_log(RR_ERROR_LEVEL, "cells: %s:%u: %s", a->cells_settings.listen.host,
               a->cells_settings.listen.port, strerror(-rc));
    }
    return rc;
}

void rr_app_cells_join(struct rr_app *a) {
    for (size_t i = 0; a->cells && i < RR_CELLS_MAX; i++) {
        if (a->cells->neighbour_threads[i].started) {
            pthread_join(a->cells->neighbour_threads[i].thread, NULL);
        }
    }
    if (a->cells) {
        rr_cells_links_destroy(a->cells->links);
        a->cells->links = NULL;
    }
}

void rr_app_cells_stop(struct rr_app *a) {
    if (a->cells) {
        rr_transfers_destroy(a->cells->transfers);
        for (size_t i = 0; i < a->cells_settings.neighbour_count; i++) {
            rr_budget_destroy(a->cells->budgets[i]);
        }
        g_free(a->cells);
        a->cells = NULL;
    }
    rr_cells_settings_clear(&a->cells_settings);
}

void rr_app_cells_log(struct rr_app *a) {
    rr_transfers_stats stats;
    rr_cells_links_stats links;
    if (!a->cells) {
        return;
    }
    pthread_mutex_lock(&a->lock);
    rr_transfers_get_stats(a->cells->transfers, &stats);
    pthread_mutex_unlock(&a->lock);
    rr_cells_links_get_stats(a->cells->links, &links);
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
