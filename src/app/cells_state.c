#include "app/cells_state.h"
#include "app/cancellations.h"
#include "app/thread_helpers.h"
#include "common/clock.h"
#include "common/log.h"
#include "core/cache_feed.h"
#include "core/heartbeats.h"

#define CONFLICT_WAIT_S 1.0 /* for the conflicting change to reach the store cache */
#define UNREACHABLE_S 5.0   /* how long a neighbour counts as unreachable after not answering */

/* Makes all controllers stop the tasks of this cell's copy of another cell's job, through their
 * answers to workers from now on. */
static void cancel_local_copy(struct rr_app *app, const char *local_id) {
    pthread_mutex_lock(&app->lock);
    rr_core_add_cancel_hint(app->core, local_id, rr_steady_clock_s());
    pthread_mutex_unlock(&app->lock);
    rr_app_announce_cancellation(app, local_id);
}

rr_transfer_message rr_app_cells_commit_write(struct rr_app *app, rr_store *store,
                                              const rr_transfer_write *write) {
    uint64_t revision = 0;
    if (write->cancels_copy) {
        cancel_local_copy(app, write->id);
    }
    enum rr_commit_status outcome =
        rr_app_commit_with_retry(app, store, RR_REQUEST_USER, &write->transaction, &revision);
    pthread_mutex_lock(&app->lock);
    rr_app_apply_committed_transaction(app, &write->transaction, outcome, revision);
    if (outcome == RR_COMMIT_CONFLICT) {
        rr_app_wait_for_revision(app, revision, rr_steady_clock_s() + CONFLICT_WAIT_S);
    }
    rr_transfer_message message =
        rr_transfers_complete_write(app->cells->transfers, write, outcome == RR_COMMIT_DONE);
    uint64_t cache_revision = rr_core_revision(app->core);
    rr_app_wake_planner(app);
    pthread_mutex_unlock(&app->lock);
    if (outcome != RR_COMMIT_DONE) {
        rr_log(RR_DEBUG_LEVEL,
               "cells: write for the transfer of job %s: %s; store at revision %" G_GUINT64_FORMAT
               ", store cache at %" G_GUINT64_FORMAT,
               write->id, rr_commit_status_name(outcome), revision, cache_revision);
    }
    return message;
}

void rr_app_cells_record_reachability(struct rr_app *app, size_t neighbour, bool answered) {
    pthread_mutex_lock(&app->lock);
    app->cells->unreachable_until[neighbour] = answered ? 0 : rr_steady_clock_s() + UNREACHABLE_S;
    if (!answered) {
        rr_transfers_record_no_reply(app->cells->transfers, neighbour, rr_steady_clock_s());
    }
    pthread_mutex_unlock(&app->lock);
}

rr_store *rr_app_cells_open_neighbour_store(struct rr_app *app, size_t neighbour) {
    return rr_store_create(&app->cells_settings.neighbours[neighbour].store_endpoint,
                           app->cells->neighbour_budgets[neighbour], &app->stop);
}
