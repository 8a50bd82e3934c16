/* Builds a plan's transaction: ledger records, final records of jobs, guards, and deletions of
 * obsolete records. */
#include "core/scheduling/plan_transaction.h"
#include "core/core_internal.h"
#include "core/leadership.h"
#include "core/membership/membership.h"
#include "core/scheduling/planner.h"
#include "core/state/jobs.h"
#include "core/state/ledger.h"
#include "core/state/machines.h"
#include "core/state/transaction.h"
#include "core/submissions.h"

#define KEY_BYTES_MAX (RR_ID_SIZE + 64)
/* Obsolete records are deleted only while the write pressure is low. */
#define ORPHAN_DELETION_PRESSURE_MAX 0.5
#define BATCH_DELETION_PRESSURE_MAX 0.3
#define BATCH_DELETION_PERIOD_S 2.0

/* Adds the final record of a completed job. */
static void put_final_record(struct rr_planner *planner, const rr_job *job) {
    rr_job_add_final_record(job, &planner->plan->transaction);
    rr_log_at(planner->core, RR_LOG_DEBUG,
              "job %s done: %u tasks, %.0f s after acceptance, deadline %.0f s, "
              "runtime estimate %.0f s",
              job->submission.job_id, job->submission.task_count, planner->wall - job->accepted_at,
              job->submission.deadline_s, job->submission.runtime_estimate_s);
}

/* Returns the zone to store in the record of a one-zone job: that of a task whose completion the
 * edit records, else the job's. Returns -1 for other jobs or if there is none. */
static int get_zone_to_record(const struct rr_record_edit *edit) {
    if (!edit->job->submission.one_zone) {
        return -1;
    }
    return edit->zone >= 0 ? edit->zone : edit->job->zone;
}

static void put_ledger_record(struct rr_planner *planner, const struct rr_record_edit *edit,
                              const char *key) {
    rr_encoder encoder;
    rr_encoder_init(&encoder);
    rr_ledger_record_encode(planner->core, &encoder, edit->job, edit->record->chunk,
                            edit->placements, edit->completed, get_zone_to_record(edit));
    rr_transaction_put(&planner->plan->transaction, key, &encoder, 0);
}

/* Adds the edited record with its guard, or its deletion if the job is final and no placement is
 * left. Also adds the final record of a job that the plan completes. */
static void put_edited_record(struct rr_planner *planner, const struct rr_record_edit *edit) {
    rr_transaction *transaction = &planner->plan->transaction;
    rr_job *job = edit->job;
    struct rr_job_progress *progress = rr_planner_job_progress(planner, job);
    bool completes_job = progress->completing_count > 0 &&
                         job->done_count + progress->completing_count >= job->submission.task_count;
    bool is_final = completes_job || job->cancelled || job->done;
    bool is_empty = edit->placements->len == 0;
    if ((is_final || job->submission.kind == RR_JOB_GANG) && is_empty &&
        edit->record->version == 0) {
        return; /* nothing to delete, or a gang whose reservations were all cancelled */
    }
    char key[KEY_BYTES_MAX];
    rr_ledger_record_key(job->submission.job_id, edit->record->chunk, key, sizeof key);
    rr_transaction_guard(transaction, key, edit->record->version);
    if (is_final && is_empty) {
        rr_transaction_delete(transaction, key);
    } else {
        put_ledger_record(planner, edit, key);
    }
    if (edit->completed->len > 0) {
        rr_planner_guard_job(planner, job);
        if (completes_job && !progress->final_record_put) {
            progress->final_record_put = true;
            put_final_record(planner, job);
        }
    }
}

/* Guards the record of each job that the transaction depends on. */
static void guard_jobs(struct rr_planner *planner) {
    char key[KEY_BYTES_MAX];
    for (guint i = 0; i < planner->guarded_jobs->len; i++) {
        const rr_job *job = g_ptr_array_index(planner->guarded_jobs, i);
        rr_core_job_key(job->submission.job_id, key, sizeof key);
        rr_transaction_guard(&planner->plan->transaction, key, job->own_record_version);
    }
}

static void delete_record(struct rr_planner *planner, const char *key, uint64_t version) {
    rr_transaction_guard(&planner->plan->transaction, key, version);
    rr_transaction_delete(&planner->plan->transaction, key);
    planner->change_count++;
}

/* Deletes ledger records that are left of final jobs of this controller's teams. */
static void delete_orphan_records(struct rr_planner *planner) {
    rr_core *core = planner->core;
    GPtrArray *keys = core->stored.orphan_record_keys;
    if (core->planning.write_pressure >= ORPHAN_DELETION_PRESSURE_MAX) {
        return;
    }
    for (guint i = keys->len; i > 0 && planner->change_count < planner->change_limit; i--) {
        rr_job *job;
        const rr_ledger_record *record = rr_orphan_record_find(core, i - 1, &job);
        if (!record || !record->version) {
            g_ptr_array_remove_index_fast(keys, i - 1);
        } else if (!job->open && !record->edit && job->team >= 0 && rr_owns_team(core, job->team)) {
            delete_record(planner, g_ptr_array_index(keys, i - 1), record->version);
        }
    }
}

/* Whether every job of the batch has its own record, which makes the batch record obsolete. */
static bool is_batch_obsolete(const rr_job_batch *batch) {
    for (guint i = 0; i < batch->jobs->len; i++) {
        if (((const rr_job *)g_ptr_array_index(batch->jobs, i))->own_record_version == 0) {
            return false;
        }
    }
    return true;
}

/* Deletes obsolete batch records, at most once per BATCH_DELETION_PERIOD_S and only on the
 * autoscaler. */
static void delete_obsolete_batches(struct rr_planner *planner) {
    rr_core *core = planner->core;
    GHashTableIter iter;
    gpointer key, value;
    if (core->planning.write_pressure > BATCH_DELETION_PRESSURE_MAX ||
        planner->now - core->planning.last_batch_deletion_at < BATCH_DELETION_PERIOD_S ||
        !rr_core_is_autoscaler(core, planner->now)) {
        return;
    }
    core->planning.last_batch_deletion_at = planner->now;
    g_hash_table_iter_init(&iter, core->stored.job_batches);
    while (planner->change_count < planner->change_limit &&
           g_hash_table_iter_next(&iter, &key, &value)) {
        if (is_batch_obsolete(value)) {
            delete_record(planner, key, ((const rr_job_batch *)value)->version);
        }
    }
}

/* Whether the edit reserves a task: it has a placement that the store cache does not show. */
static bool adds_placement(const struct rr_record_edit *edit) {
    for (guint i = 0; i < edit->placements->len; i++) {
        const rr_placement_record *record =
            &g_array_index(edit->placements, rr_placement_record, i);
        if (!rr_placement_find(record->machine, record->attempt, edit->job, record->task)) {
            return true;
        }
    }
    return false;
}

/* Logs the purposes of the plan's changes, since the store's limit on changes bounds most plans. */
static void log_plan(const struct rr_planner *planner) {
    guint reserving_count = 0, completing_count = 0, other_count = 0;
    for (guint i = 0; i < planner->edits->len; i++) {
        const struct rr_record_edit *edit = g_ptr_array_index(planner->edits, i);
        if (adds_placement(edit)) {
            reserving_count++;
        } else if (edit->completed->len > 0) {
            completing_count++;
        } else {
            other_count++;
        }
    }
    rr_log_at(planner->core, RR_LOG_DEBUG,
              "plan: %u changes: %u records add placements, %u add completions, %u others; "
              "%u placements terminated; write pressure %.2f",
              planner->plan->transaction.changes->len, reserving_count, completing_count,
              other_count, planner->terminated->len, planner->core->planning.write_pressure);
}

void rr_plan_build_transaction(struct rr_planner *planner) {
    rr_transaction *transaction = &planner->plan->transaction;
    rr_transaction_guard(transaction, RR_KEY_ROOT "term", planner->core->membership.term.version);
    for (guint i = 0; i < planner->edits->len; i++) {
        put_edited_record(planner, g_ptr_array_index(planner->edits, i));
    }
    /* With the guards of jobs, a delayed duplicate of this transaction fails even after the ledger
     * records that it guards have been deleted. */
    guard_jobs(planner);
    /* Deletions have a transaction of their own: the guard of a stale record among them must not
     * fail other changes. */
    if (transaction->changes->len == 0) {
        delete_orphan_records(planner);
        delete_obsolete_batches(planner);
    }
    planner->plan->has_transaction = transaction->changes->len > 0;
    if (planner->plan->has_transaction && planner->core->log_level >= RR_LOG_DEBUG) {
        log_plan(planner);
    }
}
