#include "app/cells.h"
#include "app/cells_neighbour_thread.h"
#include "app/cells_server.h"
#include "app/cells_state.h"
#include "common/log.h"
#include "common/thread.h"
#include "core/cache_feed.h"
#include "core/extensions.h"

#include <string.h>

/* Of the request limits of a neighbour's key-value store, which are assumed to be this cell's. */
#define NEIGHBOUR_STORE_SHARE 0.25

/* Takes a record of the package as the store cache learns of it. Caller holds rr_app.lock. */
static void on_record(void *user, const char *rest, const msgpack_object *value, uint64_t version) {
    struct rr_app_cells *cells = user;
    if (!rr_transfers_put(cells->transfers, rest, value, version)) {
        rr_log(RR_DEBUG_LEVEL, "cells: a record of an unknown format is ignored");
    }
}

/* NULL: the settings name no key-value store of the neighbour. */
static rr_budget *create_neighbour_budget(const struct rr_app *app, size_t neighbour) {
    struct rr_budget_shares all = {1, 1, 1, 1};
    if (!app->cells_settings.neighbours[neighbour].claimable) {
        return NULL;
    }
    rr_budget *budget = rr_budget_create(NEIGHBOUR_STORE_SHARE * app->config.state_rps,
                                         NEIGHBOUR_STORE_SHARE * app->config.state_write_rps);
    rr_budget_set_shares(budget, &all);
    return budget;
}

static void create_state(struct rr_app *app) {
    struct rr_app_cells *cells = g_new0(struct rr_app_cells, 1);
    /* Distinguishes this process's grants from those of an earlier one. */
    uint64_t process = (uint64_t)g_random_int() << 32 | g_random_int();
    cells->transfers = rr_transfers_create(&app->cells_settings, &app->config, app->core, process);
    rr_core_watch_records(app->core, RR_CELLS_PREFIX, on_record, cells);
    app->cells = cells;
    for (size_t i = 0; i < app->cells_settings.neighbour_count; i++) {
        cells->neighbour_budgets[i] = create_neighbour_budget(app, i);
    }
}

static int start_neighbour_threads(struct rr_app *app) {
    int rc = 0;
    for (size_t i = 0; rc == 0 && i < app->cells_settings.neighbour_count; i++) {
        struct rr_neighbour_thread *entry = &app->cells->neighbour_threads[i];
        *entry = (struct rr_neighbour_thread){.app = app, .neighbour = i};
        rc = rr_thread_start(&entry->thread, rr_cells_neighbour_thread, entry, false);
        entry->started = rc == 0;
    }
    return rc;
}

int rr_app_cells_start(struct rr_app *app) {
    if (!app->config.cells) {
        return 0;
    }
    create_state(app);
    int rc = rr_cells_links_start(&app->cells_settings, &app->stop, rr_app_cells_serve,
                                  rr_app_cells_end_connection, app, &app->cells->links);
    rc = rc == 0 ? start_neighbour_threads(app) : rc;
    if (rc != 0) {
        rr_log(RR_ERROR_LEVEL, "cells: %s:%u: %s", app->cells_settings.listen.host,
               app->cells_settings.listen.port, strerror(-rc));
    }
    return rc;
}

void rr_app_cells_join(struct rr_app *app) {
    if (!app->cells) {
        return;
    }
    for (size_t i = 0; i < RR_CELLS_MAX; i++) {
        if (app->cells->neighbour_threads[i].started) {
            pthread_join(app->cells->neighbour_threads[i].thread, NULL);
        }
    }
    rr_cells_links_destroy(app->cells->links);
    app->cells->links = NULL;
}

void rr_app_cells_stop(struct rr_app *app) {
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
           "cells: %s, %u of our jobs transferred or returned, %u of others here; so far offered "
           "%" G_GUINT64_FORMAT ", taken %" G_GUINT64_FORMAT ", refused %" G_GUINT64_FORMAT
           ", ended elsewhere %" G_GUINT64_FORMAT ", withdrawn %" G_GUINT64_FORMAT
           "; accepted %" G_GUINT64_FORMAT ", given back %" G_GUINT64_FORMAT
           ", lapsed %" G_GUINT64_FORMAT "; granted %" G_GUINT64_FORMAT
           ", claimed %" G_GUINT64_FORMAT "; unknown peers %" G_GUINT64_FORMAT
           ", refused requests %" G_GUINT64_FORMAT,
           stats.spilling ? "spilling" : "not spilling", stats.outgoing, stats.incoming,
           stats.offered, stats.taken, stats.refused, stats.finished, stats.withdrawn,
           stats.accepted, stats.given_back, stats.lapsed, stats.granted, stats.claimed,
           links.unknown_peers, links.refused);
}
