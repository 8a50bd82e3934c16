/* What each placement of this owner needs: proof that it is over, a start, a stop or a reap, and
 * what machines have that the ledger does not know. Commands go out with the plan. */
#include "core/core_internal.h"
#include "core/health/failure_detector.h"
#include "core/membership/membership.h"
#include "core/scheduling/gang_phase.h"
#include "core/scheduling/plan.h"
#include "core/state/jobs.h"
#include "core/state/ledger.h"
#include "core/state/machine_pages.h"
#include "core/state/machines.h"
#include "core/state/resources.h"
#include "core/state/transfer_holds.h"
#include "core/leadership.h"
#include "core/planning.h"

#include <math.h>
#include <string.h>

#define RESEND_S 1.5
#define REAP_TASKS 32 /* tasks shown by a machine beyond which none waits to be reaped */

/* ---- orders ---- */

rr_command_batch *rr_plan_command_batch(struct rr_planner *planner, rr_machine *machine) {
    if (machine->plan_commands) {
        return machine->plan_commands;
    }
    rr_command_batch *batch = g_new0(rr_command_batch, 1);
    g_strlcpy(batch->machine, machine->name, sizeof batch->machine);
    g_strlcpy(batch->address, machine->address, sizeof batch->address);
    batch->fencing_token = planner->core->membership.term.token;
    batch->worker_epoch = machine->heartbeat.worker_epoch;
    batch->commands = g_array_new(FALSE, TRUE, sizeof(rr_command));
    batch->fallback = machine->heard_via;
    batch->via = machine->heard_via >= 0 && planner->now < machine->direct_path_bad_until
                     ? machine->heard_via
                     : -1;
    batch->may_time_out =
        machine->unanswered > 0 ||
        rr_heartbeat_age(machine, planner->now) > 1.3 * planner->core->config->heartbeat_interval_s;
    machine->plan_commands = batch;
    g_ptr_array_add(planner->plan->command_batches, batch);
    return batch;
}

static void add_command(struct rr_planner *planner, rr_machine *machine,
                        enum rr_command_kind command_kind, const char *job_id, uint32_t task,
                        uint64_t attempt, double grace_s) {
    rr_command command = {
        .kind = command_kind, .task = task, .attempt = attempt, .grace_s = grace_s};
    g_strlcpy(command.job_id, job_id, sizeof command.job_id);
    g_array_append_val(rr_plan_command_batch(planner, machine)->commands, command);
}

/* An attempt's start may be under way still: it went unanswered under this token and worker_epoch.
 */
static bool start_lost(const rr_core *core, const rr_machine *machine, uint64_t attempt) {
    return machine->unanswered_starts_token == core->membership.term.token &&
           machine->unanswered_starts_epoch == machine->heartbeat.worker_epoch &&
           g_hash_table_contains(machine->unanswered_starts, &attempt);
}

static const char *exit_reason_name(enum rr_exit_reason exit_reason) {
    static const char *const names[] = {"ended",  "done",    "halted", "error",      "full",
                                        "in use", "no such", "peers",  "incomplete", "ended"};
    return names[exit_reason];
}

/* ---- what a placement needs ---- */

static bool older_in(const rr_ledger_record *record, const rr_placement *placement) {
    for (guint i = 0; i < record->placements->len; i++) {
        const rr_placement_record *item =
            &g_array_index(record->placements, rr_placement_record, i);
        if (item->task == placement->task && item->attempt < placement->attempt) {
            return true;
        }
    }
    return false;
}

/* The older placement of a task is the live one; a newer one waits for its end (moves: the
 * destination is reserved first). */
static bool has_older(const rr_placement *placement) {
    rr_job *job = placement->job;
    if (!job->placed || placement->task >= job->submission.task_count ||
        job->placed[placement->task] < 2) {
        return false;
    }
    if (older_in(rr_job_ledger_record(job, placement->task / job->tasks_per_record), placement)) {
        return true;
    }
    for (guint i = rr_job_chunks(job); i < job->records->len; i++) { /* overflow records */
        const rr_ledger_record *record = g_ptr_array_index(job->records, i);
        if (record && older_in(record, placement)) {
            return true;
        }
    }
    return false;
}

static bool unwanted(const struct rr_planner *planner, const rr_machine *machine,
                     const rr_placement *placement) {
    bool saving;
    if (placement->job->submission.kind == RR_JOB_GANG &&
        rr_gang_stops(planner->core, placement->job, planner->now, &saving)) {
        return true;
    }
    return placement->job->cancelled || rr_job_revoked(planner->core, placement->job) ||
           rr_job_task_done(placement->job, placement->task) || placement->preempt ||
           machine->heartbeat.spot_notice_s >= 0;
}

/* Time to save: what the aim of the work that waits, or the notice, leaves. */
static double leave_for(const struct rr_planner *planner, const rr_machine *machine,
                        const rr_placement *placement) {
    bool saving = true;
    if (placement->job->cancelled || placement->job->done ||
        rr_job_revoked(planner->core, placement->job) ||
        placement->job->submission.checkpoint_interval_s <= 0) {
        return 0;
    }
    /* A gang saves whole: who has saved waits for those that were told last. */
    if (placement->job->submission.kind == RR_JOB_GANG) {
        rr_gang_stops(planner->core, placement->job, planner->now, &saving);
        return saving ? placement->job->submission.save_s + planner->core->config->gang_peer_s : 0;
    }
    if (placement->preempt == RR_PREEMPT_AT_ONCE) {
        return 0;
    }
    double leave = placement->job->submission.save_s + 2;
    if (machine->heartbeat.spot_notice_s >= 0 && machine->heartbeat.spot_notice_s < leave) {
        leave = fmax(machine->heartbeat.spot_notice_s, 0);
    }
    return leave;
}

static void stop_placement(struct rr_planner *planner, rr_machine *machine, rr_placement *placement,
                           const rr_task_status *task) {
    double leave = leave_for(planner, machine, placement);
    /* A task that is saving is left to it, unless its user has cancelled the job. */
    if (placement->stop_at > 0 && planner->now - placement->stop_at < RESEND_S) {
        return;
    }
    if (task && task->state == RR_TASK_SAVING && leave > 0) {
        return;
    }
    /* Told to save, a gang is left to it for as long as that takes: another stop without grace, as
     * one exits and the gang counts as lost, would undo what the others save. */
    if (placement->job->submission.kind == RR_JOB_GANG && placement->stop_grace_s > 0 &&
        !placement->job->cancelled && planner->now - placement->stop_at < placement->stop_grace_s) {
        return;
    }
    if (!task && !start_lost(planner->core, machine, placement->attempt)) {
        return;
    }
    if (!task) {
        /* An unanswered start may come late. Started and stopped under one token, the attempt
         * stays on the machine as exited and blocks the late copy. */
        add_command(planner, machine, RR_COMMAND_START, placement->job->submission.job_id,
                    placement->task, placement->attempt, 0);
        leave = 0;
    }
    add_command(planner, machine, RR_COMMAND_STOP, placement->job->submission.job_id,
                placement->task, placement->attempt, leave);
    placement->stop_at = planner->now;
    placement->stop_grace_s = leave;
}

/* Booked over others that are to go first: the machine would refuse it now. Where nothing is to go,
 * two owners reserved the same room, and the worker decides between them. */
static bool room_coming(const rr_core *core, const rr_machine *machine) {
    bool leaving = false;
    rr_resources used = machine->used;
    for (guint i = 0; i < machine->placements->len; i++) {
        const rr_placement *other = &g_array_index(machine->placements, rr_placement, i);
        bool over = other->terminated_at > 0;
        used = over ? rr_resources_add(used, other->job->request, -1) : used;
        leaving = leaving || (!over && (other->preempt || other->job->cancelled));
    }
    return leaving && !rr_resources_fit(used, rr_machine_capacity(core, machine));
}

static void start_placement(struct rr_planner *planner, rr_machine *machine,
                            rr_placement *placement) {
    if (placement->start_at > 0 && planner->now - placement->start_at < RESEND_S) {
        return;
    }
    if (room_coming(planner->core, machine) || has_older(placement) || machine->scaling_in) {
        return;
    }
    add_command(planner, machine, RR_COMMAND_START, placement->job->submission.job_id,
                placement->task, placement->attempt, 0);
    placement->start_at = planner->now;
}

/* True: it is to be looked at again before the machine reports anything new. */
static bool reconcile_placement(struct rr_planner *planner, rr_machine *machine,
                                rr_placement *placement) {
    const rr_core *core = planner->core;
    const rr_task_status *task = rr_task_status_find(machine, placement);
    if (machine->heartbeat.worker_epoch > placement->worker_epoch) {
        /* The worker killed and forgot everything of the earlier worker_epoch, and commands for it
         * are refused. */
        rr_plan_terminated(planner, machine, placement,
                           task && task->state == RR_TASK_ENDED &&
                               task->exit_reason == RR_EXIT_DONE,
                           "later worker epoch");
        return true;
    }
    if (task && task->state == RR_TASK_ENDED) {
        /* Shown as exited it can't start again before it is reaped, and that comes after this. */
        rr_plan_terminated(planner, machine, placement, task->exit_reason == RR_EXIT_DONE,
                           exit_reason_name(task->exit_reason));
        return true;
    }
    bool stop = unwanted(planner, machine, placement);
    if (task && !stop) {
        return false;
    }
    if (machine->command_inflight || planner->now < machine->next_command_at ||
        !rr_machine_heartbeat_recent(core, machine, planner->now)) {
        return true;
    }
    if (!stop) {
        start_placement(planner, machine, placement);
        return true;
    }
    /* Absent in a report that knows the present token, with no start of this term under way: it
     * never will be there. */
    if (!task && machine->heartbeat.fencing_token == core->membership.term.token &&
        !start_lost(core, machine, placement->attempt)) {
        rr_plan_terminated(planner, machine, placement, false, "absent");
    } else {
        stop_placement(planner, machine, placement, task);
    }
    return true;
}

/* An exited task takes no room. Its reap goes with the next command to the machine, mostly the
 * start of what takes its place, or after a report interval: a command of its own costs a
 * connection, and one more report with news that every owner has to hear. Only what is done for
 * good waits: a task that is to run again may be refused where an earlier attempt of it is still
 * shown. */
static bool reap_may_wait(const struct rr_planner *planner, rr_machine *machine,
                          const rr_task_status *task) {
    if (machine->plan_commands || task->exit_reason != RR_EXIT_DONE ||
        machine->heartbeat.tasks->len > REAP_TASKS) {
        return false;
    }
    machine->reap_at = machine->reap_at > 0 ? machine->reap_at : planner->now;
    return planner->now - machine->reap_at < planner->core->config->heartbeat_interval_s;
}

/* Of a job kept as a line the team is not known any more. The autoscaler stops what still runs,
 * and clears what an earlier term started: the command's token voids any start of it that comes
 * late. An exited attempt of this term is left to the controller that made it, which alone knows
 * whether a copy of its start may still be on its way and has to find the attempt there. */
static bool clears_line(const rr_core *core, const rr_task_status *task, double now) {
    if (task->state == RR_TASK_ENDED &&
        rr_attempt_token(task->attempt) == core->membership.term.token) {
        return rr_attempt_member(task->attempt) == rr_member_index(core);
    }
    return rr_core_is_autoscaler(core, now);
}

/* Tasks on the machine that the ledger does not know: exited ones are reaped, others stopped. */
static bool reconcile_stray(struct rr_planner *planner, rr_machine *machine,
                            const rr_task_status *task) {
    const rr_core *core = planner->core;
    rr_job *job = g_hash_table_lookup(core->stored.jobs, task->job_id);
    bool ours =
        job ? job->team >= 0 && rr_owns_team(core, job->team)
            : rr_job_final(core, task->job_id, NULL, NULL) && clears_line(core, task, planner->now);
    if (!ours || (job && rr_placement_find(machine, task->attempt, job, task->task))) {
        return false;
    }
    if (task->state != RR_TASK_ENDED) {
        add_command(planner, machine, RR_COMMAND_STOP, task->job_id, task->task, task->attempt, 0);
        return true;
    }
    /* While a copy of its start may come late, the exited attempt stays and blocks it. */
    if (start_lost(core, machine, task->attempt)) {
        return false;
    }
    if (reap_may_wait(planner, machine, task)) {
        return true;
    }
    add_command(planner, machine, RR_COMMAND_REAP, task->job_id, task->task, task->attempt, 0);
    return true;
}

/* Another owner's task: that it is over makes room, long before its owner records it. */
static void see_terminated(const struct rr_planner *planner, const rr_machine *machine,
                           rr_placement *placement) {
    const rr_task_status *task = rr_task_status_find(machine, placement);
    if (placement->terminated_at <= 0 &&
        ((task && task->state == RR_TASK_ENDED) ||
         (machine->heartbeat_seen && machine->heartbeat.worker_epoch > placement->worker_epoch))) {
        placement->terminated_at = planner->now;
    }
}

/* True: to be looked at again with the next plan. */
static bool reconcile(struct rr_planner *planner, rr_machine *machine) {
    rr_core *core = planner->core;
    bool again = false;
    core->counters.machines_visited++;
    /* A reservation is made on a recorded machine only; one whose record has gone is proven gone.
     */
    bool gone = !machine->recorded;
    if (!gone && (!machine->heartbeat_seen ||
                  machine->heartbeat.fencing_token > core->membership.term.token)) {
        return false; /* a report or the next term brings it back */
    }
    for (guint i = 0; i < machine->placements->len; i++) {
        rr_placement *placement = &g_array_index(machine->placements, rr_placement, i);
        if (placement->job->team < 0 || !rr_owns_team(core, placement->job->team)) {
            see_terminated(planner, machine, placement);
            continue;
        }
        if (gone) {
            rr_plan_terminated(planner, machine, placement, false,
                               "machine gone"); /* proven by its record's end */
            again = true;
        } else {
            again = reconcile_placement(planner, machine, placement) || again;
        }
    }
    if (gone || machine->command_inflight || planner->now < machine->next_command_at ||
        !rr_machine_heartbeat_recent(core, machine, planner->now)) {
        return again || machine->command_inflight || planner->now < machine->next_command_at;
    }
    for (guint i = 0; i < machine->heartbeat.tasks->len; i++) {
        again = reconcile_stray(planner, machine,
                                &g_array_index(machine->heartbeat.tasks, rr_task_status, i)) ||
                again;
    }
    return again;
}

/* Gangs of ours with a task on a machine that something happened to. */
static void note_gangs(const struct rr_planner *planner, const rr_machine *machine,
                       GPtrArray *gangs) {
    for (guint i = 0; i < machine->placements->len; i++) {
        rr_job *job = g_array_index(machine->placements, rr_placement, i).job;
        if (job->submission.kind == RR_JOB_GANG && job->team >= 0 &&
            rr_owns_team(planner->core, job->team) && !g_ptr_array_find(gangs, job, NULL)) {
            g_ptr_array_add(gangs, job);
        }
    }
}

static void reconcile_running(struct rr_planner *planner, const rr_ledger_record *run) {
    for (guint k = 0; run && k < run->placements->len; k++) {
        rr_machine *machine = g_array_index(run->placements, rr_placement_record, k).machine;
        if (!machine->dirty && reconcile(planner, machine)) {
            rr_mark_dirty(planner->core, machine);
        }
    }
}

/* What happened to one task of a gang is to be seen on the machines of all, and now: they stop in
 * the same moment. */
static void reconcile_gangs(struct rr_planner *planner, const GPtrArray *gangs) {
    bool saving;
    for (guint i = 0; i < gangs->len; i++) {
        rr_job *job = g_ptr_array_index(gangs, i);
        if (!rr_gang_stops(planner->core, job, planner->now, &saving)) {
            continue;
        }
        for (guint index = 0; index < job->records->len; index++) {
            reconcile_running(planner, g_ptr_array_index(job->records, index));
        }
    }
}

void rr_reconcile(struct rr_planner *planner) {
    rr_core *core = planner->core;
    if (core->membership.all_dirty_token != core->membership.term.token) {
        core->membership.all_dirty_token = core->membership.term.token;
        for (guint i = 0; i < core->stored.machine_list->len; i++) {
            rr_mark_dirty(core, g_ptr_array_index(core->stored.machine_list, i));
        }
    }
    guint count = core->stored.dirty_machines->len, kept = 0;
    GPtrArray *gangs = g_ptr_array_new(); /* rr_job* */
    for (guint i = 0; i < count; i++) {
        rr_machine *machine = g_ptr_array_index(core->stored.dirty_machines, i);
        note_gangs(planner, machine, gangs);
        machine->dirty = reconcile(planner, machine);
        if (machine->dirty) {
            core->stored.dirty_machines->pdata[kept++] = machine;
        }
    }
    g_ptr_array_set_size(core->stored.dirty_machines, (gint)kept);
    reconcile_gangs(planner, gangs);
    g_ptr_array_free(gangs, TRUE);
}
