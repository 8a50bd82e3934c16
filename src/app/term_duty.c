/* Terms, which follow the sessions, and the log line of each minute. */
#include "app/duty.h"
#include "app/clock.h"
#include "app/log.h"
#include "app/usage.h"

#include <malloc.h>

#define MINUTE_S 60.0
#define FREE_SHARE 0.05 /* of the memory there is may stay with the allocator */

static void log_minute(struct rr_app *a) {
    char line[160];
    rr_core_stats st;
    rr_stats_line(a->stats, line, sizeof line);
    pthread_mutex_lock(&a->lock);
    rr_core_get_stats(a->core, &st);
    pthread_mutex_unlock(&a->lock);
    rr_app_admission_log(a);
    rr_app_cells_log(a);
    char used[256];
    rr_usage_line(used, sizeof used);
    struct mallinfo2 heap = mallinfo2();
    rr_log(RR_INFO_LEVEL, "processor, last minute: %s; heap %.1f MB, %.1f of it free", used,
           (double)(heap.arena + heap.hblkhd) / 1e6, (double)heap.fordblks / 1e6);
    /* What a peak has left goes back. */
    if ((double)heap.fordblks > FREE_SHARE * a->config.ram_mb * 1e6) {
        malloc_trim(0);
    }
    rr_log(RR_INFO_LEVEL,
           "last minute: %s; %d connections, %u machines (%u not heard), %u jobs open, "
           "%u tasks placed, %u waiting, so far %u moves, %u machines rented, "
           "%u given up or returned, %u leases lost, %u notices",
           line, rr_http_server_connections(a->http_server), st.machines, st.booting, st.jobs_open,
           st.tasks_placed, st.tasks_waiting, st.moves, st.rented, st.given_up, st.leases_lost,
           st.notices);
}

void *rr_membership_thread(void *app) {
    struct rr_app *a = app;
    rr_usage_enter(RR_USAGE_SESSION);
    rr_store *s = rr_app_open_store(a);
    uint64_t seen = 0;
    double logged = rr_steady_clock_s();
    while (!rr_app_stopping(a)) {
        if (rr_steady_clock_s() - logged >= MINUTE_S) {
            logged = rr_steady_clock_s();
            log_minute(a);
        }
        rr_transaction t;
        uint64_t epoch;
        rr_transaction_init(&t);
        pthread_mutex_lock(&a->lock);
        bool change = rr_core_next_term(a->core, rr_steady_clock_s(), rr_wall_clock_s(), &t);
        uint64_t token = rr_core_fencing_token(a->core);
        unsigned live = rr_core_live_controllers(a->core);
        struct rr_budget_shares shares;
        rr_core_budget_shares(a->core, &shares);
        if (!change) {
            rr_app_wait(a, &a->cache_advanced, &a->lock, 1.0);
        }
        pthread_mutex_unlock(&a->lock);
        rr_budget_set_shares(a->budget, &shares);
        if (token != seen) {
            seen = token;
            rr_log(RR_INFO_LEVEL, "term %" G_GUINT64_FORMAT " with %u controllers", token, live);
        }
        if (change) {
            enum rr_commit_status rc =
                rr_store_commit(s, RR_REQUEST_SESSION, &t, 1.5, &epoch, NULL);
            if (rc == RR_COMMIT_DONE || rc == RR_COMMIT_CONFLICT) {
                pthread_mutex_lock(&a->lock);
                rr_app_wait_revision(a, epoch, rr_steady_clock_s() + 1);
                pthread_mutex_unlock(&a->lock);
            } else {
                rr_app_pause(a, 0.3);
            }
        }
        rr_transaction_clear(&t);
    }
    rr_store_destroy(s);
    rr_usage_leave();
    return NULL;
}
