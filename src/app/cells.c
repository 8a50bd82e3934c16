#include "app/cells.h"
#include "app/cells_neighbour_thread.h"
#include "app/cells_server.h"
#include "app/cells_state.h"
#include "common/log.h"
#include "common/thread.h"
#include "core/cache_feed.h"
#include "core/extensions.h"

#include <string.h>

/* The share that this process may use of the request limits of a neighbour's key-value store. These
 * limits are assumed to equal those of this cell's store. */
#define NEIGHBOUR_STORE_SHARE 0.25

/* Applies a transfer record when it reaches the store cache. The caller holds rr_app.lock. */
static void apply_transfer_record(void *user, const char *key_suffix, const msgpack_object *value,
                                  uint64_t version) {
    struct rr_app_cells *cells = user;
    if (!rr_transfers_apply_record(cells->transfers, key_suffix, value, version)) {
        rr_log(RR_DEBUG_LEVEL, "cells: ignoring a transfer record of unknown format");
    }
}

/* Returns NULL if the settings name no key-value store of the neighbour. */
static rr_budget *create_neighbour_budget(const struct rr_app *app, size_t neighbour) {
    struct rr_budget_shares all_shares = {1, 1, 1, 1};
    if (!app->cells_settings.neighbours[neighbour].claimable) {
        return NULL;
    }
    rr_budget *budget = rr_budget_create(NEIGHBOUR_STORE_SHARE * app->config.store_rps,
                                         NEIGHBOUR_STORE_SHARE * app->config.store_write_rps);
    rr_budget_set_shares(budget, &all_shares);
    return budget;
}

static void create_state(struct rr_app *app) {
    struct rr_app_cells *cells = g_new0(struct rr_app_cells, 1);
    /* Distinguishes grants to this process from grants to an earlier one. */
    uint64_t process_id = (uint64_t)g_random_int() << 32 | g_random_int();
    cells->transfers =
        rr_transfers_create(&app->cells_settings, &app->config, app->core, process_id);
    rr_core_watch_records(app->core, RR_CELLS_KEY_PREFIX, apply_transfer_record, cells);
    app->cells = cells;
    for (size_t i = 0; i < app->cells_settings.neighbour_count; i++) {
        cells->neighbour_budgets[i] = create_neighbour_budget(app, i);
    }
}

/* Starts one thread for each neighbour. Returns 0 or -errno. */
static int start_neighbour_threads(struct rr_app *app) {
    int rc = 0;
    for (size_t i = 0; rc == 0 && i < app->cells_settings.neighbour_count; i++) {
        struct rr_neighbour_thread *neighbour_thread = &app->cells->neighbour_threads[i];
        *neighbour_thread = (struct rr_neighbour_thread){.app = app, .neighbour = i};
        rc = rr_thread_start(&neighbour_thread->thread, rr_cells_neighbour_thread, neighbour_thread,
                             false);
        neighbour_thread->started = rc == 0;
    }
    return rc;
}

int rr_app_cells_start(struct rr_app *app) {
    if (!app->config.cells) {
        return 0;
    }
    create_state(app);
    int rc = rr_cells_server_start(&app->cells_settings, &app->stop, rr_app_cells_handle_request,
                                   rr_app_cells_free_connection_context, app, &app->cells->server);
    rc = rc == 0 ? start_neighbour_threads(app) : rc;
    if (rc != 0) {
        rr_log(RR_ERROR_LEVEL,
               "cells: can't start the listener on %s:%u or a neighbour's thread: %s",
               app->cells_settings.listen_endpoint.host, app->cells_settings.listen_endpoint.port,
               strerror(-rc));
    }
    return rc;
}

void rr_app_cells_join(struct rr_app *app) {
    if (!app->cells) {
        return;
    }
    for (size_t i = 0; i < RR_CELLS_NEIGHBOURS_MAX; i++) {
        if (app->cells->neighbour_threads[i].started) {
            pthread_join(app->cells->neighbour_threads[i].thread, NULL);
        }
    }
    rr_cells_server_destroy(app->cells->server);
    app->cells->server = NULL;
}

void rr_app_cells_destroy(struct rr_app *app) {
    if (app->cells) {
        rr_transfers_destroy(app->cells->transfers);
        for (size_t i = 0; i < app->cells_settings.neighbour_count; i++) {
            rr_budget_destroy(app->cells->neighbour_budgets[i]);
        }
        g_free(app->cells);
        app->cells = NULL;
    }
    rr_cells_settings_clear(&app->cells_settings);
}

void rr_app_cells_log_stats(struct rr_app *app) {
    rr_transfers_stats stats;
    rr_cells_server_stats server_stats;
    if (!app->cells) {
        return;
    }
    pthread_mutex_lock(&app->lock);
    rr_transfers_get_stats(app->cells->transfers, &stats);
    pthread_mutex_unlock(&app->lock);
    rr_cells_server_get_stats(app->cells->server, &server_stats);
    rr_log(
        RR_INFO_LEVEL,
        "cells: %s; %u jobs of this cell transferred or returned, %u jobs of other cells here; "
        "totals of this cell's jobs: offered %" G_GUINT64_FORMAT ", taken %" G_GUINT64_FORMAT
        ", refused %" G_GUINT64_FORMAT ", finished by other cells %" G_GUINT64_FORMAT
        ", withdrawn %" G_GUINT64_FORMAT "; of other cells' jobs: accepted %" G_GUINT64_FORMAT
        ", given back %" G_GUINT64_FORMAT ", grants lapsed %" G_GUINT64_FORMAT
        "; grants given %" G_GUINT64_FORMAT ", jobs claimed %" G_GUINT64_FORMAT
        ", writes with an unknown outcome %" G_GUINT64_FORMAT
        "; connections of unknown peers %" G_GUINT64_FORMAT ", refused requests %" G_GUINT64_FORMAT,
        stats.spilling ? "spilling" : "not spilling", stats.outgoing, stats.incoming, stats.offered,
        stats.taken, stats.refused, stats.finished, stats.withdrawn, stats.accepted,
        stats.given_back, stats.lapsed, stats.granted, stats.claimed, stats.unknown_outcomes,
        server_stats.unknown_peer_connections, server_stats.refused_requests);
}
