/* Transfer holds. A release is valid until a given time and only in the term in which it was given,
 * so that a new owner of the job's team starts without releases. */
#include "core/state/transfer_holds.h"
#include "core/core_internal.h"
#include "core/extensions.h"
#include "core/state/jobs.h"
#include "core/state/machines.h"

/* The hold of one job. */
typedef struct {
    enum rr_hold_kind kind;
    uint64_t release_token; /* fencing token of the term in which the job was last released */
    double released_until;  /* steady time at which the release ends, 0: not released */
    bool revoked;           /* a release was taken back: the job's running tasks have to stop */
} rr_hold;

void rr_core_hold_job(rr_core *core, const char *job_id, enum rr_hold_kind kind) {
    rr_hold *hold = g_hash_table_lookup(core->extensions.transfer_holds, job_id);
    if (!hold) {
        hold = g_new0(rr_hold, 1);
        g_hash_table_insert(core->extensions.transfer_holds, g_strdup(job_id), hold);
    }
    if (hold->kind != kind) {
        hold->released_until = 0;
    }
    hold->kind = kind;
}

void rr_core_unhold_job(rr_core *core, const char *job_id) {
    g_hash_table_remove(core->extensions.transfer_holds, job_id);
}

void rr_core_release_job(rr_core *core, const char *job_id, double until) {
    rr_hold *hold = g_hash_table_lookup(core->extensions.transfer_holds, job_id);
    if (hold) {
        hold->release_token = core->membership.term.token;
        hold->released_until = until;
    }
}

/* Lists all machines with placements of the job for reconciliation. */
static void mark_machines_dirty(rr_core *core, const rr_job *job) {
    for (guint k = 0; job->records && k < job->records->len; k++) {
        const rr_ledger_record *record = g_ptr_array_index(job->records, k);
        for (guint i = 0; record && i < record->placements->len; i++) {
            rr_machine_mark_dirty(
                core, g_array_index(record->placements, rr_placement_record, i).machine);
        }
    }
}

void rr_core_revoke_job_release(rr_core *core, const char *job_id) {
    rr_hold *hold = g_hash_table_lookup(core->extensions.transfer_holds, job_id);
    const rr_job *job = g_hash_table_lookup(core->stored.jobs, job_id);
    if (hold) {
        hold->released_until = 0;
        hold->revoked = true;
    }
    if (job) {
        mark_machines_dirty(core, job);
    }
}

/* Returns the job's hold, or NULL. Without any holds, the job id need not be hashed. */
static const rr_hold *find_hold(const rr_core *core, const rr_job *job) {
    return g_hash_table_size(core->extensions.transfer_holds)
               ? g_hash_table_lookup(core->extensions.transfer_holds, job->submission.job_id)
               : NULL;
}

bool rr_job_held(const rr_core *core, const rr_job *job, double now) {
    const rr_hold *hold = find_hold(core, job);
    return hold &&
           (hold->release_token != core->membership.term.token || now >= hold->released_until);
}

bool rr_job_revoked(const rr_core *core, const rr_job *job) {
    const rr_hold *hold = find_hold(core, job);
    return hold && hold->revoked;
}

bool rr_job_transferred(const rr_core *core, const rr_job *job) {
    const rr_hold *hold = find_hold(core, job);
    return hold && hold->kind == RR_HOLD_TRANSFERRED;
}

bool rr_job_of_another_cell(const rr_core *core, const rr_job *job) {
    const rr_hold *hold = find_hold(core, job);
    return hold && hold->kind == RR_HOLD_GUEST;
}
