#include "app/cells_server.h"
#include "app/cells_state.h"
#include "app/thread_helpers.h"
#include "app/user_requests.h"
#include "common/clock.h"
#include "core/extensions.h"

#include <string.h>

/* Handles one item of a transfer request and fills *message with its reply. A write that the item
 * causes is committed first, with the connection's store client in *context, which is created on
 * first use. */
static void handle_transfer_item(struct rr_app *app, void **context, size_t neighbour,
                                 const rr_cells_request *request, const rr_cells_item *item,
                                 rr_transfer_message *message) {
    rr_transfer_write write;
    pthread_mutex_lock(&app->lock);
    double now = rr_steady_clock_s();
    bool may_answer = rr_transfers_may_answer_for(app->cells->transfers, request->team, now);
    bool has_write =
        may_answer && rr_transfers_receive_message(app->cells->transfers, neighbour, request, item,
                                                   now, rr_wall_clock_s(), message, &write);
    pthread_mutex_unlock(&app->lock);
    if (has_write) {
        if (!*context) {
            *context = rr_app_create_store_client(app);
        }
        *message = rr_app_cells_commit_write(app, *context, &write);
        rr_transfer_write_clear(&write);
    }
}

/* Puts the name of the controller that owns the team into the reply, unless it is this one. Returns
 * false if this controller may not answer for the team. */
static bool check_owner(struct rr_app *app, const char *team, rr_cells_reply *reply) {
    pthread_mutex_lock(&app->lock);
    bool may_answer = rr_transfers_may_answer_for(app->cells->transfers, team, rr_steady_clock_s());
    const char *owner = rr_core_team_owner(app->core, team);
    g_strlcpy(reply->owner, owner && strcmp(owner, app->config.node_name) != 0 ? owner : "",
              sizeof reply->owner);
    pthread_mutex_unlock(&app->lock);
    return may_answer;
}

/* Answers transfer messages about jobs of one team. */
static void handle_transfer_items(struct rr_app *app, void **context, size_t neighbour,
                                  const rr_cells_request *request, rr_cells_reply *reply) {
    if (!check_owner(app, request->team, reply)) {
        reply->status = RR_CELLS_NOT_OWNER;
        return;
    }
    for (guint i = 0; i < request->items->len; i++) {
        const rr_cells_item *item = &g_array_index(request->items, rr_cells_item, i);
        rr_transfer_message message = {.kind = RR_TRANSFER_NOTHING};
        handle_transfer_item(app, context, neighbour, request, item, &message);
        rr_cells_add_item(reply->items, item->job_id, &message);
    }
    pthread_mutex_lock(&app->lock);
    reply->room = rr_transfers_get_free_room(app->cells->transfers, rr_steady_clock_s());
    pthread_mutex_unlock(&app->lock);
}

/* Answers a user's poll or cancellation, relayed by a neighbour, of a job that this cell may have
 * accepted. */
static void handle_user_request(struct rr_app *app, const rr_cells_request *request,
                                rr_cells_reply *reply) {
    struct rr_http_response response = {0};
    rr_encoder_init(&response.body);
    if (request->kind == RR_CELLS_POLL) {
        rr_app_poll_local_job(app, request->job_id, &response);
    } else {
        rr_app_cancel_local_job(app, request->job_id, &response);
    }
    reply->http_status = response.status;
    reply->retry_after_s = response.retry_after_s;
    g_byte_array_append(reply->body, (const guint8 *)response.body.buffer.data,
                        (guint)response.body.buffer.size);
    rr_encoder_clear(&response.body);
}

void rr_app_cells_handle_request(void *user, void **context, size_t neighbour,
                                 const rr_cells_request *request, rr_cells_reply *reply) {
    if (request->kind == RR_CELLS_TRANSFERS) {
        handle_transfer_items(user, context, neighbour, request, reply);
    } else {
        handle_user_request(user, request, reply);
    }
}

void rr_app_cells_free_connection_context(void *context) {
    rr_store_destroy(context);
}
