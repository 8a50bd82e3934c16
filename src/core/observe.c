/* What packages beside the core see of it, and what they tell it. */
#include "core/model.h"

#include <string.h>

void rr_core_watch_records(rr_core *c, const char *prefix, rr_core_record_fn fn, void *user) {
    if (c->record_watch_count == RR_RECORD_WATCHES) {
        return;
    }
    c->watches[c->record_watch_count++] = (rr_record_watch){g_strdup(prefix), fn, user};
}

/* True: a package's record. */
bool rr_watched_record(const rr_core *c, const char *key, const msgpack_object *value,
                       uint64_t version) {
    for (guint i = 0; i < c->record_watch_count; i++) {
        const rr_record_watch *watch = &c->watches[i];
        size_t len = strlen(watch->prefix);
        if (strncmp(key, watch->prefix, len) == 0) {
            watch->callback(watch->user, key + len, value, version);
            return true;
        }
    }
    return false;
}

void rr_core_each_machine(const rr_core *c, rr_core_machine_fn fn, void *user) {
    for (guint i = 0; i < c->machine_list->len; i++) {
        const rr_machine *machine = g_ptr_array_index(c->machine_list, i);
        const rr_machine_type *type = rr_machine_type_at(c, machine->machine_type);
        if (type && machine->recorded && !machine->scaling_in && machine->zone >= 0) {
            fn(user, type->name, rr_name_index_at(&c->zones, machine->zone), type->cpus, type->gpus,
               type->mem_gb);
        }
    }
}

void rr_core_each_job(const rr_core *c, rr_core_job_fn fn, void *user) {
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, c->jobs);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        const rr_job *job = value;
        bool open = job->version && !job->cancelled && !job->done && !rr_job_transferred(c, job);
        uint32_t waiting =
            open ? job->submission.task_count - job->done_count - job->placed_count : 0;
        if (job->version) {
            fn(user, &job->submission, job->team, waiting, job->placed_count, job->done_count);
        }
    }
}

bool rr_core_job_known(const rr_core *c, const char *job_id) {
    const rr_job *job = g_hash_table_lookup(c->jobs, job_id);
    return (job && job->version) || rr_job_final(c, job_id, NULL, NULL);
}

void rr_core_guard_term(const rr_core *c, rr_transaction *t) {
    rr_transaction_guard(t, RR_KEY_ROOT "term", c->term.version);
}

bool rr_core_all_admission_capable(const rr_core *c) {
    return rr_all_capable(c, RR_CAPABILITY_ADMISSION);
}

double rr_core_cache_age(const rr_core *c, double now) {
    return now - c->fresh_at;
}

bool rr_core_find_job(const rr_core *c, const char *job_id, rr_core_job *out) {
    const rr_job *job = g_hash_table_lookup(c->jobs, job_id);
    if (!job || !job->version) {
        return false;
    }
    *out = (rr_core_job){&job->submission, job->accepted_at,  true,           job->done,
                         job->cancelled,   job->placed_count, job->done_count};
    return true;
}

const char *rr_core_team_owner(const rr_core *c, const char *team) {
    int index = rr_config_team(c->config, team);
    int place =
        index >= 0 && (guint)index < c->owners->len ? g_array_index(c->owners, int, index) : -1;
    bool known = place >= 0 && (guint)place < c->term.members->len;
    return known ? g_array_index(c->term.members, rr_session, place).name : NULL;
}

void rr_job_final_record(const rr_job *job, rr_transaction *t) {
    char key[RR_ID_SIZE + 64];
    rr_encoder o;
    rr_encoder_init(&o);
    rr_encode_map(&o, 4);
    rr_encode_key_text(&o, "ref", job->submission.job_id);
    rr_encode_key_text(&o, "final", "done");
    rr_encode_key_text(&o, "crew", job->submission.team);
    rr_encode_key_u64(&o, "pieces", job->submission.task_count);
    rr_core_job_key(job->submission.job_id, key, sizeof key);
    rr_transaction_guard(t, key, job->own_version);
    rr_transaction_put(t, key, &o, 0);
}

static rr_job *open_job(const rr_core *c, const char *job_id) {
    rr_job *job = g_hash_table_lookup(c->jobs, job_id);
    return job && job->version && !job->done && !job->cancelled ? job : NULL;
}

bool rr_core_finish_job(const rr_core *c, const char *job_id, bool placed_are_gone,
                        rr_transaction *t) {
    const rr_job *job = open_job(c, job_id);
    bool may_end = job && (job->placed_count == 0 || placed_are_gone);
    if (may_end) {
        rr_job_final_record(job, t);
    }
    return may_end;
}

bool rr_core_guard_job(const rr_core *c, const char *job_id, rr_transaction *t) {
    const rr_job *job = open_job(c, job_id);
    if (job) {
        char key[RR_ID_SIZE + 64];
        rr_core_job_key(job_id, key, sizeof key);
        rr_transaction_guard(t, key, job->own_version);
    }
    return job != NULL;
}

bool rr_core_abandon_job(const rr_core *c, const char *job_id, rr_transaction *t) {
    char key[RR_ID_SIZE + 64];
    uint64_t mark;
    rr_encoder o;
    if (!open_job(c, job_id)) {
        return false;
    }
    rr_encoder_init(&o);
    rr_core_cancel_record(c, job_id, &o, &mark);
    rr_core_job_key(job_id, key, sizeof key);
    rr_transaction_guard(t, key, mark);
    rr_transaction_put(t, key, &o, 0);
    return true;
}

bool rr_core_job_cancelled(const rr_core *c, const char *job_id, double now) {
    const rr_job *job = g_hash_table_lookup(c->jobs, job_id);
    bool done = false;
    bool final = rr_job_final(c, job_id, &done, NULL);
    return (job && job->cancelled) || (final && !done) || rr_has_cancel_hint(c, job_id, now);
}
