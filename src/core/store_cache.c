/* The store cache: records of the key-value store as they come by reload, watch or own commit. */
#include "core/autoscaling/autoscaling_state.h"
#include "core/core_internal.h"
#include "core/membership/membership.h"
#include "core/state/jobs.h"
#include "core/state/ledger.h"
#include "core/state/machine_pages.h"
#include "core/state/machines.h"
#include "core/state/record_handlers.h"
#include "core/state/transaction.h"
#include "core/views/package_views.h"
#include "core/cache_feed.h"
#include "core/stats.h"

#include <string.h>

static void put_session(rr_core *core, const char *name, const msgpack_object *value) {
    uint64_t lease_id;
    if (!rr_map_get_u64(value, "tether", &lease_id) || strlen(name) >= RR_NAME_SIZE) {
        return;
    }
    rr_session *session = g_new0(rr_session, 1);
    g_strlcpy(session->name, name, sizeof session->name);
    session->lease_id = lease_id;
    rr_map_get_u64(value, "able", &session->capabilities);
    rr_map_get_bool(value, "holds", &session->keeps_holds);
    g_hash_table_replace(core->membership.sessions, session->name, session);
}

static void put_term(rr_core *core, const msgpack_object *value, uint64_t version) {
    uint64_t token;
    const msgpack_object *nodes = rr_map_get(value, "nodes");
    if (version < core->membership.term.version || !rr_map_get_u64(value, "token", &token) ||
        !nodes || nodes->type != MSGPACK_OBJECT_ARRAY) {
        return;
    }
    core->membership.term.version = version;
    if (token != core->membership.term.token) {
        core->membership.attempt_counter = 0;
        core->membership.new_term_wanted = false;
    }
    core->membership.term.token = token;
    rr_map_get_number(value, "born", &core->membership.term.first_term_at);
    g_array_set_size(core->membership.term.members, 0);
    for (uint32_t i = 0; i < nodes->via.array.size; i++) {
        const msgpack_object *node = &nodes->via.array.ptr[i];
        rr_session session = {0};
        if (node->type == MSGPACK_OBJECT_ARRAY && node->via.array.size == 2 &&
            rr_object_text(&node->via.array.ptr[0], session.name, sizeof session.name) &&
            rr_object_u64(&node->via.array.ptr[1], &session.lease_id)) {
            g_array_append_val(core->membership.term.members, session);
        }
    }
    rr_assign_shards(core);
    g_array_set_size(core->planning.moves, 0); /* teams may have moved */
}

static void put_rental(rr_core *core, const char *name, const msgpack_object *value,
                       uint64_t version) {
    rr_rental *rental = g_hash_table_lookup(core->autoscaling.rentals, name);
    uint64_t node = 0;
    if (!rental) {
        rental = g_new0(rr_rental, 1);
        rental->machine_ids = g_ptr_array_new_with_free_func(g_free);
        g_strlcpy(rental->name, name, sizeof rental->name);
        g_hash_table_insert(core->autoscaling.rentals, rental->name, rental);
    }
    core->autoscaling.ever_rented = true;
    rental->version = version;
    rental->seen_in_reload = true;
    rr_map_get_text(value, "build", rental->machine_type, sizeof rental->machine_type);
    rr_map_get_text(value, "ward", rental->zone, sizeof rental->zone);
    rr_map_get_bool(value, "loaners", &rental->spot);
    rr_map_get_u64(value, "n", &node);
    rental->count = (int)node;
}

/* ---- the store cache's door ---- */

static const char *after(const char *key, const char *prefix) {
    size_t node = strlen(prefix);
    return strncmp(key, prefix, node) == 0 ? key + node : NULL;
}

void rr_core_cache_put(rr_core *core, const char *key, const msgpack_object *value,
                       uint64_t version, double now) {
    const char *rest;
    if ((rest = after(key, RR_KEY_ROOT "fleet/"))) {
        rr_machine_page_put(core, rest, value, version, now);
    } else if ((rest = after(key, RR_KEY_ROOT "job/"))) {
        rr_job_put(core, rest, value, version, now);
    } else if ((rest = after(key, RR_KEY_ROOT "run/"))) {
        rr_ledger_record_put(core, rest, value, version, now);
    } else if ((rest = after(key, RR_KEY_ROOT "node/"))) {
        put_session(core, rest, value);
    } else if (strcmp(key, RR_KEY_ROOT "term") == 0) {
        put_term(core, value, version);
    } else if ((rest = after(key, RR_KEY_ROOT "hire/"))) {
        put_rental(core, rest, value, version);
    } else if (after(key, RR_KEY_ROOT "build/")) {
        rr_machine_type_put(core, value);
    } else if (after(key, RR_KEY_ROOT "batch/")) {
        rr_job_batch_put(core, key, value, version, now);
    } else if (!rr_watched_record(core, key, value, version)) {
        /* An earlier version's ledger (by machine) and whatever else: passed over. */
        rr_log_at(core, RR_LOG_DEBUG, "record %s is of no known form", key);
    }
}

void rr_core_cache_delete(rr_core *core, const char *key, uint64_t version, double now) {
    const char *rest;
    if ((rest = after(key, RR_KEY_ROOT "fleet/"))) {
        rr_machine_page_delete(core, rest, version, now);
    } else if ((rest = after(key, RR_KEY_ROOT "run/"))) {
        rr_ledger_record_delete(core, rest, version, now);
    } else if ((rest = after(key, RR_KEY_ROOT "node/"))) {
        g_hash_table_remove(core->membership.sessions, rest);
    } else if ((rest = after(key, RR_KEY_ROOT "hire/"))) {
        g_hash_table_remove(core->autoscaling.rentals, rest);
    } else if (after(key, RR_KEY_ROOT "batch/")) {
        g_hash_table_remove(core->stored.batches, key);
    } else {
        rr_watched_record(core, key, NULL, version);
    }
}

void rr_core_cache_begin_reload(rr_core *core) {
    GHashTableIter iter;
    gpointer key, value;
    core->stored.reloading = true;
    g_hash_table_remove_all(core->membership.sessions);
    g_hash_table_remove_all(core->stored.batches);
    g_hash_table_iter_init(&iter, core->autoscaling.rentals);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        ((rr_rental *)value)->seen_in_reload = false;
    }
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        ((rr_machine *)g_ptr_array_index(core->stored.machine_list, i))->seen_in_reload = false;
    }
    g_hash_table_iter_init(&iter, core->stored.pages);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        ((rr_machine_page *)value)->seen_in_reload = false;
    }
    for (guint i = 0; i < core->stored.open_jobs->len; i++) {
        const rr_job *job = g_ptr_array_index(core->stored.open_jobs, i);
        for (guint node = 0; job->records && node < job->records->len; node++) {
            rr_ledger_record *record = g_ptr_array_index(job->records, node);
            if (record) {
                record->seen_in_reload = false;
            }
        }
    }
    for (guint i = 0; i < core->stored.orphan_record_keys->len; i++) {
        rr_ledger_record *record = rr_garbage_record(core, i, NULL);
        if (record) {
            record->seen_in_reload = false;
        }
    }
}

static gboolean page_stale(gpointer key, gpointer value, gpointer first) {
    const rr_machine_page *page = value;
    (void)key;
    return !page->seen_in_reload && page->version <= *(uint64_t *)first;
}

/* A record written after the reload began may not be on its pages: only an older one is gone. */
static void drop_stale_records(rr_core *core, uint64_t first, double now) {
    for (guint i = 0; i < core->stored.orphan_record_keys->len; i++) {
        rr_ledger_record *record = rr_garbage_record(core, i, NULL);
        if (record && !record->seen_in_reload && record->version <= first) {
            record->version = 0;
        }
    }
    for (guint i = core->stored.open_jobs->len; i > 0; i--) {
        rr_job *job = g_ptr_array_index(core->stored.open_jobs, i - 1);
        for (guint node = 0; job->records && node < job->records->len; node++) {
            rr_ledger_record *record = g_ptr_array_index(job->records, node);
            if (record && record->version && record->version <= first && !record->seen_in_reload) {
                rr_ledger_record_remove(core, job, record, record->version, now);
            }
        }
    }
}

static gboolean rental_stale(gpointer key, gpointer value, gpointer user) {
    (void)key;
    (void)user;
    return !((rr_rental *)value)->seen_in_reload;
}

void rr_core_apply(rr_core *core, const rr_transaction *transaction, uint64_t revision,
                   double now) {
    for (guint i = 0; i < transaction->changes->len; i++) {
        const rr_change *change = &g_array_index(transaction->changes, rr_change, i);
        rr_document document;
        if (!change->value) {
            rr_core_cache_delete(core, change->key, revision, now);
            continue;
        }
        if (rr_document_parse(&document, change->value, change->length) == 0) {
            rr_core_cache_put(core, change->key, document.root, revision, now);
        }
        rr_document_clear(&document);
    }
}

bool rr_core_cache_consistent(const rr_core *core) {
    return core->stored.loaded && !core->stored.reloading &&
           core->stored.revision >= core->stored.consistent_revision;
}

void rr_core_cache_end_reload(rr_core *core, uint64_t first, uint64_t last, double now) {
    core->stored.consistent_revision = last;
    for (guint i = core->stored.machine_list->len; i > 0; i--) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i - 1);
        const rr_machine_page *page =
            g_hash_table_lookup(core->stored.pages, GUINT_TO_POINTER(machine->page));
        if (machine->recorded && !machine->seen_in_reload && !(page && page->version > first)) {
            rr_machine_record_removed(core, machine, now);
        }
    }
    g_hash_table_foreach_remove(core->autoscaling.rentals, rental_stale, NULL);
    g_hash_table_foreach_remove(core->stored.pages, page_stale, &first);
    drop_stale_records(core, first, now);
    core->stored.reloading = false;
    core->stored.loaded = true;
}

void rr_core_set_revision(rr_core *core, uint64_t revision) {
    core->stored.revision = revision > core->stored.revision ? revision : core->stored.revision;
}

uint64_t rr_core_revision(const rr_core *core) {
    return core->stored.revision;
}

bool rr_core_cache_loaded(const rr_core *core) {
    return core->stored.loaded;
}

void rr_core_get_stats(const rr_core *core, rr_core_stats *out) {
    memset(out, 0, sizeof *out);
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        const rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        out->machines += machine->recorded;
        out->booting += machine->recorded && !machine->heartbeat_seen;
        out->tasks_placed += machine->placements->len;
        out->priced += machine->recorded ? rr_machine_price(core, machine) : 0;
    }
    for (guint i = 0; i < core->stored.open_jobs->len; i++) {
        const rr_job *job = g_ptr_array_index(core->stored.open_jobs, i);
        out->jobs_open++;
        if (!job->cancelled && !job->done) {
            out->tasks_waiting += job->submission.task_count - job->done_count - job->placed_count;
        }
    }
    out->moves = core->counters.moves_made;
    out->rented = core->counters.rented;
    out->given_up = core->counters.machines_terminated;
    out->leases_lost = core->counters.leases_lost;
    out->notices = core->counters.spot_notices;
    out->visits = core->counters.machines_visited;
    out->jobs_whole = g_hash_table_size(core->stored.jobs);
}
