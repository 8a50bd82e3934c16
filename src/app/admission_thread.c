/* The admission thread: announces this controller's demand to its peers and, on the controller that
 * is the autoscaler, writes the admission tables. The linear programs that compute a table run
 * without any lock. "wall" is the present wall-clock time, in seconds. */
#include "app/admission_state.h"
#include "app/thread_helpers.h"
#include "app/threads.h"
#include "common/clock.h"
#include "common/log.h"
#include "common/usage.h"
#include "core/cache_feed.h"
#include "core/extensions.h"
#include "core/leadership.h"

#include <math.h>
#include <string.h>

/* Share of an interval after which demand is announced: shortly before a table is computed. */
#define ANNOUNCE_INTERVAL_SHARE 0.45
/* Passes of the thread's loop in one interval, unless PASS_PAUSE_MAX_S makes them more frequent. */
#define PASSES_PER_INTERVAL 40.0
#define PASS_PAUSE_MAX_S 0.25
#define COMMIT_TIMEOUT_S 1.0
/* Shortest time between two attempts to write a table, as a share of an interval. */
#define TABLE_RETRY_INTERVAL_SHARE 0.1

/* Returns whether the core knows the job; an rr_job_accepted_fn. Caller holds rr_app.lock. */
static bool is_job_known(void *user, const char *job_id) {
    const struct rr_app *app = user;
    return rr_core_job_known(app->core, job_id);
}

/* Removes from the demand the jobs that this controller refused and another one has accepted since,
 * which are the jobs that the core knows. */
static void remove_accepted_jobs(struct rr_app *app) {
    struct rr_app_admission *state = app->admission;
    pthread_mutex_lock(&app->lock);
    pthread_mutex_lock(&state->lock);
    rr_admission_remove_accepted(state->admission, is_job_known, app);
    pthread_mutex_unlock(&state->lock);
    pthread_mutex_unlock(&app->lock);
}

/* Sends this controller's view of the demand to the peers, once in each interval. Nothing is sent
 * unless every controller of the term supports admission and the newest table limits admission. */
static void announce_demand(struct rr_app *app, double wall) {
    struct rr_app_admission *state = app->admission;
    double length_s = app->admission_settings.interval_s;
    double interval_start = floor(wall / length_s) * length_s;
    if (interval_start == state->announced_interval_start ||
        wall - interval_start < ANNOUNCE_INTERVAL_SHARE * length_s) {
        return;
    }
    state->announced_interval_start = interval_start;
    remove_accepted_jobs(app);
    pthread_mutex_lock(&app->lock);
    bool capable = rr_core_all_members_support_admission(app->core);
    uint64_t token = rr_core_fencing_token(app->core);
    pthread_mutex_unlock(&app->lock);
    GByteArray *view = g_byte_array_new();
    pthread_mutex_lock(&state->lock);
    bool announced = capable && rr_admission_encode_demand_view(state->admission, token, view);
    pthread_mutex_unlock(&state->lock);
    if (announced) {
        rr_peers_send_demand(app->peers, view->data, view->len);
    }
    g_byte_array_free(view, TRUE);
}

/* Adds a machine to the offered load; an rr_core_machine_fn. */
static void add_machine_to_offered_load(void *user, const char *type, const char *zone, double cpu,
                                        double gpu, double mem) {
    rr_offered_load_add_machine(user, type, zone, (rr_resource_amount){cpu, gpu, mem});
}

/* Adds a job to the offered load; an rr_core_job_fn. */
static void add_job_to_offered_load(void *user, const rr_submission *submission, int team,
                                    uint32_t waiting, uint32_t placed, uint32_t done) {
    rr_offered_load_add_job(user, submission, team, waiting, placed, done);
}

/* Reads the input for a table in one critical section: the offered load, the demand and a copy of
 * the newest table, which the caller clears. Adds the guard of the term to the transaction. Returns
 * false if this controller must not write a table now; then nothing is read. */
static bool gather_table_input(struct rr_app *app, GArray *demand, rr_admission_table *newest,
                               rr_transaction *transaction) {
    struct rr_app_admission *state = app->admission;
    double now = rr_steady_clock_s();
    pthread_mutex_lock(&app->lock);
    bool writes = rr_core_cache_consistent(app->core) && rr_core_is_autoscaler(app->core, now) &&
                  rr_core_all_members_support_admission(app->core);
    if (writes) {
        rr_offered_load_begin_snapshot(&state->offered_load);
        rr_core_foreach_machine(app->core, add_machine_to_offered_load, &state->offered_load);
        rr_core_foreach_job(app->core, add_job_to_offered_load, &state->offered_load);
        rr_core_guard_term(app->core, transaction);
        pthread_mutex_lock(&state->lock);
        const rr_admission_table *table = rr_admission_get_newest_table(state->admission);
        *newest = *table;
        newest->rows = g_array_copy(table->rows);
        newest->teams = g_array_copy(table->teams);
        rr_admission_append_total_demand(state->admission, now, demand);
        pthread_mutex_unlock(&state->lock);
    }
    pthread_mutex_unlock(&app->lock);
    return writes;
}

/* Writes the table to the key-value store. The transaction already has the guard of the term.
 * Returns whether it was committed. */
static bool commit_table(struct rr_app *app, rr_store *store, const rr_admission_table *table,
                         rr_transaction *transaction) {
    struct rr_app_admission *state = app->admission;
    pthread_mutex_lock(&state->lock);
    bool fits = rr_admission_add_table_writes(state->admission, table, transaction);
    pthread_mutex_unlock(&state->lock);
    uint64_t revision = 0;
    enum rr_commit_status outcome = RR_COMMIT_INVALID;
    if (fits) {
        outcome = rr_store_commit(store, RR_REQUEST_AUTOSCALER, transaction, COMMIT_TIMEOUT_S,
                                  &revision, NULL);
    }
    if (outcome == RR_COMMIT_DONE) {
        pthread_mutex_lock(&app->lock);
        rr_app_apply_committed_transaction(app, transaction, outcome, revision);
        pthread_mutex_unlock(&app->lock);
    } else {
        rr_log(RR_INFO_LEVEL, "admission: table %" G_GUINT64_FORMAT " was not written: %s",
               table->sequence, rr_commit_status_name(outcome));
    }
    return outcome == RR_COMMIT_DONE;
}

/* Computes the next table and writes it if it is needed. A failed attempt is retried later with
 * newer input; if its outcome is unknown, the guards of the records prevent a second write. */
static void write_table(struct rr_app *app, rr_store *store, double interval_start) {
    struct rr_app_admission *state = app->admission;
    rr_admission_table newest, table;
    GArray *demand = g_array_new(FALSE, TRUE, sizeof(rr_demand_total));
    rr_transaction transaction;
    rr_transaction_init(&transaction);
    if (gather_table_input(app, demand, &newest, &transaction)) {
        bool needed =
            rr_admission_writer_make_table(state->writer, &state->offered_load, demand, &newest,
                                           rr_wall_clock_s(), rr_steady_clock_s(), &table);
        rr_log(RR_DEBUG_LEVEL, "admission: computed table %" G_GUINT64_FORMAT ", %u rows%s",
               table.sequence, table.rows->len, needed ? "" : ", not needed");
        bool settled = !needed || commit_table(app, store, &table, &transaction);
        if (settled) {
            state->settled_interval_start = interval_start;
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

/* Passes the fair share of each team in the table to the core; a team without an entry gets 1,
 * which is no limit. Caller holds rr_app.lock and the lock of admission. */
static void set_fair_shares(struct rr_app *app, const rr_admission_table *table) {
    double shares[RR_TEAMS_MAX];
    for (size_t i = 0; i < app->config.team_count; i++) {
        const rr_admission_team *team =
            rr_admission_table_find_team(table, app->config.teams[i].name);
        shares[i] = team ? team->fair_share : 1;
    }
    rr_core_set_fair_shares(app->core, shares, table->cpus, table->gpus, table->mem_gb);
}

/* Applies the fair shares of the table in force to this controller's own plans, once for each
 * table. Removes them if no valid table limits admission any more. */
static void update_fair_shares(struct rr_app *app, double wall) {
    struct rr_app_admission *state = app->admission;
    pthread_mutex_lock(&app->lock);
    pthread_mutex_lock(&state->lock);
    const rr_admission_table *table = rr_admission_get_table_at(state->admission, wall);
    bool in_force = table && table->active && rr_core_all_members_support_admission(app->core) &&
                    wall < table->starts_at + rr_admission_table_validity_s(table->length_s);
    uint64_t sequence = in_force ? table->sequence : 0;
    if (in_force && sequence != state->fair_shares_sequence) {
        set_fair_shares(app, table);
    } else if (!in_force && state->fair_shares_sequence != 0) {
        rr_core_set_fair_shares(app->core, NULL, 0, 0, 0);
    }
    state->fair_shares_sequence = sequence;
    pthread_mutex_unlock(&state->lock);
    pthread_mutex_unlock(&app->lock);
}

/* Returns whether the next table is due and has neither been written nor found unnecessary in the
 * present interval, which began at wall-clock time interval_start. */
static bool is_table_due(struct rr_app_admission *state, double wall, double interval_start) {
    if (interval_start == state->settled_interval_start) {
        return false;
    }
    pthread_mutex_lock(&state->lock);
    bool due = rr_admission_writer_is_due(state->writer,
                                          rr_admission_get_newest_table(state->admission), wall);
    pthread_mutex_unlock(&state->lock);
    return due;
}

void *rr_admission_thread(void *argument) {
    struct rr_app *app = argument;
    struct rr_app_admission *state = app->admission;
    rr_usage_register_thread(RR_USAGE_ADMISSION);
    rr_store *store = rr_app_create_store_client(app);
    double length_s = app->admission_settings.interval_s, attempted_at = 0;
    while (!rr_app_is_stopping(app)) {
        rr_sleep(fmin(length_s / PASSES_PER_INTERVAL, PASS_PAUSE_MAX_S));
        double wall = rr_wall_clock_s();
        pthread_mutex_lock(&state->lock);
        rr_admission_update_interval(state->admission, wall, rr_steady_clock_s());
        pthread_mutex_unlock(&state->lock);
        announce_demand(app, wall);
        double interval_start = floor(wall / length_s) * length_s;
        if (is_table_due(state, wall, interval_start) &&
            rr_steady_clock_s() - attempted_at > TABLE_RETRY_INTERVAL_SHARE * length_s) {
            attempted_at = rr_steady_clock_s();
            write_table(app, store, interval_start);
        }
        update_fair_shares(app, wall);
    }
    rr_store_destroy(store);
    rr_usage_unregister_thread();
    return NULL;
}
