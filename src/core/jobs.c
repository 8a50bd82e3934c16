/* Jobs as the store cache has them: accepted, cancelled, done, and final ones as lines. */
#include "core/records.h"

void rr_core_job_encode(rr_encoder *o, const rr_submission *s, double at, bool cancelled) {
    rr_encode_map(o, rr_submission_field_count(s) + 2);
    rr_submission_encode_fields(o, s);
    rr_encode_key_number(o, "at", at);
    rr_encode_key_bool(o, "cancelled", cancelled);
}

bool rr_core_cancel_record(const rr_core *c, const char *ref, rr_encoder *o, uint64_t *mark) {
    const rr_job *j = g_hash_table_lookup(c->jobs, ref);
    if (!j || j->done || j->cancelled) {
        return false;
    }
    rr_core_job_encode(o, &j->submission, j->accepted_at, true);
    *mark = j->own_version;
    return true;
}

bool rr_job_task_done(const rr_job *j, uint32_t task) {
    if (j->done) {
        return true;
    }
    return j->done_bits && task < j->submission.task_count &&
           (j->done_bits[task / 8] >> (task % 8) & 1);
}

void rr_job_open(rr_core *c, rr_job *j) {
    if (!j->open) {
        j->open = true;
        g_ptr_array_add(c->open, j);
    }
    if (!j->placed) {
        j->placed = g_malloc0(j->submission.task_count);
    }
    if (!j->done_bits && !j->done) {
        j->done_bits = g_malloc0((j->submission.task_count + 7) / 8);
    }
}

/* A final job without placements needs no task tables any more. */
void rr_job_close_if_final(rr_core *c, rr_job *j) {
    if (!j->open || !(j->done || j->cancelled) || j->placed_count) {
        return;
    }
    j->open = false;
    g_ptr_array_remove_fast(c->open, j);
    g_clear_pointer(&j->done_bits, g_free);
    g_clear_pointer(&j->placed, g_free);
    /* What is left of its ledger says nothing any more. */
    for (guint i = 0; j->records && i < j->records->len; i++) {
        const rr_ledger_record *r = g_ptr_array_index(j->records, i);
        if (r && r->version) {
            char key[RR_ID_SIZE + 64];
            rr_ledger_record_key(j->submission.job_id, r->chunk, key, sizeof key);
            g_ptr_array_add(c->garbage, g_strdup(key));
        }
    }
}

rr_job *rr_job_get(rr_core *c, const char *ref, double now) {
    rr_job *j = g_hash_table_lookup(c->jobs, ref);
    if (!j) {
        j = g_new0(rr_job, 1);
        g_strlcpy(j->submission.job_id, ref, sizeof j->submission.job_id);
        j->submission.task_count = 0;
        j->team = j->job_class = j->image = j->zone = -1;
        j->first_seen = now;
        j->tasks_per_record = c->chunk;
        g_hash_table_insert(c->jobs, j->submission.job_id, j);
    }
    return j;
}

static void job_index(rr_core *c, rr_job *j) {
    j->team = rr_name_index_add(&c->teams, j->submission.team);
    j->job_class = rr_name_index_add(&c->job_classes, j->submission.job_class);
    j->image = rr_name_index_add(&c->images, j->submission.image);
    j->request = (rr_resources){j->submission.cpus, j->submission.gpus, j->submission.mem_gb};
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
           wall - g_array_index(c->arrivals, rr_job *, n)->accepted_at > RR_ARRIVAL_WINDOW_S) {
        n++;
    }
    if (n > 0) {
        g_array_remove_range(c->arrivals, 0, n);
    }
}

static void put_final(rr_job *j, const msgpack_object *v) {
    uint64_t pieces = 0;
    rr_map_get_u64(v, "pieces", &pieces);
    if (j->submission.task_count == 0) {
        j->submission.task_count = (uint32_t)pieces;
    }
    rr_map_get_text(v, "crew", j->submission.team, sizeof j->submission.team);
    j->done = true;
    j->done_count = j->submission.task_count;
}

/* A ledger record that came before its job's (pages of a reread are of different moments) was
 * counted without sizes: out with it before they are known, in again after. */
static void recount(rr_core *c, rr_job *j, int sign) {
    for (guint n = 0; j->records && n < j->records->len; n++) {
        const rr_ledger_record *r = g_ptr_array_index(j->records, n);
        for (guint i = 0; r && i < r->placements->len; i++) {
            const rr_placement_record *it = &g_array_index(r->placements, rr_placement_record, i);
            rr_placement p = {.job = j, .task = it->task};
            rr_placement_count(c, it->machine, &p, sign);
        }
    }
}

/* Takes over what a job's record, its own or a batch's, says of the submission. */
static void put_body(rr_core *c, rr_job *j, const msgpack_object *v, bool is_new) {
    rr_submission s;
    const char *field;
    if (rr_submission_decode(v, &s, &field) != 0) {
        rr_log_at(c, RR_LOG_ERROR, "job %s: record unreadable at %s", j->submission.job_id, field);
        /* A version that did not know the job's shape writes its cancellation without the rest. */
        rr_map_get_bool(v, "cancelled", &j->cancelled);
        recount(c, j, -1);
        recount(c, j, 1); /* its machines are looked at */
        return;
    }
    if (j->submission.task_count && j->submission.task_count != s.task_count) {
        rr_log_at(c, RR_LOG_ERROR, "job %s: record of another size passed over",
                  j->submission.job_id);
        rr_submission_clear(&s);
        return;
    }
    recount(c, j, -1);
    rr_submission_clear(&j->submission);
    j->submission = s;
    rr_map_get_number(v, "at", &j->accepted_at);
    rr_map_get_bool(v, "cancelled", &j->cancelled);
    job_index(c, j);
    rr_job_open(c, j);
    recount(c, j, 1);
    if (is_new) {
        note_arrival(c, j);
    }
}

void rr_job_put(rr_core *c, const char *ref, const msgpack_object *v, uint64_t mark, double now) {
    if (rr_job_final(c, ref, NULL, NULL)) {
        return; /* it can't change any more */
    }
    rr_job *j = rr_job_get(c, ref, now);
    bool is_new = j->version == 0;
    if (mark < j->own_version) {
        return;
    }
    j->version = j->own_version = mark;
    if (rr_map_get(v, "final")) {
        put_final(j, v);
        j->team = rr_name_index_add(&c->teams, j->submission.team);
    } else {
        put_body(c, j, v, is_new);
    }
    rr_job_close_if_final(c, j);
}

/* Jobs accepted together. A job's own record, written by its cancellation or its end, says more,
 * whichever comes first; of two batches that name a job (a user's retry elsewhere) the first. */
void rr_job_batch_put(rr_core *c, const char *key, const msgpack_object *v, uint64_t mark,
                      double now) {
    const msgpack_object *list = rr_map_get(v, "jobs");
    rr_job_batch *b = g_new0(rr_job_batch, 1);
    b->version = mark;
    b->jobs = g_ptr_array_new();
    g_hash_table_replace(c->batches, g_strdup(key), b);
    for (uint32_t i = 0; list && list->type == MSGPACK_OBJECT_ARRAY && i < list->via.array.size;
         i++) {
        const msgpack_object *o = &list->via.array.ptr[i];
        char ref[RR_ID_SIZE];
        if (!rr_map_get_text(o, "ref", ref, sizeof ref) || !rr_job_id_valid(ref) ||
            rr_job_final(c, ref, NULL, NULL)) {
            continue;
        }
        rr_job *j = rr_job_get(c, ref, now);
        g_ptr_array_add(b->jobs, j);
        if (j->own_version == 0 && (j->version == 0 || mark < j->version)) {
            bool is_new = j->version == 0;
            j->version = mark;
            put_body(c, j, o, is_new);
        }
    }
}

void rr_core_batch_begin(rr_encoder *o, size_t n) {
    rr_encode_map(o, 1);
    rr_encode_text(o, "jobs");
    rr_encode_array(o, n);
}

void rr_core_batch_key(uint64_t tether, uint64_t n, char *out, size_t size) {
    g_snprintf(out, size, RR_KEY_ROOT "batch/%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT, tether, n);
}

/* A final job whose ledger is gone needs no place for it either: jobs are kept for good. */
void rr_job_trim(const rr_core *c, rr_job *j) {
    for (guint i = 0; j->records && i < j->records->len; i++) {
        const rr_ledger_record *r = g_ptr_array_index(j->records, i);
        if (r &&
            (r->version || r->edit || r->placements->len || r->deleted_at_revision > c->epoch)) {
            return;
        }
    }
    if (j->records && !j->open) {
        g_ptr_array_free(j->records, TRUE);
        j->records = NULL;
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
        pin(pinned, ((rr_machine *)g_ptr_array_index(c->machine_list, i))->failed_jobs);
    }
    for (guint i = 0; i < c->plan_moves->len; i++) {
        g_hash_table_add(pinned, g_array_index(c->plan_moves, rr_move, i).job);
    }
    g_hash_table_iter_init(&it, c->batches);
    while (g_hash_table_iter_next(&it, NULL, &v)) {
        const GPtrArray *jobs = ((rr_job_batch *)v)->jobs;
        for (guint i = 0; i < jobs->len; i++) {
            g_hash_table_add(pinned, g_ptr_array_index(jobs, i));
        }
    }
    return pinned;
}

/* Known from its own record, over, and the watch past all that may still be said of it. */
static bool rests(const rr_core *c, rr_job *j) {
    if (!(j->done || j->cancelled) || j->open || j->own_version == 0 || j->own_version > c->epoch) {
        return false;
    }
    rr_job_trim(c, j);
    return j->records == NULL;
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
        bool rested = j->idle;
        j->idle = rests(c, j) && !g_hash_table_contains(pinned, j);
        if (rested && j->idle) {
            gsize line = (gsize)j->done_count * 2 + (j->done ? 1 : 0);
            g_hash_table_replace(c->finals, g_strdup(j->submission.job_id), GSIZE_TO_POINTER(line));
            g_hash_table_iter_remove(&it);
        }
    }
    g_hash_table_destroy(pinned);
}
