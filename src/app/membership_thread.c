/* Terms, which follow the sessions, and the log line of each minute. */
#include "app/thread_loop.h"
#include "common/clock.h"
#include "common/log.h"
#include "common/usage.h"
#include "core/leadership.h"
#include "core/state/transaction.h"
#include "core/stats.h"

#include <malloc.h>

#define MINUTE_S 60.0
#define FREE_SHARE 0.05 /* of the memory there is may stay with the allocator */

static void log_minute(struct rr_app *app) {
    char line[160];
    rr_core_stats stats;
    rr_stats_line(app->stats, line, sizeof line);
    pthread_mutex_lock(&app->lock);
    rr_core_get_stats(app->core, &stats);
    pthread_mutex_unlock(&app->lock);
    rr_app_admission_log(app);
    rr_app_cells_log(app);
    char used[256];
    rr_usage_line(used, sizeof used);
    struct mallinfo2 heap = mallinfo2();
    rr_log(RR_INFO_LEVEL, "processor, last minute: %s; heap %.1f MB, %.1f of it free", used,
           (double)(heap.arena + heap.hblkhd) / 1e6, (double)heap.fordblks / 1e6);
    /* What a peak has left goes back. */
    if ((double)heap.fordblks > FREE_SHARE * app->config.ram_mb * 1e6) {
        malloc_trim(0);
    }
    rr_log(RR_INFO_LEVEL,
           "last minute: %s; %d connections, %u machines (%u not heard), %u jobs open, "
           "%u tasks placed, %u waiting, so far %u moves, %u machines rented, "
           "%u given up or returned, %u leases lost, %u notices",
           line, rr_http_server_connections(app->http_server), stats.machines, stats.booting,
           stats.jobs_open, stats.tasks_placed, stats.tasks_waiting, stats.moves, stats.rented,
           stats.given_up, stats.leases_lost, stats.notices);
}

void *rr_membership_thread(void *argument) {
    struct rr_app *app = argument;
    rr_usage_enter(RR_USAGE_SESSION);
    rr_store *store = rr_app_open_store(app);
    uint64_t seen = 0;
    double logged = rr_steady_clock_s();
    while (!rr_app_stopping(app)) {
        if (rr_steady_clock_s() - logged >= MINUTE_S) {
            logged = rr_steady_clock_s();
            log_minute(app);
        }
        rr_transaction transaction;
        uint64_t revision;
        rr_transaction_init(&transaction);
        pthread_mutex_lock(&app->lock);
        bool change =
            rr_core_next_term(app->core, rr_steady_clock_s(), rr_wall_clock_s(), &transaction);
        uint64_t token = rr_core_fencing_token(app->core);
        unsigned live = rr_core_live_controllers(app->core);
        struct rr_budget_shares shares;
        rr_core_budget_shares(app->core, &shares);
        if (!change) {
            rr_app_wait(app, &app->cache_advanced, &app->lock, 1.0);
        }
        pthread_mutex_unlock(&app->lock);
        rr_budget_set_shares(app->budget, &shares);
        if (token != seen) {
            seen = token;
            rr_log(RR_INFO_LEVEL, "term %" G_GUINT64_FORMAT " with %u controllers", token, live);
        }
        if (change) {
            enum rr_commit_status rc =
                rr_store_commit(store, RR_REQUEST_SESSION, &transaction, 1.5, &revision, NULL);
            if (rc == RR_COMMIT_DONE || rc == RR_COMMIT_CONFLICT) {
                pthread_mutex_lock(&app->lock);
                rr_app_wait_revision(app, revision, rr_steady_clock_s() + 1);
                pthread_mutex_unlock(&app->lock);
            } else {
                rr_app_pause(app, 0.3);
            }
        }
        rr_transaction_clear(&transaction);
    }
    rr_store_destroy(store);
    rr_usage_leave();
    return NULL;
}
