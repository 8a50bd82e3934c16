/* Edits of ledger records: terminated placements leave them, completions enter them. */
#include "core/scheduling/plan_edits.h"
#include "core/core_internal.h"
#include "core/state/jobs.h"
#include "core/state/ledger.h"
#include "core/state/machines.h"

/* At full write pressure a completion waits this long for others of its job. */
#define COMPLETION_WAIT_MAX_S 40.0
/* The tasks of a gang complete together; their heartbeats arrive within this time. */
#define GANG_COMPLETION_WAIT_S 1.0
/* Below the store's limit of 64 KiB for a transaction. */
#define TRANSACTION_BYTES_MAX ((size_t)48 * 1024)
#define RECORD_OVERHEAD_BYTES 120  /* of one record in a transaction: key, guard, framing */
#define FINAL_RECORD_BYTES_MAX 200 /* of a job's final record, with its key */

bool rr_ledger_record_fits(const rr_core *core, guint placement_count) {
    return (double)rr_ledger_record_bytes(placement_count) <= rr_value_kb_max(core->config) * 1024;
}

static bool has_room(const struct rr_planner *planner, int change_count, size_t bytes) {
    return planner->change_count + change_count <= planner->change_limit &&
           planner->bytes + bytes <= TRANSACTION_BYTES_MAX;
}

guint rr_plan_terminated_count(const struct rr_planner *planner, const rr_ledger_record *record) {
    guint count = 0;
    for (guint i = record->first_terminated; i > 0; count++) {
        i = g_array_index(planner->terminated, struct rr_terminated_placement, i - 1).next;
    }
    return count;
}

bool rr_plan_can_write_record(const struct rr_planner *planner, const rr_ledger_record *record) {
    guint count = record->placements->len;
    /* Until the lower limits are seen to hold, a record may stay as large as it is. */
    if (!planner->core->stored.next_limits_in_force ||
        rr_ledger_record_fits(planner->core, count)) {
        return true;
    }
    guint terminated_count = rr_plan_terminated_count(planner, record);
    return rr_ledger_record_fits(planner->core, count - MIN(terminated_count, count));
}

/* Whether every placement of the job is known to be terminated. */
static bool all_terminated(const struct rr_planner *planner, const rr_job *job) {
    for (guint i = 0; job->records && i < job->records->len; i++) {
        const rr_ledger_record *record = g_ptr_array_index(job->records, i);
        if (record && rr_plan_terminated_count(planner, record) < record->placements->len) {
            return false;
        }
    }
    return true;
}

/* Whether terminated placements of the job may leave the ledger now. Those of a gang leave together
 * once all are terminated: no new attempt then runs beside an old one, and every owner can still
 * derive from the ledger that a task was lost. After completion or cancellation each leaves alone.
 */
static bool may_leave_ledger(const struct rr_planner *planner, const rr_job *job) {
    return job->submission.kind != RR_JOB_GANG || job->cancelled || job->done ||
           rr_planner_job(planner, job)->terminated_count > 0 || all_terminated(planner, job);
}

rr_placement_record *rr_record_edit_find(const struct rr_record_edit *edit, uint64_t attempt,
                                         uint32_t task) {
    for (guint i = 0; i < edit->placements->len; i++) {
        rr_placement_record *record = &g_array_index(edit->placements, rr_placement_record, i);
        if (record->attempt == attempt && record->task == task) {
            return record;
        }
    }
    return NULL;
}

static bool records_completion(const struct rr_record_edit *edit, uint32_t task) {
    for (guint i = 0; i < edit->completed->len; i++) {
        if (g_array_index(edit->completed, uint32_t, i) == task) {
            return true;
        }
    }
    return false;
}

/* A gang is complete once one of its tasks is. All its tasks are of one chunk. */
static void complete_gang(struct rr_record_edit *edit, struct rr_job_progress *progress) {
    progress->completing_count = edit->job->submission.task_count;
    for (uint32_t task = 0; task < edit->job->submission.task_count; task++) {
        g_array_append_val(edit->completed, task);
    }
}

/* Adds a completion to the record of the task's chunk, which may be another one than `edit`. False:
 * the transaction has no room for it. */
static bool add_completion(struct rr_planner *planner, struct rr_record_edit *edit,
                           const struct rr_terminated_placement *terminated) {
    rr_job *job = terminated->job;
    struct rr_job_progress *progress = rr_planner_job(planner, job);
    bool gang = job->submission.kind == RR_JOB_GANG;
    uint32_t chunk = terminated->task / job->tasks_per_record;
    struct rr_record_edit *home =
        edit->record->chunk == chunk ? edit : rr_plan_edit_record(planner, job, chunk);
    if (!home) {
        return false;
    }
    if ((gang && progress->completing_count > 0) || records_completion(home, terminated->task)) {
        return true;
    }
    bool last =
        gang || job->done_count + progress->completing_count + 1 >= job->submission.task_count;
    if (last && !has_room(planner, 1, FINAL_RECORD_BYTES_MAX)) {
        return false;
    }
    planner->change_count += last; /* the job's final record */
    home->zone = terminated->machine->zone;
    if (gang) {
        complete_gang(home, progress);
    } else {
        progress->completing_count++;
        g_array_append_val(home->completed, terminated->task);
    }
    return true;
}

/* Removes a terminated placement, after its completion is added where there is one to record. */
static void remove_terminated(struct rr_planner *planner, struct rr_record_edit *edit,
                              const struct rr_terminated_placement *terminated) {
    rr_job *job = terminated->job;
    if (terminated->completed && !job->cancelled && !rr_job_task_done(job, terminated->task) &&
        !add_completion(planner, edit, terminated)) {
        return;
    }
    rr_placement_record *record = rr_record_edit_find(edit, terminated->attempt, terminated->task);
    if (record) {
        const rr_placement_record *first = (rr_placement_record *)(void *)edit->placements->data;
        g_array_remove_index(edit->placements, (guint)(record - first));
    }
}

/* Removes every terminated placement from a record that this plan already writes. */
static void remove_all_terminated(struct rr_planner *planner, struct rr_record_edit *edit) {
    for (guint i = edit->record->first_terminated; i > 0;) {
        const struct rr_terminated_placement *terminated =
            &g_array_index(planner->terminated, struct rr_terminated_placement, i - 1);
        remove_terminated(planner, edit, terminated);
        i = terminated->next;
    }
}

struct rr_record_edit *rr_plan_edit_record(struct rr_planner *planner, rr_job *job,
                                           uint32_t chunk) {
    rr_ledger_record *record = rr_job_ledger_record_get(job, chunk);
    if (record->edit) {
        return record->edit;
    }
    if (!rr_plan_can_write_record(planner, record) ||
        (rr_plan_terminated_count(planner, record) > 0 && !may_leave_ledger(planner, job))) {
        return NULL;
    }
    size_t bytes = rr_ledger_record_bytes(record->placements->len + 1) + RECORD_OVERHEAD_BYTES;
    if (!has_room(planner, 1, bytes)) {
        planner->full = true;
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
    planner->bytes += bytes;
    g_ptr_array_add(planner->edits, edit);
    remove_all_terminated(planner, edit);
    return edit;
}

void rr_plan_add_terminated(struct rr_planner *planner, rr_machine *machine,
                            rr_placement *placement, bool completed, const char *proof) {
    rr_job *job = placement->job;
    if (placement->terminated_at <= 0 && !completed) {
        rr_log_at(planner->core, RR_LOG_DEBUG, "terminated %s/%u on %s: %s", job->submission.job_id,
                  placement->task, machine->name, proof);
    }
    placement->terminated_at =
        placement->terminated_at > 0 ? placement->terminated_at : planner->now;
    double wait_max_s = COMPLETION_WAIT_MAX_S * planner->core->planning.write_pressure;
    rr_ledger_record *record = rr_job_ledger_record_get(job, placement->chunk);
    struct rr_terminated_placement terminated = {
        .machine = machine,
        .job = job,
        .task = placement->task,
        .chunk = placement->chunk,
        .attempt = placement->attempt,
        .completed = completed,
        .may_wait = planner->now - placement->terminated_at < wait_max_s,
        .preempted = placement->preempt != RR_PREEMPT_NONE,
        .next = record->first_terminated};
    if (completed && !rr_job_task_done(job, placement->task)) {
        uint32_t *count = &rr_planner_job(planner, job)->terminated_count;
        *count = job->submission.kind == RR_JOB_GANG ? job->submission.task_count : *count + 1;
    }
    g_array_append_val(planner->terminated, terminated);
    record->first_terminated = planner->terminated->len;
}

/* Lets a task be placed again in the transaction that removes its terminated placement. */
static void requeue_task(struct rr_planner *planner, rr_job *job, uint32_t task) {
    struct rr_requeued_task requeued = {job, task};
    if (job->placed && task < job->submission.task_count && job->placed[task] == 1 &&
        !job->cancelled && !rr_job_task_done(job, task)) {
        job->placed[task] = 0;
        job->placed_count--;
        job->next_task_hint = MIN(job->next_task_hint, task);
        g_array_append_val(planner->requeued, requeued);
    }
}

static bool all_tasks_done(const struct rr_planner *planner, const rr_job *job) {
    return !job->cancelled && job->done_count + rr_planner_job(planner, job)->terminated_count >=
                                  job->submission.task_count;
}

/* Whether the completion of a gang's task waits for the heartbeats of the other tasks, so that one
 * change ends the gang. */
static bool waits_for_gang(const struct rr_planner *planner,
                           const struct rr_terminated_placement *terminated) {
    const rr_job *job = terminated->job;
    const rr_placement *placement =
        rr_placement_find(terminated->machine, terminated->attempt, job, terminated->task);
    return job->submission.kind == RR_JOB_GANG && terminated->completed && placement &&
           planner->now - placement->terminated_at < GANG_COMPLETION_WAIT_S &&
           !all_terminated(planner, job);
}

/* Whether the task has to run again. */
static bool is_lost(const struct rr_terminated_placement *terminated) {
    return !terminated->completed && !terminated->job->cancelled;
}

/* Whether the placement leaves the ledger in this plan, whatever else happens to its record. The
 * last completions of a job never wait, since its user does. A lost placement waits until its task
 * is placed again: removing it first would spend writes on low-priority jobs that services of high
 * priority need. */
static bool must_leave_now(const struct rr_planner *planner,
                           const struct rr_terminated_placement *terminated) {
    if (waits_for_gang(planner, terminated)) {
        return false;
    }
    return terminated->preempted ||
           (!is_lost(terminated) &&
            (!terminated->may_wait || all_tasks_done(planner, terminated->job)));
}

void rr_plan_edit_terminated(struct rr_planner *planner) {
    for (guint i = 0; i < planner->terminated->len; i++) {
        const struct rr_terminated_placement *terminated =
            &g_array_index(planner->terminated, struct rr_terminated_placement, i);
        if (is_lost(terminated) && may_leave_ledger(planner, terminated->job)) {
            requeue_task(planner, terminated->job, terminated->task);
        }
        if (must_leave_now(planner, terminated)) {
            rr_plan_edit_record(planner, terminated->job, terminated->chunk);
        }
    }
}

void rr_plan_edit_lost(struct rr_planner *planner) {
    for (guint i = 0; i < planner->terminated->len && !planner->full; i++) {
        const struct rr_terminated_placement *terminated =
            &g_array_index(planner->terminated, struct rr_terminated_placement, i);
        if (is_lost(terminated) && !terminated->may_wait) {
            rr_plan_edit_record(planner, terminated->job, terminated->chunk);
        }
    }
}
