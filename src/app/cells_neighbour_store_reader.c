#include "app/cells_neighbour_store_reader.h"
#include "app/cells_state.h"
#include "app/thread_helpers.h"
#include "common/clock.h"

#include <errno.h>
#include <string.h>

#define COMMIT_TIMEOUT_S 1.5
#define SESSION_PREFIX RR_KEY_ROOT "node/"

void rr_neighbour_store_reader_init(struct rr_app *app, size_t neighbour,
                                    struct rr_neighbour_store_reader *reader) {
    memset(reader, 0, sizeof *reader);
    if (app->cells_settings.neighbours[neighbour].claimable) {
        reader->store = rr_app_cells_open_neighbour_store(app, neighbour);
        reader->absent = rr_absent_create(&app->config, app->cells_settings.name);
    }
}

void rr_neighbour_store_reader_clear(struct rr_neighbour_store_reader *reader) {
    rr_absent_destroy(reader->absent);
    rr_store_destroy(reader->store);
}

static void count_session(void *user, const char *key, const msgpack_object *value,
                          uint64_t version) {
    (void)value;
    (void)version;
    unsigned *session_count = user;
    *session_count += g_str_has_prefix(key, SESSION_PREFIX);
}

static void add_record(void *user, const char *key, const msgpack_object *value, uint64_t version) {
    rr_absent_add_record(user, key, value, version, rr_steady_clock_s());
}

/* Reads all rows under the prefix. Returns 0, -ECANCELED if the process is stopping, or another
 * -errno. */
static int read_rows_with_prefix(struct rr_app *app, struct rr_neighbour_store_reader *reader,
                                 const char *prefix, rr_store_row_fn callback, void *user) {
    rr_store_cursor cursor = {.has_more = true};
    int rc = 0;
    while (rc == 0 && cursor.has_more && !rr_app_is_stopping(app)) {
        rr_document document;
        rc = rr_store_read_page(reader->store, prefix, &cursor, &document);
        if (rc == 0) {
            rr_store_for_each_row(&document, &cursor, callback, user);
            rr_document_clear(&document);
        }
    }
    return rr_app_is_stopping(app) ? -ECANCELED : rc;
}

/* Reads the sessions, all records, and the sessions again. The records are valid only if there was
 * no session before and after they were read. Returns false if there was a session, or if the store
 * could not be read. */
static bool read_neighbour_records(struct rr_app *app, struct rr_neighbour_store_reader *reader) {
    unsigned session_count = 0;
    reader->read_started_at = rr_steady_clock_s();
    int rc = read_rows_with_prefix(app, reader, SESSION_PREFIX, count_session, &session_count);
    if (rc == 0 && session_count == 0) {
        rr_absent_begin_read(reader->absent);
        rc = read_rows_with_prefix(app, reader, RR_KEY_ROOT, add_record, reader->absent);
        rr_absent_end_read(reader->absent, rr_steady_clock_s());
    }
    if (rc == 0 && session_count == 0) {
        rc = read_rows_with_prefix(app, reader, SESSION_PREFIX, count_session, &session_count);
    }
    bool confirmed = rc == 0 && session_count == 0;
    rr_absent_record_session_check(reader->absent, confirmed, rr_steady_clock_s());
    return confirmed;
}

/* Makes one attempt to commit a change to the neighbour's store. After an unknown outcome, the next
 * read shows whether the change was made, and its guards prevent it from being made twice. */
static void commit_to_neighbour(struct rr_app *app, struct rr_neighbour_store_reader *reader,
                                const rr_transfer_write *write) {
    uint64_t revision;
    enum rr_commit_status outcome = rr_store_commit(
        reader->store, RR_REQUEST_USER, &write->transaction, COMMIT_TIMEOUT_S, &revision, NULL);
    if (outcome == RR_COMMIT_DONE) {
        pthread_mutex_lock(&app->lock);
        rr_transfers_complete_absent_write(app->cells->transfers, write);
        pthread_mutex_unlock(&app->lock);
    }
}

/* Returns whether the controllers have been silent for half a lease and the last read is old
 * enough. */
static bool is_read_due(const struct rr_app *app, const struct rr_neighbour_store_reader *reader) {
    double lease_s = app->cells_settings.lease_s;
    return reader->store && reader->unanswered_since > 0 &&
           rr_steady_clock_s() - reader->unanswered_since >= lease_s / 2 &&
           rr_steady_clock_s() - reader->read_at >= lease_s / RR_CELLS_CHECKS_PER_LEASE;
}

void rr_neighbour_store_reader_run(struct rr_app *app, rr_store *own_store,
                                   struct rr_neighbour_store_reader *reader, size_t neighbour) {
    if (!is_read_due(app, reader)) {
        return;
    }
    reader->read_at = rr_steady_clock_s();
    if (!read_neighbour_records(app, reader)) {
        return;
    }
    rr_transfers_plan own_plan;
    GPtrArray *neighbour_writes = g_ptr_array_new();
    rr_transfers_plan_init(&own_plan);
    pthread_mutex_lock(&app->lock);
    rr_transfers_advance_absent(app->cells->transfers, neighbour, reader->absent,
                                reader->read_started_at, rr_steady_clock_s(), rr_wall_clock_s(),
                                &own_plan, neighbour_writes);
    pthread_mutex_unlock(&app->lock);
    for (guint i = 0; i < own_plan.writes->len; i++) {
        rr_app_cells_commit_write(app, own_store, g_ptr_array_index(own_plan.writes, i));
    }
    for (guint i = 0; i < neighbour_writes->len && !rr_app_is_stopping(app); i++) {
        commit_to_neighbour(app, reader, g_ptr_array_index(neighbour_writes, i));
    }
    g_ptr_array_free(neighbour_writes, TRUE);
    rr_transfers_plan_clear(&own_plan);
}
