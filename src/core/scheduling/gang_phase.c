/* The phases of gangs. A gang is reserved whole in one transaction, under one attempt; it stops
 * whole, and is reserved again under a new attempt once every placement of the old one is proven
 * terminated. Its phase is derived from the ledger and the heartbeats each time, and not stored. */
#include "core/scheduling/gang_phase.h"
#include "core/core_internal.h"
#include "core/health/failure_detector.h"
#include "core/scheduling/plan_edits.h"
#include "core/state/jobs.h"
#include "core/state/ledger.h"
#include "core/state/machines.h"

#include <string.h>

/* A machine that has not shown its task after this share of gang_wait_s will not in time. */
#define SHOWN_SHARE_OF_GANG_WAIT 0.5

uint32_t rr_gang_tasks_max(const rr_core *core) {
    uint32_t tasks_per_record = core->stored.tasks_per_record;
    while (tasks_per_record > 1 && !rr_ledger_record_fits(core, tasks_per_record)) {
        tasks_per_record--;
    }
    /* One change is left to the job's final record. */
    uint32_t records_max = (uint32_t)MAX(rr_transaction_changes_max(core->config) - 1, 1);
    return MIN(core->stored.tasks_per_record, tasks_per_record * records_max);
}

enum placement_state {
    PLACEMENT_ABSENT, /* not shown yet */
    PLACEMENT_SHOWN,  /* not running yet */
    PLACEMENT_RUNNING,
    PLACEMENT_LEAVING, /* it is to stop, or its machine goes soon */
    PLACEMENT_LOST,    /* terminated, or not to be expected in time */
    PLACEMENT_DONE,
    PLACEMENT_STATES
};

static enum placement_state placement_state(const rr_core *core, const rr_machine *machine,
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
        double shown_within_s = SHOWN_SHARE_OF_GANG_WAIT * core->config->gang_wait_s;
        return now - placement->seen_at > shown_within_s ? PLACEMENT_LOST : PLACEMENT_ABSENT;
    }
    if (machine->heartbeat.spot_notice_s >= 0 || placement->preempt ||
        task->state == RR_TASK_SAVING) {
        return PLACEMENT_LEAVING;
    }
    return task->state == RR_TASK_RUNNING ? PLACEMENT_RUNNING : PLACEMENT_SHOWN;
}

struct gang_counts {
    guint placements, by_state[PLACEMENT_STATES];
    bool all_reachable; /* every machine of the gang takes commands */
    bool at_once;       /* it has to make room without delay */
};

static void count_record(const rr_core *core, const rr_job *job, const rr_ledger_record *record,
                         double now, struct gang_counts *counts) {
    for (guint i = 0; record && i < record->placements->len; i++) {
        const rr_placement_record *entry =
            &g_array_index(record->placements, rr_placement_record, i);
        const rr_placement *placement =
            rr_placement_find(entry->machine, entry->attempt, job, entry->task);
        if (!placement) {
            continue;
        }
        counts->placements++;
        counts->by_state[placement_state(core, entry->machine, placement, now)]++;
        counts->at_once = counts->at_once || placement->preempt == RR_PREEMPT_AT_ONCE;
        counts->all_reachable = counts->all_reachable &&
                                rr_machine_heartbeat_recent(core, entry->machine, now) &&
                                !rr_machine_commands_unanswered(entry->machine);
    }
}

static void count_states(const rr_core *core, const rr_job *job, double now,
                         struct gang_counts *counts) {
    memset(counts, 0, sizeof *counts);
    counts->all_reachable = true;
    for (guint chunk = 0; job->records && chunk < job->records->len; chunk++) {
        count_record(core, job, g_ptr_array_index(job->records, chunk), now, counts);
    }
}

static enum rr_gang_phase phase_from_counts(const rr_job *job, const struct gang_counts *counts) {
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
    if (by_state[PLACEMENT_ABSENT] == counts->placements) {
        return RR_GANG_RESERVED;
    }
    return by_state[PLACEMENT_RUNNING] == counts->placements ? RR_GANG_RUNNING : RR_GANG_WAITING;
}

enum rr_gang_phase rr_gang_phase(const rr_core *core, const rr_job *job, double now) {
    struct gang_counts counts;
    count_states(core, job, now, &counts);
    return phase_from_counts(job, &counts);
}

/* Only a complete gang can save, if all its machines are told in time and the work that takes its
 * room can wait for it. */
static bool can_save(const rr_job *job, const struct gang_counts *counts) {
    return counts->by_state[PLACEMENT_LOST] == 0 && counts->by_state[PLACEMENT_ABSENT] == 0 &&
           counts->placements == job->submission.task_count && counts->all_reachable &&
           !counts->at_once && job->submission.checkpoint_interval_s > 0;
}

enum rr_gang_stop rr_gang_stop(const rr_core *core, const rr_job *job, double now) {
    struct gang_counts counts;
    count_states(core, job, now, &counts);
    switch (phase_from_counts(job, &counts)) {
    case RR_GANG_STOPPING:
        return can_save(job, &counts) ? RR_GANG_STOPS_SAVING : RR_GANG_STOPS_AT_ONCE;
    case RR_GANG_ENDING:
        return RR_GANG_STOPS_AT_ONCE;
    default:
        return RR_GANG_STAYS;
    }
}
