/* Announces this controller's demand and, where the autoscaler runs, writes the admission tables.
 * The linear programs run without any lock. */
#include "app/admission_state.h"
#include "app/thread_loop.h"
#include "app/threads.h"
#include "common/clock.h"
#include "common/log.h"
#include "common/usage.h"
#include "core/cache_feed.h"
#include "core/extensions.h"
#include "core/leadership.h"

#include <math.h>
#include <string.h>

/* Part of an interval after which demand is announced: a little before tables are made. */
#define ANNOUNCE_AT 0.45
#define PASSES_PER_INTERVAL 40.0
#define PASS_PAUSE_MAX_S 0.25
#define COMMIT_TIMEOUT_S 1.0
#define TABLE_RETRY_SHARE 0.1 /* of an interval, between attempts to write a table */

/* Caller holds rr_app.lock. */
static bool job_known(void *user, const char *job_id) {
    const struct rr_app *app = user;
    return rr_core_job_known(app->core, job_id);
}

/* Drops accepted jobs that the core knows by now from the count of those under way. */
static void settle_accepted_jobs(struct rr_app *app) {
    struct rr_app_admission *state = app->admission;
    pthread_mutex_lock(&app->lock);
    pthread_mutex_lock(&state->lock);
    rr_admission_forget_accepted(state->admission, job_known, app);
    pthread_mutex_unlock(&state->lock);
    pthread_mutex_unlock(&app->lock);
}

/* Announces the demand once an interval, and only while every controller can read it. wall: now. */
static void announce_demand(struct rr_app *app, double wall) {
    struct rr_app_admission *state = app->admission;
    double length_s = app->admission_settings.interval_s;
    double interval_start = floor(wall / length_s) * length_s;
    if (interval_start == state->announced_interval ||
        wall - interval_start < ANNOUNCE_AT * length_s) {
        return;
    }
    state->announced_interval = interval_start;
    settle_accepted_jobs(app);
    pthread_mutex_lock(&app->lock);
    bool capable = rr_core_all_members_support_admission(app->core);
    uint64_t token = rr_core_fencing_token(app->core);
    pthread_mutex_unlock(&app->lock);
    GByteArray *view = g_byte_array_new();
    pthread_mutex_lock(&state->lock);
    bool announced = capable && rr_admission_announce(state->admission, token, view);
    pthread_mutex_unlock(&state->lock);
    if (announced) {
        rr_peers_send_demand(app->peers, view->data, view->len);
    }
    g_byte_array_free(view, TRUE);
}

static void visit_machine(void *user, const char *type, const char *zone, double cpu, double gpu,
                          double mem) {
    rr_offered_load_add_machine(user, type, zone, (rr_amount){cpu, gpu, mem});
}

static void visit_job(void *user, const rr_submission *submission, int team, uint32_t waiting,
                      uint32_t placed, uint32_t done) {
    rr_offered_load_add_job(user, submission, team, waiting, placed, done);
}

/* Reads the input of a table at one moment. False: this controller is not to write one now. */
static bool gather_input(struct rr_app *app, GArray *demand, rr_admission_table *newest,
                         rr_transaction *transaction) {
    struct rr_app_admission *state = app->admission;
    double now = rr_steady_clock_s();
    pthread_mutex_lock(&app->lock);
    bool writes = rr_core_cache_consistent(app->core) && rr_core_is_autoscaler(app->core, now) &&
                  rr_core_all_members_support_admission(app->core);
    if (writes) {
        rr_offered_load_begin(&state->load);
        rr_core_foreach_machine(app->core, visit_machine, &state->load);
        rr_core_foreach_job(app->core, visit_job, &state->load);
        rr_core_guard_term(app->core, transaction);
        pthread_mutex_lock(&state->lock);
        const rr_admission_table *table = rr_admission_newest(state->admission);
        *newest = *table;
        newest->rows = g_array_copy(table->rows);
        newest->teams = g_array_copy(table->teams);
        rr_admission_demand(state->admission, now, demand);
        pthread_mutex_unlock(&state->lock);
    }
    pthread_mutex_unlock(&app->lock);
    return writes;
}

static bool commit_table(struct rr_app *app, rr_store *store, const rr_admission_table *table,
                         rr_transaction *transaction) {
    struct rr_app_admission *state = app->admission;
    pthread_mutex_lock(&state->lock);
    bool fits = rr_admission_put_table(state->admission, table, transaction);
    pthread_mutex_unlock(&state->lock);
    uint64_t revision = 0;
    enum rr_commit_status outcome = RR_COMMIT_INVALID;
    if (fits) {
        outcome = rr_store_commit(store, RR_REQUEST_AUTOSCALER, transaction, COMMIT_TIMEOUT_S,
                                  &revision, NULL);
    }
    if (outcome == RR_COMMIT_DONE) {
        pthread_mutex_lock(&app->lock);
        rr_app_apply_committed(app, transaction, outcome, revision);
        pthread_mutex_unlock(&app->lock);
    } else {
        rr_log(RR_INFO_LEVEL, "admission: table %" G_GUINT64_FORMAT " was not written (%d)",
               table->sequence, (int)outcome);
    }
    return outcome == RR_COMMIT_DONE;
}

/* Makes and writes the next table, if one is needed. A failed attempt is repeated with newer input;
 * after an unknown outcome the guards of the records keep it from being written twice. */
static void write_table(struct rr_app *app, rr_store *store, double interval_start) {
    struct rr_app_admission *state = app->admission;
    rr_admission_table newest, table;
    GArray *demand = g_array_new(FALSE, TRUE, sizeof(rr_demand_total));
    rr_transaction transaction;
    rr_transaction_init(&transaction);
    if (gather_input(app, demand, &newest, &transaction)) {
        bool wanted = rr_admission_writer_next(state->writer, &state->load, demand, &newest,
                                               rr_wall_clock_s(), rr_steady_clock_s(), &table);
        rr_log(RR_DEBUG_LEVEL, "admission: table %" G_GUINT64_FORMAT ", %u rows%s", table.sequence,
               table.rows->len, wanted ? "" : ", not needed");
        bool settled = !wanted || commit_table(app, store, &table, &transaction);
        if (settled) {
            state->settled_interval = interval_start;
        }
        if (settled && table.active != newest.active) {
            rr_log(RR_INFO_LEVEL, "admission: overload %s", table.active ? "begins" : "is over");
        }
        pthread_mutex_lock(&state->lock);
        rr_admission_writer_get_stats(state->writer, &state->writer_stats);
        pthread_mutex_unlock(&state->lock);
        rr_admission_table_clear(&table);
        rr_admission_table_clear(&newest);
    }
    rr_transaction_clear(&transaction);
    g_array_free(demand, TRUE);
}

/* Caller holds both locks. */
static void set_fair_shares(struct rr_app *app, const rr_admission_table *table) {
    double fair_shares[RR_TEAMS_MAX];
    for (size_t i = 0; i < app->config.team_count; i++) {
        const rr_admission_team *team = rr_admission_table_team(table, app->config.teams[i].name);
        fair_shares[i] = team ? team->fair_room : 1;
    }
    rr_core_set_fair_shares(app->core, fair_shares, table->cpus, table->gpus, table->mem_gb);
}

/* Hands the rooms of the table in force to the core, for this controller's own plans; once for each
 * table. */
static void update_fair_room(struct rr_app *app, double wall) {
    struct rr_app_admission *state = app->admission;
    pthread_mutex_lock(&app->lock);
    pthread_mutex_lock(&state->lock);
    const rr_admission_table *table = rr_admission_table_at(state->admission, wall);
    bool fresh = table && table->active && rr_core_all_members_support_admission(app->core) &&
                 wall < table->starts_at + rr_admission_valid_s(table->length_s);
    uint64_t room_table = fresh ? table->sequence : 0;
    if (fresh && room_table != state->room_table) {
        set_fair_shares(app, table);
    } else if (!fresh && state->room_table != 0) {
        rr_core_set_fair_shares(app->core, NULL, 0, 0, 0);
    }
    state->room_table = room_table;
    pthread_mutex_unlock(&state->lock);
    pthread_mutex_unlock(&app->lock);
}

static bool is_table_due(struct rr_app_admission *state, double wall, double interval_start) {
    if (interval_start == state->settled_interval) {
        return false;
    }
    pthread_mutex_lock(&state->lock);
    bool due = rr_admission_writer_due(state->writer, rr_admission_newest(state->admission), wall);
    pthread_mutex_unlock(&state->lock);
    return due;
}

void *rr_admission_thread(void *argument) {
    struct rr_app *app = argument;
    struct rr_app_admission *state = app->admission;
    rr_usage_enter(RR_USAGE_ADMISSION);
    rr_store *store = rr_app_open_store(app);
    double length_s = app->admission_settings.interval_s, tried_at = 0;
    while (!rr_app_stopping(app)) {
        rr_sleep(fmin(length_s / PASSES_PER_INTERVAL, PASS_PAUSE_MAX_S));
        double wall = rr_wall_clock_s();
        pthread_mutex_lock(&state->lock);
        rr_admission_update_interval(state->admission, wall, rr_steady_clock_s());
        pthread_mutex_unlock(&state->lock);
        announce_demand(app, wall);
        double interval_start = floor(wall / length_s) * length_s;
        if (is_table_due(state, wall, interval_start) &&
            rr_steady_clock_s() - tried_at > TABLE_RETRY_SHARE * length_s) {
            tried_at = rr_steady_clock_s();
            write_table(app, store, interval_start);
        }
        update_fair_room(app, wall);
    }
    rr_store_destroy(store);
    rr_usage_leave();
    return NULL;
}
