/* What packages beside the core see of it, and what they tell it. */
#include "core/views/package_views.h"
#include "core/core_internal.h"
#include "core/membership/membership.h"
#include "core/state/cancel_hints.h"
#include "core/state/jobs.h"
#include "core/state/machine_pages.h"
#include "core/state/machines.h"
#include "core/state/name_index.h"
#include "core/state/transaction.h"
#include "core/state/transfer_holds.h"
#include "core/extensions.h"
#include "core/submissions.h"

#include <string.h>

void rr_core_watch_records(rr_core *core, const char *prefix, rr_core_record_fn callback,
                           void *user) {
    if (core->extensions.record_watch_count == RR_RECORD_WATCHES) {
        return;
    }
    core->extensions.record_watches[core->extensions.record_watch_count++] =
        (rr_record_watch){g_strdup(prefix), callback, user};
}

/* True: a package's record. */
bool rr_watched_record(const rr_core *core, const char *key, const msgpack_object *value,
                       uint64_t version) {
    for (guint i = 0; i < core->extensions.record_watch_count; i++) {
        const rr_record_watch *watch = &core->extensions.record_watches[i];
        size_t length = strlen(watch->prefix);
        if (strncmp(key, watch->prefix, length) == 0) {
            watch->callback(watch->user, key + length, value, version);
            return true;
        }
    }
    return false;
}

void rr_core_each_machine(const rr_core *core, rr_core_machine_fn callback, void *user) {
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        const rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        const rr_machine_type *type = rr_machine_type_at(core, machine->machine_type);
        if (type && machine->recorded && !machine->scaling_in && machine->zone >= 0) {
            callback(user, type->name, rr_name_index_at(&core->stored.zones, machine->zone),
                     type->cpus, type->gpus, type->mem_gb);
        }
    }
}

void rr_core_each_job(const rr_core *core, rr_core_job_fn callback, void *user) {
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, core->stored.jobs);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const rr_job *job = value;
        bool open = job->version && !job->cancelled && !job->done && !rr_job_transferred(core, job);
        uint32_t waiting =
            open ? job->submission.task_count - job->done_count - job->placed_count : 0;
        if (job->version) {
            callback(user, &job->submission, job->team, waiting, job->placed_count,
                     job->done_count);
        }
    }
}

bool rr_core_job_known(const rr_core *core, const char *job_id) {
    const rr_job *job = g_hash_table_lookup(core->stored.jobs, job_id);
    return (job && job->version) || rr_job_final(core, job_id, NULL, NULL);
}

void rr_core_guard_term(const rr_core *core, rr_transaction *transaction) {
    rr_transaction_guard(transaction, RR_KEY_ROOT "term", core->membership.term.version);
}

bool rr_core_all_admission_capable(const rr_core *core) {
    return rr_all_capable(core, RR_CAPABILITY_ADMISSION);
}

double rr_core_cache_age(const rr_core *core, double now) {
    return now - core->stored.current_at;
}

bool rr_core_find_job(const rr_core *core, const char *job_id, rr_core_job *out) {
    const rr_job *job = g_hash_table_lookup(core->stored.jobs, job_id);
    if (!job || !job->version) {
        return false;
    }
    *out = (rr_core_job){&job->submission, job->accepted_at,  true,           job->done,
                         job->cancelled,   job->placed_count, job->done_count};
    return true;
}

const char *rr_core_team_owner(const rr_core *core, const char *team) {
    int index = rr_config_team(core->config, team);
    int place = index >= 0 && (guint)index < core->membership.team_owners->len
                    ? g_array_index(core->membership.team_owners, int, index)
                    : -1;
    bool known = place >= 0 && (guint)place < core->membership.term.members->len;
    return known ? g_array_index(core->membership.term.members, rr_session, place).name : NULL;
}

void rr_job_final_record(const rr_job *job, rr_transaction *transaction) {
    char key[RR_ID_SIZE + 64];
    rr_encoder encoder;
    rr_encoder_init(&encoder);
    rr_encode_map(&encoder, 4);
    rr_encode_key_text(&encoder, "ref", job->submission.job_id);
    rr_encode_key_text(&encoder, "final", "done");
    rr_encode_key_text(&encoder, "crew", job->submission.team);
    rr_encode_key_u64(&encoder, "pieces", job->submission.task_count);
    rr_core_job_key(job->submission.job_id, key, sizeof key);
    rr_transaction_guard(transaction, key, job->own_version);
    rr_transaction_put(transaction, key, &encoder, 0);
}

static rr_job *open_job(const rr_core *core, const char *job_id) {
    rr_job *job = g_hash_table_lookup(core->stored.jobs, job_id);
    return job && job->version && !job->done && !job->cancelled ? job : NULL;
}

bool rr_core_finish_job(const rr_core *core, const char *job_id, bool placed_are_gone,
                        rr_transaction *transaction) {
    const rr_job *job = open_job(core, job_id);
    bool may_end = job && (job->placed_count == 0 || placed_are_gone);
    if (may_end) {
        rr_job_final_record(job, transaction);
    }
    return may_end;
}

bool rr_core_guard_job(const rr_core *core, const char *job_id, rr_transaction *transaction) {
    const rr_job *job = open_job(core, job_id);
    if (job) {
        char key[RR_ID_SIZE + 64];
        rr_core_job_key(job_id, key, sizeof key);
        rr_transaction_guard(transaction, key, job->own_version);
    }
    return job != NULL;
}

bool rr_core_abandon_job(const rr_core *core, const char *job_id, rr_transaction *transaction) {
    char key[RR_ID_SIZE + 64];
    uint64_t version;
    rr_encoder encoder;
    if (!open_job(core, job_id)) {
        return false;
    }
    rr_encoder_init(&encoder);
    rr_core_cancel_record(core, job_id, &encoder, &version);
    rr_core_job_key(job_id, key, sizeof key);
    rr_transaction_guard(transaction, key, version);
    rr_transaction_put(transaction, key, &encoder, 0);
    return true;
}

bool rr_core_job_cancelled(const rr_core *core, const char *job_id, double now) {
    const rr_job *job = g_hash_table_lookup(core->stored.jobs, job_id);
    bool done = false;
    bool final = rr_job_final(core, job_id, &done, NULL);
    return (job && job->cancelled) || (final && !done) || rr_has_cancel_hint(core, job_id, now);
}
