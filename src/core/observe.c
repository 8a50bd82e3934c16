/* What packages beside the core see of it, and what they tell it. */
#include "core/model.h"

void rr_core_watch_records(rr_core *c, const char *prefix, rr_core_record_fn fn, void *user) {
    c->record_prefix = g_strdup(prefix);
    c->record_fn = fn;
    c->record_user = user;
}

void rr_core_each_machine(const rr_core *c, rr_core_machine_fn fn, void *user) {
    for (guint i = 0; i < c->machine_list->len; i++) {
        const rr_machine *machine = g_ptr_array_index(c->machine_list, i);
        const rr_build *type = rr_build_at(c, machine->build);
        if (type && machine->recorded && !machine->ret && machine->zone >= 0) {
            fn(user, type->sku, rr_names_at(&c->zones, machine->zone), type->vcpus, type->cards,
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
        bool open = job->mark && !job->cancelled && !job->done;
        uint32_t waiting = open ? job->s.pieces - job->ndone - job->nplaced : 0;
        if (job->mark) {
            fn(user, &job->s, job->team, waiting, job->nplaced, job->ndone);
        }
    }
}

bool rr_core_job_known(const rr_core *c, const char *job_id) {
    const rr_job *job = g_hash_table_lookup(c->jobs, job_id);
    return (job && job->mark) || rr_job_final(c, job_id, NULL, NULL);
}

void rr_core_guard_term(const rr_core *c, rr_txn *t) {
    rr_txn_guard(t, RR_ROOT "term", c->term.mark);
}

bool rr_core_all_admit(const rr_core *c) {
    return rr_all_able_to(c, RR_ABLE_ADMISSION);
}

double rr_core_mirror_age(const rr_core *c, double now) {
    return now - c->fresh_at;
}
