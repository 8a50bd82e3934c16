#include "app/cells_state.h"
#include "app/cancellations.h"
#include "app/thread_helpers.h"
#include "common/clock.h"
#include "common/log.h"
#include "core/cache_feed.h"
#include "core/heartbeats.h"

/* How long a write's caller waits for the store cache to show the write's outcome after a conflict;
 * a later pass over the transfers completes the write then. */
#define CONFLICT_WAIT_S 1.0
#define UNREACHABLE_S 5.0 /* how long a neighbour counts as unreachable after not answering */

/* Makes all controllers stop the tasks of this cell's copy of another cell's job, through their
 * answers to workers from now on. */
static void cancel_local_copy(struct rr_app *app, const char *local_id) {
    pthread_mutex_lock(&app->lock);
    rr_core_add_cancel_hint(app->core, local_id, rr_steady_clock_s());
    pthread_mutex_unlock(&app->lock);
    rr_app_announce_cancellation(app, local_id);
}

/* After a conflict only the store cache can show the outcome: an earlier attempt, which got no
 * answer, may have been executed and have caused the conflict. */
static rr_write_outcome make_write_outcome(enum rr_commit_status status, uint64_t revision) {
    switch (status) {
    case RR_COMMIT_DONE:
        return (rr_write_outcome){.status = RR_WRITE_COMMITTED};
    case RR_COMMIT_CONFLICT:
        return (rr_write_outcome){RR_WRITE_OUTCOME_UNKNOWN, revision};
    case RR_COMMIT_OUTCOME_UNKNOWN:
        return (rr_write_outcome){.status = RR_WRITE_OUTCOME_UNKNOWN};
    default:
        return (rr_write_outcome){.status = RR_WRITE_NOT_COMMITTED};
    }
}

rr_transfer_message rr_app_cells_commit_write(struct rr_app *app, rr_store *store,
                                              const rr_transfer_write *write) {
    uint64_t revision = 0;
    if (write->cancels_copy) {
        cancel_local_copy(app, write->id);
    }
    enum rr_commit_status status =
        rr_app_commit_with_retry(app, store, RR_REQUEST_USER, &write->transaction, &revision);
    pthread_mutex_lock(&app->lock);
    rr_app_apply_committed_transaction(app, &write->transaction, status, revision);
    if (status == RR_COMMIT_CONFLICT) {
        rr_app_wait_for_revision(app, revision, rr_steady_clock_s() + CONFLICT_WAIT_S);
    }
    rr_write_outcome outcome = make_write_outcome(status, revision);
    rr_transfer_message message =
        rr_transfers_complete_write(app->cells->transfers, write, &outcome, rr_steady_clock_s());
    uint64_t cache_revision = rr_core_revision(app->core);
    rr_app_wake_planner(app);
    pthread_mutex_unlock(&app->lock);
    if (status != RR_COMMIT_DONE) {
        rr_log(RR_DEBUG_LEVEL,
               "cells: write for the transfer of job %s: %s; store at revision %" G_GUINT64_FORMAT
               ", store cache at %" G_GUINT64_FORMAT,
               write->id, rr_commit_status_name(status), revision, cache_revision);
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
