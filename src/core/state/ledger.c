/* The ledger: records of placements by job, and which tasks are done. */
#include "core/state/ledger.h"
#include "core/core_internal.h"
#include "core/state/jobs.h"
#include "core/state/machines.h"
#include "core/state/name_index.h"
#include "core/state/record_handlers.h"
#include "core/state/resources.h"

#include <string.h>

rr_ledger_record *rr_job_ledger_record(rr_job *job, uint32_t chunk) {
    if (!job->records) {
        job->records = g_ptr_array_new_with_free_func(rr_ledger_record_free);
    }
    if (chunk >= job->records->len) {
        g_ptr_array_set_size(job->records, (gint)chunk + 1);
    }
    rr_ledger_record *record = g_ptr_array_index(job->records, chunk);
    if (!record) {
        record = g_new0(rr_ledger_record, 1);
        record->chunk = chunk;
        record->placements = g_array_new(FALSE, TRUE, sizeof(rr_placement_record));
        job->records->pdata[chunk] = record;
    }
    return record;
}

uint32_t rr_job_chunks(const rr_job *job) {
    return (job->submission.task_count + job->tasks_per_record - 1) / job->tasks_per_record;
}

bool rr_job_overflows(const rr_job *job) {
    return job->records && job->records->len > rr_job_chunks(job);
}

/* Completions of one chunk, as hexadecimal digits (nothing binary in the store). */
static void put_bits(rr_job *job, uint32_t chunk, const char *hex) {
    size_t count = strlen(hex);
    for (uint32_t i = 0; i < count * 4; i++) {
        uint32_t task = chunk * job->tasks_per_record + i;
        int digit = g_ascii_xdigit_value(hex[i / 4]);
        if (digit >= 0 && (digit >> (i % 4) & 1) && task < job->submission.task_count &&
            !rr_job_task_done(job, task)) {
            job->done_bits[task / 8] |= (guint8)(1 << (task % 8));
            job->done_count++;
        }
    }
}

static void chunk_hex(const rr_job *job, uint32_t chunk, const GArray *extra, char *hex) {
    uint32_t first = chunk * job->tasks_per_record;
    uint32_t count = first >= job->submission.task_count
                         ? 0
                         : MIN(job->submission.task_count - first, job->tasks_per_record);
    int digit[RR_TASKS_PER_RECORD_MAX / 4] = {0};
    for (uint32_t i = 0; i < count; i++) {
        if (rr_job_task_done(job, first + i)) {
            digit[i / 4] |= 1 << (i % 4);
        }
    }
    for (guint i = 0; extra && i < extra->len; i++) {
        uint32_t task = g_array_index(extra, uint32_t, i);
        digit[(task - first) / 4] |= 1 << ((task - first) % 4);
    }
    for (uint32_t i = 0; i < (count + 3) / 4; i++) {
        hex[i] = "0123456789abcdef"[digit[i]];
    }
    hex[(count + 3) / 4] = 0;
}

size_t rr_ledger_record_bytes(guint items) {
    /* As JSON, which is what the store counts: task, machine's name, attempt, worker_epoch, mark.
     */
    return 220 + (size_t)items * 44;
}

void rr_ledger_record_encode(const rr_core *core, rr_encoder *encoder, const rr_job *job,
                             uint32_t chunk, const GArray *items, const GArray *done, int zone) {
    char hex[RR_TASKS_PER_RECORD_MAX / 4 + 1];
    chunk_hex(job, chunk, done, hex);
    rr_encode_map(encoder, zone >= 0 ? 3 : 2);
    rr_encode_key_text(encoder, "bits", hex);
    if (zone >= 0) {
        rr_encode_key_text(encoder, "zone", rr_name_index_at(&core->stored.zones, zone));
    }
    rr_encode_text(encoder, "tasks");
    rr_encode_array(encoder, items->len);
    for (guint i = 0; i < items->len; i++) {
        const rr_placement_record *item = &g_array_index(items, rr_placement_record, i);
        rr_encode_array(encoder, 5);
        rr_encode_u64(encoder, item->task);
        rr_encode_text(encoder, item->machine->name);
        rr_encode_u64(encoder, item->attempt);
        rr_encode_u64(encoder, item->worker_epoch);
        rr_encode_u64(encoder, (uint64_t)item->preempt);
    }
}

/* One placement: [task, machine, attempt, worker_epoch, evict]. */
static bool placement_decode(rr_core *core, const msgpack_object *object, rr_placement_record *item,
                             double now) {
    char name[RR_ID_SIZE];
    uint64_t task, preempt = RR_PREEMPT_NONE;
    memset(item, 0, sizeof *item);
    if (object->type != MSGPACK_OBJECT_ARRAY || object->via.array.size < 5) {
        return false;
    }
    const msgpack_object *fields = object->via.array.ptr;
    if (!rr_object_u64(&fields[0], &task) || task >= RR_TASKS_MAX ||
        !rr_object_text(&fields[1], name, sizeof name) || !name[0] ||
        !rr_object_u64(&fields[2], &item->attempt) ||
        !rr_object_u64(&fields[3], &item->worker_epoch)) {
        return false;
    }
    rr_object_u64(&fields[4], &preempt);
    item->preempt = preempt > RR_PREEMPT_AT_ONCE ? RR_PREEMPT_SAVING : (int)preempt;
    item->task = (uint32_t)task;
    item->machine = rr_machine_get(core, name, now);
    return true;
}

static void placement_add(rr_core *core, rr_job *job, uint32_t chunk,
                          const rr_placement_record *item, double now) {
    rr_placement placement = {.job = job,
                              .task = item->task,
                              .chunk = chunk,
                              .attempt = item->attempt,
                              .worker_epoch = item->worker_epoch,
                              .preempt = item->preempt,
                              .seen_at = now};
    g_array_append_val(item->machine->placements, placement);
    rr_placement_count(core, item->machine, &placement, 1);
}

static void placement_remove(rr_core *core, rr_job *job, const rr_placement_record *item,
                             double now) {
    rr_machine *machine = item->machine;
    for (guint i = 0; i < machine->placements->len; i++) {
        rr_placement *placement = &g_array_index(machine->placements, rr_placement, i);
        if (placement->attempt == item->attempt && placement->job == job &&
            placement->task == item->task) {
            rr_placement old = *placement;
            g_array_remove_index(machine->placements, i);
            rr_placement_count(core, machine, &old, -1);
            break;
        }
    }
    if (machine->placements->len == 0) {
        machine->used = (rr_resources){0, 0, 0}; /* no residue of sums */
        machine->idle_since = now;
    }
}

static bool same_placement(const rr_placement_record *left, const rr_placement_record *right) {
    return left->attempt == right->attempt && left->task == right->task &&
           left->machine == right->machine;
}

/* Both lists keep their order, so that the search mostly ends where it begins. */
static const rr_placement_record *find_placement(const GArray *items,
                                                 const rr_placement_record *item, guint *from) {
    for (guint index = 0; index < items->len; index++) {
        guint i = (*from + index) % items->len;
        if (same_placement(&g_array_index(items, rr_placement_record, i), item)) {
            *from = i + 1;
            return &g_array_index(items, rr_placement_record, i);
        }
    }
    return NULL;
}

/* Takes over a record's placements: what is new is added, what has gone is dropped, the rest keeps
 * what this process remembers of it. */
static void set_placements(rr_core *core, rr_job *job, rr_ledger_record *record, GArray *fresh,
                           double now) {
    GArray *old = record->placements;
    guint from = 0;
    record->placements = fresh;
    for (guint i = 0; i < fresh->len; i++) {
        const rr_placement_record *item = &g_array_index(fresh, rr_placement_record, i);
        if (!find_placement(old, item, &from)) {
            placement_add(core, job, record->chunk, item, now);
            continue;
        }
        rr_placement *placement = rr_placement_find(item->machine, item->attempt, job, item->task);
        if (placement && placement->preempt != item->preempt) {
            placement->preempt = item->preempt;
            rr_mark_dirty(core, item->machine);
        }
    }
    from = 0;
    for (guint i = 0; i < old->len; i++) {
        const rr_placement_record *item = &g_array_index(old, rr_placement_record, i);
        if (!find_placement(fresh, item, &from)) {
            placement_remove(core, job, item, now);
        }
    }
    g_array_free(old, TRUE);
}

void rr_ledger_record_put(rr_core *core, const char *rest, const msgpack_object *value,
                          uint64_t version, double now) {
    char job_id[RR_ID_SIZE], hex[RR_TASKS_PER_RECORD_MAX / 4 + 1], zone[RR_TEXT_SIZE];
    uint32_t chunk;
    if (!rr_task_name_parse(rest, job_id, sizeof job_id, &chunk) ||
        chunk > RR_TASKS_MAX / core->stored.tasks_per_record ||
        rr_job_final(core, job_id, NULL, NULL)) {
        return;
    }
    rr_job *job = rr_job_get(core, job_id, now);
    rr_ledger_record *record = rr_job_ledger_record(job, chunk);
    /* Our own changes are here before the watch brings those before them: a record that is older
     * than its end would bring back placements that are over, and start them again. */
    if (version < record->version || version <= record->deleted_at_revision) {
        return;
    }
    record->version = version;
    record->seen_in_reload = true;
    const msgpack_object *list = rr_map_get(value, "tasks");
    bool some = list && list->type == MSGPACK_OBJECT_ARRAY && list->via.array.size > 0;
    if (job->submission.task_count && (some || !(job->done || job->cancelled))) {
        rr_job_open(core, job);
    }
    if (job->done_bits && rr_map_get_text(value, "bits", hex, sizeof hex)) {
        put_bits(job, chunk, hex);
    }
    if (rr_map_get_text(value, "zone", zone, sizeof zone)) {
        job->zone = rr_name_index_add(&core->stored.zones, zone);
    }
    GArray *fresh = g_array_new(FALSE, TRUE, sizeof(rr_placement_record));
    for (uint32_t i = 0; some && i < list->via.array.size; i++) {
        rr_placement_record item;
        if (placement_decode(core, &list->via.array.ptr[i], &item, now)) {
            g_array_append_val(fresh, item);
        }
    }
    set_placements(core, job, record, fresh, now);
    if (!job->open && job->version && (job->done || job->cancelled)) {
        char key[RR_ID_SIZE + 64];
        rr_ledger_record_key(job_id, chunk, key, sizeof key);
        g_ptr_array_add(core->stored.orphan_record_keys, g_strdup(key));
    }
}

rr_ledger_record *rr_garbage_record(const rr_core *core, guint i, rr_job **job) {
    const char *key = g_ptr_array_index(core->stored.orphan_record_keys, i);
    char job_id[RR_ID_SIZE];
    uint32_t chunk;
    rr_job *found =
        rr_task_name_parse(key + strlen(RR_KEY_ROOT "run/"), job_id, sizeof job_id, &chunk)
            ? g_hash_table_lookup(core->stored.jobs, job_id)
            : NULL;
    if (job) {
        *job = found;
    }
    return found && found->records && chunk < found->records->len
               ? g_ptr_array_index(found->records, chunk)
               : NULL;
}

void rr_ledger_record_remove(rr_core *core, rr_job *job, rr_ledger_record *record, uint64_t version,
                             double now) {
    record->version = 0;
    record->deleted_at_revision = version;
    set_placements(core, job, record, g_array_new(FALSE, TRUE, sizeof(rr_placement_record)), now);
}

void rr_ledger_record_delete(rr_core *core, const char *rest, uint64_t version, double now) {
    char job_id[RR_ID_SIZE];
    uint32_t chunk;
    rr_job *job = rr_task_name_parse(rest, job_id, sizeof job_id, &chunk)
                      ? g_hash_table_lookup(core->stored.jobs, job_id)
                      : NULL;
    rr_ledger_record *record = job && job->records && chunk < job->records->len
                                   ? g_ptr_array_index(job->records, chunk)
                                   : NULL;
    if (record && version >= record->version) {
        rr_ledger_record_remove(core, job, record, version, now);
        rr_job_trim(core, job);
    }
}
