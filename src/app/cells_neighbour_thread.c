#include "app/cells_neighbour_thread.h"
#include "app/cells_neighbour_store_reader.h"
#include "app/cells_state.h"
#include "app/thread_helpers.h"
#include "common/clock.h"
#include "common/log.h"
#include "common/usage.h"

#include <math.h>
#include <string.h>

#define PASSES_PER_LEASE 40.0 /* of advance_transfers(), unless PASS_PAUSE_MAX_S is shorter */
#define PASS_PAUSE_MAX_S 0.5

/* State of one neighbour's thread. */
struct neighbour_context {
    struct rr_app *app;
    size_t neighbour; /* index into the settings' neighbours */
    rr_store *store;  /* of this cell */
    rr_cells_client *client;
    struct rr_neighbour_store_reader reader;
};

/* Applies the reply to each item of the request, and commits the changes that follow. */
static void apply_replies(const struct neighbour_context *context, const rr_cells_request *request,
                          const rr_cells_reply *reply) {
    struct rr_app *app = context->app;
    for (guint i = 0; i < request->items->len; i++) {
        rr_transfer_write write;
        pthread_mutex_lock(&app->lock);
        bool has_write =
            rr_transfers_receive_reply(app->cells->transfers, context->neighbour,
                                       &g_array_index(request->items, rr_cells_item, i),
                                       &g_array_index(reply->items, rr_cells_item, i).message,
                                       rr_steady_clock_s(), rr_wall_clock_s(), &write);
        pthread_mutex_unlock(&app->lock);
        if (has_write) {
            rr_app_cells_commit_write(app, context->store, &write);
            rr_transfer_write_clear(&write);
        }
    }
}

/* Sends the request and applies its reply. Returns false if the neighbour did not answer. */
static bool send_request(const struct neighbour_context *context, const rr_cells_request *request) {
    struct rr_app *app = context->app;
    rr_cells_reply reply;
    int rc = rr_cells_send_request(context->client, request, &reply);
    rr_app_cells_record_reachability(app, context->neighbour, rc == 0);
    if (rc == 0 && reply.status == RR_CELLS_OK && reply.items->len == request->items->len) {
        pthread_mutex_lock(&app->lock);
        rr_transfers_set_neighbour_room(app->cells->transfers, context->neighbour, &reply.room,
                                        rr_steady_clock_s());
        pthread_mutex_unlock(&app->lock);
        apply_replies(context, request, &reply);
    } else if (rc == 0) {
        rr_log(RR_DEBUG_LEVEL, "cells: neighbour %s sent no usable reply: status \"%s\"",
               request->to, rr_cells_status_name(reply.status));
    }
    rr_cells_reply_clear(&reply);
    return rc == 0;
}

/* Adds a request without items: its answer shows that a claimable neighbour still has
 * controllers. */
static void add_heartbeat(const struct rr_app *app, size_t neighbour, rr_transfers_plan *plan) {
    rr_cells_request *request = g_new0(rr_cells_request, 1);
    rr_cells_request_init(request, RR_CELLS_TRANSFERS);
    rr_cells_request_set_cells(request, &app->cells_settings, neighbour);
    g_strlcpy(request->team, app->config.teams[0].name, sizeof request->team);
    g_ptr_array_add(plan->requests, request);
}

static bool is_heartbeat_due(const struct neighbour_context *context) {
    return context->reader.store &&
           rr_steady_clock_s() - context->reader.request_sent_at >=
               context->app->cells_settings.lease_s / RR_CELLS_CHECKS_PER_LEASE;
}

/* Sends the plan's requests until one is not answered, and records whether the neighbour
 * answers. */
static void send_requests(struct neighbour_context *context, const rr_transfers_plan *plan) {
    bool answered = true;
    if (plan->requests->len == 0) {
        return;
    }
    for (guint i = 0; i < plan->requests->len && answered && !rr_app_is_stopping(context->app);
         i++) {
        answered = send_request(context, g_ptr_array_index(plan->requests, i));
    }
    context->reader.request_sent_at = rr_steady_clock_s();
    if (answered) {
        context->reader.unanswered_since = 0;
    } else if (context->reader.unanswered_since <= 0) {
        context->reader.unanswered_since = context->reader.request_sent_at;
    }
}

/* Makes one pass over the transfers with the neighbour: commits the writes and sends the requests
 * that are due. */
static void advance_transfers(struct neighbour_context *context) {
    struct rr_app *app = context->app;
    rr_transfers_plan plan;
    rr_transfers_plan_init(&plan);
    pthread_mutex_lock(&app->lock);
    bool may_offer = rr_plan_outcome_is_known(&app->plan_outcome, app->core);
    rr_transfers_advance(app->cells->transfers, context->neighbour, may_offer, rr_steady_clock_s(),
                         rr_wall_clock_s(), &plan);
    pthread_mutex_unlock(&app->lock);
    for (guint i = 0; i < plan.writes->len; i++) {
        rr_app_cells_commit_write(app, context->store, g_ptr_array_index(plan.writes, i));
    }
    if (plan.requests->len == 0 && is_heartbeat_due(context)) {
        add_heartbeat(app, context->neighbour, &plan);
    }
    send_requests(context, &plan);
    rr_transfers_plan_clear(&plan);
}

void *rr_cells_neighbour_thread(void *argument) {
    const struct rr_neighbour_thread *self = argument;
    struct rr_app *app = self->app;
    struct neighbour_context context = {.app = app, .neighbour = self->neighbour};
    rr_usage_register_thread(RR_USAGE_CELLS);
    context.store = rr_app_create_store_client(app);
    context.client = rr_cells_client_create(&app->cells_settings, self->neighbour, &app->stop);
    rr_neighbour_store_reader_init(app, self->neighbour, &context.reader);
    double pause_s = fmin(app->cells_settings.lease_s / PASSES_PER_LEASE, PASS_PAUSE_MAX_S);
    while (!rr_app_is_stopping(app)) {
        advance_transfers(&context);
        rr_neighbour_store_reader_run(app, context.store, &context.reader, self->neighbour);
        rr_app_pause(app, pause_s);
    }
    rr_neighbour_store_reader_clear(&context.reader);
    rr_cells_client_destroy(context.client);
    rr_store_destroy(context.store);
    rr_usage_unregister_thread();
    return NULL;
}
