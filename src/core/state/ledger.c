/* Encodes ledger records for the store and applies them to the store cache. */
#include "core/state/ledger.h"
#include "core/core_internal.h"
#include "core/state/job_outcomes.h"
#include "core/state/job_retention.h"
#include "core/state/jobs.h"
#include "core/state/machines.h"
#include "core/state/name_index.h"
#include "core/state/placement_accounting.h"
#include "core/state/record_words.h"

#include <string.h>

/* ---- completion bitmaps: one bit per task ---- */

/* A bitmap is stored as hexadecimal digits, because values of the store are text. The lowest bit of
 * each digit belongs to the first of its tasks. */
#define BITS_PER_DIGIT 4
#define HEX_SIZE (RR_TASKS_PER_RECORD_MAX / BITS_PER_DIGIT + 1)

/* Marks the tasks of the chunk that the stored bitmap shows as done. */
static void decode_completions(rr_job *job, uint32_t chunk, const char *hex) {
    size_t digit_count = strlen(hex);
    for (uint32_t i = 0; i < digit_count * BITS_PER_DIGIT; i++) {
        uint32_t task = chunk * job->tasks_per_record + i;
        int digit = g_ascii_xdigit_value(hex[i / BITS_PER_DIGIT]);
        if (digit >= 0 && (digit >> (i % BITS_PER_DIGIT) & 1) &&
            task < job->submission.task_count && !rr_job_task_done(job, task)) {
            job->done_bitmap[task / 8] |= (guint8)(1 << (task % 8));
            job->done_count++;
        }
    }
}

/* Writes the chunk's bitmap to hex, a buffer of HEX_SIZE bytes. done: further tasks (uint32_t) to
 * mark as done, may be NULL. */
static void encode_completions(const rr_job *job, uint32_t chunk, const GArray *done, char *hex) {
    uint32_t first_task = chunk * job->tasks_per_record;
    uint32_t task_count = first_task >= job->submission.task_count
                              ? 0
                              : MIN(job->submission.task_count - first_task, job->tasks_per_record);
    uint32_t digit_count = (task_count + BITS_PER_DIGIT - 1) / BITS_PER_DIGIT;
    int digits[RR_TASKS_PER_RECORD_MAX / BITS_PER_DIGIT] = {0};
    for (uint32_t i = 0; i < task_count; i++) {
        if (rr_job_task_done(job, first_task + i)) {
            digits[i / BITS_PER_DIGIT] |= 1 << (i % BITS_PER_DIGIT);
        }
    }
    for (guint i = 0; done && i < done->len; i++) {
        uint32_t bit = g_array_index(done, uint32_t, i) - first_task;
        digits[bit / BITS_PER_DIGIT] |= 1 << (bit % BITS_PER_DIGIT);
    }
    for (uint32_t i = 0; i < digit_count; i++) {
        hex[i] = "0123456789abcdef"[digits[i]];
    }
    hex[digit_count] = 0;
}

/* ---- placements: arrays of [task, machine, attempt, worker epoch, preempt mode] ---- */

#define PLACEMENT_FIELDS 5

static void encode_placement(rr_encoder *encoder, const rr_placement_record *placement) {
    rr_encode_array(encoder, PLACEMENT_FIELDS);
    rr_encode_u64(encoder, placement->task);
    rr_encode_text(encoder, placement->machine->name);
    rr_encode_u64(encoder, placement->attempt);
    rr_encode_u64(encoder, placement->worker_epoch);
    rr_encode_u64(encoder, (uint64_t)placement->preempt);
}

/* Decodes a placement and creates its machine if the store cache does not have it. Returns false
 * if the placement is malformed. An unknown preempt mode, which a newer version may write, is read
 * as one that saves. */
static bool decode_placement(rr_core *core, const msgpack_object *object, rr_placement_record *out,
                             double now) {
    char name[RR_ID_SIZE];
    uint64_t task, preempt = RR_PREEMPT_NONE;
    memset(out, 0, sizeof *out);
    if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size < PLACEMENT_FIELDS) {
        return false;
    }
    const msgpack_object *fields = object->via.array.ptr;
    if (!rr_object_get_u64(&fields[0], &task) || task >= RR_TASKS_MAX ||
        !rr_object_get_text(&fields[1], name, sizeof name) || !name[0] ||
        !rr_object_get_u64(&fields[2], &out->attempt) ||
        !rr_object_get_u64(&fields[3], &out->worker_epoch)) {
        return false;
    }
    rr_object_get_u64(&fields[4], &preempt);
    out->preempt = preempt > RR_PREEMPT_AT_ONCE ? RR_PREEMPT_SAVING : (enum rr_preempt_mode)preempt;
    out->task = (uint32_t)task;
    out->machine = rr_machine_get(core, name, now);
    return true;
}

void rr_ledger_record_encode(const rr_core *core, rr_encoder *encoder, const rr_job *job,
                             uint32_t chunk, const GArray *placements, const GArray *done,
                             int zone) {
    char hex[HEX_SIZE];
    encode_completions(job, chunk, done, hex);
    rr_encode_map(encoder, zone >= 0 ? 3 : 2);
    rr_encode_key_text(encoder, RR_RECORD_DONE_BITMAP, hex);
    if (zone >= 0) {
        rr_encode_key_text(encoder, RR_RECORD_ZONE, rr_name_index_at(&core->stored.zones, zone));
    }
    rr_encode_text(encoder, RR_RECORD_PLACEMENTS);
    rr_encode_array(encoder, placements->len);
    for (guint i = 0; i < placements->len; i++) {
        encode_placement(encoder, &g_array_index(placements, rr_placement_record, i));
    }
}

/* Returns the well-formed placements (rr_placement_record) of an array, none if objects is NULL.
 * The caller owns the result. */
static GArray *decode_placements(rr_core *core, const msgpack_object *objects, double now) {
    GArray *placements = g_array_new(FALSE, TRUE, sizeof(rr_placement_record));
    for (uint32_t i = 0; objects && i < objects->via.array.size; i++) {
        rr_placement_record placement;
        if (decode_placement(core, &objects->via.array.ptr[i], &placement, now)) {
            g_array_append_val(placements, placement);
        }
    }
    return placements;
}

/* ---- updating the placement lists of the machines ---- */

static void add_placement(rr_core *core, rr_job *job, uint32_t chunk,
                          const rr_placement_record *recorded, double now) {
    rr_placement placement = {.job = job,
                              .task = recorded->task,
                              .chunk = chunk,
                              .attempt = recorded->attempt,
                              .worker_epoch = recorded->worker_epoch,
                              .preempt = recorded->preempt,
                              .seen_at = now};
    g_array_append_val(recorded->machine->placements, placement);
    rr_account_placement(core, recorded->machine, &placement, 1);
}

static void remove_placement(rr_core *core, const rr_job *job, const rr_placement_record *recorded,
                             double now) {
    rr_machine *machine = recorded->machine;
    const rr_placement *placement =
        rr_placement_find(machine, recorded->attempt, job, recorded->task);
    if (placement) {
        rr_placement removed = *placement;
        g_array_remove_index(machine->placements,
                             (guint)(placement - (rr_placement *)machine->placements->data));
        rr_account_placement(core, machine, &removed, -1);
    }
    if (machine->placements->len == 0) {
        machine->used = (rr_resources){0, 0, 0}; /* clears accumulated rounding errors */
        machine->idle_since = now;
    }
}

static bool is_same_placement(const rr_placement_record *left, const rr_placement_record *right) {
    return left->attempt == right->attempt && left->task == right->task &&
           left->machine == right->machine;
}

/* Returns whether the array contains the placement. The search begins at *search_from and sets it
 * to the position after the match: versions of a record keep the order of their placements, so that
 * a search for each in turn usually succeeds at the first step. */
static bool contains_placement(const GArray *placements, const rr_placement_record *wanted,
                               guint *search_from) {
    for (guint step = 0; step < placements->len; step++) {
        guint i = (*search_from + step) % placements->len;
        if (is_same_placement(&g_array_index(placements, rr_placement_record, i), wanted)) {
            *search_from = i + 1;
            return true;
        }
    }
    return false;
}

static void update_preempt_mode(rr_core *core, const rr_job *job,
                                const rr_placement_record *recorded) {
    rr_placement *placement =
        rr_placement_find(recorded->machine, recorded->attempt, job, recorded->task);
    if (placement && placement->preempt != recorded->preempt) {
        placement->preempt = recorded->preempt;
        rr_machine_mark_dirty(core, recorded->machine);
    }
}

/* Replaces the placements of the record, and updates those of their machines. The record takes
 * ownership of the array. */
static void replace_placements(rr_core *core, rr_job *job, rr_ledger_record *record,
                               GArray *placements, double now) {
    GArray *previous = record->placements;
    guint search_from = 0;
    record->placements = placements;
    for (guint i = 0; i < placements->len; i++) {
        const rr_placement_record *placement = &g_array_index(placements, rr_placement_record, i);
        if (contains_placement(previous, placement, &search_from)) {
            update_preempt_mode(core, job, placement);
        } else {
            add_placement(core, job, record->chunk, placement, now);
        }
    }
    search_from = 0;
    for (guint i = 0; i < previous->len; i++) {
        const rr_placement_record *placement = &g_array_index(previous, rr_placement_record, i);
        if (!contains_placement(placements, placement, &search_from)) {
            remove_placement(core, job, placement, now);
        }
    }
    g_array_free(previous, TRUE);
}

/* ---- applying records to the store cache ---- */

static void apply_record(rr_core *core, rr_job *job, rr_ledger_record *record,
                         const msgpack_object *value, double now) {
    char hex[HEX_SIZE], zone[RR_TEXT_SIZE];
    const msgpack_object *tasks = rr_map_get(value, RR_RECORD_PLACEMENTS);
    if (!tasks || tasks->type != MSGPACK_OBJECT_ARRAY || tasks->via.array.size == 0) {
        tasks = NULL;
    }
    if (job->submission.task_count && (tasks || !(job->done || job->cancelled))) {
        rr_job_open(core, job);
    }
    if (job->done_bitmap && rr_map_get_text(value, RR_RECORD_DONE_BITMAP, hex, sizeof hex)) {
        decode_completions(job, record->chunk, hex);
    }
    if (rr_map_get_text(value, RR_RECORD_ZONE, zone, sizeof zone)) {
        job->zone = rr_name_index_add(&core->stored.zones, zone);
    }
    replace_placements(core, job, record, decode_placements(core, tasks, now), now);
}

void rr_ledger_record_put(rr_core *core, const char *key_suffix, const msgpack_object *value,
                          uint64_t version, double now) {
    char job_id[RR_ID_SIZE];
    uint32_t chunk;
    if (!rr_ledger_record_key_parse(key_suffix, job_id, sizeof job_id, &chunk) ||
        chunk > RR_TASKS_MAX / core->stored.tasks_per_record ||
        rr_job_outcome(core, job_id, NULL, NULL)) {
        return;
    }
    rr_job *job = rr_job_get(core, job_id, now);
    rr_ledger_record *record = rr_job_ledger_record_get(job, chunk);
    /* Transactions of this controller are applied at once, before the watch delivers the changes
     * that precede them. A version older than the record's deletion would therefore bring back
     * terminated placements, whose tasks would be restarted. */
    if (version < record->version || version <= record->deleted_at_revision) {
        return;
    }
    record->version = version;
    record->seen_in_reload = true;
    apply_record(core, job, record, value, now);
    if (!job->open && job->version && (job->done || job->cancelled)) {
        rr_orphan_record_add(core, job_id, chunk);
    }
}

static void remove_record(rr_core *core, rr_job *job, rr_ledger_record *record, uint64_t version,
                          double now) {
    record->version = 0;
    record->deleted_at_revision = version;
    replace_placements(core, job, record, decode_placements(core, NULL, now), now);
}

void rr_ledger_record_delete(rr_core *core, const char *key_suffix, uint64_t version, double now) {
    char job_id[RR_ID_SIZE];
    uint32_t chunk;
    rr_job *job = rr_ledger_record_key_parse(key_suffix, job_id, sizeof job_id, &chunk)
                      ? g_hash_table_lookup(core->stored.jobs, job_id)
                      : NULL;
    rr_ledger_record *record = job ? rr_job_ledger_record_find(job, chunk) : NULL;
    if (record && version >= record->version) {
        remove_record(core, job, record, version, now);
        rr_job_free_unused_records(core, job);
    }
}

void rr_ledger_begin_reload(rr_core *core) {
    for (guint i = 0; i < core->stored.open_jobs->len; i++) {
        const rr_job *job = g_ptr_array_index(core->stored.open_jobs, i);
        for (guint k = 0; job->records && k < job->records->len; k++) {
            rr_ledger_record *record = g_ptr_array_index(job->records, k);
            if (record) {
                record->seen_in_reload = false;
            }
        }
    }
    for (guint i = 0; i < core->stored.orphan_record_keys->len; i++) {
        rr_ledger_record *record = rr_orphan_record_find(core, i, NULL);
        if (record) {
            record->seen_in_reload = false;
        }
    }
}

/* Returns whether the reload shows that the store no longer has the record. A record written after
 * the reload began may be missing from its pages and still exist. */
static bool is_gone_after_reload(const rr_ledger_record *record, uint64_t first_revision) {
    return record && !record->seen_in_reload && record->version <= first_revision;
}

void rr_ledger_end_reload(rr_core *core, uint64_t first_revision, double now) {
    for (guint i = 0; i < core->stored.orphan_record_keys->len; i++) {
        rr_ledger_record *record = rr_orphan_record_find(core, i, NULL);
        if (is_gone_after_reload(record, first_revision)) {
            record->version = 0;
        }
    }
    /* Backwards, because closing a job removes it from the list. */
    for (guint i = core->stored.open_jobs->len; i > 0; i--) {
        rr_job *job = g_ptr_array_index(core->stored.open_jobs, i - 1);
        for (guint k = 0; job->records && k < job->records->len; k++) {
            rr_ledger_record *record = g_ptr_array_index(job->records, k);
            if (is_gone_after_reload(record, first_revision) && record->version) {
                remove_record(core, job, record, record->version, now);
            }
        }
    }
}
