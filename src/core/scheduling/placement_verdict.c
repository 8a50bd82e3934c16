/* Decides what to do about one placement: keep, start, stop, or record it as terminated. A
 * placement counts as terminated only on proof; missing heartbeats prove nothing. */
#include "core/scheduling/placement_verdict.h"
#include "core/core_internal.h"
#include "core/health/failure_detector.h"
#include "core/membership/membership.h"
#include "core/scheduling/gang_phase.h"
#include "core/state/jobs.h"
#include "core/state/ledger.h"
#include "core/state/machines.h"
#include "core/state/resources.h"
#include "core/state/transfer_holds.h"

#include <math.h>

#define STOP_ROUND_TRIP_S 2.0 /* added to the time that the task needs to save its state */

/* Returns the log text for an exit reason. */
static const char *exit_reason_name(enum rr_exit_reason exit_reason) {
    static const char *const names[] = {"ended",  "done",    "stopped",    "error",      "full",
                                        "in use", "no such", "peers lost", "incomplete", "ended"};
    return names[exit_reason];
}

bool rr_start_may_arrive(const rr_core *core, const rr_machine *machine, uint64_t attempt) {
    return machine->sent_starts_token == core->membership.term.token &&
           machine->sent_starts_epoch == machine->heartbeat.worker_epoch &&
           g_hash_table_contains(machine->sent_starts, &attempt);
}

bool rr_machine_accepts_commands(const struct rr_planner *planner, const rr_machine *machine) {
    return !machine->command_inflight && planner->now >= machine->next_command_at &&
           rr_machine_heartbeat_recent(planner->core, machine, planner->now);
}

/* Whether the record has a placement of the same task under an older attempt. */
static bool record_has_older_attempt(const rr_ledger_record *record,
                                     const rr_placement *placement) {
    for (guint i = 0; i < record->placements->len; i++) {
        const rr_placement_record *other =
            &g_array_index(record->placements, rr_placement_record, i);
        if (other->task == placement->task && other->attempt < placement->attempt) {
            return true;
        }
    }
    return false;
}

/* Whether the ledger has an older placement of the task, which is the active one: a move reserves
 * its destination first, and the newer placement waits until the older one is terminated. */
static bool has_older_attempt(const rr_placement *placement) {
    rr_job *job = placement->job;
    if (!job->placements_per_task || placement->task >= job->submission.task_count ||
        job->placements_per_task[placement->task] < 2) {
        return false;
    }
    uint32_t chunk = placement->task / job->tasks_per_record;
    if (record_has_older_attempt(rr_job_ledger_record_get(job, chunk), placement)) {
        return true;
    }
    for (guint i = rr_job_count_chunks(job); i < job->records->len; i++) { /* overflow records */
        const rr_ledger_record *record = g_ptr_array_index(job->records, i);
        if (record && record_has_older_attempt(record, placement)) {
            return true;
        }
    }
    return false;
}

/* Whether a start has to wait until placements that are being stopped free their resources, since
 * the machine would refuse it before. If the machine is overcommitted and no placement is being
 * stopped, two owners have reserved the same resources, and the worker decides. */
static bool must_wait_for_stops(const rr_core *core, const rr_machine *machine) {
    bool any_stopping = false;
    rr_resources used = machine->used;
    for (guint i = 0; i < machine->placements->len; i++) {
        const rr_placement *other = &g_array_index(machine->placements, rr_placement, i);
        if (other->terminated_at > 0) {
            used = rr_resources_add(used, other->job->request, -1);
        } else if (other->preempt || other->job->cancelled) {
            any_stopping = true;
        }
    }
    return any_stopping && !rr_resources_fit(used, rr_machine_capacity(core, machine));
}

/* Returns why the placement's task must be stopped if it runs, and must not be started. NULL: it
 * may run. */
static const char *find_stop_reason(const struct rr_planner *planner, const rr_machine *machine,
                                    const rr_placement *placement,
                                    enum rr_gang_stop_mode gang_stop) {
    const rr_job *job = placement->job;
    if (job->cancelled) {
        return "job cancelled";
    }
    if (rr_job_revoked(planner->core, job)) {
        return "job revoked by another cell";
    }
    if (rr_job_task_done(job, placement->task)) {
        return "task done";
    }
    if (gang_stop != RR_GANG_STOP_NONE) {
        return "gang stopping";
    }
    if (placement->preempt) {
        return "preempted";
    }
    return machine->heartbeat.spot_notice_s >= 0 ? "spot notice" : NULL;
}

/* Returns the time that a stopped task gets to save its state, 0: none. */
static double compute_stop_grace_s(const struct rr_planner *planner, const rr_machine *machine,
                                   const rr_placement *placement,
                                   enum rr_gang_stop_mode gang_stop) {
    const rr_job *job = placement->job;
    if (job->cancelled || job->done || rr_job_revoked(planner->core, job) ||
        job->submission.checkpoint_interval_s <= 0) {
        return 0;
    }
    /* A gang's task that has saved its state waits for the tasks that got the command last. */
    if (job->submission.kind == RR_JOB_GANG) {
        return gang_stop == RR_GANG_STOP_SAVING
                   ? job->submission.checkpoint_save_s + planner->core->config->gang_peer_s
                   : 0;
    }
    if (placement->preempt == RR_PREEMPT_AT_ONCE) {
        return 0;
    }
    double grace_s = job->submission.checkpoint_save_s + STOP_ROUND_TRIP_S;
    double notice_s = machine->heartbeat.spot_notice_s;
    return notice_s >= 0 && notice_s < grace_s ? fmax(notice_s, 0) : grace_s;
}

/* Whether no stop command is to be sent now, because one was sent recently or the task is saving
 * its state. */
static bool is_stop_pending(const struct rr_planner *planner, const rr_placement *placement,
                            const rr_task_status *task, double grace_s) {
    double stop_age_s = planner->now - placement->stop_at;
    if (placement->stop_at > 0 && stop_age_s < RR_COMMAND_RESEND_S) {
        return true;
    }
    if (task && task->state == RR_TASK_SAVING && grace_s > 0) {
        return true;
    }
    /* A gang that was stopped with grace counts as lost once its first task exits. A second stop
     * without grace would end the other tasks before they have saved their state. */
    return placement->job->submission.kind == RR_JOB_GANG && placement->stop_grace_s > 0 &&
           !placement->job->cancelled && stop_age_s < placement->stop_grace_s;
}

static struct rr_placement_verdict make_verdict(enum rr_placement_action action) {
    return (struct rr_placement_verdict){.action = action};
}

static struct rr_placement_verdict make_terminated_verdict(bool completed, const char *proof) {
    return (struct rr_placement_verdict){
        .action = RR_PLACEMENT_TERMINATED, .completed = completed, .reason = proof};
}

/* Returns the verdict on a placement that is to run and that the machine does not report. */
static struct rr_placement_verdict decide_start(const struct rr_planner *planner,
                                                const rr_machine *machine,
                                                const rr_placement *placement) {
    bool sent_recently =
        placement->start_at > 0 && planner->now - placement->start_at < RR_COMMAND_RESEND_S;
    bool blocked = sent_recently || must_wait_for_stops(planner->core, machine) ||
                   has_older_attempt(placement) || machine->scaling_in;
    return blocked ? make_verdict(RR_PLACEMENT_WAIT)
                   : (struct rr_placement_verdict){.action = RR_PLACEMENT_START,
                                                   .reason = "placed and not reported"};
}

/* Returns the verdict on a placement that must not run. */
static struct rr_placement_verdict decide_stop(
    const struct rr_planner *planner, const rr_machine *machine, const rr_placement *placement,
    const rr_task_status *task, enum rr_gang_stop_mode gang_stop, const char *reason) {
    bool start_may_arrive = rr_start_may_arrive(planner->core, machine, placement->attempt);
    /* The machine refuses commands with older fencing tokens, and no start under the present token
     * may still arrive: the task can't start there any more. */
    if (!task && !start_may_arrive &&
        machine->heartbeat.fencing_token == planner->core->membership.term.token) {
        return make_terminated_verdict(false, "absent");
    }
    double grace_s = compute_stop_grace_s(planner, machine, placement, gang_stop);
    if (is_stop_pending(planner, placement, task, grace_s) || (!task && !start_may_arrive)) {
        return make_verdict(RR_PLACEMENT_WAIT);
    }
    return (struct rr_placement_verdict){.action = task ? RR_PLACEMENT_STOP
                                                        : RR_PLACEMENT_INVALIDATE_START,
                                         .reason = reason,
                                         .grace_s = task ? grace_s : 0};
}

struct rr_placement_verdict rr_decide_placement(const struct rr_planner *planner,
                                                const rr_machine *machine,
                                                const rr_placement *placement,
                                                const rr_task_status *task) {
    const rr_job *job = placement->job;
    bool ended = task && task->state == RR_TASK_ENDED;
    bool completed = ended && task->exit_reason == RR_EXIT_DONE;
    /* The worker has killed and forgotten all tasks of the earlier epoch and refuses commands for
     * it. */
    if (machine->heartbeat.worker_epoch > placement->worker_epoch) {
        return make_terminated_verdict(completed, "later worker epoch");
    }
    /* The attempt can't start again while the machine reports it as ended, and it is reaped only
     * after its placement is removed from the ledger. */
    if (ended) {
        return make_terminated_verdict(completed, exit_reason_name(task->exit_reason));
    }
    enum rr_gang_stop_mode gang_stop =
        job->submission.kind == RR_JOB_GANG
            ? rr_derive_gang_stop_mode(planner->core, job, planner->now)
            : RR_GANG_STOP_NONE;
    const char *stop_reason = find_stop_reason(planner, machine, placement, gang_stop);
    if (task && !stop_reason) {
        return make_verdict(RR_PLACEMENT_KEEP);
    }
    if (!rr_machine_accepts_commands(planner, machine)) {
        return make_verdict(RR_PLACEMENT_WAIT);
    }
    return stop_reason ? decide_stop(planner, machine, placement, task, gang_stop, stop_reason)
                       : decide_start(planner, machine, placement);
}
