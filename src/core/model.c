/* The mirror: records of the state service as structs, with sums kept as they change. */
#include "core/model.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
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

static void run_free(gpointer p) {
    rr_run *r = p;
    if (r) {
        g_array_free(r->items, TRUE);
        g_free(r);
    }
}

static void job_free(gpointer p) {
    rr_job *j = p;
    rr_submission_clear(&j->s);
    g_free(j->bits);
    g_free(j->placed);
    if (j->failed_on) {
        g_array_free(j->failed_on, TRUE);
    }
    if (j->runs) {
        g_ptr_array_free(j->runs, TRUE);
    }
    g_free(j);
}

static void machine_free(gpointer p) {
    rr_machine *m = p;
    g_array_free(m->places, TRUE);
    rr_report_clear(&m->rep);
    g_array_free(m->images, TRUE);
    g_array_free(m->err_jobs, TRUE);
    g_hash_table_destroy(m->lost);
    if (m->booked) {
        g_array_free(m->booked, TRUE);
    }
    g_free(m);
}

static void batch_free(gpointer p) {
    rr_batch *b = p;
    g_ptr_array_free(b->jobs, TRUE);
    g_free(b);
}

static void rental_free(gpointer p) {
    rr_rental *h = p;
    g_ptr_array_free(h->ids, TRUE);
    g_free(h);
}

static void build_clear(gpointer p) {
    rr_build_clear(p);
}

static GArray *builds_new(void) {
    GArray *a = g_array_new(FALSE, TRUE, sizeof(rr_build));
    g_array_set_clear_func(a, build_clear);
    return a;
}

rr_core *rr_core_create(const struct rr_config *cfg) {
    rr_core *c = g_new0(rr_core, 1);
    c->cfg = cfg;
    rr_names_init(&c->teams);
    rr_names_init(&c->zones);
    rr_names_init(&c->builds);
    rr_names_init(&c->job_classes);
    rr_names_init(&c->images);
    for (size_t i = 0; i < cfg->nteams; i++) {
        rr_names_add(&c->teams, cfg->teams[i].name);
    }
    c->build_info = builds_new();
    c->fresh_builds = builds_new();
    c->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_free);
    c->finals = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    c->open = g_ptr_array_new();
    c->machines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, machine_free);
    c->machine_list = g_ptr_array_new();
    c->dirty = g_ptr_array_new();
    c->garbage = g_ptr_array_new_with_free_func(g_free);
    c->team_used = g_array_new(FALSE, TRUE, sizeof(rr_res));
    c->team_booked = g_array_new(FALSE, TRUE, sizeof(rr_res));
    c->owners = g_array_new(FALSE, TRUE, sizeof(int));
    c->provisioner = c->place = -1;
    /* The same on every controller: from the settings alone. */
    c->chunk = RR_CHUNK_MIN;
    while (c->chunk < RR_CHUNK_MAX && (double)rr_run_bytes(2 * c->chunk) < cfg->value_kb * 1024) {
        c->chunk *= 2;
    }
    c->pages = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    c->batches = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, batch_free);
    c->next_page = 1;
    c->changes = rr_txn_ops(cfg);
    c->zone_counts = g_array_new(FALSE, TRUE, sizeof(rr_zone_count));
    c->gone = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    c->cancel_hints = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    c->sessions = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    c->rentals = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, rental_free);
    c->refused = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    c->stray_failed = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    c->term.nodes = g_array_new(FALSE, TRUE, sizeof(rr_session));
    c->cut_at = g_array_new(FALSE, TRUE, sizeof(double));
    c->arrivals = g_array_new(FALSE, FALSE, sizeof(rr_job *));
    c->plan_moves = g_array_new(FALSE, FALSE, sizeof(rr_move));
    return c;
}

void rr_core_destroy(rr_core *c) {
    if (!c) {
        return;
    }
    g_free(c->record_prefix);
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
    g_array_free(c->term.nodes, TRUE);
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
    rr_names_clear(&c->teams);
    rr_names_clear(&c->zones);
    rr_names_clear(&c->builds);
    rr_names_clear(&c->job_classes);
    rr_names_clear(&c->images);
    g_free(c);
}

/* ---- keys ----
 * A full reread comes in key order, and a record may only speak of what was read before it:
 * machines (fleet) of builds, runs of jobs and machines. */

void rr_core_job_key(const char *ref, char *out, size_t size) {
    g_snprintf(out, size, RR_ROOT "job/%s", ref);
}

void rr_page_key(uint32_t page, char *out, size_t size) {
    g_snprintf(out, size, RR_ROOT "fleet/%08u", page);
}

void rr_rental_key(const char *name, char *out, size_t size) {
    g_snprintf(out, size, RR_ROOT "hire/%s", name);
}

void rr_run_key(const char *ref, uint32_t chunk, char *out, size_t size) {
    g_snprintf(out, size, RR_ROOT "run/%s/%u", ref, chunk);
}

/* ---- objectives ---- */

const struct rr_objective *rr_objective_for(const rr_core *c, const char *kind,
                                            const char *job_class) {
    for (size_t i = 0; i < c->cfg->nobjectives; i++) {
        const struct rr_objective *o = &c->cfg->objectives[i];
        if (strcmp(o->kind, kind) == 0 && strcmp(o->job_class, job_class) == 0) {
            return o;
        }
    }
    return NULL;
}

/* ---- jobs ---- */

void rr_core_job_encode(rr_out *o, const rr_submission *s, double at, bool cancelled) {
    rr_put_map(o, rr_submission_field_count(s) + 2);
    rr_submission_encode_fields(o, s);
    rr_put_key_num(o, "at", at);
    rr_put_key_bool(o, "cancelled", cancelled);
}

bool rr_core_cancel_record(const rr_core *c, const char *ref, rr_out *o, uint64_t *mark) {
    const rr_job *j = g_hash_table_lookup(c->jobs, ref);
    if (!j || j->done || j->cancelled) {
        return false;
    }
    rr_core_job_encode(o, &j->s, j->at, true);
    *mark = j->own_mark;
    return true;
}

bool rr_job_task_done(const rr_job *j, uint32_t task) {
    if (j->done) {
        return true;
    }
    return j->bits && task < j->s.pieces && (j->bits[task / 8] >> (task % 8) & 1);
}

static void job_open(rr_core *c, rr_job *j) {
    if (!j->open) {
        j->open = true;
        g_ptr_array_add(c->open, j);
    }
    if (!j->placed) {
        j->placed = g_malloc0(j->s.pieces);
    }
    if (!j->bits && !j->done) {
        j->bits = g_malloc0((j->s.pieces + 7) / 8);
    }
}

/* A final job without placements needs no task tables any more. */
static void job_maybe_close(rr_core *c, rr_job *j) {
    if (!j->open || !(j->done || j->cancelled) || j->nplaced) {
        return;
    }
    j->open = false;
    g_ptr_array_remove_fast(c->open, j);
    g_clear_pointer(&j->bits, g_free);
    g_clear_pointer(&j->placed, g_free);
    /* What is left of its ledger says nothing any more. */
    for (guint i = 0; j->runs && i < j->runs->len; i++) {
        const rr_run *r = g_ptr_array_index(j->runs, i);
        if (r && r->mark) {
            char key[RR_ID + 64];
            rr_run_key(j->s.ref, r->chunk, key, sizeof key);
            g_ptr_array_add(c->garbage, g_strdup(key));
        }
    }
}

static rr_job *job_get(rr_core *c, const char *ref, double now) {
    rr_job *j = g_hash_table_lookup(c->jobs, ref);
    if (!j) {
        j = g_new0(rr_job, 1);
        g_strlcpy(j->s.ref, ref, sizeof j->s.ref);
        j->s.pieces = 0;
        j->team = j->job_class = j->image = j->zone = -1;
        j->first_seen = now;
        j->per = c->chunk;
        g_hash_table_insert(c->jobs, j->s.ref, j);
    }
    return j;
}

static void job_index(rr_core *c, rr_job *j) {
    j->team = rr_names_add(&c->teams, j->s.team);
    j->job_class = rr_names_add(&c->job_classes, j->s.job_class);
    j->image = rr_names_add(&c->images, j->s.image);
    j->need = (rr_res){j->s.vcpus, j->s.cards, j->s.mem_gb};
}

/* Recent arrivals of each class, for the headroom. */
static void note_arrival(rr_core *c, rr_job *j) {
    if (c->rereading && c->term.token == 0) {
        return;
    }
    g_array_append_val(c->arrivals, j);
    if (c->arrivals->len > 4096) {
        g_array_remove_range(c->arrivals, 0, 1024);
    }
}

void rr_arrivals_trim(rr_core *c, double wall) {
    guint n = 0;
    while (n < c->arrivals->len &&
           wall - g_array_index(c->arrivals, rr_job *, n)->at > RR_ARRIVALS_S) {
        n++;
    }
    if (n > 0) {
        g_array_remove_range(c->arrivals, 0, n);
    }
}

static void put_final(rr_job *j, const msgpack_object *v) {
    uint64_t pieces = 0;
    rr_get_u64(v, "pieces", &pieces);
    if (j->s.pieces == 0) {
        j->s.pieces = (uint32_t)pieces;
    }
    rr_get_text(v, "crew", j->s.team, sizeof j->s.team);
    j->done = true;
    j->ndone = j->s.pieces;
}

static void place_count(rr_core *c, rr_machine *m, rr_place *p, int sign);

/* A ledger record that came before its job's (pages of a reread are of different moments) was
 * counted without sizes: out with it before they are known, in again after. */
static void recount(rr_core *c, rr_job *j, int sign) {
    for (guint n = 0; j->runs && n < j->runs->len; n++) {
        const rr_run *r = g_ptr_array_index(j->runs, n);
        for (guint i = 0; r && i < r->items->len; i++) {
            const rr_item *it = &g_array_index(r->items, rr_item, i);
            rr_place p = {.job = j, .task = it->task};
            place_count(c, it->m, &p, sign);
        }
    }
}

/* Takes over what a job's record, its own or a batch's, says of the submission. */
static void put_body(rr_core *c, rr_job *j, const msgpack_object *v, bool is_new) {
    rr_submission s;
    const char *field;
    if (rr_submission_decode(v, &s, &field) != 0) {
        rr_log_at(c, RR_LOG_ERROR, "job %s: record unreadable at %s", j->s.ref, field);
        /* A version that did not know the job's shape writes its cancellation without the rest. */
        rr_get_bool(v, "cancelled", &j->cancelled);
        recount(c, j, -1);
        recount(c, j, 1); /* its machines are looked at */
        return;
    }
    if (j->s.pieces && j->s.pieces != s.pieces) {
        rr_log_at(c, RR_LOG_ERROR, "job %s: record of another size passed over", j->s.ref);
        rr_submission_clear(&s);
        return;
    }
    recount(c, j, -1);
    rr_submission_clear(&j->s);
    j->s = s;
    rr_get_num(v, "at", &j->at);
    rr_get_bool(v, "cancelled", &j->cancelled);
    job_index(c, j);
    job_open(c, j);
    recount(c, j, 1);
    if (is_new) {
        note_arrival(c, j);
    }
}

static void put_job(rr_core *c, const char *ref, const msgpack_object *v, uint64_t mark,
                    double now) {
    if (rr_job_final(c, ref, NULL, NULL)) {
        return; /* it can't change any more */
    }
    rr_job *j = job_get(c, ref, now);
    bool is_new = j->mark == 0;
    if (mark < j->own_mark) {
        return;
    }
    j->mark = j->own_mark = mark;
    if (rr_get(v, "final")) {
        put_final(j, v);
        j->team = rr_names_add(&c->teams, j->s.team);
    } else {
        put_body(c, j, v, is_new);
    }
    job_maybe_close(c, j);
}

/* Jobs accepted together. A job's own record, written by its cancellation or its end, says more,
 * whichever comes first; of two batches that name a job (a user's retry elsewhere) the first. */
static void put_batch(rr_core *c, const char *key, const msgpack_object *v, uint64_t mark,
                      double now) {
    const msgpack_object *list = rr_get(v, "jobs");
    rr_batch *b = g_new0(rr_batch, 1);
    b->mark = mark;
    b->jobs = g_ptr_array_new();
    g_hash_table_replace(c->batches, g_strdup(key), b);
    for (uint32_t i = 0; list && list->type == MSGPACK_OBJECT_ARRAY && i < list->via.array.size;
         i++) {
        const msgpack_object *o = &list->via.array.ptr[i];
        char ref[RR_ID];
        if (!rr_get_text(o, "ref", ref, sizeof ref) || !rr_ref_valid(ref) ||
            rr_job_final(c, ref, NULL, NULL)) {
            continue;
        }
        rr_job *j = job_get(c, ref, now);
        g_ptr_array_add(b->jobs, j);
        if (j->own_mark == 0 && (j->mark == 0 || mark < j->mark)) {
            bool is_new = j->mark == 0;
            j->mark = mark;
            put_body(c, j, o, is_new);
        }
    }
}

void rr_core_batch_begin(rr_out *o, size_t n) {
    rr_put_map(o, 1);
    rr_put_text(o, "jobs");
    rr_put_array(o, n);
}

void rr_core_batch_key(uint64_t tether, uint64_t n, char *out, size_t size) {
    g_snprintf(out, size, RR_ROOT "batch/%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT, tether, n);
}

/* ---- machines ---- */

rr_machine *rr_machine_get(rr_core *c, const char *name, double now) {
    rr_machine *m = g_hash_table_lookup(c->machines, name);
    if (m) {
        return m;
    }
    m = g_new0(rr_machine, 1);
    m->id = c->next_machine_id++;
    g_strlcpy(m->name, name, sizeof m->name);
    m->build = m->zone = -1;
    m->places = g_array_new(FALSE, TRUE, sizeof(rr_place));
    m->images = g_array_new(FALSE, FALSE, sizeof(int));
    m->err_jobs = g_array_new(FALSE, FALSE, sizeof(rr_job *));
    m->lost = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    m->known_at = m->idle_since = now;
    m->via = -1;
    g_hash_table_insert(c->machines, m->name, m);
    g_ptr_array_add(c->machine_list, m);
    return m;
}

void rr_machine_forget(rr_core *c, rr_machine *m) {
    for (guint i = 0; i < c->plan_moves->len;) {
        rr_move *mv = &g_array_index(c->plan_moves, rr_move, i);
        if (mv->from == m || mv->to == m) {
            g_array_remove_index(c->plan_moves, i);
        } else {
            i++;
        }
    }
    if (m->dirty) {
        g_ptr_array_remove_fast(c->dirty, m);
    }
    g_ptr_array_remove_fast(c->machine_list, m);
    g_hash_table_remove(c->machines, m->name);
}

void rr_touch(rr_core *c, rr_machine *m) {
    if (!m->dirty) {
        m->dirty = true;
        g_ptr_array_add(c->dirty, m);
    }
}

rr_res rr_team_used(const rr_core *c, int team) {
    return team >= 0 && (guint)team < c->team_used->len ? g_array_index(c->team_used, rr_res, team)
                                                        : (rr_res){0, 0, 0};
}

static void team_add(rr_core *c, const rr_job *j, int sign) {
    if ((guint)j->team >= c->team_used->len) {
        g_array_set_size(c->team_used, (guint)j->team + 1);
    }
    rr_res *u = &g_array_index(c->team_used, rr_res, j->team);
    *u = rr_res_add(*u, j->need, sign);
}

static void place_count(rr_core *c, rr_machine *m, rr_place *p, int sign) {
    rr_job *j = p->job;
    m->used = rr_res_add(m->used, j->need, sign);
    if (j->team >= 0) {
        team_add(c, j, sign);
    }
    rr_touch(c, m);
    if (!j->placed || p->task >= j->s.pieces) {
        return;
    }
    if (sign > 0) {
        j->nplaced += j->placed[p->task]++ == 0;
    } else if (j->placed[p->task] > 0) {
        j->nplaced -= --j->placed[p->task] == 0;
        j->hint = p->task < j->hint ? p->task : j->hint;
        job_maybe_close(c, j);
    }
}

rr_place *rr_place_find(const rr_machine *m, uint64_t attempt, const rr_job *j, uint32_t task) {
    for (guint i = 0; i < m->places->len; i++) {
        rr_place *p = &g_array_index(m->places, rr_place, i);
        if (p->attempt == attempt && p->job == j && p->task == task) {
            return p;
        }
    }
    return NULL;
}

const rr_piece *rr_piece_find(const rr_machine *m, const rr_place *p) {
    for (guint i = 0; m->heard && i < m->rep.pieces->len; i++) {
        const rr_piece *r = &g_array_index(m->rep.pieces, rr_piece, i);
        if (r->attempt == p->attempt && r->task == p->task && strcmp(r->ref, p->job->s.ref) == 0) {
            return r;
        }
    }
    return NULL;
}

bool rr_machine_has_image(const rr_machine *m, int image) {
    for (guint i = 0; i < m->images->len; i++) {
        if (g_array_index(m->images, int, i) == image) {
            return true;
        }
    }
    return false;
}

/* ---- the ledger ---- */

rr_run *rr_job_run(rr_job *j, uint32_t chunk) {
    if (!j->runs) {
        j->runs = g_ptr_array_new_with_free_func(run_free);
    }
    if (chunk >= j->runs->len) {
        g_ptr_array_set_size(j->runs, (gint)chunk + 1);
    }
    rr_run *r = g_ptr_array_index(j->runs, chunk);
    if (!r) {
        r = g_new0(rr_run, 1);
        r->chunk = chunk;
        r->items = g_array_new(FALSE, TRUE, sizeof(rr_item));
        j->runs->pdata[chunk] = r;
    }
    return r;
}

uint32_t rr_job_chunks(const rr_job *j) {
    return (j->s.pieces + j->per - 1) / j->per;
}

bool rr_job_overflows(const rr_job *j) {
    return j->runs && j->runs->len > rr_job_chunks(j);
}

/* Completions of one chunk, as hexadecimal digits (nothing binary in the store). */
static void put_bits(rr_job *j, uint32_t chunk, const char *hex) {
    size_t n = strlen(hex);
    for (uint32_t i = 0; i < n * 4; i++) {
        uint32_t task = chunk * j->per + i;
        int d = g_ascii_xdigit_value(hex[i / 4]);
        if (d >= 0 && (d >> (i % 4) & 1) && task < j->s.pieces && !rr_job_task_done(j, task)) {
            j->bits[task / 8] |= (guint8)(1 << (task % 8));
            j->ndone++;
        }
    }
}

static void chunk_hex(const rr_job *j, uint32_t chunk, const GArray *extra, char *hex) {
    uint32_t first = chunk * j->per;
    uint32_t n = first >= j->s.pieces ? 0 : MIN(j->s.pieces - first, j->per);
    int d[RR_CHUNK_MAX / 4] = {0};
    for (uint32_t i = 0; i < n; i++) {
        if (rr_job_task_done(j, first + i)) {
            d[i / 4] |= 1 << (i % 4);
        }
    }
    for (guint i = 0; extra && i < extra->len; i++) {
        uint32_t t = g_array_index(extra, uint32_t, i);
        d[(t - first) / 4] |= 1 << ((t - first) % 4);
    }
    for (uint32_t i = 0; i < (n + 3) / 4; i++) {
        hex[i] = "0123456789abcdef"[d[i]];
    }
    hex[(n + 3) / 4] = 0;
}

size_t rr_run_bytes(guint items) {
    /* As JSON, which is what the store counts: task, machine's name, attempt, worker_epoch, mark.
     */
    return 220 + (size_t)items * 44;
}

void rr_run_encode(const rr_core *c, rr_out *o, const rr_job *j, uint32_t chunk,
                   const GArray *items, const GArray *done, int zone) {
    char hex[RR_CHUNK_MAX / 4 + 1];
    chunk_hex(j, chunk, done, hex);
    rr_put_map(o, zone >= 0 ? 3 : 2);
    rr_put_key_text(o, "bits", hex);
    if (zone >= 0) {
        rr_put_key_text(o, "zone", rr_names_at(&c->zones, zone));
    }
    rr_put_text(o, "tasks");
    rr_put_array(o, items->len);
    for (guint i = 0; i < items->len; i++) {
        const rr_item *it = &g_array_index(items, rr_item, i);
        rr_put_array(o, 5);
        rr_put_u64(o, it->task);
        rr_put_text(o, it->m->name);
        rr_put_u64(o, it->attempt);
        rr_put_u64(o, it->worker_epoch);
        rr_put_u64(o, (uint64_t)it->evict);
    }
}

/* One placement: [task, machine, attempt, worker_epoch, evict]. */
static bool item_decode(rr_core *c, const msgpack_object *o, rr_item *it, double now) {
    char name[RR_ID];
    uint64_t task, evict = RR_KEEP;
    memset(it, 0, sizeof *it);
    if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size < 5) {
        return false;
    }
    const msgpack_object *f = o->via.array.ptr;
    if (!rr_as_u64(&f[0], &task) || task >= RR_PIECES_MAX ||
        !rr_as_text(&f[1], name, sizeof name) || !name[0] || !rr_as_u64(&f[2], &it->attempt) ||
        !rr_as_u64(&f[3], &it->worker_epoch)) {
        return false;
    }
    rr_as_u64(&f[4], &evict);
    it->evict = evict > RR_EVICT_AT_ONCE ? RR_EVICT_SAVING : (int)evict;
    it->task = (uint32_t)task;
    it->m = rr_machine_get(c, name, now);
    return true;
}

static void place_add(rr_core *c, rr_job *j, uint32_t chunk, const rr_item *it, double now) {
    rr_place p = {.job = j,
                  .task = it->task,
                  .chunk = chunk,
                  .attempt = it->attempt,
                  .worker_epoch = it->worker_epoch,
                  .evict = it->evict,
                  .seen_at = now};
    g_array_append_val(it->m->places, p);
    place_count(c, it->m, &p, 1);
}

static void place_drop(rr_core *c, rr_job *j, const rr_item *it, double now) {
    rr_machine *m = it->m;
    for (guint i = 0; i < m->places->len; i++) {
        rr_place *p = &g_array_index(m->places, rr_place, i);
        if (p->attempt == it->attempt && p->job == j && p->task == it->task) {
            rr_place old = *p;
            g_array_remove_index(m->places, i);
            place_count(c, m, &old, -1);
            break;
        }
    }
    if (m->places->len == 0) {
        m->used = (rr_res){0, 0, 0}; /* no residue of sums */
        m->idle_since = now;
    }
}

static bool same_item(const rr_item *a, const rr_item *b) {
    return a->attempt == b->attempt && a->task == b->task && a->m == b->m;
}

/* Both lists keep their order, so that the search mostly ends where it begins. */
static const rr_item *find_item(const GArray *items, const rr_item *it, guint *from) {
    for (guint n = 0; n < items->len; n++) {
        guint i = (*from + n) % items->len;
        if (same_item(&g_array_index(items, rr_item, i), it)) {
            *from = i + 1;
            return &g_array_index(items, rr_item, i);
        }
    }
    return NULL;
}

/* Takes over a record's placements: what is new is added, what has gone is dropped, the rest keeps
 * what this process remembers of it. */
static void set_items(rr_core *c, rr_job *j, rr_run *r, GArray *fresh, double now) {
    GArray *old = r->items;
    guint from = 0;
    r->items = fresh;
    for (guint i = 0; i < fresh->len; i++) {
        const rr_item *it = &g_array_index(fresh, rr_item, i);
        if (!find_item(old, it, &from)) {
            place_add(c, j, r->chunk, it, now);
            continue;
        }
        rr_place *p = rr_place_find(it->m, it->attempt, j, it->task);
        if (p && p->evict != it->evict) {
            p->evict = it->evict;
            rr_touch(c, it->m);
        }
    }
    from = 0;
    for (guint i = 0; i < old->len; i++) {
        const rr_item *it = &g_array_index(old, rr_item, i);
        if (!find_item(fresh, it, &from)) {
            place_drop(c, j, it, now);
        }
    }
    g_array_free(old, TRUE);
}

static void put_run(rr_core *c, const char *rest, const msgpack_object *v, uint64_t mark,
                    double now) {
    char ref[RR_ID], hex[RR_CHUNK_MAX / 4 + 1], zone[RR_TEXT];
    uint32_t chunk;
    if (!rr_piece_parse(rest, ref, sizeof ref, &chunk) || chunk > RR_PIECES_MAX / c->chunk ||
        rr_job_final(c, ref, NULL, NULL)) {
        return;
    }
    rr_job *j = job_get(c, ref, now);
    rr_run *r = rr_job_run(j, chunk);
    /* Our own changes are here before the watch brings those before them: a record that is older
     * than its end would bring back placements that are over, and start them again. */
    if (mark < r->mark || mark <= r->floor) {
        return;
    }
    r->mark = mark;
    r->keep = true;
    const msgpack_object *list = rr_get(v, "tasks");
    bool some = list && list->type == MSGPACK_OBJECT_ARRAY && list->via.array.size > 0;
    if (j->s.pieces && (some || !(j->done || j->cancelled))) {
        job_open(c, j);
    }
    if (j->bits && rr_get_text(v, "bits", hex, sizeof hex)) {
        put_bits(j, chunk, hex);
    }
    if (rr_get_text(v, "zone", zone, sizeof zone)) {
        j->zone = rr_names_add(&c->zones, zone);
    }
    GArray *fresh = g_array_new(FALSE, TRUE, sizeof(rr_item));
    for (uint32_t i = 0; some && i < list->via.array.size; i++) {
        rr_item it;
        if (item_decode(c, &list->via.array.ptr[i], &it, now)) {
            g_array_append_val(fresh, it);
        }
    }
    set_items(c, j, r, fresh, now);
    if (!j->open && j->mark && (j->done || j->cancelled)) {
        char key[RR_ID + 64];
        rr_run_key(ref, chunk, key, sizeof key);
        g_ptr_array_add(c->garbage, g_strdup(key));
    }
}

/* A final job whose ledger is gone needs no place for it either: jobs are kept for good. */
static void job_trim(const rr_core *c, rr_job *j) {
    for (guint i = 0; j->runs && i < j->runs->len; i++) {
        const rr_run *r = g_ptr_array_index(j->runs, i);
        if (r && (r->mark || r->edit || r->items->len || r->floor > c->epoch)) {
            return;
        }
    }
    if (j->runs && !j->open) {
        g_ptr_array_free(j->runs, TRUE);
        j->runs = NULL;
    }
}

bool rr_job_final(const rr_core *c, const char *ref, bool *done, uint32_t *ndone) {
    gpointer v;
    if (!g_hash_table_lookup_extended(c->finals, ref, NULL, &v)) {
        return false;
    }
    if (done) {
        *done = GPOINTER_TO_SIZE(v) & 1;
    }
    if (ndone) {
        *ndone = (uint32_t)(GPOINTER_TO_SIZE(v) >> 1);
    }
    return true;
}

static void pin(GHashTable *pinned, const GArray *jobs) {
    for (guint i = 0; jobs && i < jobs->len; i++) {
        g_hash_table_add(pinned, g_array_index(jobs, rr_job *, i));
    }
}

/* Jobs that something else of the mirror points to. */
static GHashTable *pinned_jobs(const rr_core *c) {
    GHashTable *pinned = g_hash_table_new(NULL, NULL);
    GHashTableIter it;
    gpointer v;
    pin(pinned, c->arrivals);
    for (guint i = 0; i < c->machine_list->len; i++) {
        pin(pinned, ((rr_machine *)g_ptr_array_index(c->machine_list, i))->err_jobs);
    }
    for (guint i = 0; i < c->plan_moves->len; i++) {
        g_hash_table_add(pinned, g_array_index(c->plan_moves, rr_move, i).job);
    }
    g_hash_table_iter_init(&it, c->batches);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const GPtrArray *jobs = ((rr_batch *)v)->jobs;
        for (guint i = 0; i < jobs->len; i++) {
            g_hash_table_add(pinned, g_ptr_array_index(jobs, i));
        }
    }
    return pinned;
}

/* Known from its own record, over, and the watch past all that may still be said of it. */
static bool rests(const rr_core *c, rr_job *j) {
    if (!(j->done || j->cancelled) || j->open || j->own_mark == 0 || j->own_mark > c->epoch) {
        return false;
    }
    job_trim(c, j);
    return j->runs == NULL;
}

/* A whole job takes 0.8 KB: at two a second a day's would fill a controller's memory. Two looks in
 * a row, a minute apart, so that nothing late finds a job forgotten that it could wake. */
void rr_jobs_shrink(rr_core *c, double wall) {
    GHashTableIter it;
    gpointer v;
    rr_arrivals_trim(c, wall);
    GHashTable *pinned = pinned_jobs(c);
    g_hash_table_iter_init(&it, c->jobs);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        rr_job *j = v;
        bool rested = j->resting;
        j->resting = rests(c, j) && !g_hash_table_contains(pinned, j);
        if (rested && j->resting) {
            gsize line = (gsize)j->ndone * 2 + (j->done ? 1 : 0);
            g_hash_table_replace(c->finals, g_strdup(j->s.ref), GSIZE_TO_POINTER(line));
            g_hash_table_iter_remove(&it);
        }
    }
    g_hash_table_destroy(pinned);
}

rr_run *rr_garbage_run(const rr_core *c, guint i, rr_job **job) {
    const char *key = g_ptr_array_index(c->garbage, i);
    char ref[RR_ID];
    uint32_t chunk;
    rr_job *j = rr_piece_parse(key + strlen(RR_ROOT "run/"), ref, sizeof ref, &chunk)
                    ? g_hash_table_lookup(c->jobs, ref)
                    : NULL;
    if (job) {
        *job = j;
    }
    return j && j->runs && chunk < j->runs->len ? g_ptr_array_index(j->runs, chunk) : NULL;
}

void rr_team_recount(rr_core *c) {
    g_array_set_size(c->team_used, 0);
    for (guint i = 0; i < c->machine_list->len; i++) {
        const rr_machine *m = g_ptr_array_index(c->machine_list, i);
        for (guint k = 0; k < m->places->len; k++) {
            const rr_job *j = g_array_index(m->places, rr_place, k).job;
            if (j->team >= 0) {
                team_add(c, j, 1);
            }
        }
    }
}

static void drop_run(rr_core *c, rr_job *j, rr_run *r, uint64_t mark, double now) {
    r->mark = 0;
    r->floor = mark;
    set_items(c, j, r, g_array_new(FALSE, TRUE, sizeof(rr_item)), now);
}

static void delete_run(rr_core *c, const char *rest, uint64_t mark, double now) {
    char ref[RR_ID];
    uint32_t chunk;
    rr_job *j =
        rr_piece_parse(rest, ref, sizeof ref, &chunk) ? g_hash_table_lookup(c->jobs, ref) : NULL;
    rr_run *r = j && j->runs && chunk < j->runs->len ? g_ptr_array_index(j->runs, chunk) : NULL;
    if (r && mark >= r->mark) {
        drop_run(c, j, r, mark, now);
        job_trim(c, j);
    }
}

/* ---- terms, sessions, rentals ---- */

static void put_session(rr_core *c, const char *name, const msgpack_object *v) {
    uint64_t tether;
    if (!rr_get_u64(v, "tether", &tether) || strlen(name) >= RR_NAME) {
        return;
    }
    rr_session *s = g_new0(rr_session, 1);
    g_strlcpy(s->name, name, sizeof s->name);
    s->tether = tether;
    rr_get_u64(v, "able", &s->able);
    g_hash_table_replace(c->sessions, s->name, s);
}

static void put_term(rr_core *c, const msgpack_object *v, uint64_t mark) {
    uint64_t token;
    const msgpack_object *nodes = rr_get(v, "nodes");
    if (mark < c->term.mark || !rr_get_u64(v, "token", &token) || !nodes ||
        nodes->type != MSGPACK_OBJECT_ARRAY) {
        return;
    }
    c->term.mark = mark;
    if (token != c->term.token) {
        c->counter = 0;
        c->anew = false;
    }
    c->term.token = token;
    rr_get_num(v, "born", &c->term.born);
    g_array_set_size(c->term.nodes, 0);
    for (uint32_t i = 0; i < nodes->via.array.size; i++) {
        const msgpack_object *n = &nodes->via.array.ptr[i];
        rr_session s = {0};
        if (n->type == MSGPACK_OBJECT_ARRAY && n->via.array.size == 2 &&
            rr_as_text(&n->via.array.ptr[0], s.name, sizeof s.name) &&
            rr_as_u64(&n->via.array.ptr[1], &s.tether)) {
            g_array_append_val(c->term.nodes, s);
        }
    }
    rr_term_assign(c);
    g_array_set_size(c->plan_moves, 0); /* teams may have moved */
}

static void put_rental(rr_core *c, const char *name, const msgpack_object *v, uint64_t mark) {
    rr_rental *h = g_hash_table_lookup(c->rentals, name);
    uint64_t n = 0;
    if (!h) {
        h = g_new0(rr_rental, 1);
        h->ids = g_ptr_array_new_with_free_func(g_free);
        g_strlcpy(h->name, name, sizeof h->name);
        g_hash_table_insert(c->rentals, h->name, h);
    }
    c->ever_rented = true;
    h->mark = mark;
    h->keep = true;
    rr_get_text(v, "build", h->build, sizeof h->build);
    rr_get_text(v, "ward", h->zone, sizeof h->zone);
    rr_get_bool(v, "loaners", &h->spot);
    rr_get_u64(v, "n", &n);
    h->how_many = (int)n;
}

/* ---- the mirror's door ---- */

static const char *after(const char *key, const char *prefix) {
    size_t n = strlen(prefix);
    return strncmp(key, prefix, n) == 0 ? key + n : NULL;
}

void rr_core_mirror_put(rr_core *c, const char *key, const msgpack_object *v, uint64_t mark,
                        double now) {
    const char *rest;
    if ((rest = after(key, RR_ROOT "fleet/"))) {
        rr_page_put(c, rest, v, mark, now);
    } else if ((rest = after(key, RR_ROOT "job/"))) {
        put_job(c, rest, v, mark, now);
    } else if ((rest = after(key, RR_ROOT "run/"))) {
        put_run(c, rest, v, mark, now);
    } else if ((rest = after(key, RR_ROOT "node/"))) {
        put_session(c, rest, v);
    } else if (strcmp(key, RR_ROOT "term") == 0) {
        put_term(c, v, mark);
    } else if ((rest = after(key, RR_ROOT "hire/"))) {
        put_rental(c, rest, v, mark);
    } else if (after(key, RR_ROOT "build/")) {
        rr_build_put(c, v);
    } else if (after(key, RR_ROOT "batch/")) {
        put_batch(c, key, v, mark, now);
    } else if (c->record_prefix && (rest = after(key, c->record_prefix))) {
        c->record_fn(c->record_user, rest, v, mark);
    } else {
        /* An earlier version's ledger (by machine) and whatever else: passed over. */
        rr_log_at(c, RR_LOG_DEBUG, "record %s is of no known form", key);
    }
}

void rr_core_mirror_delete(rr_core *c, const char *key, uint64_t mark, double now) {
    const char *rest;
    if ((rest = after(key, RR_ROOT "fleet/"))) {
        rr_page_delete(c, rest, mark, now);
    } else if ((rest = after(key, RR_ROOT "run/"))) {
        delete_run(c, rest, mark, now);
    } else if ((rest = after(key, RR_ROOT "node/"))) {
        g_hash_table_remove(c->sessions, rest);
    } else if ((rest = after(key, RR_ROOT "hire/"))) {
        g_hash_table_remove(c->rentals, rest);
    } else if (after(key, RR_ROOT "batch/")) {
        g_hash_table_remove(c->batches, key);
    }
}

void rr_core_mirror_begin(rr_core *c) {
    GHashTableIter it;
    gpointer k, v;
    c->rereading = true;
    g_hash_table_remove_all(c->sessions);
    g_hash_table_remove_all(c->batches);
    g_hash_table_iter_init(&it, c->rentals);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        ((rr_rental *)v)->keep = false;
    }
    for (guint i = 0; i < c->machine_list->len; i++) {
        ((rr_machine *)g_ptr_array_index(c->machine_list, i))->keep = false;
    }
    g_hash_table_iter_init(&it, c->pages);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        ((rr_page *)v)->keep = false;
    }
    for (guint i = 0; i < c->open->len; i++) {
        const rr_job *j = g_ptr_array_index(c->open, i);
        for (guint n = 0; j->runs && n < j->runs->len; n++) {
            rr_run *r = g_ptr_array_index(j->runs, n);
            if (r) {
                r->keep = false;
            }
        }
    }
    for (guint i = 0; i < c->garbage->len; i++) {
        rr_run *r = rr_garbage_run(c, i, NULL);
        if (r) {
            r->keep = false;
        }
    }
}

static gboolean page_stale(gpointer k, gpointer v, gpointer first) {
    const rr_page *p = v;
    (void)k;
    return !p->keep && p->mark <= *(uint64_t *)first;
}

/* A record written after the reread began may not be on its pages: only an older one is gone. */
static void drop_stale_runs(rr_core *c, uint64_t first, double now) {
    for (guint i = 0; i < c->garbage->len; i++) {
        rr_run *r = rr_garbage_run(c, i, NULL);
        if (r && !r->keep && r->mark <= first) {
            r->mark = 0;
        }
    }
    for (guint i = c->open->len; i > 0; i--) {
        rr_job *j = g_ptr_array_index(c->open, i - 1);
        for (guint n = 0; j->runs && n < j->runs->len; n++) {
            rr_run *r = g_ptr_array_index(j->runs, n);
            if (r && r->mark && r->mark <= first && !r->keep) {
                drop_run(c, j, r, r->mark, now);
            }
        }
    }
}

static gboolean rental_stale(gpointer k, gpointer v, gpointer user) {
    (void)k;
    (void)user;
    return !((rr_rental *)v)->keep;
}

void rr_core_apply(rr_core *c, const rr_txn *t, uint64_t epoch, double now) {
    for (guint i = 0; i < t->changes->len; i++) {
        const rr_change *ch = &g_array_index(t->changes, rr_change, i);
        rr_doc d;
        if (!ch->value) {
            rr_core_mirror_delete(c, ch->key, epoch, now);
            continue;
        }
        if (rr_doc_parse(&d, ch->value, ch->len) == 0) {
            rr_core_mirror_put(c, ch->key, d.root, epoch, now);
        }
        rr_doc_clear(&d);
    }
}

bool rr_core_settled(const rr_core *c) {
    return c->loaded && !c->rereading && c->epoch >= c->settle;
}

void rr_core_mirror_end(rr_core *c, uint64_t first, uint64_t last, double now) {
    c->settle = last;
    for (guint i = c->machine_list->len; i > 0; i--) {
        rr_machine *m = g_ptr_array_index(c->machine_list, i - 1);
        const rr_page *p = g_hash_table_lookup(c->pages, GUINT_TO_POINTER(m->page));
        if (m->recorded && !m->keep && !(p && p->mark > first)) {
            rr_machine_drop(c, m, now);
        }
    }
    g_hash_table_foreach_remove(c->rentals, rental_stale, NULL);
    g_hash_table_foreach_remove(c->pages, page_stale, &first);
    drop_stale_runs(c, first, now);
    c->rereading = false;
    c->loaded = true;
}

void rr_core_set_epoch(rr_core *c, uint64_t epoch) {
    c->epoch = epoch > c->epoch ? epoch : c->epoch;
}

uint64_t rr_core_epoch(const rr_core *c) {
    return c->epoch;
}

bool rr_core_loaded(const rr_core *c) {
    return c->loaded;
}

void rr_core_get_stats(const rr_core *c, rr_core_stats *out) {
    memset(out, 0, sizeof *out);
    for (guint i = 0; i < c->machine_list->len; i++) {
        const rr_machine *m = g_ptr_array_index(c->machine_list, i);
        out->machines += m->recorded;
        out->booting += m->recorded && !m->heard;
        out->tasks_placed += m->places->len;
        out->priced += m->recorded ? rr_machine_price(c, m) : 0;
    }
    for (guint i = 0; i < c->open->len; i++) {
        const rr_job *j = g_ptr_array_index(c->open, i);
        out->jobs_open++;
        if (!j->cancelled && !j->done) {
            out->tasks_waiting += j->s.pieces - j->ndone - j->nplaced;
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
