/* The membership thread: writes a new term when sessions have begun or ended, and logs a summary
 * every minute. */
#include "app/admission.h"
#include "app/cells.h"
#include "app/thread_helpers.h"
#include "app/threads.h"
#include "common/clock.h"
#include "common/log.h"
#include "common/usage.h"
#include "core/leadership.h"
#include "core/stats.h"

#include <malloc.h>

#define LOG_PERIOD_S 60.0
/* Free heap above this share of the process's memory limit is returned to the system. */
#define FREE_HEAP_SHARE_MAX 0.05
#define COMMIT_TIMEOUT_S 1.5
#define CACHE_WAIT_S 1.0 /* longest wait for a change of the store cache */
#define RETRY_PAUSE_S 0.3

/* Logs processor time and heap use, and returns free heap that a peak has left to the system. */
static void log_and_trim_resources(const struct rr_app *app) {
    char usage[256];
    rr_usage_format(usage, sizeof usage);
    struct mallinfo2 heap = mallinfo2();
    rr_log(RR_INFO_LEVEL, "processor time, last minute: %s; heap %.1f MB, %.1f MB of it free",
           usage, (double)(heap.arena + heap.hblkhd) / 1e6, (double)heap.fordblks / 1e6);
    if ((double)heap.fordblks > FREE_HEAP_SHARE_MAX * app->config.ram_mb * 1e6) {
        malloc_trim(0);
    }
}

/* Logs the summary of the last minute. Takes rr_app.lock; caller holds no lock. */
static void log_minute_summary(struct rr_app *app) {
    char line[160];
    rr_core_stats stats;
    rr_stats_format_summary(app->stats, line, sizeof line);
    pthread_mutex_lock(&app->lock);
    rr_core_get_stats(app->core, &stats);
    pthread_mutex_unlock(&app->lock);
    rr_app_admission_log(app);
    rr_app_cells_log_stats(app);
    log_and_trim_resources(app);
    rr_log(RR_INFO_LEVEL,
           "last minute: %s; %d connections, %u machines (%u without a heartbeat), %u jobs open, "
           "%u tasks placed, %u tasks waiting, %u ended attempts kept (%u on one machine); since "
           "start %u moves, %u machines rented, %u machines declared dead or returned, "
           "%u leases lost, %u spot notices, %u tasks stopped that were not in the ledger",
           line, rr_http_server_connection_count(app->http_server), stats.machines, stats.booting,
           stats.jobs_open, stats.tasks_placed, stats.tasks_waiting, stats.ended_attempts,
           stats.ended_attempts_max, stats.tasks_moved, stats.machines_rented,
           stats.machines_terminated, stats.leases_lost, stats.spot_notices,
           stats.unplaced_tasks_stopped);
}

/* Updates the budget with this controller's shares of the store's limits, and logs a new fencing
 * token. Returns true with the transaction filled if a new term is to be written; otherwise waits
 * up to CACHE_WAIT_S for a change of the store cache. */
static bool prepare_term(struct rr_app *app, rr_transaction *transaction, uint64_t *logged_token) {
    struct rr_budget_shares shares;
    pthread_mutex_lock(&app->lock);
    bool change = rr_core_add_next_term_record(app->core, rr_steady_clock_s(), rr_wall_clock_s(),
                                               transaction);
    uint64_t token = rr_core_fencing_token(app->core);
    unsigned controllers = rr_core_count_members(app->core);
    rr_core_budget_shares(app->core, &shares);
    if (!change) {
        rr_app_cond_timedwait(&app->cache_advanced, &app->lock, CACHE_WAIT_S);
    }
    pthread_mutex_unlock(&app->lock);
    rr_budget_set_shares(app->budget, &shares);
    if (token != *logged_token) {
        *logged_token = token;
        rr_log(RR_INFO_LEVEL, "term %" G_GUINT64_FORMAT " has %u controllers", token, controllers);
    }
    return change;
}

/* Writes the new term, then waits until the store cache shows it or the change that it conflicted
 * with. Pauses if the outcome is unknown or the store refused. */
static void commit_term(struct rr_app *app, rr_store *store, const rr_transaction *transaction) {
    uint64_t revision;
    enum rr_commit_status outcome =
        rr_store_commit(store, RR_REQUEST_SESSION, transaction, COMMIT_TIMEOUT_S, &revision, NULL);
    if (outcome == RR_COMMIT_DONE || outcome == RR_COMMIT_CONFLICT) {
        pthread_mutex_lock(&app->lock);
        rr_app_wait_for_revision(app, revision, rr_steady_clock_s() + CACHE_WAIT_S);
        pthread_mutex_unlock(&app->lock);
    } else {
        rr_app_pause(app, RETRY_PAUSE_S);
    }
}

void *rr_membership_thread(void *argument) {
    struct rr_app *app = argument;
    rr_usage_register_thread(RR_USAGE_SESSION);
    rr_store *store = rr_app_create_store_client(app);
    uint64_t logged_token = 0;
    double logged_at = rr_steady_clock_s();
    while (!rr_app_is_stopping(app)) {
        if (rr_steady_clock_s() - logged_at >= LOG_PERIOD_S) {
            logged_at = rr_steady_clock_s();
            log_minute_summary(app);
        }
        rr_transaction transaction;
        rr_transaction_init(&transaction);
        if (prepare_term(app, &transaction, &logged_token)) {
            commit_term(app, store, &transaction);
        }
        rr_transaction_clear(&transaction);
    }
    rr_store_destroy(store);
    rr_usage_unregister_thread();
    return NULL;
}
