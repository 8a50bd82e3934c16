/* Reconciles machines with the ledger. Each placement of this owner gets its verdict; the commands
 * that follow go into the plan. Tasks that the ledger does not know are stopped and reaped. */
#include "core/scheduling/reconciliation.h"
#include "core/core_internal.h"
#include "core/leadership.h"
#include "core/membership/membership.h"
#include "core/scheduling/command_batches.h"
#include "core/scheduling/gang_phase.h"
#include "core/scheduling/placement_verdict.h"
#include "core/scheduling/plan_edits.h"
#include "core/state/jobs.h"
#include "core/state/ledger.h"
#include "core/state/machines.h"

/* A machine that shows more tasks than this gets every reap at once. */
#define DEFERRED_REAP_TASKS_MAX 32

static bool is_own_job(const rr_core *core, const rr_job *job) {
    return job->team >= 0 && rr_owns_team(core, job->team);
}

static void add_task_command(struct rr_planner *planner, rr_machine *machine,
                             enum rr_command_kind kind, const rr_placement *placement,
                             double grace_s) {
    rr_plan_add_command(planner, machine, kind, placement->job->submission.job_id, placement->task,
                        placement->attempt, grace_s);
}

/* True: the placement is looked at again before the machine reports anything new. */
static bool reconcile_placement(struct rr_planner *planner, rr_machine *machine,
                                rr_placement *placement) {
    const rr_task_status *task = rr_task_status_find(machine, placement);
    struct rr_placement_verdict verdict = rr_placement_verdict(planner, machine, placement, task);
    switch (verdict.action) {
    case RR_PLACEMENT_KEEP:
        return false;
    case RR_PLACEMENT_WAIT:
        break;
    case RR_PLACEMENT_RECORD:
        rr_plan_add_terminated(planner, machine, placement, verdict.completed, verdict.proof);
        break;
    case RR_PLACEMENT_START:
        add_task_command(planner, machine, RR_COMMAND_START, placement, 0);
        placement->start_at = planner->now;
        break;
    case RR_PLACEMENT_VOID_START:
        /* Started and stopped under one token, the attempt stays on the machine as exited and
         * blocks a start that arrives late. */
        add_task_command(planner, machine, RR_COMMAND_START, placement, 0);
        /* fall through */
    case RR_PLACEMENT_STOP:
        add_task_command(planner, machine, RR_COMMAND_STOP, placement, verdict.grace_s);
        placement->stop_at = planner->now;
        placement->stop_grace_s = verdict.grace_s;
        break;
    }
    return true;
}

/* Whether the reap of an exited task waits for the next command to the machine, mostly the start of
 * what takes its place, for at most a heartbeat interval: a command of its own costs a connection
 * and one more heartbeat with news for every owner. Only a completed task waits: one that is to run
 * again may be refused where the machine still shows an earlier attempt. */
static bool reap_may_wait(const struct rr_planner *planner, rr_machine *machine,
                          const rr_task_status *task) {
    if (machine->plan_commands || task->exit_reason != RR_EXIT_DONE ||
        machine->heartbeat.tasks->len > DEFERRED_REAP_TASKS_MAX) {
        return false;
    }
    machine->reap_at = machine->reap_at > 0 ? machine->reap_at : planner->now;
    return planner->now - machine->reap_at < planner->core->config->heartbeat_interval_s;
}

/* Whether this controller cleans up a task of a final job, whose team is not known any more. The
 * autoscaler stops what still runs and reaps attempts of earlier terms: the fencing token of its
 * command voids any late start of those. An exited attempt of this term is left to the controller
 * that reserved it, which alone knows whether a start may still arrive. */
static bool cleans_up_final_job(const rr_core *core, const rr_task_status *task, double now) {
    if (task->state == RR_TASK_ENDED &&
        rr_attempt_token(task->attempt) == core->membership.term.token) {
        return rr_attempt_member(task->attempt) == rr_member_index(core);
    }
    return rr_core_is_autoscaler(core, now);
}

/* Whether the task is this controller's to clean up: no placement in the ledger has its attempt. */
static bool is_own_unknown_task(const struct rr_planner *planner, const rr_machine *machine,
                                const rr_task_status *task) {
    const rr_core *core = planner->core;
    const rr_job *job = g_hash_table_lookup(core->stored.jobs, task->job_id);
    if (!job) {
        return rr_job_outcome(core, task->job_id, NULL, NULL) &&
               cleans_up_final_job(core, task, planner->now);
    }
    return is_own_job(core, job) && !rr_placement_find(machine, task->attempt, job, task->task);
}

/* Stops or reaps a task that the ledger does not know. True: the machine is looked at again. */
static bool reconcile_unknown_task(struct rr_planner *planner, rr_machine *machine,
                                   const rr_task_status *task) {
    if (!is_own_unknown_task(planner, machine, task)) {
        return false;
    }
    enum rr_command_kind kind = RR_COMMAND_STOP;
    if (task->state == RR_TASK_ENDED) {
        /* An exited attempt blocks starts of it that arrive late, so it stays until none can. */
        if (rr_start_unanswered(planner->core, machine, task->attempt)) {
            return false;
        }
        if (reap_may_wait(planner, machine, task)) {
            return true;
        }
        kind = RR_COMMAND_REAP;
    }
    rr_plan_add_command(planner, machine, kind, task->job_id, task->task, task->attempt, 0);
    return true;
}

/* Notes the end of another owner's task, whose resources are free long before its owner records it.
 */
static void observe_foreign_placement(const struct rr_planner *planner, const rr_machine *machine,
                                      rr_placement *placement) {
    const rr_task_status *task = rr_task_status_find(machine, placement);
    bool later_epoch =
        machine->heartbeat_seen && machine->heartbeat.worker_epoch > placement->worker_epoch;
    if (placement->terminated_at <= 0 && ((task && task->state == RR_TASK_ENDED) || later_epoch)) {
        placement->terminated_at = planner->now;
    }
}

static bool reconcile_placements(struct rr_planner *planner, rr_machine *machine, bool gone) {
    bool again = false;
    for (guint i = 0; i < machine->placements->len; i++) {
        rr_placement *placement = &g_array_index(machine->placements, rr_placement, i);
        if (!is_own_job(planner->core, placement->job)) {
            observe_foreign_placement(planner, machine, placement);
        } else if (gone) {
            rr_plan_add_terminated(planner, machine, placement, false, "machine gone");
            again = true;
        } else {
            again = reconcile_placement(planner, machine, placement) || again;
        }
    }
    return again;
}

/* True: the machine is looked at again with the next plan. */
static bool reconcile_machine(struct rr_planner *planner, rr_machine *machine) {
    rr_core *core = planner->core;
    /* Reservations are made on recorded machines only: one without a record is proven gone. */
    bool gone = !machine->recorded;
    core->counters.machines_visited++;
    if (!gone && (!machine->heartbeat_seen ||
                  machine->heartbeat.fencing_token > core->membership.term.token)) {
        return false; /* a heartbeat or the next term marks it again */
    }
    bool again = reconcile_placements(planner, machine, gone);
    if (gone || !rr_machine_takes_commands(planner, machine)) {
        return again || machine->command_inflight || planner->now < machine->next_command_at;
    }
    for (guint i = 0; i < machine->heartbeat.tasks->len; i++) {
        const rr_task_status *task = &g_array_index(machine->heartbeat.tasks, rr_task_status, i);
        again = reconcile_unknown_task(planner, machine, task) || again;
    }
    return again;
}

static void collect_own_gangs(const struct rr_planner *planner, const rr_machine *machine,
                              GPtrArray *gangs) {
    for (guint i = 0; i < machine->placements->len; i++) {
        rr_job *job = g_array_index(machine->placements, rr_placement, i).job;
        if (job->submission.kind == RR_JOB_GANG && is_own_job(planner->core, job) &&
            !g_ptr_array_find(gangs, job, NULL)) {
            g_ptr_array_add(gangs, job);
        }
    }
}

static void reconcile_machines_of(struct rr_planner *planner, const rr_ledger_record *record) {
    for (guint i = 0; record && i < record->placements->len; i++) {
        rr_machine *machine = g_array_index(record->placements, rr_placement_record, i).machine;
        if (!machine->dirty && reconcile_machine(planner, machine)) {
            rr_machine_mark_dirty(planner->core, machine);
        }
    }
}

/* Reconciles all machines of gangs that stop, in this plan, so that their tasks stop together. */
static void reconcile_gangs(struct rr_planner *planner, const GPtrArray *gangs) {
    for (guint i = 0; i < gangs->len; i++) {
        const rr_job *job = g_ptr_array_index(gangs, i);
        if (rr_gang_stop(planner->core, job, planner->now) == RR_GANG_STAYS) {
            continue;
        }
        for (guint chunk = 0; chunk < job->records->len; chunk++) {
            reconcile_machines_of(planner, g_ptr_array_index(job->records, chunk));
        }
    }
}

/* With a new term the ownership of teams changes, so that every machine is looked at once. */
static void mark_all_machines_in_new_term(rr_core *core) {
    if (core->membership.all_dirty_token == core->membership.term.token) {
        return;
    }
    core->membership.all_dirty_token = core->membership.term.token;
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        rr_machine_mark_dirty(core, g_ptr_array_index(core->stored.machine_list, i));
    }
}

void rr_reconcile(struct rr_planner *planner) {
    rr_core *core = planner->core;
    mark_all_machines_in_new_term(core);
    GPtrArray *dirty = core->stored.dirty_machines;
    guint count = dirty->len, kept = 0;
    GPtrArray *gangs = g_ptr_array_new(); /* rr_job* */
    for (guint i = 0; i < count; i++) {
        rr_machine *machine = g_ptr_array_index(dirty, i);
        collect_own_gangs(planner, machine, gangs);
        machine->dirty = reconcile_machine(planner, machine);
        if (machine->dirty) {
            dirty->pdata[kept++] = machine;
        }
    }
    g_ptr_array_set_size(dirty, (gint)kept);
    reconcile_gangs(planner, gangs);
    g_ptr_array_free(gangs, TRUE);
}
