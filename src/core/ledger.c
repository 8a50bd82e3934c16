/* The ledger: records of placements by job, and which tasks are done. */
#include "core/records.h"

#include <string.h>

rr_ledger_record *rr_job_ledger_record(rr_job *j, uint32_t chunk) {
    if (!j->records) {
        j->records = g_ptr_array_new_with_free_func(rr_ledger_record_free);
    }
    if (chunk >= j->records->len) {
        g_ptr_array_set_size(j->records, (gint)chunk + 1);
    }
    rr_ledger_record *r = g_ptr_array_index(j->records, chunk);
    if (!r) {
        r = g_new0(rr_ledger_record, 1);
        r->chunk = chunk;
        r->placements = g_array_new(FALSE, TRUE, sizeof(rr_placement_record));
        j->records->pdata[chunk] = r;
    }
    return r;
}

uint32_t rr_job_chunks(const rr_job *j) {
    return (j->submission.task_count + j->tasks_per_record - 1) / j->tasks_per_record;
}

bool rr_job_overflows(const rr_job *j) {
    return j->records && j->records->len > rr_job_chunks(j);
}

/* Completions of one chunk, as hexadecimal digits (nothing binary in the store). */
static void put_bits(rr_job *j, uint32_t chunk, const char *hex) {
    size_t n = strlen(hex);
    for (uint32_t i = 0; i < n * 4; i++) {
        uint32_t task = chunk * j->tasks_per_record + i;
        int d = g_ascii_xdigit_value(hex[i / 4]);
        if (d >= 0 && (d >> (i % 4) & 1) && task < j->submission.task_count &&
            !rr_job_task_done(j, task)) {
            j->done_bits[task / 8] |= (guint8)(1 << (task % 8));
            j->done_count++;
        }
    }
}

static void chunk_hex(const rr_job *j, uint32_t chunk, const GArray *extra, char *hex) {
    uint32_t first = chunk * j->tasks_per_record;
    uint32_t n = first >= j->submission.task_count
                     ? 0
                     : MIN(j->submission.task_count - first, j->tasks_per_record);
    int d[RR_TASKS_PER_RECORD_MAX / 4] = {0};
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

size_t rr_ledger_record_bytes(guint items) {
    /* As JSON, which is what the store counts: task, machine's name, attempt, worker_epoch, mark.
     */
    return 220 + (size_t)items * 44;
}

void rr_ledger_record_encode(const rr_core *c, rr_encoder *o, const rr_job *j, uint32_t chunk,
                             const GArray *items, const GArray *done, int zone) {
    char hex[RR_TASKS_PER_RECORD_MAX / 4 + 1];
    chunk_hex(j, chunk, done, hex);
    rr_encode_map(o, zone >= 0 ? 3 : 2);
    rr_encode_key_text(o, "bits", hex);
    if (zone >= 0) {
        rr_encode_key_text(o, "zone", rr_name_index_at(&c->zones, zone));
    }
    rr_encode_text(o, "tasks");
    rr_encode_array(o, items->len);
    for (guint i = 0; i < items->len; i++) {
        const rr_placement_record *it = &g_array_index(items, rr_placement_record, i);
        rr_encode_array(o, 5);
        rr_encode_u64(o, it->task);
        rr_encode_text(o, it->machine->name);
        rr_encode_u64(o, it->attempt);
        rr_encode_u64(o, it->worker_epoch);
        rr_encode_u64(o, (uint64_t)it->preempt);
    }
}

/* One placement: [task, machine, attempt, worker_epoch, evict]. */
static bool placement_decode(rr_core *c, const msgpack_object *o, rr_placement_record *it,
                             double now) {
    char name[RR_ID_SIZE];
    uint64_t task, evict = RR_PREEMPT_NONE;
    memset(it, 0, sizeof *it);
    if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size < 5) {
        return false;
    }
    const msgpack_object *f = o->via.array.ptr;
    if (!rr_object_u64(&f[0], &task) || task >= RR_TASKS_MAX ||
        !rr_object_text(&f[1], name, sizeof name) || !name[0] ||
        !rr_object_u64(&f[2], &it->attempt) || !rr_object_u64(&f[3], &it->worker_epoch)) {
        return false;
    }
    rr_object_u64(&f[4], &evict);
    it->preempt = evict > RR_PREEMPT_AT_ONCE ? RR_PREEMPT_SAVING : (int)evict;
    it->task = (uint32_t)task;
    it->machine = rr_machine_get(c, name, now);
    return true;
}

static void placement_add(rr_core *c, rr_job *j, uint32_t chunk, const rr_placement_record *it,
                          double now) {
    rr_placement p = {.job = j,
                      .task = it->task,
                      .chunk = chunk,
                      .attempt = it->attempt,
                      .worker_epoch = it->worker_epoch,
                      .preempt = it->preempt,
                      .seen_at = now};
    g_array_append_val(it->machine->placements, p);
    rr_placement_count(c, it->machine, &p, 1);
}

static void placement_remove(rr_core *c, rr_job *j, const rr_placement_record *it, double now) {
    rr_machine *m = it->machine;
    for (guint i = 0; i < m->placements->len; i++) {
        rr_placement *p = &g_array_index(m->placements, rr_placement, i);
        if (p->attempt == it->attempt && p->job == j && p->task == it->task) {
            rr_placement old = *p;
            g_array_remove_index(m->placements, i);
            rr_placement_count(c, m, &old, -1);
            break;
        }
    }
    if (m->placements->len == 0) {
        m->used = (rr_resources){0, 0, 0}; /* no residue of sums */
        m->idle_since = now;
    }
}

static bool same_placement(const rr_placement_record *a, const rr_placement_record *b) {
    return a->attempt == b->attempt && a->task == b->task && a->machine == b->machine;
}

/* Both lists keep their order, so that the search mostly ends where it begins. */
static const rr_placement_record *find_placement(const GArray *items, const rr_placement_record *it,
                                                 guint *from) {
    for (guint n = 0; n < items->len; n++) {
        guint i = (*from + n) % items->len;
        if (same_placement(&g_array_index(items, rr_placement_record, i), it)) {
            *from = i + 1;
            return &g_array_index(items, rr_placement_record, i);
        }
    }
    return NULL;
}

/* Takes over a record's placements: what is new is added, what has gone is dropped, the rest keeps
 * what this process remembers of it. */
static void set_placements(rr_core *c, rr_job *j, rr_ledger_record *r, GArray *fresh, double now) {
    GArray *old = r->placements;
    guint from = 0;
    r->placements = fresh;
    for (guint i = 0; i < fresh->len; i++) {
        const rr_placement_record *it = &g_array_index(fresh, rr_placement_record, i);
        if (!find_placement(old, it, &from)) {
            placement_add(c, j, r->chunk, it, now);
            continue;
        }
        rr_placement *p = rr_placement_find(it->machine, it->attempt, j, it->task);
        if (p && p->preempt != it->preempt) {
            p->preempt = it->preempt;
            rr_mark_dirty(c, it->machine);
        }
    }
    from = 0;
    for (guint i = 0; i < old->len; i++) {
        const rr_placement_record *it = &g_array_index(old, rr_placement_record, i);
        if (!find_placement(fresh, it, &from)) {
            placement_remove(c, j, it, now);
        }
    }
    g_array_free(old, TRUE);
}

void rr_ledger_record_put(rr_core *c, const char *rest, const msgpack_object *v, uint64_t mark,
                          double now) {
    char ref[RR_ID_SIZE], hex[RR_TASKS_PER_RECORD_MAX / 4 + 1], zone[RR_TEXT_SIZE];
    uint32_t chunk;
    if (!rr_task_name_parse(rest, ref, sizeof ref, &chunk) || chunk > RR_TASKS_MAX / c->chunk ||
        rr_job_final(c, ref, NULL, NULL)) {
        return;
    }
    rr_job *j = rr_job_get(c, ref, now);
    rr_ledger_record *r = rr_job_ledger_record(j, chunk);
    /* Our own changes are here before the watch brings those before them: a record that is older
     * than its end would bring back placements that are over, and start them again. */
    if (mark < r->version || mark <= r->deleted_at_revision) {
        return;
    }
    r->version = mark;
    r->seen_in_reload = true;
    const msgpack_object *list = rr_map_get(v, "tasks");
    bool some = list && list->type == MSGPACK_OBJECT_ARRAY && list->via.array.size > 0;
    if (j->submission.task_count && (some || !(j->done || j->cancelled))) {
        rr_job_open(c, j);
    }
    if (j->done_bits && rr_map_get_text(v, "bits", hex, sizeof hex)) {
        put_bits(j, chunk, hex);
    }
    if (rr_map_get_text(v, "zone", zone, sizeof zone)) {
        j->zone = rr_name_index_add(&c->zones, zone);
    }
    GArray *fresh = g_array_new(FALSE, TRUE, sizeof(rr_placement_record));
    for (uint32_t i = 0; some && i < list->via.array.size; i++) {
        rr_placement_record it;
        if (placement_decode(c, &list->via.array.ptr[i], &it, now)) {
            g_array_append_val(fresh, it);
        }
    }
    set_placements(c, j, r, fresh, now);
    if (!j->open && j->version && (j->done || j->cancelled)) {
        char key[RR_ID_SIZE + 64];
        rr_ledger_record_key(ref, chunk, key, sizeof key);
        g_ptr_array_add(c->garbage, g_strdup(key));
    }
}

rr_ledger_record *rr_garbage_record(const rr_core *c, guint i, rr_job **job) {
    const char *key = g_ptr_array_index(c->garbage, i);
    char ref[RR_ID_SIZE];
    uint32_t chunk;
    rr_job *j = rr_task_name_parse(key + strlen(RR_KEY_ROOT "run/"), ref, sizeof ref, &chunk)
                    ? g_hash_table_lookup(c->jobs, ref)
                    : NULL;
    if (job) {
        *job = j;
    }
    return j && j->records && chunk < j->records->len ? g_ptr_array_index(j->records, chunk) : NULL;
}

void rr_ledger_record_remove(rr_core *c, rr_job *j, rr_ledger_record *r, uint64_t mark,
                             double now) {
    r->version = 0;
    r->deleted_at_revision = mark;
    set_placements(c, j, r, g_array_new(FALSE, TRUE, sizeof(rr_placement_record)), now);
}

void rr_ledger_record_delete(rr_core *c, const char *rest, uint64_t mark, double now) {
    char ref[RR_ID_SIZE];
    uint32_t chunk;
    rr_job *j = rr_task_name_parse(rest, ref, sizeof ref, &chunk)
                    ? g_hash_table_lookup(c->jobs, ref)
                    : NULL;
    rr_ledger_record *r =
        j && j->records && chunk < j->records->len ? g_ptr_array_index(j->records, chunk) : NULL;
    if (r && mark >= r->version) {
        rr_ledger_record_remove(c, j, r, mark, now);
        rr_job_trim(c, j);
    }
}
