/* Fair admission in this process; the admission thread is in admission_thread.c. */
#include "app/admission.h"
#include "app/admission_state.h"
#include "common/clock.h"
#include "common/log.h"
#include "core/cache_feed.h"
#include "core/extensions.h"
#include "core/leadership.h"

#include <errno.h>

/* Passes a record under RR_ADMISSION_KEY_PREFIX from the store cache to the admission package, and
 * logs the first one that could not be read. An rr_core_record_fn; user is the struct
 * rr_app_admission. Caller holds rr_app.lock. */
static void on_admission_record(void *user, const char *key_suffix, const msgpack_object *value,
                                uint64_t version) {
    struct rr_app_admission *state = user;
    rr_admission_stats before, after;
    if (!value) {
        return; /* tables are overwritten, never deleted */
    }
    pthread_mutex_lock(&state->lock);
    rr_admission_get_stats(state->admission, &before);
    rr_admission_apply_record(state->admission, key_suffix, value, version);
    rr_admission_get_stats(state->admission, &after);
    pthread_mutex_unlock(&state->lock);
    if (after.unreadable_records != before.unreadable_records && before.unreadable_records == 0) {
        rr_log(RR_ERROR_LEVEL,
               "admission: ignored a table of unknown format; further ones are only counted");
    }
}

int rr_app_admission_create(struct rr_app *app) {
    if (!app->config.admission) {
        return 0;
    }
    struct rr_app_admission *state = g_new0(struct rr_app_admission, 1);
    pthread_mutex_init(&state->lock, NULL);
    state->admission = rr_admission_create(&app->config, &app->admission_settings);
    state->writer = rr_admission_writer_create(&app->config, &app->admission_settings);
    rr_offered_load_init(&state->offered_load, &app->admission_settings);
    rr_core_watch_records(app->core, RR_ADMISSION_KEY_PREFIX, on_admission_record, state);
    app->admission = state;
    return 0;
}

void rr_app_admission_destroy(struct rr_app *app) {
    struct rr_app_admission *state = app->admission;
    if (state) {
        rr_offered_load_clear(&state->offered_load);
        rr_admission_writer_destroy(state->writer);
        rr_admission_destroy(state->admission);
        pthread_mutex_destroy(&state->lock);
        g_free(state);
        app->admission = NULL;
    }
    rr_admission_settings_clear(&app->admission_settings);
}

/* Returns what the admission verdict depends on besides the table. Takes rr_app.lock. */
static rr_admission_context read_admission_context(struct rr_app *app) {
    double now = rr_steady_clock_s();
    pthread_mutex_lock(&app->lock);
    rr_admission_context context = {.lease_valid = rr_core_lease_valid(app->core, now),
                                    .all_support_admission =
                                        rr_core_all_members_support_admission(app->core),
                                    .cache_age_s = rr_core_cache_age(app->core, now),
                                    .controllers = rr_core_count_members(app->core)};
    pthread_mutex_unlock(&app->lock);
    return context;
}

bool rr_app_admission_check(struct rr_app *app, const rr_submission *submission,
                            int *retry_after_s) {
    struct rr_app_admission *state = app->admission;
    if (!state) {
        return true;
    }
    rr_admission_context context = read_admission_context(app);
    pthread_mutex_lock(&state->lock);
    rr_admission_verdict verdict = rr_admission_check(state->admission, submission, &context,
                                                      rr_wall_clock_s(), rr_steady_clock_s());
    pthread_mutex_unlock(&state->lock);
    *retry_after_s = verdict.retry_after_s;
    return verdict.kind == RR_ADMISSION_ADMIT;
}

void rr_app_admission_record_accepted(struct rr_app *app, const rr_submission *submission) {
    if (app->admission) {
        pthread_mutex_lock(&app->admission->lock);
        rr_admission_record_accepted(app->admission->admission, submission);
        pthread_mutex_unlock(&app->admission->lock);
    }
}

void rr_app_admission_receive_demand(struct rr_app *app, int peer, const void *data,
                                     size_t length) {
    struct rr_app_admission *state = app->admission;
    if (!state) {
        return;
    }
    pthread_mutex_lock(&app->lock);
    uint64_t token = rr_core_fencing_token(app->core);
    pthread_mutex_unlock(&app->lock);
    pthread_mutex_lock(&state->lock);
    int rc = rr_admission_receive_demand_view(state->admission, (size_t)peer, token, data, length,
                                              rr_steady_clock_s());
    pthread_mutex_unlock(&state->lock);
    if (rc == -EBADMSG) {
        rr_log(RR_DEBUG_LEVEL, "admission: dropped a peer's malformed demand view");
    }
}

void rr_app_admission_log(struct rr_app *app) {
    struct rr_app_admission *state = app->admission;
    rr_admission_stats stats;
    if (!state) {
        return;
    }
    pthread_mutex_lock(&state->lock);
    const rr_admission_table *table =
        rr_admission_get_table_at(state->admission, rr_wall_clock_s());
    bool active = table && table->active;
    rr_admission_writer_stats writer_stats = state->writer_stats;
    rr_admission_get_stats(state->admission, &stats);
    pthread_mutex_unlock(&state->lock);
    rr_log(RR_INFO_LEVEL,
           "admission: %s, backlog %.0f s, demand %.0f s, table of %u rows; since start "
           "%" G_GUINT64_FORMAT " admitted, %" G_GUINT64_FORMAT " refused, %" G_GUINT64_FORMAT
           " of them without a valid table, %" G_GUINT64_FORMAT
           " demand views dropped, %" G_GUINT64_FORMAT " records unreadable, %" G_GUINT64_FORMAT
           " tables computed by progressive filling",
           active ? "limits" : "admits all", writer_stats.backlog_s, writer_stats.requested_s,
           writer_stats.row_count, stats.admitted, stats.refused, stats.refused_without_table,
           stats.frames_dropped, stats.unreadable_records, writer_stats.filling_fallbacks);
}
