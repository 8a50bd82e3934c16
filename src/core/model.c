/* The mirror: records of the state service as structs, with sums kept as they change. */
#include "core/model.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void rr_log_at(const rr_core *c, int level, const char *fmt, ...) {
    if (!c->log) {
        return;
    }
    char line[512];
    va_list ap;
    va_start(ap, fmt);
    vsnprintf(line, sizeof line, fmt, ap);
    va_end(ap);
    c->log(level, line);
}

void rr_core_set_log(rr_core *c, rr_core_log_fn fn) {
    c->log = fn;
}

static void job_free(gpointer p) {
    rr_job *j = p;
    rr_submission_clear(&j->s);
    g_free(j->bits);
    g_free(j->placed);
    if (j->failed_on) {
        g_array_free(j->failed_on, TRUE);
    }
    g_free(j);
}

static void machine_free(gpointer p) {
    rr_machine *m = p;
    g_array_free(m->places, TRUE);
    rr_report_clear(&m->rep);
    g_array_free(m->casts, TRUE);
    g_array_free(m->err_jobs, TRUE);
    g_hash_table_destroy(m->lost);
    g_free(m);
}

static void hire_free(gpointer p) {
    rr_hire *h = p;
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
    rr_names_init(&c->wards);
    rr_names_init(&c->builds);
    rr_names_init(&c->lanes);
    rr_names_init(&c->casts);
    for (size_t i = 0; i < cfg->nteams; i++) {
        rr_names_add(&c->teams, cfg->teams[i].name);
    }
    c->build_info = builds_new();
    c->fresh_builds = builds_new();
    c->jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, job_free);
    c->open = g_ptr_array_new();
    c->machines = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, machine_free);
    c->machine_list = g_ptr_array_new();
    c->gone = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    c->sessions = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    c->hires = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, hire_free);
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
    g_array_free(c->plan_moves, TRUE);
    g_array_free(c->arrivals, TRUE);
    g_array_free(c->cut_at, TRUE);
    g_array_free(c->term.nodes, TRUE);
    g_hash_table_destroy(c->stray_failed);
    g_hash_table_destroy(c->refused);
    g_hash_table_destroy(c->hires);
    g_hash_table_destroy(c->sessions);
    g_hash_table_destroy(c->gone);
    g_ptr_array_free(c->machine_list, TRUE);
    g_hash_table_destroy(c->machines);
    g_ptr_array_free(c->open, TRUE);
    g_hash_table_destroy(c->jobs);
    g_array_free(c->build_info, TRUE);
    g_array_free(c->fresh_builds, TRUE);
    rr_names_clear(&c->teams);
    rr_names_clear(&c->wards);
    rr_names_clear(&c->builds);
    rr_names_clear(&c->lanes);
    rr_names_clear(&c->casts);
    g_free(c);
}

/* ---- keys ----
 * A full reread comes in key order, and a record may only speak of what was read before it: results
 * and machines of jobs, jobs of builds. */

void rr_core_job_key(const char *ref, char *out, size_t size) {
    g_snprintf(out, size, RR_ROOT "job/%s", ref);
}

void rr_machine_key(const char *name, char *out, size_t size) {
    g_snprintf(out, size, RR_ROOT "machine/%s", name);
}

void rr_hire_key(const char *name, char *out, size_t size) {
    g_snprintf(out, size, RR_ROOT "hire/%s", name);
}

void rr_result_key(const char *ref, uint32_t chunk, char *out, size_t size) {
    g_snprintf(out, size, RR_ROOT "result/%s/%u", ref, chunk);
}

/* ---- builds ---- */

const rr_build *rr_build_at(const rr_core *c, int build) {
    if (build < 0 || (guint)build >= c->build_info->len) {
        return NULL;
    }
    const rr_build *b = &g_array_index(c->build_info, rr_build, build);
    return b->sku[0] ? b : NULL;
}

static int build_index(rr_core *c, const char *sku) {
    int i = rr_names_add(&c->builds, sku);
    if ((guint)i >= c->build_info->len) {
        g_array_set_size(c->build_info, (guint)i + 1);
    }
    return i;
}

static void put_build(rr_core *c, const msgpack_object *v) {
    rr_build b;
    if (rr_build_decode(v, &b) != 0) {
        rr_build_clear(&b);
        return;
    }
    int index = build_index(c, b.sku); /* may move the array */
    rr_build *slot = &g_array_index(c->build_info, rr_build, index);
    rr_build_clear(slot);
    *slot = b;
    for (guint i = 0; i < b.wards->len; i++) {
        rr_names_add(&c->wards, g_ptr_array_index(b.wards, i));
    }
    c->catalog_known = true;
}

rr_res rr_machine_cap(const rr_core *c, const rr_machine *m) {
    const rr_build *b = rr_build_at(c, m->build);
    return b ? (rr_res){b->vcpus, b->cards, b->mem_gb} : (rr_res){0, 0, 0};
}

/* Machines that stood there before the service did are the paper's private cluster: they cost
 * nothing more by being used and are never returned. */
double rr_machine_price(const rr_core *c, const rr_machine *m) {
    const rr_build *b = rr_build_at(c, m->build);
    if (m->own || !b) {
        return 0;
    }
    return m->loaners ? b->spot_price : b->price;
}

const struct rr_objective *rr_objective_for(const rr_core *c, const char *kind, const char *lane) {
    for (size_t i = 0; i < c->cfg->nobjectives; i++) {
        const struct rr_objective *o = &c->cfg->objectives[i];
        if (strcmp(o->kind, kind) == 0 && strcmp(o->lane, lane) == 0) {
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
    *mark = j->mark;
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
}

static rr_job *job_get(rr_core *c, const char *ref, double now) {
    rr_job *j = g_hash_table_lookup(c->jobs, ref);
    if (!j) {
        j = g_new0(rr_job, 1);
        g_strlcpy(j->s.ref, ref, sizeof j->s.ref);
        j->s.pieces = 0;
        j->team = j->lane = j->cast = j->zone = -1;
        j->first_seen = now;
        g_hash_table_insert(c->jobs, j->s.ref, j);
    }
    return j;
}

static void job_index(rr_core *c, rr_job *j) {
    j->team = rr_names_add(&c->teams, j->s.crew);
    j->lane = rr_names_add(&c->lanes, j->s.lane);
    j->cast = rr_names_add(&c->casts, j->s.cast);
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

static void put_final(rr_job *j, const msgpack_object *v) {
    uint64_t pieces = 0;
    rr_get_u64(v, "pieces", &pieces);
    if (j->s.pieces == 0) {
        j->s.pieces = (uint32_t)pieces;
    }
    rr_get_text(v, "crew", j->s.crew, sizeof j->s.crew);
    j->done = true;
    j->ndone = j->s.pieces;
}

static void put_job(rr_core *c, const char *ref, const msgpack_object *v, uint64_t mark,
                    double now) {
    rr_job *j = job_get(c, ref, now);
    bool is_new = j->mark == 0;
    if (mark < j->mark) {
        return;
    }
    j->mark = mark;
    if (rr_get(v, "final")) {
        put_final(j, v);
        j->team = rr_names_add(&c->teams, j->s.crew);
    } else {
        rr_submission s;
        const char *field;
        if (rr_submission_decode(v, &s, &field) != 0) {
            rr_log_at(c, RR_LOG_ERROR, "job %s: record unreadable at %s", ref, field);
            return;
        }
        bool known_body = j->placed && j->s.pieces == s.pieces;
        if (j->placed && !known_body) {
            g_clear_pointer(&j->placed, g_free);
            g_clear_pointer(&j->bits, g_free);
        }
        rr_submission_clear(&j->s);
        j->s = s;
        rr_get_num(v, "at", &j->at);
        rr_get_bool(v, "cancelled", &j->cancelled);
        job_index(c, j);
        job_open(c, j);
        if (is_new) {
            note_arrival(c, j);
        }
    }
    job_maybe_close(c, j);
}

static int hex_value(char ch) {
    return g_ascii_xdigit_value(ch);
}

/* Completions of one chunk, as hexadecimal digits (nothing binary in the store). */
static void put_done(rr_core *c, const char *rest, const msgpack_object *v) {
    char ref[RR_ID], hex[RR_CHUNK / 4 + 1], zone[RR_TEXT];
    uint32_t chunk;
    if (!rr_piece_parse(rest, ref, sizeof ref, &chunk) ||
        !rr_get_text(v, "bits", hex, sizeof hex)) {
        return;
    }
    rr_job *j = g_hash_table_lookup(c->jobs, ref);
    if (!j || !j->bits) {
        return;
    }
    if (rr_get_text(v, "zone", zone, sizeof zone)) {
        j->zone = rr_names_add(&c->wards, zone);
    }
    size_t n = strlen(hex);
    for (uint32_t i = 0; i < n * 4; i++) {
        uint32_t task = chunk * RR_CHUNK + i;
        int d = hex_value(hex[i / 4]);
        if (d >= 0 && (d >> (i % 4) & 1) && task < j->s.pieces && !rr_job_task_done(j, task)) {
            j->bits[task / 8] |= (guint8)(1 << (task % 8));
            j->ndone++;
        }
    }
}

void rr_job_chunk_encode(rr_out *o, const rr_job *j, uint32_t chunk, const GArray *extra,
                         const char *zone) {
    char hex[RR_CHUNK / 4 + 1];
    uint32_t first = chunk * RR_CHUNK;
    uint32_t n = j->s.pieces - first < RR_CHUNK ? j->s.pieces - first : RR_CHUNK;
    uint32_t digits = (n + 3) / 4;
    int d[RR_CHUNK / 4] = {0};
    for (uint32_t i = 0; i < n; i++) {
        if (rr_job_task_done(j, first + i)) {
            d[i / 4] |= 1 << (i % 4);
        }
    }
    for (guint i = 0; i < extra->len; i++) {
        uint32_t t = g_array_index(extra, uint32_t, i);
        if (t / RR_CHUNK == chunk) {
            d[(t - first) / 4] |= 1 << ((t - first) % 4);
        }
    }
    for (uint32_t i = 0; i < digits; i++) {
        hex[i] = "0123456789abcdef"[d[i]];
    }
    hex[digits] = 0;
    rr_put_map(o, zone ? 2 : 1);
    rr_put_key_text(o, "bits", hex);
    if (zone) {
        rr_put_key_text(o, "zone", zone);
    }
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
    m->build = m->ward = -1;
    m->places = g_array_new(FALSE, TRUE, sizeof(rr_place));
    m->casts = g_array_new(FALSE, FALSE, sizeof(int));
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
    g_ptr_array_remove_fast(c->machine_list, m);
    g_hash_table_remove(c->machines, m->name);
}

static void place_count(rr_core *c, rr_machine *m, rr_place *p, int sign) {
    rr_job *j = p->job;
    m->used = rr_res_add(m->used, j->need, sign);
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

bool rr_machine_has_cast(const rr_machine *m, int cast) {
    for (guint i = 0; i < m->casts->len; i++) {
        if (g_array_index(m->casts, int, i) == cast) {
            return true;
        }
    }
    return false;
}

/* One placement: [ref, task, attempt, tenure, evict]. */
static bool place_decode(rr_core *c, const msgpack_object *o, rr_place *p, double now) {
    char ref[RR_ID];
    uint64_t task, evict = RR_KEEP;
    memset(p, 0, sizeof *p);
    if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size < 5) {
        return false;
    }
    const msgpack_object *f = o->via.array.ptr;
    if (!rr_as_text(&f[0], ref, sizeof ref) || !rr_as_u64(&f[1], &task) ||
        !rr_as_u64(&f[2], &p->attempt) || !rr_as_u64(&f[3], &p->tenure)) {
        return false;
    }
    rr_as_u64(&f[4], &evict);
    p->evict = evict > RR_EVICT_AT_ONCE ? RR_EVICT_SAVING : (int)evict;
    p->job = job_get(c, ref, now);
    p->task = (uint32_t)task;
    p->seen_at = now;
    if (p->job->s.pieces && task < p->job->s.pieces) {
        job_open(c, p->job);
    }
    return true;
}

void rr_machine_encode(const rr_core *c, rr_out *o, const rr_machine *m, const GArray *places,
                       bool ret) {
    rr_put_map(o, 8);
    rr_put_key_text(o, "build", rr_names_at(&c->builds, m->build));
    rr_put_key_text(o, "ward", rr_names_at(&c->wards, m->ward));
    rr_put_key_bool(o, "loaners", m->loaners);
    rr_put_key_text(o, "addr", m->addr);
    rr_put_key_bool(o, "own", m->own);
    rr_put_key_bool(o, "ret", ret);
    rr_put_key_num(o, "born", m->born);
    rr_put_text(o, "tasks");
    rr_put_array(o, places ? places->len : 0);
    for (guint i = 0; places && i < places->len; i++) {
        const rr_place *p = &g_array_index(places, rr_place, i);
        rr_put_array(o, 5);
        rr_put_text(o, p->job->s.ref);
        rr_put_u64(o, p->task);
        rr_put_u64(o, p->attempt);
        rr_put_u64(o, p->tenure);
        rr_put_u64(o, (uint64_t)p->evict);
    }
}

static void set_places(rr_core *c, rr_machine *m, GArray *fresh) {
    GArray *old = m->places;
    m->places = fresh;
    for (guint i = 0; i < fresh->len; i++) {
        rr_place *p = &g_array_index(fresh, rr_place, i);
        for (guint k = 0; k < old->len; k++) {
            const rr_place *q = &g_array_index(old, rr_place, k);
            if (q->attempt == p->attempt && q->job == p->job && q->task == p->task) {
                p->seen_at = q->seen_at;
                p->start_at = q->start_at;
                p->stop_at = q->stop_at;
            }
        }
        place_count(c, m, p, 1);
    }
    for (guint k = 0; k < old->len; k++) {
        place_count(c, m, &g_array_index(old, rr_place, k), -1);
    }
    if (fresh->len == 0) {
        m->used = (rr_res){0, 0, 0}; /* no residue of sums */
    }
    g_array_free(old, TRUE);
}

static void put_machine(rr_core *c, const char *name, const msgpack_object *v, uint64_t mark,
                        double now) {
    char build[RR_ID], ward[RR_TEXT], addr[RR_ID];
    if (!rr_get_text(v, "build", build, sizeof build) ||
        !rr_get_text(v, "ward", ward, sizeof ward)) {
        return;
    }
    rr_machine *m = rr_machine_get(c, name, now);
    if (mark < m->mark) {
        return;
    }
    if (!m->recorded) {
        m->known_at = m->idle_since = now;
    }
    m->recorded = m->keep = true;
    m->to_adopt = false;
    m->mark = mark;
    m->build = build_index(c, build);
    m->ward = rr_names_add(&c->wards, ward);
    rr_get_bool(v, "loaners", &m->loaners);
    rr_get_bool(v, "own", &m->own);
    rr_get_bool(v, "ret", &m->ret);
    rr_get_num(v, "born", &m->born);
    if (!m->heard && rr_get_text(v, "addr", addr, sizeof addr) && addr[0]) {
        g_strlcpy(m->addr, addr, sizeof m->addr);
    }
    GArray *fresh = g_array_new(FALSE, TRUE, sizeof(rr_place));
    const msgpack_object *list = rr_get(v, "tasks");
    for (uint32_t i = 0; list && list->type == MSGPACK_OBJECT_ARRAY && i < list->via.array.size;
         i++) {
        rr_place p;
        if (place_decode(c, &list->via.array.ptr[i], &p, now)) {
            g_array_append_val(fresh, p);
        }
    }
    bool was_busy = m->places->len > 0;
    set_places(c, m, fresh);
    if (was_busy && m->places->len == 0) {
        m->idle_since = now;
    }
}

static void drop_machine(rr_core *c, rr_machine *m, double now) {
    double *at = g_new(double, 1);
    *at = now;
    set_places(c, m, g_array_new(FALSE, TRUE, sizeof(rr_place)));
    g_hash_table_insert(c->gone, g_strdup(m->name), at);
    rr_machine_forget(c, m);
}

/* ---- terms, sessions, hires ---- */

static void put_session(rr_core *c, const char *name, const msgpack_object *v) {
    uint64_t tether;
    if (!rr_get_u64(v, "tether", &tether) || strlen(name) >= RR_NAME) {
        return;
    }
    rr_session *s = g_new0(rr_session, 1);
    g_strlcpy(s->name, name, sizeof s->name);
    s->tether = tether;
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
    g_array_set_size(c->plan_moves, 0); /* teams may have moved */
}

static void put_hire(rr_core *c, const char *name, const msgpack_object *v, uint64_t mark) {
    rr_hire *h = g_hash_table_lookup(c->hires, name);
    uint64_t n = 0;
    if (!h) {
        h = g_new0(rr_hire, 1);
        h->ids = g_ptr_array_new_with_free_func(g_free);
        g_strlcpy(h->name, name, sizeof h->name);
        g_hash_table_insert(c->hires, h->name, h);
    }
    h->mark = mark;
    h->keep = true;
    rr_get_text(v, "build", h->build, sizeof h->build);
    rr_get_text(v, "ward", h->ward, sizeof h->ward);
    rr_get_bool(v, "loaners", &h->loaners);
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
    if ((rest = after(key, RR_ROOT "machine/"))) {
        put_machine(c, rest, v, mark, now);
    } else if ((rest = after(key, RR_ROOT "job/"))) {
        put_job(c, rest, v, mark, now);
    } else if ((rest = after(key, RR_ROOT "result/"))) {
        put_done(c, rest, v);
    } else if ((rest = after(key, RR_ROOT "node/"))) {
        put_session(c, rest, v);
    } else if (strcmp(key, RR_ROOT "term") == 0) {
        put_term(c, v, mark);
    } else if ((rest = after(key, RR_ROOT "hire/"))) {
        put_hire(c, rest, v, mark);
    } else if (after(key, RR_ROOT "build/")) {
        put_build(c, v);
    }
}

void rr_core_mirror_delete(rr_core *c, const char *key, uint64_t mark, double now) {
    const char *rest;
    if ((rest = after(key, RR_ROOT "machine/"))) {
        rr_machine *m = g_hash_table_lookup(c->machines, rest);
        if (m && mark >= m->mark) {
            drop_machine(c, m, now);
        }
    } else if ((rest = after(key, RR_ROOT "node/"))) {
        g_hash_table_remove(c->sessions, rest);
    } else if ((rest = after(key, RR_ROOT "hire/"))) {
        g_hash_table_remove(c->hires, rest);
    }
}

void rr_core_mirror_begin(rr_core *c) {
    GHashTableIter it;
    gpointer k, v;
    c->rereading = true;
    g_hash_table_remove_all(c->sessions);
    g_hash_table_iter_init(&it, c->hires);
    while (g_hash_table_iter_next(&it, &k, &v)) {
        ((rr_hire *)v)->keep = false;
    }
    for (guint i = 0; i < c->machine_list->len; i++) {
        ((rr_machine *)g_ptr_array_index(c->machine_list, i))->keep = false;
    }
}

static gboolean hire_stale(gpointer k, gpointer v, gpointer user) {
    (void)k;
    (void)user;
    return !((rr_hire *)v)->keep;
}

void rr_core_mirror_end(rr_core *c, double now) {
    for (guint i = c->machine_list->len; i > 0; i--) {
        rr_machine *m = g_ptr_array_index(c->machine_list, i - 1);
        if (m->recorded && !m->keep) {
            drop_machine(c, m, now);
        }
    }
    g_hash_table_foreach_remove(c->hires, hire_stale, NULL);
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
}
