/* Reconciles machines with the ledger. Decides what each placement of this controller's teams needs
 * and adds the resulting commands to the plan. Stops and reaps tasks that are not in the ledger. */
#include "core/scheduling/reconciliation.h"
#include "core/core_internal.h"
#include "core/leadership.h"
#include "core/membership/membership.h"
#include "core/scheduling/command_batches.h"
#include "core/scheduling/gang_phase.h"
#include "core/scheduling/late_start_blocks.h"
#include "core/scheduling/placement_verdict.h"
#include "core/scheduling/plan_edits.h"
#include "core/state/job_outcomes.h"
#include "core/state/jobs.h"
#include "core/state/ledger.h"
#include "core/state/machines.h"

/* On a machine that reports more tasks than this, exited tasks are reaped without delay. */
#define DEFERRED_REAP_TASKS_MAX 32
/* After a new term the reaps of all machines are spread over this many heartbeat intervals. */
#define REAP_SPREAD_INTERVALS 8

/* Whether this controller owns the job's team. */
static bool owns_job(const rr_core *core, const rr_job *job) {
    return job->team >= 0 && rr_owns_team(core, job->team);
}

/* Adds a command for the placement's task, with the verdict's grace and reason. */
static void add_task_command(struct rr_planner *planner, rr_machine *machine,
                             enum rr_command_kind kind, const rr_placement *placement,
                             const struct rr_placement_verdict *verdict) {
    rr_command command = {.kind = kind,
                          .task = placement->task,
                          .attempt = placement->attempt,
                          .grace_s = verdict->grace_s};
    g_strlcpy(command.job_id, placement->job->submission.job_id, sizeof command.job_id);
    rr_plan_add_command(planner, machine, &command, verdict->reason);
}

/* Acts on the verdict on one placement. Returns whether to reconcile the machine again in the next
 * plan, even if it reports nothing new until then. */
static bool reconcile_placement(struct rr_planner *planner, rr_machine *machine,
                                rr_placement *placement) {
    const rr_task_status *task = rr_task_status_find(machine, placement);
    struct rr_placement_verdict verdict = rr_decide_placement(planner, machine, placement, task);
    switch (verdict.action) {
    case RR_PLACEMENT_KEEP:
        return false;
    case RR_PLACEMENT_WAIT:
        break;
    case RR_PLACEMENT_TERMINATED:
        rr_plan_add_terminated_placement(planner, machine, placement, verdict.completed,
                                         verdict.reason);
        break;
    case RR_PLACEMENT_START:
        add_task_command(planner, machine, RR_COMMAND_START, placement, &verdict);
        placement->start_at = planner->now;
        break;
    case RR_PLACEMENT_INVALIDATE_START:
        /* Starting and stopping the attempt under the same fencing token leaves it on the machine
         * as exited, which blocks an earlier start command that arrives late. */
        add_task_command(planner, machine, RR_COMMAND_START, placement, &verdict);
        /* fall through */
    case RR_PLACEMENT_STOP:
        add_task_command(planner, machine, RR_COMMAND_STOP, placement, &verdict);
        placement->stop_at = planner->now;
        placement->stop_grace_s = verdict.grace_s;
        break;
    }
    return true;
}

/* Whether the reap of an exited task may wait for the next command to the machine, usually the
 * start of the task that replaces it. The reap waits for at most REAP_SPREAD_INTERVALS heartbeat
 * intervals, by machine, which start with the first call. A separate command would cost a
 * connection and one more changed heartbeat for every owner. Only the reap of a completed task
 * waits: a task that has to run again may be refused by a machine that still shows an earlier
 * attempt. */
static bool may_defer_reap(const struct rr_planner *planner, rr_machine *machine,
                           const rr_task_status *task) {
    if (machine->plan_commands || task->exit_reason != RR_EXIT_DONE ||
        machine->heartbeat.tasks->len > DEFERRED_REAP_TASKS_MAX) {
        return false;
    }
    machine->reap_deferred_since =
        machine->reap_deferred_since > 0 ? machine->reap_deferred_since : planner->now;
    int intervals = 1 + machine->id % REAP_SPREAD_INTERVALS;
    return planner->now - machine->reap_deferred_since <
           intervals * planner->core->config->heartbeat_interval_s;
}

/* Whether this controller cleans up a task of an evicted job, whose team is not known any more. The
 * autoscaler does: it stops tasks that still run, and reaps ended attempts once every start command
 * of the job carries an older fencing token than the reap, so that workers refuse a late copy. */
static bool must_clean_up_evicted_job(const rr_core *core, const rr_task_status *task, double now) {
    bool reapable =
        task->state != RR_TASK_ENDED || rr_job_evicted_in_earlier_term(core, task->job_id);
    return reapable && rr_core_is_autoscaler(core, now);
}

/* Whether this controller has to clean up the task, because its attempt has no placement in the
 * ledger. */
static bool must_clean_up_task(const struct rr_planner *planner, const rr_machine *machine,
                               const rr_task_status *task) {
    const rr_core *core = planner->core;
    const rr_job *job = g_hash_table_lookup(core->stored.jobs, task->job_id);
    if (!job) {
        return rr_job_outcome(core, task->job_id, NULL, NULL) &&
               must_clean_up_evicted_job(core, task, planner->now);
    }
    return owns_job(core, job) && !rr_placement_find(machine, task->attempt, job, task->task);
}

/* Adds a command for a reported task that is not in the ledger. */
static void add_unknown_task_command(struct rr_planner *planner, rr_machine *machine,
                                     enum rr_command_kind kind, const rr_task_status *task,
                                     const char *reason) {
    rr_command command = {.kind = kind, .task = task->task, .attempt = task->attempt};
    g_strlcpy(command.job_id, task->job_id, sizeof command.job_id);
    rr_plan_add_command(planner, machine, &command, reason);
}

/* Stops a task that runs without a placement, and logs that, since it is not expected. */
static void stop_unknown_task(struct rr_planner *planner, rr_machine *machine,
                              const rr_task_status *task) {
    rr_core *core = planner->core;
    core->counters.unplaced_tasks_stopped++;
    rr_log_at(core, RR_LOG_INFO,
              "task %s/%u attempt %" G_GUINT64_FORMAT
              " is not in the ledger but runs on machine %s: stopping it",
              task->job_id, task->task, task->attempt, machine->name);
    add_unknown_task_command(planner, machine, RR_COMMAND_STOP, task, "not in the ledger");
}

/* Stops or reaps a task that is not in the ledger. Returns whether to reconcile the machine again
 * in the next plan. */
static bool reconcile_unknown_task(struct rr_planner *planner, rr_machine *machine,
                                   const rr_task_status *task) {
    if (!must_clean_up_task(planner, machine, task)) {
        return false;
    }
    if (task->state != RR_TASK_ENDED) {
        stop_unknown_task(planner, machine, task);
        return true;
    }
    /* An ended attempt blocks late starts of it, so it is kept while one may arrive. */
    if (rr_start_may_arrive(planner->core, machine, task->attempt)) {
        return false;
    }
    if (!may_defer_reap(planner, machine, task)) {
        add_unknown_task_command(planner, machine, RR_COMMAND_REAP, task,
                                 "ended, and no start of it carries this token");
    }
    return true;
}

/* Sets terminated_at of another owner's placement once its task has ended: its resources are free
 * long before the owner records the end in the ledger. */
static void record_foreign_termination(const struct rr_planner *planner, const rr_machine *machine,
                                       rr_placement *placement) {
    const rr_task_status *task = rr_task_status_find(machine, placement);
    bool later_epoch =
        machine->heartbeat_seen && machine->heartbeat.worker_epoch > placement->worker_epoch;
    if (placement->terminated_at <= 0 && ((task && task->state == RR_TASK_ENDED) || later_epoch)) {
        placement->terminated_at = planner->now;
    }
}

/* Reconciles all placements on the machine. gone: the machine is proven gone, and its tasks with
 * it. Returns whether to reconcile the machine again in the next plan. */
static bool reconcile_placements(struct rr_planner *planner, rr_machine *machine, bool gone) {
    bool revisit = false;
    for (guint i = 0; i < machine->placements->len; i++) {
        rr_placement *placement = &g_array_index(machine->placements, rr_placement, i);
        if (!owns_job(planner->core, placement->job)) {
            record_foreign_termination(planner, machine, placement);
        } else if (gone) {
            rr_plan_add_terminated_placement(planner, machine, placement, false, "machine gone");
            revisit = true;
        } else {
            revisit = reconcile_placement(planner, machine, placement) || revisit;
        }
    }
    return revisit;
}

/* Reconciles the machine's placements and the tasks it reports. Returns whether to do so again in
 * the next plan. */
static bool reconcile_machine(struct rr_planner *planner, rr_machine *machine) {
    rr_core *core = planner->core;
    /* Only machines with a record get reservations, so one without a record is proven gone. */
    bool gone = !machine->recorded;
    core->counters.machines_examined++;
    if (!gone && (!machine->heartbeat_seen ||
                  machine->heartbeat.fencing_token > core->membership.term.token)) {
        return false; /* a heartbeat or the next term will mark it dirty */
    }
    bool revisit = reconcile_placements(planner, machine, gone);
    if (gone || !rr_machine_accepts_commands(planner, machine)) {
        return revisit || machine->command_inflight || planner->now < machine->next_command_at;
    }
    for (guint i = 0; i < machine->heartbeat.tasks->len; i++) {
        const rr_task_status *task = &g_array_index(machine->heartbeat.tasks, rr_task_status, i);
        revisit = reconcile_unknown_task(planner, machine, task) || revisit;
    }
    return rr_request_term_for_blocked_starts(planner, machine) || revisit;
}

/* Adds the gangs of this controller's teams that have placements on the machine to `gangs`. */
static void collect_own_gangs(const struct rr_planner *planner, const rr_machine *machine,
                              GPtrArray *gangs) {
    for (guint i = 0; i < machine->placements->len; i++) {
        rr_job *job = g_array_index(machine->placements, rr_placement, i).job;
        if (job->submission.kind == RR_JOB_GANG && owns_job(planner->core, job) &&
            !g_ptr_array_find(gangs, job, NULL)) {
            g_ptr_array_add(gangs, job);
        }
    }
}

/* Reconciles the machines of the record's placements, except those that are marked dirty. */
static void reconcile_record_machines(struct rr_planner *planner, const rr_ledger_record *record) {
    for (guint i = 0; record && i < record->placements->len; i++) {
        rr_machine *machine = g_array_index(record->placements, rr_placement_record, i).machine;
        if (!machine->dirty && reconcile_machine(planner, machine)) {
            rr_machine_mark_dirty(planner->core, machine);
        }
    }
}

/* Reconciles all machines of stopping gangs in this plan, so that the tasks of a gang stop
 * together. */
static void reconcile_gangs(struct rr_planner *planner, const GPtrArray *gangs) {
    for (guint i = 0; i < gangs->len; i++) {
        const rr_job *job = g_ptr_array_index(gangs, i);
        if (rr_derive_gang_stop_mode(planner->core, job, planner->now) == RR_GANG_STOP_NONE) {
            continue;
        }
        for (guint chunk = 0; chunk < job->records->len; chunk++) {
            reconcile_record_machines(planner, g_ptr_array_index(job->records, chunk));
        }
    }
}

/* Marks every machine dirty once per term, since the ownership of teams changes with the term, and
 * so does which ended attempts may be reaped. */
static void mark_all_machines_dirty_in_new_term(const struct rr_planner *planner) {
    rr_core *core = planner->core;
    if (core->membership.fully_dirty_token == core->membership.term.token) {
        return;
    }
    core->membership.fully_dirty_token = core->membership.term.token;
    core->planning.term_planned_since = planner->now;
    core->planning.starts_in_term = 0;
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        rr_machine_mark_dirty(core, g_ptr_array_index(core->stored.machine_list, i));
    }
}

void rr_reconcile_machines(struct rr_planner *planner) {
    rr_core *core = planner->core;
    mark_all_machines_dirty_in_new_term(planner);
    GPtrArray *dirty = core->stored.dirty_machines;
    guint count = dirty->len, kept_count = 0;
    GPtrArray *gangs = g_ptr_array_new(); /* rr_job* */
    for (guint i = 0; i < count; i++) {
        rr_machine *machine = g_ptr_array_index(dirty, i);
        collect_own_gangs(planner, machine, gangs);
        machine->dirty = reconcile_machine(planner, machine);
        if (machine->dirty) {
            dirty->pdata[kept_count++] = machine;
        }
    }
    g_ptr_array_set_size(dirty, (gint)kept_count);
    reconcile_gangs(planner, gangs);
    g_ptr_array_free(gangs, TRUE);
    rr_request_term_for_many_starts(planner);
}
