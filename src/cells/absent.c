#include "cells/absent.h"
#include "core/cache_feed.h"
#include "core/extensions.h"
#include "core/leadership.h"
#include "core/state/transaction.h"

#include <string.h>

struct rr_absent_cell {
    const struct rr_config *config;
    const char *own_cell;
    rr_core *cache;              /* store cache of the absent cell; NULL: nothing was read */
    GHashTable *transfers;       /* job id -> rr_absent_transfer; owned */
    uint64_t token;              /* fencing token of the term that was read */
    double absent_since;         /* steady clock, seconds; 0: the cell may have controllers */
    uint64_t absent_since_token; /* fencing token of the term to which absent_since applies */
};

rr_absent_cell *rr_absent_create(const struct rr_config *config, const char *own_cell) {
    rr_absent_cell *absent = g_new0(rr_absent_cell, 1);
    absent->config = config;
    absent->own_cell = own_cell;
    absent->transfers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return absent;
}

void rr_absent_destroy(rr_absent_cell *absent) {
    if (absent) {
        rr_core_destroy(absent->cache);
        g_hash_table_destroy(absent->transfers);
        g_free(absent);
    }
}

/* ---- reading the store ---- */

/* Keeps the transfer records of the absent cell's own jobs and ignores all others. */
static void keep_transfer_record(void *user, const char *key_suffix, const msgpack_object *value,
                                 uint64_t version) {
    rr_absent_cell *absent = user;
    rr_absent_transfer transfer = {.version = version};
    if (value && g_str_has_prefix(key_suffix, RR_CELLS_OUTGOING_PREFIX) &&
        rr_cells_outgoing_decode(value, &transfer.record) == 0) {
        g_hash_table_replace(absent->transfers,
                             g_strdup(key_suffix + strlen(RR_CELLS_OUTGOING_PREFIX)),
                             g_memdup2(&transfer, sizeof transfer));
    }
}

void rr_absent_begin_read(rr_absent_cell *absent) {
    rr_core_destroy(absent->cache);
    g_hash_table_remove_all(absent->transfers);
    absent->cache = rr_core_create(absent->config);
    rr_core_watch_records(absent->cache, RR_CELLS_KEY_PREFIX, keep_transfer_record, absent);
    rr_core_cache_begin_reload(absent->cache);
}

void rr_absent_add_record(rr_absent_cell *absent, const char *key, const msgpack_object *value,
                          uint64_t version, double now) {
    rr_core_cache_put(absent->cache, key, value, version, now);
}

void rr_absent_end_read(rr_absent_cell *absent, double now) {
    /* The revisions do not matter: the cache is new, and no watch follows the read. */
    rr_core_cache_end_reload(absent->cache, 1, 1, now);
    absent->token = rr_core_fencing_token(absent->cache);
}

void rr_absent_record_session_check(rr_absent_cell *absent, bool no_sessions, double now) {
    if (!no_sessions) {
        absent->absent_since = 0;
        return;
    }
    if (absent->absent_since <= 0 || absent->absent_since_token != absent->token) {
        absent->absent_since = now;
        absent->absent_since_token = absent->token;
    }
}

/* ---- queries ---- */

double rr_absent_duration_s(const rr_absent_cell *absent, double now) {
    return absent->absent_since > 0 ? now - absent->absent_since : 0;
}

const rr_absent_transfer *rr_absent_find_transfer(const rr_absent_cell *absent,
                                                  const char *job_id) {
    return g_hash_table_lookup(absent->transfers, job_id);
}

bool rr_absent_has_claim(const rr_absent_cell *absent, const char *job_id, uint32_t claim) {
    const rr_absent_transfer *transfer = rr_absent_find_transfer(absent, job_id);
    return transfer && transfer->record.state == RR_HOME_OFFERED &&
           transfer->record.claim == claim && strcmp(transfer->record.guest, absent->own_cell) == 0;
}

/* Arguments of rr_absent_each_open_job(). */
struct job_visit {
    const rr_absent_cell *absent;
    rr_absent_job_fn callback;
    void *user;
};

/* Calls the callback of rr_absent_each_open_job() for the job if it is open. */
static void visit_open_job(void *user, const rr_submission *submission, int team, uint32_t waiting,
                           uint32_t placed, uint32_t done) {
    const struct job_visit *visit = user;
    rr_core_job job;
    (void)team;
    (void)waiting;
    (void)placed;
    (void)done;
    if (rr_core_find_job(visit->absent->cache, submission->job_id, &job) && !job.done &&
        !job.cancelled) {
        visit->callback(visit->user, submission, job.accepted_at,
                        rr_absent_find_transfer(visit->absent, submission->job_id));
    }
}

void rr_absent_each_open_job(const rr_absent_cell *absent, rr_absent_job_fn callback, void *user) {
    struct job_visit visit = {absent, callback, user};
    rr_core_foreach_job(absent->cache, visit_open_job, &visit);
}

/* ---- changes to the absent cell's store ---- */

/* Adds a write of the job's transfer record, guarded by the term and by the record that was read.
 * record NULL: deletes it. */
static void add_guarded_write(const rr_absent_cell *absent, const char *job_id,
                              const rr_outgoing_record *record, rr_transaction *transaction) {
    const rr_absent_transfer *current = rr_absent_find_transfer(absent, job_id);
    rr_core_guard_term(absent->cache, transaction);
    rr_cells_outgoing_add_write(transaction, job_id, current ? current->version : 0, record);
}

bool rr_absent_claim_job(const rr_absent_cell *absent, const char *job_id, const char *team,
                         rr_transaction *transaction) {
    const rr_absent_transfer *current = rr_absent_find_transfer(absent, job_id);
    rr_outgoing_record record = {.state = RR_HOME_OFFERED, .claim = 1};
    if ((current && current->record.state != RR_HOME_LOCAL) ||
        !rr_core_guard_open_job(absent->cache, job_id, transaction)) {
        return false;
    }
    record.claim += current ? current->record.claim : 0;
    g_strlcpy(record.team, team, sizeof record.team);
    g_strlcpy(record.guest, absent->own_cell, sizeof record.guest);
    add_guarded_write(absent, job_id, &record, transaction);
    return true;
}

bool rr_absent_finish_job(const rr_absent_cell *absent, const char *job_id,
                          rr_transaction *transaction) {
    if (!rr_core_add_finished_job_record(absent->cache, job_id, true, transaction)) {
        return false;
    }
    add_guarded_write(absent, job_id, NULL, transaction);
    return true;
}

bool rr_absent_give_back_job(const rr_absent_cell *absent, const char *job_id, double wall,
                             rr_transaction *transaction) {
    const rr_absent_transfer *current = rr_absent_find_transfer(absent, job_id);
    if (!current) {
        return false;
    }
    rr_outgoing_record record = rr_cells_outgoing_withdraw(&current->record, wall);
    add_guarded_write(absent, job_id, &record, transaction);
    return true;
}
