/* Jobs as the store cache has them: accepted, cancelled, done, and final ones as lines. */
#include "core/state/jobs.h"
#include "core/core_internal.h"
#include "core/state/ledger.h"
#include "core/state/machines.h"
#include "core/state/name_index.h"
#include "core/state/record_handlers.h"
#include "core/state/resources.h"
#include "core/submissions.h"

void rr_core_job_encode(rr_encoder *encoder, const rr_submission *submission, double when,
                        bool cancelled) {
    rr_encode_map(encoder, rr_submission_field_count(submission) + 2);
    rr_submission_encode_fields(encoder, submission);
    rr_encode_key_number(encoder, "at", when);
    rr_encode_key_bool(encoder, "cancelled", cancelled);
}

bool rr_core_cancel_record(const rr_core *core, const char *job_id, rr_encoder *encoder,
                           uint64_t *version) {
    const rr_job *job = g_hash_table_lookup(core->stored.jobs, job_id);
    if (!job || job->done || job->cancelled) {
        return false;
    }
    rr_core_job_encode(encoder, &job->submission, job->accepted_at, true);
    *version = job->own_version;
    return true;
}

bool rr_job_task_done(const rr_job *job, uint32_t task) {
    if (job->done) {
        return true;
    }
    return job->done_bits && task < job->submission.task_count &&
           (job->done_bits[task / 8] >> (task % 8) & 1);
}

void rr_job_open(rr_core *core, rr_job *job) {
    if (!job->open) {
        job->open = true;
        g_ptr_array_add(core->stored.open_jobs, job);
    }
    if (!job->placed) {
        job->placed = g_malloc0(job->submission.task_count);
    }
    if (!job->done_bits && !job->done) {
        job->done_bits = g_malloc0((job->submission.task_count + 7) / 8);
    }
}

/* A final job without placements needs no task tables any more. */
void rr_job_close_if_final(rr_core *core, rr_job *job) {
    if (!job->open || !(job->done || job->cancelled) || job->placed_count) {
        return;
    }
    job->open = false;
    g_ptr_array_remove_fast(core->stored.open_jobs, job);
    g_clear_pointer(&job->done_bits, g_free);
    g_clear_pointer(&job->placed, g_free);
    /* What is left of its ledger says nothing any more. */
    for (guint i = 0; job->records && i < job->records->len; i++) {
        const rr_ledger_record *record = g_ptr_array_index(job->records, i);
        if (record && record->version) {
            char key[RR_ID_SIZE + 64];
            rr_ledger_record_key(job->submission.job_id, record->chunk, key, sizeof key);
            g_ptr_array_add(core->stored.orphan_record_keys, g_strdup(key));
        }
    }
}

rr_job *rr_job_get(rr_core *core, const char *job_id, double now) {
    rr_job *job = g_hash_table_lookup(core->stored.jobs, job_id);
    if (!job) {
        job = g_new0(rr_job, 1);
        g_strlcpy(job->submission.job_id, job_id, sizeof job->submission.job_id);
        job->submission.task_count = 0;
        job->team = job->job_class = job->image = job->zone = -1;
        job->first_seen = now;
        job->tasks_per_record = core->stored.tasks_per_record;
        g_hash_table_insert(core->stored.jobs, job->submission.job_id, job);
    }
    return job;
}

static void job_index(rr_core *core, rr_job *job) {
    job->team = rr_name_index_add(&core->stored.teams, job->submission.team);
    job->job_class = rr_name_index_add(&core->stored.job_classes, job->submission.job_class);
    job->image = rr_name_index_add(&core->stored.images, job->submission.image);
    job->request =
        (rr_resources){job->submission.cpus, job->submission.gpus, job->submission.mem_gb};
}

/* Recent arrivals of each class, for the headroom. */
static void note_arrival(rr_core *core, rr_job *job) {
    if (core->stored.reloading && core->membership.term.token == 0) {
        return;
    }
    g_array_append_val(core->stored.arrivals, job);
    if (core->stored.arrivals->len > 4096) {
        g_array_remove_range(core->stored.arrivals, 0, 1024);
    }
}

void rr_arrivals_trim(rr_core *core, double wall) {
    guint count = 0;
    while (count < core->stored.arrivals->len &&
           wall - g_array_index(core->stored.arrivals, rr_job *, count)->accepted_at >
               RR_ARRIVAL_WINDOW_S) {
        count++;
    }
    if (count > 0) {
        g_array_remove_range(core->stored.arrivals, 0, count);
    }
}

static void put_final(rr_job *job, const msgpack_object *value) {
    uint64_t task_count = 0;
    rr_map_get_u64(value, "pieces", &task_count);
    if (job->submission.task_count == 0) {
        job->submission.task_count = (uint32_t)task_count;
    }
    rr_map_get_text(value, "crew", job->submission.team, sizeof job->submission.team);
    job->done = true;
    job->done_count = job->submission.task_count;
}

/* A ledger record that came before its job's (pages of a reload are of different moments) was
 * counted without sizes: out with it before they are known, in again after. */
static void recount(rr_core *core, rr_job *job, int sign) {
    for (guint index = 0; job->records && index < job->records->len; index++) {
        const rr_ledger_record *record = g_ptr_array_index(job->records, index);
        for (guint i = 0; record && i < record->placements->len; i++) {
            const rr_placement_record *item =
                &g_array_index(record->placements, rr_placement_record, i);
            rr_placement placement = {.job = job, .task = item->task};
            rr_placement_count(core, item->machine, &placement, sign);
        }
    }
}

/* Takes over what a job's record, its own or a batch's, says of the submission. */
static void put_body(rr_core *core, rr_job *job, const msgpack_object *value, bool is_new) {
    rr_submission submission;
    const char *field;
    if (rr_submission_decode(value, &submission, &field) != 0) {
        rr_log_at(core, RR_LOG_ERROR, "job %s: record unreadable at %s", job->submission.job_id,
                  field);
        /* A version that did not know the job's shape writes its cancellation without the rest. */
        rr_map_get_bool(value, "cancelled", &job->cancelled);
        recount(core, job, -1);
        recount(core, job, 1); /* its machines are looked at */
        return;
    }
    if (job->submission.task_count && job->submission.task_count != submission.task_count) {
        rr_log_at(core, RR_LOG_ERROR, "job %s: record of another size passed over",
                  job->submission.job_id);
        rr_submission_clear(&submission);
        return;
    }
    recount(core, job, -1);
    rr_submission_clear(&job->submission);
    job->submission = submission;
    rr_map_get_number(value, "at", &job->accepted_at);
    rr_map_get_bool(value, "cancelled", &job->cancelled);
    job_index(core, job);
    rr_job_open(core, job);
    recount(core, job, 1);
    if (is_new) {
        note_arrival(core, job);
    }
}

void rr_job_put(rr_core *core, const char *job_id, const msgpack_object *value, uint64_t version,
                double now) {
    if (rr_job_final(core, job_id, NULL, NULL)) {
        return; /* it can't change any more */
    }
    rr_job *job = rr_job_get(core, job_id, now);
    bool is_new = job->version == 0;
    if (version < job->own_version) {
        return;
    }
    job->version = job->own_version = version;
    if (rr_map_get(value, "final")) {
        put_final(job, value);
        job->team = rr_name_index_add(&core->stored.teams, job->submission.team);
    } else {
        put_body(core, job, value, is_new);
    }
    rr_job_close_if_final(core, job);
}

/* Jobs accepted together. A job's own record, written by its cancellation or its end, says more,
 * whichever comes first; of two batches that name a job (a user's retry elsewhere) the first. */
void rr_job_batch_put(rr_core *core, const char *key, const msgpack_object *value, uint64_t version,
                      double now) {
    const msgpack_object *list = rr_map_get(value, "jobs");
    rr_job_batch *batch = g_new0(rr_job_batch, 1);
    batch->version = version;
    batch->jobs = g_ptr_array_new();
    g_hash_table_replace(core->stored.batches, g_strdup(key), batch);
    for (uint32_t i = 0; list && list->type == MSGPACK_OBJECT_ARRAY && i < list->via.array.size;
         i++) {
        const msgpack_object *object = &list->via.array.ptr[i];
        char job_id[RR_ID_SIZE];
        if (!rr_map_get_text(object, "ref", job_id, sizeof job_id) || !rr_job_id_valid(job_id) ||
            rr_job_final(core, job_id, NULL, NULL)) {
            continue;
        }
        rr_job *job = rr_job_get(core, job_id, now);
        g_ptr_array_add(batch->jobs, job);
        if (job->own_version == 0 && (job->version == 0 || version < job->version)) {
            bool is_new = job->version == 0;
            job->version = version;
            put_body(core, job, object, is_new);
        }
    }
}

void rr_core_batch_begin(rr_encoder *encoder, size_t count) {
    rr_encode_map(encoder, 1);
    rr_encode_text(encoder, "jobs");
    rr_encode_array(encoder, count);
}

void rr_core_batch_key(uint64_t lease_id, uint64_t number, char *out, size_t size) {
    g_snprintf(out, size, RR_KEY_ROOT "batch/%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT, lease_id,
               number);
}

/* A final job whose ledger is gone needs no place for it either: jobs are kept for good. */
void rr_job_trim(const rr_core *core, rr_job *job) {
    for (guint i = 0; job->records && i < job->records->len; i++) {
        const rr_ledger_record *record = g_ptr_array_index(job->records, i);
        if (record && (record->version || record->edit || record->placements->len ||
                       record->deleted_at_revision > core->stored.revision)) {
            return;
        }
    }
    if (job->records && !job->open) {
        g_ptr_array_free(job->records, TRUE);
        job->records = NULL;
    }
}

bool rr_job_final(const rr_core *core, const char *job_id, bool *done, uint32_t *ndone) {
    gpointer value;
    if (!g_hash_table_lookup_extended(core->stored.final_jobs, job_id, NULL, &value)) {
        return false;
    }
    if (done) {
        *done = GPOINTER_TO_SIZE(value) & 1;
    }
    if (ndone) {
        *ndone = (uint32_t)(GPOINTER_TO_SIZE(value) >> 1);
    }
    return true;
}

static void pin(GHashTable *pinned, const GArray *jobs) {
    for (guint i = 0; jobs && i < jobs->len; i++) {
        g_hash_table_add(pinned, g_array_index(jobs, rr_job *, i));
    }
}

/* Jobs that something else of the store cache points to. */
static GHashTable *pinned_jobs(const rr_core *core) {
    GHashTable *pinned = g_hash_table_new(NULL, NULL);
    GHashTableIter iter;
    gpointer value;
    pin(pinned, core->stored.arrivals);
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        pin(pinned, ((rr_machine *)g_ptr_array_index(core->stored.machine_list, i))->failed_jobs);
    }
    for (guint i = 0; i < core->planning.moves->len; i++) {
        g_hash_table_add(pinned, g_array_index(core->planning.moves, rr_move, i).job);
    }
    g_hash_table_iter_init(&iter, core->stored.batches);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const GPtrArray *jobs = ((rr_job_batch *)value)->jobs;
        for (guint i = 0; i < jobs->len; i++) {
            g_hash_table_add(pinned, g_ptr_array_index(jobs, i));
        }
    }
    return pinned;
}

/* Known from its own record, over, and the watch past all that may still be said of it. */
static bool rests(const rr_core *core, rr_job *job) {
    if (!(job->done || job->cancelled) || job->open || job->own_version == 0 ||
        job->own_version > core->stored.revision) {
        return false;
    }
    rr_job_trim(core, job);
    return job->records == NULL;
}

/* A whole job takes 0.8 KB: at two a second a day's would fill a controller's memory. Two looks in
 * a row, a minute apart, so that nothing late finds a job forgotten that it could wake. */
void rr_jobs_shrink(rr_core *core, double wall) {
    GHashTableIter iter;
    gpointer value;
    rr_arrivals_trim(core, wall);
    GHashTable *pinned = pinned_jobs(core);
    g_hash_table_iter_init(&iter, core->stored.jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        rr_job *job = value;
        bool rested = job->idle;
        job->idle = rests(core, job) && !g_hash_table_contains(pinned, job);
        if (rested && job->idle) {
            gsize line = (gsize)job->done_count * 2 + (job->done ? 1 : 0);
            g_hash_table_replace(core->stored.final_jobs, g_strdup(job->submission.job_id),
                                 GSIZE_TO_POINTER(line));
            g_hash_table_iter_remove(&iter);
        }
    }
    g_hash_table_destroy(pinned);
}
