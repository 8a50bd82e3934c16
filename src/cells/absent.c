#include "cells/absent.h"
#include "core/cache_feed.h"
#include "core/extensions.h"
#include "core/leadership.h"
#include "core/state/transaction.h"

#include <string.h>

struct rr_absent {
    const struct rr_config *config;
    const char *own_cell;
    rr_core *cache;      /* a store cache of that cell; NULL: nothing was read */
    GHashTable *outs;    /* job id -> rr_absent_out */
    uint64_t token;      /* of the term that was read */
    double gone_since;   /* steady clock; 0: it may have controllers */
    uint64_t gone_token; /* of the term for which gone_since counts */
};

rr_absent *rr_absent_create(const struct rr_config *config, const char *own_cell) {
    rr_absent *absent = g_new0(rr_absent, 1);
    absent->config = config;
    absent->own_cell = own_cell;
    absent->outs = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    return absent;
}

void rr_absent_destroy(rr_absent *absent) {
    if (absent) {
        rr_core_destroy(absent->cache);
        g_hash_table_destroy(absent->outs);
        g_free(absent);
    }
}

/* ---- reading ---- */

static void on_record(void *user, const char *rest, const msgpack_object *value, uint64_t version) {
    rr_absent *absent = user;
    rr_absent_out out = {.version = version};
    if (value && g_str_has_prefix(rest, RR_CELLS_OUT) &&
        rr_cells_out_decode(value, &out.record) == 0) {
        g_hash_table_replace(absent->outs, g_strdup(rest + strlen(RR_CELLS_OUT)),
                             g_memdup2(&out, sizeof out));
    }
}

void rr_absent_begin(rr_absent *absent) {
    rr_core_destroy(absent->cache);
    g_hash_table_remove_all(absent->outs);
    absent->cache = rr_core_create(absent->config);
    rr_core_watch_records(absent->cache, RR_CELLS_PREFIX, on_record, absent);
    rr_core_cache_begin_reload(absent->cache);
}

void rr_absent_put(rr_absent *absent, const char *key, const msgpack_object *value,
                   uint64_t version, double now) {
    rr_core_cache_put(absent->cache, key, value, version, now);
}

void rr_absent_end(rr_absent *absent, double now) {
    rr_core_cache_end_reload(absent->cache, 1, 1, now);
    absent->token = rr_core_fencing_token(absent->cache);
}

void rr_absent_confirm(rr_absent *absent, bool no_sessions, double now) {
    if (!no_sessions) {
        absent->gone_since = 0;
        return;
    }
    if (absent->gone_since <= 0 || absent->gone_token != absent->token) {
        absent->gone_since = now;
        absent->gone_token = absent->token;
    }
}

double rr_absent_for(const rr_absent *absent, double now) {
    return absent->gone_since > 0 ? now - absent->gone_since : 0;
}

const rr_absent_out *rr_absent_out_of(const rr_absent *absent, const char *job_id) {
    return g_hash_table_lookup(absent->outs, job_id);
}

bool rr_absent_holds(const rr_absent *absent, const char *job_id, uint32_t claim) {
    const rr_absent_out *out = rr_absent_out_of(absent, job_id);
    return out && out->record.state == RR_HOME_OFFERED && out->record.claim == claim &&
           strcmp(out->record.guest, absent->own_cell) == 0;
}

struct visit {
    const rr_absent *absent;
    rr_absent_job_fn callback;
    void *user;
};

static void visit_job(void *user, const rr_submission *submission, int team, uint32_t waiting,
                      uint32_t placed, uint32_t done) {
    const struct visit *visit = user;
    rr_core_job job;
    (void)team;
    (void)waiting;
    (void)placed;
    (void)done;
    if (rr_core_find_job(visit->absent->cache, submission->job_id, &job) && !job.done &&
        !job.cancelled) {
        visit->callback(visit->user, submission, job.accepted_at,
                        rr_absent_out_of(visit->absent, submission->job_id));
    }
}

void rr_absent_each_open(const rr_absent *absent, rr_absent_job_fn callback, void *user) {
    struct visit visit = {absent, callback, user};
    rr_core_foreach_job(absent->cache, visit_job, &visit);
}

/* ---- changes ---- */

/* Guarded by the term and by the record that was read. */
static void change_out(const rr_absent *absent, const char *job_id, const rr_out_record *record,
                       rr_transaction *out) {
    const rr_absent_out *before = rr_absent_out_of(absent, job_id);
    rr_core_guard_term(absent->cache, out);
    rr_cells_out_write(out, job_id, before ? before->version : 0, record);
}

bool rr_absent_claim(const rr_absent *absent, const char *job_id, const char *team,
                     rr_transaction *out) {
    const rr_absent_out *before = rr_absent_out_of(absent, job_id);
    rr_out_record record = {.state = RR_HOME_OFFERED, .claim = 1};
    if ((before && before->record.state != RR_HOME_LOCAL) ||
        !rr_core_guard_open_job(absent->cache, job_id, out)) {
        return false;
    }
    record.claim += before ? before->record.claim : 0;
    g_strlcpy(record.team, team, sizeof record.team);
    g_strlcpy(record.guest, absent->own_cell, sizeof record.guest);
    change_out(absent, job_id, &record, out);
    return true;
}

bool rr_absent_finish(const rr_absent *absent, const char *job_id, rr_transaction *out) {
    if (!rr_core_add_finished_job_record(absent->cache, job_id, true, out)) {
        return false;
    }
    change_out(absent, job_id, NULL, out);
    return true;
}

bool rr_absent_give_back(const rr_absent *absent, const char *job_id, double wall,
                         rr_transaction *out) {
    const rr_absent_out *before = rr_absent_out_of(absent, job_id);
    if (!before) {
        return false;
    }
    rr_out_record record = rr_cells_out_withdrawn(&before->record, wall);
    change_out(absent, job_id, &record, out);
    return true;
}
