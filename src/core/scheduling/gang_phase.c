/* Derives the phases of gangs. One transaction reserves all tasks of a gang, under one attempt. All
 * tasks stop together, and the gang is reserved again under a new attempt once every placement of
 * the old attempt is proven terminated. The phase is not stored, but derived from the ledger and
 * the heartbeats each time. */
#include "core/scheduling/gang_phase.h"
#include "core/core_internal.h"
#include "core/health/failure_detector.h"
#include "core/scheduling/plan_edits.h"
#include "core/state/jobs.h"
#include "core/state/ledger.h"
#include "core/state/machines.h"

#include <string.h>

/* A placement whose machine has not reported the task within this share of gang_wait_s counts as
 * lost, since the task would start too late for the rest of the gang. */
#define REPORT_WAIT_SHARE 0.5

uint32_t rr_gang_tasks_max(const rr_core *core) {
    uint32_t tasks_per_record = core->stored.tasks_per_record;
    while (tasks_per_record > 1 && !rr_ledger_record_fits(core, tasks_per_record)) {
        tasks_per_record--;
    }
    /* One change of the transaction is kept for the job's final record. */
    uint32_t records_max = (uint32_t)MAX(rr_transaction_changes_max(core->config) - 1, 1);
    return MIN(core->stored.tasks_per_record, tasks_per_record * records_max);
}

/* The state of one placement of a gang. */
enum placement_state {
    PLACEMENT_UNREPORTED, /* its machine does not report the task yet */
    PLACEMENT_REPORTED,   /* its machine reports the task, which does not run yet */
    PLACEMENT_RUNNING,    /* the task runs */
    PLACEMENT_LEAVING, /* the task is being stopped, or its spot machine is about to be reclaimed */
    PLACEMENT_LOST,    /* the task is terminated or has failed, or won't start in time */
    PLACEMENT_DONE,    /* the task has completed */
    PLACEMENT_STATE_COUNT /* the number of states */
};

/* Returns the state of a placement, from the ledger and its machine's newest heartbeat. */
static enum placement_state derive_placement_state(const rr_core *core, const rr_machine *machine,
                                                   const rr_placement *placement, double now) {
    const rr_task_status *task = rr_task_status_find(machine, placement);
    if (task && task->state == RR_TASK_ENDED) {
        return task->exit_reason == RR_EXIT_DONE ? PLACEMENT_DONE : PLACEMENT_LOST;
    }
    if (machine->gone || !machine->recorded ||
        (machine->heartbeat_seen && machine->heartbeat.worker_epoch > placement->worker_epoch) ||
        placement->terminated_at > 0) {
        return PLACEMENT_LOST;
    }
    if (!task) {
        double report_wait_s = REPORT_WAIT_SHARE * core->config->gang_wait_s;
        return now - placement->seen_at > report_wait_s ? PLACEMENT_LOST : PLACEMENT_UNREPORTED;
    }
    if (machine->heartbeat.spot_notice_s >= 0 || placement->preempt ||
        task->state == RR_TASK_SAVING) {
        return PLACEMENT_LEAVING;
    }
    return task->state == RR_TASK_RUNNING ? PLACEMENT_RUNNING : PLACEMENT_REPORTED;
}

/* A summary of a gang's placements. */
struct gang_counts {
    guint placements;                      /* in the ledger */
    guint by_state[PLACEMENT_STATE_COUNT]; /* placements in each state */
    bool all_reachable;                    /* every machine sends heartbeats and answers commands */
    bool preempted_at_once; /* a placement is preempted without time for a checkpoint */
};

/* Adds the placements of one ledger record, which may be NULL, to the counts. */
static void count_record_placements(const rr_core *core, const rr_job *job,
                                    const rr_ledger_record *record, double now,
                                    struct gang_counts *counts) {
    for (guint i = 0; record && i < record->placements->len; i++) {
        const rr_placement_record *entry =
            &g_array_index(record->placements, rr_placement_record, i);
        const rr_placement *placement =
            rr_placement_find(entry->machine, entry->attempt, job, entry->task);
        if (!placement) {
            continue;
        }
        counts->placements++;
        counts->by_state[derive_placement_state(core, entry->machine, placement, now)]++;
        counts->preempted_at_once =
            counts->preempted_at_once || placement->preempt == RR_PREEMPT_AT_ONCE;
        counts->all_reachable = counts->all_reachable &&
                                rr_machine_heartbeat_recent(core, entry->machine, now) &&
                                !rr_machine_commands_unanswered(entry->machine);
    }
}

/* Counts all placements of the gang in the ledger. */
static void count_placements(const rr_core *core, const rr_job *job, double now,
                             struct gang_counts *counts) {
    memset(counts, 0, sizeof *counts);
    counts->all_reachable = true;
    for (guint chunk = 0; job->records && chunk < job->records->len; chunk++) {
        count_record_placements(core, job, g_ptr_array_index(job->records, chunk), now, counts);
    }
}

/* Returns the phase of a gang with these counts. */
static enum rr_gang_phase derive_phase(const rr_job *job, const struct gang_counts *counts) {
    const guint *by_state = counts->by_state;
    if (job->done || job->cancelled || by_state[PLACEMENT_DONE] > 0) {
        return RR_GANG_ENDING;
    }
    if (counts->placements == 0) {
        return RR_GANG_QUEUED;
    }
    if (by_state[PLACEMENT_LOST] + by_state[PLACEMENT_LEAVING] > 0 ||
        counts->placements < job->submission.task_count) {
        return RR_GANG_STOPPING;
    }
    if (by_state[PLACEMENT_UNREPORTED] == counts->placements) {
        return RR_GANG_RESERVED;
    }
    return by_state[PLACEMENT_RUNNING] == counts->placements ? RR_GANG_RUNNING : RR_GANG_WAITING;
}

enum rr_gang_phase rr_derive_gang_phase(const rr_core *core, const rr_job *job, double now) {
    struct gang_counts counts;
    count_placements(core, job, now, &counts);
    return derive_phase(job, &counts);
}

/* Whether the gang can save a checkpoint before it stops. Only a complete gang can, provided that
 * all of its machines receive the stop command in time and the preempting job can wait that long.
 */
static bool can_save_checkpoint(const rr_job *job, const struct gang_counts *counts) {
    return counts->by_state[PLACEMENT_LOST] == 0 && counts->by_state[PLACEMENT_UNREPORTED] == 0 &&
           counts->placements == job->submission.task_count && counts->all_reachable &&
           !counts->preempted_at_once && job->submission.checkpoint_interval_s > 0;
}

enum rr_gang_stop_mode rr_derive_gang_stop_mode(const rr_core *core, const rr_job *job,
                                                double now) {
    struct gang_counts counts;
    count_placements(core, job, now, &counts);
    switch (derive_phase(job, &counts)) {
    case RR_GANG_STOPPING:
        return can_save_checkpoint(job, &counts) ? RR_GANG_STOP_SAVING : RR_GANG_STOP_AT_ONCE;
    case RR_GANG_ENDING:
        return RR_GANG_STOP_AT_ONCE;
    default:
        return RR_GANG_STOP_NONE;
    }
}
