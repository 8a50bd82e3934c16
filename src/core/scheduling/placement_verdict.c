/* The verdict on one placement: keep, start, stop, or record that it is terminated. Only proof
 * terminates a placement; a silent machine proves nothing. */
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

#define STOP_ROUND_TRIP_S 2.0 /* added to the time that saving takes */

static const char *exit_reason_name(enum rr_exit_reason exit_reason) {
    static const char *const names[] = {"ended",  "done",    "stopped",    "error",      "full",
                                        "in use", "no such", "peers lost", "incomplete", "ended"};
    return names[exit_reason];
}

bool rr_start_unanswered(const rr_core *core, const rr_machine *machine, uint64_t attempt) {
    return machine->unanswered_starts_token == core->membership.term.token &&
           machine->unanswered_starts_epoch == machine->heartbeat.worker_epoch &&
           g_hash_table_contains(machine->unanswered_starts, &attempt);
}

bool rr_machine_takes_commands(const struct rr_planner *planner, const rr_machine *machine) {
    return !machine->command_inflight && planner->now >= machine->next_command_at &&
           rr_machine_heartbeat_recent(planner->core, machine, planner->now);
}

static bool holds_older_attempt(const rr_ledger_record *record, const rr_placement *placement) {
    for (guint i = 0; i < record->placements->len; i++) {
        const rr_placement_record *other =
            &g_array_index(record->placements, rr_placement_record, i);
        if (other->task == placement->task && other->attempt < placement->attempt) {
            return true;
        }
    }
    return false;
}

/* Whether the ledger has an older placement of the task, which is the live one: a move reserves its
 * destination first, and the newer placement waits until the older one is terminated. */
static bool has_older_attempt(const rr_placement *placement) {
    rr_job *job = placement->job;
    if (!job->placed || placement->task >= job->submission.task_count ||
        job->placed[placement->task] < 2) {
        return false;
    }
    uint32_t chunk = placement->task / job->tasks_per_record;
    if (holds_older_attempt(rr_job_ledger_record_get(job, chunk), placement)) {
        return true;
    }
    for (guint i = rr_job_chunks(job); i < job->records->len; i++) { /* overflow records */
        const rr_ledger_record *record = g_ptr_array_index(job->records, i);
        if (record && holds_older_attempt(record, placement)) {
            return true;
        }
    }
    return false;
}

/* Whether the machine would refuse a start now, since placements that are to stop still fill it.
 * Where none is to stop, two owners reserved the same resources, and the worker decides. */
static bool waits_for_stops(const rr_core *core, const rr_machine *machine) {
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

static bool must_stop(const struct rr_planner *planner, const rr_machine *machine,
                      const rr_placement *placement, enum rr_gang_stop gang_stop) {
    const rr_job *job = placement->job;
    return gang_stop != RR_GANG_STAYS || job->cancelled || rr_job_revoked(planner->core, job) ||
           rr_job_task_done(job, placement->task) || placement->preempt ||
           machine->heartbeat.spot_notice_s >= 0;
}

/* The time that a stopped task gets to save its state. */
static double stop_grace_s(const struct rr_planner *planner, const rr_machine *machine,
                           const rr_placement *placement, enum rr_gang_stop gang_stop) {
    const rr_job *job = placement->job;
    if (job->cancelled || job->done || rr_job_revoked(planner->core, job) ||
        job->submission.checkpoint_interval_s <= 0) {
        return 0;
    }
    /* A task of a gang that has saved waits for those that were told last. */
    if (job->submission.kind == RR_JOB_GANG) {
        return gang_stop == RR_GANG_STOPS_SAVING
                   ? job->submission.save_s + planner->core->config->gang_peer_s
                   : 0;
    }
    if (placement->preempt == RR_PREEMPT_AT_ONCE) {
        return 0;
    }
    double grace_s = job->submission.save_s + STOP_ROUND_TRIP_S;
    double notice_s = machine->heartbeat.spot_notice_s;
    return notice_s >= 0 && notice_s < grace_s ? fmax(notice_s, 0) : grace_s;
}

/* Whether a stop is left alone: it was sent not long ago, or the task is saving. */
static bool stop_under_way(const struct rr_planner *planner, const rr_placement *placement,
                           const rr_task_status *task, double grace_s) {
    double since_stop_s = planner->now - placement->stop_at;
    if (placement->stop_at > 0 && since_stop_s < RR_COMMAND_RESEND_S) {
        return true;
    }
    if (task && task->state == RR_TASK_SAVING && grace_s > 0) {
        return true;
    }
    /* A gang that was told to save counts as lost once its first task exits; a second stop without
     * grace would end the others before they have saved. */
    return placement->job->submission.kind == RR_JOB_GANG && placement->stop_grace_s > 0 &&
           !placement->job->cancelled && since_stop_s < placement->stop_grace_s;
}

static struct rr_placement_verdict verdict_of(enum rr_placement_action action) {
    return (struct rr_placement_verdict){.action = action};
}

static struct rr_placement_verdict terminated(bool completed, const char *proof) {
    return (struct rr_placement_verdict){
        .action = RR_PLACEMENT_RECORD, .completed = completed, .proof = proof};
}

static struct rr_placement_verdict start_verdict(const struct rr_planner *planner,
                                                 const rr_machine *machine,
                                                 const rr_placement *placement) {
    bool start_sent =
        placement->start_at > 0 && planner->now - placement->start_at < RR_COMMAND_RESEND_S;
    bool blocked = start_sent || waits_for_stops(planner->core, machine) ||
                   has_older_attempt(placement) || machine->scaling_in;
    return verdict_of(blocked ? RR_PLACEMENT_WAIT : RR_PLACEMENT_START);
}

static struct rr_placement_verdict stop_verdict(const struct rr_planner *planner,
                                                const rr_machine *machine,
                                                const rr_placement *placement,
                                                const rr_task_status *task,
                                                enum rr_gang_stop gang_stop) {
    bool start_unanswered = rr_start_unanswered(planner->core, machine, placement->attempt);
    /* The machine knows the present fencing token, and no start under it may still arrive: the task
     * will never be there. */
    if (!task && !start_unanswered &&
        machine->heartbeat.fencing_token == planner->core->membership.term.token) {
        return terminated(false, "absent");
    }
    double grace_s = stop_grace_s(planner, machine, placement, gang_stop);
    if (stop_under_way(planner, placement, task, grace_s) || (!task && !start_unanswered)) {
        return verdict_of(RR_PLACEMENT_WAIT);
    }
    return (struct rr_placement_verdict){.action =
                                             task ? RR_PLACEMENT_STOP : RR_PLACEMENT_VOID_START,
                                         .grace_s = task ? grace_s : 0};
}

struct rr_placement_verdict rr_placement_verdict(const struct rr_planner *planner,
                                                 const rr_machine *machine,
                                                 const rr_placement *placement,
                                                 const rr_task_status *task) {
    const rr_job *job = placement->job;
    bool ended = task && task->state == RR_TASK_ENDED;
    bool completed = ended && task->exit_reason == RR_EXIT_DONE;
    /* The worker killed and forgot everything of the earlier epoch, and refuses commands for it. */
    if (machine->heartbeat.worker_epoch > placement->worker_epoch) {
        return terminated(completed, "later worker epoch");
    }
    /* While the machine shows the task as ended, it can't start again. It is reaped only after the
     * ledger no longer has the placement. */
    if (ended) {
        return terminated(completed, exit_reason_name(task->exit_reason));
    }
    enum rr_gang_stop gang_stop = job->submission.kind == RR_JOB_GANG
                                      ? rr_gang_stop(planner->core, job, planner->now)
                                      : RR_GANG_STAYS;
    bool stop = must_stop(planner, machine, placement, gang_stop);
    if (task && !stop) {
        return verdict_of(RR_PLACEMENT_KEEP);
    }
    if (!rr_machine_takes_commands(planner, machine)) {
        return verdict_of(RR_PLACEMENT_WAIT);
    }
    return stop ? stop_verdict(planner, machine, placement, task, gang_stop)
                : start_verdict(planner, machine, placement);
}
