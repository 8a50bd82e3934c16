/* The life of the core's model, its keys and its objectives. */
#include "core/records.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

void rr_log_line_at(const rr_core *c, int level, const char *fmt, ...) {
    char line[512];
    va_list ap;
    va_start(ap, fmt);
    vsnprintf(line, sizeof line, fmt, ap);
    va_end(ap);
    c->log(level, line);
}

void rr_core_set_log(rr_core *c, rr_core_log_fn fn, int level) {
    c->log = fn;
    c->log_level = level;
}

void rr_core_set_pressure(rr_core *c, double pressure, int changes) {
    c->pressure = pressure;
    c->changes = changes;
}

void rr_ledger_record_free(gpointer p) {
    rr_ledger_record *r = p;
    if (r) {
        g_array_free(r->placements, TRUE);
        g_free(r);
    }
}

static void job_free(gpointer p) {
    rr_job *j = p;
    rr_submission_clear(&j->submission);
    g_free(j->done_bits);
    g_free(j->placed);
    if (j->failed_machines) {
        g_array_free(j->failed_machines, TRUE);
    }
    if (j->records) {
        g_ptr_array_free(j->records, TRUE);
    }
    g_free(j);
}

static void machine_free(gpointer p) {
    rr_machine *m = p;
    g_array_free(m->placements, TRUE);
    rr_heartbeat_clear(&m->heartbeat);
    g_array_free(m->images, TRUE);
    g_array_free(m->failed_jobs, TRUE);
    g_hash_table_destroy(m->unanswered_starts);
    if (m->reserved_jobs) {
        g_array_free(m->reserved_jobs, TRUE);
    }
    g_free(m);
}

static void batch_free(gpointer p) {
    rr_job_batch *b = p;
    g_ptr_array_free(b->jobs, TRUE);
    g_free(b);
}

static void rental_free(gpointer p) {
    rr_rental *h = p;
    g_ptr_array_free(h->machine_ids, TRUE);
    g_free(h);
}

static void machine_type_clear(gpointer p) {
    rr_machine_type_clear(p);
}

static GArray *machine_types_new(void) {
    GArray *a = g_array_new(FALSE, TRUE, sizeof(rr_machine_type));
    g_array_set_clear_func(a, machine_type_clear);
    return a;
}

rr_core *rr_core_create(const struct rr_config *cfg) {
    rr_core *c = g_new0(rr_core, 1);
    c->config = cfg;
    rr_name_index_init(&c->teams);
    rr_name_index_init(&c->zones);
    rr_name_index_init(&c->machine_types);
    rr_name_index_init(&c->job_classes);
    rr_name_index_init(&c->images);
    for (size_t i = 0; i < cfg->team_count; i++) {
        rr_name_index_add(&c->teams, cfg->teams[i].name);
    }
    c->build_info = machine_types_new();
    c->fresh_builds = machine_types_new();
    c->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_free);
    c->finals = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    c->open = g_ptr_array_new();
    c->machines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, machine_free);
    c->machine_list = g_ptr_array_new();
    c->dirty = g_ptr_array_new();
    c->garbage = g_ptr_array_new_with_free_func(g_free);
    c->team_used = g_array_new(FALSE, TRUE, sizeof(rr_resources));
    c->team_booked = g_array_new(FALSE, TRUE, sizeof(rr_resources));
    c->owners = g_array_new(FALSE, TRUE, sizeof(int));
    c->autoscaler = c->place = -1;
    /* The same on every controller: from the settings alone. */
    c->chunk = RR_TASKS_PER_RECORD_MIN;
    while (c->chunk < RR_TASKS_PER_RECORD_MAX &&
           (double)rr_ledger_record_bytes(2 * c->chunk) < cfg->value_kb * 1024) {
        c->chunk *= 2;
    }
    c->pages = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    c->batches = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, batch_free);
    c->next_page = 1;
    c->changes = rr_transaction_changes_max(cfg);
    c->zone_counts = g_array_new(FALSE, TRUE, sizeof(rr_zone_heartbeats));
    c->gone = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    c->holds = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    c->cancel_hints = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    c->sessions = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    c->rentals = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, rental_free);
    c->refused = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    c->stray_failed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    c->term.members = g_array_new(FALSE, TRUE, sizeof(rr_session));
    c->cut_at = g_array_new(FALSE, TRUE, sizeof(double));
    c->arrivals = g_array_new(FALSE, FALSE, sizeof(rr_job *));
    c->plan_moves = g_array_new(FALSE, FALSE, sizeof(rr_move));
    return c;
}

void rr_core_destroy(rr_core *c) {
    if (!c) {
        return;
    }
    for (guint i = 0; i < c->record_watch_count; i++) {
        g_free(c->watches[i].prefix);
    }
    g_hash_table_destroy(c->holds);
    g_array_free(c->plan_moves, TRUE);
    g_array_free(c->arrivals, TRUE);
    g_array_free(c->cut_at, TRUE);
    g_array_free(c->zone_counts, TRUE);
    g_array_free(c->team_used, TRUE);
    g_array_free(c->team_booked, TRUE);
    g_array_free(c->owners, TRUE);
    g_hash_table_destroy(c->pages);
    g_hash_table_destroy(c->batches);
    g_ptr_array_free(c->dirty, TRUE);
    g_ptr_array_free(c->garbage, TRUE);
    g_array_free(c->term.members, TRUE);
    g_hash_table_destroy(c->stray_failed);
    g_hash_table_destroy(c->refused);
    g_hash_table_destroy(c->rentals);
    g_hash_table_destroy(c->sessions);
    g_hash_table_destroy(c->gone);
    g_hash_table_destroy(c->cancel_hints);
    g_ptr_array_free(c->machine_list, TRUE);
    g_hash_table_destroy(c->machines);
    g_ptr_array_free(c->open, TRUE);
    g_hash_table_destroy(c->jobs);
    g_hash_table_destroy(c->finals);
    g_array_free(c->build_info, TRUE);
    g_array_free(c->fresh_builds, TRUE);
    rr_name_index_clear(&c->teams);
    rr_name_index_clear(&c->zones);
    rr_name_index_clear(&c->machine_types);
    rr_name_index_clear(&c->job_classes);
    rr_name_index_clear(&c->images);
    g_free(c);
}

/* ---- keys ----
 * A full reread comes in key order, and a record may only speak of what was read before it:
 * machines (fleet) of builds, runs of jobs and machines. */

void rr_core_job_key(const char *ref, char *out, size_t size) {
    g_snprintf(out, size, RR_KEY_ROOT "job/%s", ref);
}

void rr_machine_page_key(uint32_t page, char *out, size_t size) {
    g_snprintf(out, size, RR_KEY_ROOT "fleet/%08u", page);
}

void rr_rental_key(const char *name, char *out, size_t size) {
    g_snprintf(out, size, RR_KEY_ROOT "hire/%s", name);
}

void rr_ledger_record_key(const char *ref, uint32_t chunk, char *out, size_t size) {
    g_snprintf(out, size, RR_KEY_ROOT "run/%s/%u", ref, chunk);
}

/* ---- objectives ---- */

const struct rr_objective *rr_objective_for(const rr_core *c, const char *kind,
                                            const char *job_class) {
    for (size_t i = 0; i < c->config->objective_count; i++) {
        const struct rr_objective *o = &c->config->objectives[i];
        if (strcmp(o->kind, kind) == 0 && strcmp(o->job_class, job_class) == 0) {
            return o;
        }
    }
    return NULL;
}
