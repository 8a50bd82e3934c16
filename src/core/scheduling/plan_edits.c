/* Edits ledger records: removes terminated placements and adds completions. */
#include "core/scheduling/plan_edits.h"
#include "core/core_internal.h"
#include "core/state/jobs.h"
#include "core/state/ledger.h"
#include "core/state/machines.h"

/* The longest time for which the removal of a terminated placement is deferred, so that one change
 * records more completions of its job. Applies at write pressure 1 and scales with the pressure. */
#define REMOVAL_DEFERRAL_MAX_S 40.0
/* The tasks of a gang complete together, and the heartbeats that report it arrive within this
 * time. */
#define GANG_COMPLETION_WAIT_S 1.0
/* Estimated size; leaves a margin below the store's limit of 64 KiB for a transaction. */
#define TRANSACTION_BYTES_MAX ((size_t)48 * 1024)
#define RECORD_OVERHEAD_BYTES 120  /* key, guard and framing of one record in a transaction */
#define FINAL_RECORD_BYTES_MAX 200 /* a job's final record with its key */

bool rr_ledger_record_fits(const rr_core *core, guint placement_count) {
    return (double)rr_ledger_record_bytes(placement_count) <= rr_value_kb_max(core->config) * 1024;
}

/* Whether the transaction has room for this many more changes and bytes. */
static bool transaction_has_room(const struct rr_planner *planner, int change_count, size_t bytes) {
    return planner->change_count + change_count <= planner->change_limit &&
           planner->transaction_bytes + bytes <= TRANSACTION_BYTES_MAX;
}

guint rr_plan_count_terminated_placements(const struct rr_planner *planner,
                                          const rr_ledger_record *record) {
    guint count = 0;
    for (guint i = record->first_terminated; i > 0; count++) {
        i = g_array_index(planner->terminated, struct rr_terminated_placement, i - 1).next_index;
    }
    return count;
}

bool rr_plan_can_write_record(const struct rr_planner *planner, const rr_ledger_record *record) {
    guint count = record->placements->len;
    /* A record may stay as large as it is until the store is seen to enforce the lower limits. */
    if (!planner->core->stored.next_limits_in_force ||
        rr_ledger_record_fits(planner->core, count)) {
        return true;
    }
    guint terminated_count = rr_plan_count_terminated_placements(planner, record);
    return rr_ledger_record_fits(planner->core, count - MIN(terminated_count, count));
}

/* Whether every placement of the job is known to be terminated. */
static bool all_placements_terminated(const struct rr_planner *planner, const rr_job *job) {
    for (guint i = 0; job->records && i < job->records->len; i++) {
        const rr_ledger_record *record = g_ptr_array_index(job->records, i);
        if (record &&
            rr_plan_count_terminated_placements(planner, record) < record->placements->len) {
            return false;
        }
    }
    return true;
}

/* Whether terminated placements of the job may be removed from the ledger now. Those of a gang are
 * removed together once all are terminated: a new attempt then never runs beside an old one, and
 * until then every owner can derive from the ledger that a task was lost. Once the gang has
 * completed or is cancelled, each is removed on its own. */
static bool may_remove_from_ledger(const struct rr_planner *planner, const rr_job *job) {
    return job->submission.kind != RR_JOB_GANG || job->cancelled || job->done ||
           rr_planner_job_progress(planner, job)->completed_count > 0 ||
           all_placements_terminated(planner, job);
}

rr_placement_record *rr_record_edit_find_placement(const struct rr_record_edit *edit,
                                                   uint64_t attempt, uint32_t task) {
    for (guint i = 0; i < edit->placements->len; i++) {
        rr_placement_record *record = &g_array_index(edit->placements, rr_placement_record, i);
        if (record->attempt == attempt && record->task == task) {
            return record;
        }
    }
    return NULL;
}

/* Whether the edit already records the completion of the task. */
static bool has_completion(const struct rr_record_edit *edit, uint32_t task) {
    for (guint i = 0; i < edit->completed->len; i++) {
        if (g_array_index(edit->completed, uint32_t, i) == task) {
            return true;
        }
    }
    return false;
}

/* Records the completion of all tasks of a gang, which is complete once one of its tasks is. All
 * its tasks are in one chunk. */
static void complete_gang(struct rr_record_edit *edit, struct rr_job_progress *progress) {
    progress->completing_count = edit->job->submission.task_count;
    for (uint32_t task = 0; task < edit->job->submission.task_count; task++) {
        g_array_append_val(edit->completed, task);
    }
}

/* Adds the task's completion to the record of its chunk, which differs from `edit` if the placement
 * is in an overflow record. Returns false if the transaction has no room for it. */
static bool add_completion(struct rr_planner *planner, struct rr_record_edit *edit,
                           const struct rr_terminated_placement *terminated) {
    rr_job *job = terminated->job;
    struct rr_job_progress *progress = rr_planner_job_progress(planner, job);
    bool gang = job->submission.kind == RR_JOB_GANG;
    uint32_t chunk = terminated->task / job->tasks_per_record;
    struct rr_record_edit *home_edit =
        edit->record->chunk == chunk ? edit : rr_plan_edit_record(planner, job, chunk);
    if (!home_edit) {
        return false;
    }
    if ((gang && progress->completing_count > 0) || has_completion(home_edit, terminated->task)) {
        return true;
    }
    bool last =
        gang || job->done_count + progress->completing_count + 1 >= job->submission.task_count;
    if (last && !transaction_has_room(planner, 1, FINAL_RECORD_BYTES_MAX)) {
        return false;
    }
    planner->change_count += last; /* the job's final record takes one more change */
    home_edit->zone = terminated->machine->zone;
    if (gang) {
        complete_gang(home_edit, progress);
    } else {
        progress->completing_count++;
        g_array_append_val(home_edit->completed, terminated->task);
    }
    return true;
}

/* Removes a terminated placement from the edit. If its task's completion has to be recorded, adds
 * it first, and keeps the placement if the transaction has no room for the completion. */
static void remove_terminated_placement(struct rr_planner *planner, struct rr_record_edit *edit,
                                        const struct rr_terminated_placement *terminated) {
    rr_job *job = terminated->job;
    if (terminated->completed && !job->cancelled && !rr_job_task_done(job, terminated->task) &&
        !add_completion(planner, edit, terminated)) {
        return;
    }
    rr_placement_record *record =
        rr_record_edit_find_placement(edit, terminated->attempt, terminated->task);
    if (record) {
        const rr_placement_record *first = (rr_placement_record *)(void *)edit->placements->data;
        g_array_remove_index(edit->placements, (guint)(record - first));
    }
}

/* Removes every placement known to be terminated from the edit. */
static void remove_all_terminated_placements(struct rr_planner *planner,
                                             struct rr_record_edit *edit) {
    for (guint i = edit->record->first_terminated; i > 0;) {
        const struct rr_terminated_placement *terminated =
            &g_array_index(planner->terminated, struct rr_terminated_placement, i - 1);
        remove_terminated_placement(planner, edit, terminated);
        i = terminated->next_index;
    }
}

struct rr_record_edit *rr_plan_edit_record(struct rr_planner *planner, rr_job *job,
                                           uint32_t chunk) {
    rr_ledger_record *record = rr_job_ledger_record_get(job, chunk);
    if (record->edit) {
        return record->edit;
    }
    if (!rr_plan_can_write_record(planner, record) ||
        (rr_plan_count_terminated_placements(planner, record) > 0 &&
         !may_remove_from_ledger(planner, job))) {
        return NULL;
    }
    size_t bytes = rr_ledger_record_bytes(record->placements->len + 1) + RECORD_OVERHEAD_BYTES;
    if (!transaction_has_room(planner, 1, bytes)) {
        planner->transaction_full = true;
        return NULL;
    }
    struct rr_record_edit *edit = g_new0(struct rr_record_edit, 1);
    edit->job = job;
    edit->record = record;
    edit->placements = g_array_copy(record->placements);
    edit->completed = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    edit->zone = -1;
    record->edit = edit;
    planner->change_count++;
    planner->transaction_bytes += bytes;
    g_ptr_array_add(planner->edits, edit);
    remove_all_terminated_placements(planner, edit);
    return edit;
}

void rr_plan_add_terminated_placement(struct rr_planner *planner, rr_machine *machine,
                                      rr_placement *placement, bool completed, const char *proof) {
    rr_job *job = placement->job;
    if (placement->terminated_at <= 0 && !completed) {
        rr_log_at(planner->core, RR_LOG_DEBUG, "terminated task %s/%u on machine %s: %s",
                  job->submission.job_id, placement->task, machine->name, proof);
    }
    placement->terminated_at =
        placement->terminated_at > 0 ? placement->terminated_at : planner->now;
    double deferral_max_s = REMOVAL_DEFERRAL_MAX_S * planner->core->planning.write_pressure;
    rr_ledger_record *record = rr_job_ledger_record_get(job, placement->chunk);
    struct rr_terminated_placement terminated = {
        .machine = machine,
        .job = job,
        .task = placement->task,
        .chunk = placement->chunk,
        .attempt = placement->attempt,
        .completed = completed,
        .removal_may_wait = planner->now - placement->terminated_at < deferral_max_s,
        .preempted = placement->preempt != RR_PREEMPT_NONE,
        .next_index = record->first_terminated};
    if (completed && !rr_job_task_done(job, placement->task)) {
        uint32_t *count = &rr_planner_job_progress(planner, job)->completed_count;
        *count = job->submission.kind == RR_JOB_GANG ? job->submission.task_count : *count + 1;
    }
    g_array_append_val(planner->terminated, terminated);
    record->first_terminated = planner->terminated->len;
}

/* Marks a task as unplaced within this plan, so that the transaction that removes its terminated
 * placement can place it again. */
static void requeue_task(struct rr_planner *planner, rr_job *job, uint32_t task) {
    struct rr_requeued_task requeued = {job, task};
    if (job->placements_per_task && task < job->submission.task_count &&
        job->placements_per_task[task] == 1 && !job->cancelled && !rr_job_task_done(job, task)) {
        job->placements_per_task[task] = 0;
        job->placed_count--;
        job->next_task_hint = MIN(job->next_task_hint, task);
        g_array_append_val(planner->requeued, requeued);
    }
}

/* Whether all tasks of the job are done, counting completions that this plan knows of. */
static bool all_tasks_done(const struct rr_planner *planner, const rr_job *job) {
    return !job->cancelled &&
           job->done_count + rr_planner_job_progress(planner, job)->completed_count >=
               job->submission.task_count;
}

/* Whether the completion of a gang's task waits for the heartbeats of the other tasks, so that one
 * change removes the whole gang. */
static bool awaits_gang_completions(const struct rr_planner *planner,
                                    const struct rr_terminated_placement *terminated) {
    const rr_job *job = terminated->job;
    const rr_placement *placement =
        rr_placement_find(terminated->machine, terminated->attempt, job, terminated->task);
    return job->submission.kind == RR_JOB_GANG && terminated->completed && placement &&
           planner->now - placement->terminated_at < GANG_COMPLETION_WAIT_S &&
           !all_placements_terminated(planner, job);
}

/* Whether the placement terminated without completing its task, which has to run again. */
static bool task_was_lost(const struct rr_terminated_placement *terminated) {
    return !terminated->completed && !terminated->job->cancelled;
}

/* Whether this plan has to remove the placement even if it does not write its record otherwise. The
 * last completions of a job are never deferred, since its user waits for them. A lost placement
 * waits until its task is placed again: removing it earlier would spend writes on low-priority jobs
 * that high-priority services need. */
static bool must_remove_now(const struct rr_planner *planner,
                            const struct rr_terminated_placement *terminated) {
    if (awaits_gang_completions(planner, terminated)) {
        return false;
    }
    return terminated->preempted ||
           (!task_was_lost(terminated) &&
            (!terminated->removal_may_wait || all_tasks_done(planner, terminated->job)));
}

void rr_plan_process_terminated_placements(struct rr_planner *planner) {
    for (guint i = 0; i < planner->terminated->len; i++) {
        const struct rr_terminated_placement *terminated =
            &g_array_index(planner->terminated, struct rr_terminated_placement, i);
        if (task_was_lost(terminated) && may_remove_from_ledger(planner, terminated->job)) {
            requeue_task(planner, terminated->job, terminated->task);
        }
        if (must_remove_now(planner, terminated)) {
            rr_plan_edit_record(planner, terminated->job, terminated->chunk);
        }
    }
}

void rr_plan_remove_lost_placements(struct rr_planner *planner) {
    for (guint i = 0; i < planner->terminated->len && !planner->transaction_full; i++) {
        const struct rr_terminated_placement *terminated =
            &g_array_index(planner->terminated, struct rr_terminated_placement, i);
        if (task_was_lost(terminated) && !terminated->removal_may_wait) {
            rr_plan_edit_record(planner, terminated->job, terminated->chunk);
        }
    }
}
