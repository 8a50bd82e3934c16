/* The store cache: records of the state service as they come by reread, watch or own commit. */
#include "core/records.h"

#include <string.h>

static void put_session(rr_core *c, const char *name, const msgpack_object *v) {
    uint64_t tether;
    if (!rr_map_get_u64(v, "tether", &tether) || strlen(name) >= RR_NAME_SIZE) {
        return;
    }
    rr_session *s = g_new0(rr_session, 1);
    g_strlcpy(s->name, name, sizeof s->name);
    s->lease_id = tether;
    rr_map_get_u64(v, "able", &s->capabilities);
    rr_map_get_bool(v, "holds", &s->keeps_holds);
    g_hash_table_replace(c->sessions, s->name, s);
}

static void put_term(rr_core *c, const msgpack_object *v, uint64_t mark) {
    uint64_t token;
    const msgpack_object *nodes = rr_map_get(v, "nodes");
    if (mark < c->term.version || !rr_map_get_u64(v, "token", &token) || !nodes ||
        nodes->type != MSGPACK_OBJECT_ARRAY) {
        return;
    }
    c->term.version = mark;
    if (token != c->term.token) {
        c->counter = 0;
        c->anew = false;
    }
    c->term.token = token;
    rr_map_get_number(v, "born", &c->term.first_term_at);
    g_array_set_size(c->term.members, 0);
    for (uint32_t i = 0; i < nodes->via.array.size; i++) {
        const msgpack_object *n = &nodes->via.array.ptr[i];
        rr_session s = {0};
        if (n->type == MSGPACK_OBJECT_ARRAY && n->via.array.size == 2 &&
            rr_object_text(&n->via.array.ptr[0], s.name, sizeof s.name) &&
            rr_object_u64(&n->via.array.ptr[1], &s.lease_id)) {
            g_array_append_val(c->term.members, s);
        }
    }
    rr_assign_shards(c);
    g_array_set_size(c->plan_moves, 0); /* teams may have moved */
}

static void put_rental(rr_core *c, const char *name, const msgpack_object *v, uint64_t mark) {
    rr_rental *h = g_hash_table_lookup(c->rentals, name);
    uint64_t n = 0;
    if (!h) {
        h = g_new0(rr_rental, 1);
        h->machine_ids = g_ptr_array_new_with_free_func(g_free);
        g_strlcpy(h->name, name, sizeof h->name);
        g_hash_table_insert(c->rentals, h->name, h);
    }
    c->ever_rented = true;
    h->version = mark;
    h->seen_in_reload = true;
    rr_map_get_text(v, "build", h->machine_type, sizeof h->machine_type);
    rr_map_get_text(v, "ward", h->zone, sizeof h->zone);
    rr_map_get_bool(v, "loaners", &h->spot);
    rr_map_get_u64(v, "n", &n);
    h->count = (int)n;
}

/* ---- the mirror's door ---- */

static const char *after(const char *key, const char *prefix) {
    size_t n = strlen(prefix);
    return strncmp(key, prefix, n) == 0 ? key + n : NULL;
}

void rr_core_cache_put(rr_core *c, const char *key, const msgpack_object *v, uint64_t mark,
                       double now) {
    const char *rest;
    if ((rest = after(key, RR_KEY_ROOT "fleet/"))) {
        rr_machine_page_put(c, rest, v, mark, now);
    } else if ((rest = after(key, RR_KEY_ROOT "job/"))) {
        rr_job_put(c, rest, v, mark, now);
    } else if ((rest = after(key, RR_KEY_ROOT "run/"))) {
        rr_ledger_record_put(c, rest, v, mark, now);
    } else if ((rest = after(key, RR_KEY_ROOT "node/"))) {
        put_session(c, rest, v);
    } else if (strcmp(key, RR_KEY_ROOT "term") == 0) {
        put_term(c, v, mark);
    } else if ((rest = after(key, RR_KEY_ROOT "hire/"))) {
        put_rental(c, rest, v, mark);
    } else if (after(key, RR_KEY_ROOT "build/")) {
        rr_machine_type_put(c, v);
    } else if (after(key, RR_KEY_ROOT "batch/")) {
        rr_job_batch_put(c, key, v, mark, now);
    } else if (!rr_watched_record(c, key, v, mark)) {
        /* An earlier version's ledger (by machine) and whatever else: passed over. */
        rr_log_at(c, RR_LOG_DEBUG, "record %s is of no known form", key);
    }
}

void rr_core_cache_delete(rr_core *c, const char *key, uint64_t mark, double now) {
    const char *rest;
    if ((rest = after(key, RR_KEY_ROOT "fleet/"))) {
        rr_machine_page_delete(c, rest, mark, now);
    } else if ((rest = after(key, RR_KEY_ROOT "run/"))) {
        rr_ledger_record_delete(c, rest, mark, now);
    } else if ((rest = after(key, RR_KEY_ROOT "node/"))) {
        g_hash_table_remove(c->sessions, rest);
    } else if ((rest = after(key, RR_KEY_ROOT "hire/"))) {
        g_hash_table_remove(c->rentals, rest);
    } else if (after(key, RR_KEY_ROOT "batch/")) {
        g_hash_table_remove(c->batches, key);
    } else {
        rr_watched_record(c, key, NULL, mark);
    }
}

void rr_core_cache_begin_reload(rr_core *c) {
    GHashTableIter it;
    gpointer k, v;
    c->rereading = true;
    g_hash_table_remove_all(c->sessions);
    g_hash_table_remove_all(c->batches);
    g_hash_table_iter_init(&it, c->rentals);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        ((rr_rental *)v)->seen_in_reload = false;
    }
    for (guint i = 0; i < c->machine_list->len; i++) {
        ((rr_machine *)g_ptr_array_index(c->machine_list, i))->seen_in_reload = false;
    }
    g_hash_table_iter_init(&it, c->pages);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        ((rr_machine_page *)v)->seen_in_reload = false;
    }
    for (guint i = 0; i < c->open->len; i++) {
        const rr_job *j = g_ptr_array_index(c->open, i);
        for (guint n = 0; j->records && n < j->records->len; n++) {
            rr_ledger_record *r = g_ptr_array_index(j->records, n);
            if (r) {
                r->seen_in_reload = false;
            }
        }
    }
    for (guint i = 0; i < c->garbage->len; i++) {
        rr_ledger_record *r = rr_garbage_record(c, i, NULL);
        if (r) {
            r->seen_in_reload = false;
        }
    }
}

static gboolean page_stale(gpointer k, gpointer v, gpointer first) {
    const rr_machine_page *p = v;
    (void)k;
    return !p->seen_in_reload && p->version <= *(uint64_t *)first;
}

/* A record written after the reread began may not be on its pages: only an older one is gone. */
static void drop_stale_records(rr_core *c, uint64_t first, double now) {
    for (guint i = 0; i < c->garbage->len; i++) {
        rr_ledger_record *r = rr_garbage_record(c, i, NULL);
        if (r && !r->seen_in_reload && r->version <= first) {
            r->version = 0;
        }
    }
    for (guint i = c->open->len; i > 0; i--) {
        rr_job *j = g_ptr_array_index(c->open, i - 1);
        for (guint n = 0; j->records && n < j->records->len; n++) {
            rr_ledger_record *r = g_ptr_array_index(j->records, n);
            if (r && r->version && r->version <= first && !r->seen_in_reload) {
                rr_ledger_record_remove(c, j, r, r->version, now);
            }
        }
    }
}

static gboolean rental_stale(gpointer k, gpointer v, gpointer user) {
    (void)k;
    (void)user;
    return !((rr_rental *)v)->seen_in_reload;
}

void rr_core_apply(rr_core *c, const rr_transaction *t, uint64_t epoch, double now) {
    for (guint i = 0; i < t->changes->len; i++) {
        const rr_change *ch = &g_array_index(t->changes, rr_change, i);
        rr_document d;
        if (!ch->value) {
            rr_core_cache_delete(c, ch->key, epoch, now);
            continue;
        }
        if (rr_document_parse(&d, ch->value, ch->length) == 0) {
            rr_core_cache_put(c, ch->key, d.root, epoch, now);
        }
        rr_document_clear(&d);
    }
}

bool rr_core_cache_consistent(const rr_core *c) {
    return c->loaded && !c->rereading && c->epoch >= c->settle;
}

void rr_core_cache_end_reload(rr_core *c, uint64_t first, uint64_t last, double now) {
    c->settle = last;
    for (guint i = c->machine_list->len; i > 0; i--) {
        rr_machine *m = g_ptr_array_index(c->machine_list, i - 1);
        const rr_machine_page *p = g_hash_table_lookup(c->pages, GUINT_TO_POINTER(m->page));
        if (m->recorded && !m->seen_in_reload && !(p && p->version > first)) {
            rr_machine_record_removed(c, m, now);
        }
    }
    g_hash_table_foreach_remove(c->rentals, rental_stale, NULL);
    g_hash_table_foreach_remove(c->pages, page_stale, &first);
    drop_stale_records(c, first, now);
    c->rereading = false;
    c->loaded = true;
}

void rr_core_set_revision(rr_core *c, uint64_t epoch) {
    c->epoch = epoch > c->epoch ? epoch : c->epoch;
}

uint64_t rr_core_revision(const rr_core *c) {
    return c->epoch;
}

bool rr_core_cache_loaded(const rr_core *c) {
    return c->loaded;
}

void rr_core_get_stats(const rr_core *c, rr_core_stats *out) {
    memset(out, 0, sizeof *out);
    for (guint i = 0; i < c->machine_list->len; i++) {
        const rr_machine *m = g_ptr_array_index(c->machine_list, i);
        out->machines += m->recorded;
        out->booting += m->recorded && !m->heartbeat_seen;
        out->tasks_placed += m->placements->len;
        out->priced += m->recorded ? rr_machine_price(c, m) : 0;
    }
    for (guint i = 0; i < c->open->len; i++) {
        const rr_job *j = g_ptr_array_index(c->open, i);
        out->jobs_open++;
        if (!j->cancelled && !j->done) {
            out->tasks_waiting += j->submission.task_count - j->done_count - j->placed_count;
        }
    }
    out->moves = c->moves_made;
    out->rented = c->rented;
    out->given_up = c->given_up;
    out->leases_lost = c->leases_lost;
    out->notices = c->notices;
    out->visits = c->visits;
    out->jobs_whole = g_hash_table_size(c->jobs);
}
