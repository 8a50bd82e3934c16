/* Gangs: all tasks of one run at the same time or none does. A gang is reserved whole, in one
 * record and one change, under one attempt; it stops whole, and is reserved anew, under a new
 * attempt, once every placement of the old one is proven over. Which of its phases it is in is
 * derived from the ledger and the reports each time: nothing of it is remembered. */
#include "core/scheduling/gang_phase.h"
#include "core/core_internal.h"
#include "core/health/failure_detector.h"
#include "core/scheduling/plan.h"
#include "core/state/jobs.h"
#include "core/state/ledger.h"
#include "core/state/machines.h"

#include <string.h>

/* Its tasks are of one chunk, so that one change records them all as done, and one transaction
 * reserves or ends it, now and under the limits to come: its records, and its final one at the end.
 */
uint32_t rr_gang_tasks_max(const rr_core *core) {
    uint32_t in_record = core->stored.tasks_per_record;
    while (in_record > 1 && !rr_ledger_record_fits(core, in_record)) {
        in_record--;
    }
    uint32_t records = (uint32_t)MAX(rr_transaction_changes_max(core->config) - 1, 1);
    return MIN(core->stored.tasks_per_record, in_record * records);
}

/* A machine that has not shown its task for this part of gang_wait_s will not in time. */
#define SHOWN_SHARE 0.5

enum state { ABSENT, SHOWN, RUNS, LEAVES, LOST, DONE };

/* One placement. LOST: over, or never to come in time. LEAVES: its machine goes soon. */
static enum state state_of(const rr_core *core, const rr_machine *machine,
                           const rr_placement *placement, double now) {
    const rr_task_status *task = rr_task_status_find(machine, placement);
    if (task && task->state == RR_TASK_ENDED) {
        return task->exit_reason == RR_EXIT_DONE ? DONE : LOST;
    }
    if (machine->gone || !machine->recorded ||
        (machine->heartbeat_seen && machine->heartbeat.worker_epoch > placement->worker_epoch) ||
        placement->terminated_at > 0) {
        return LOST;
    }
    if (!task) {
        return now - placement->seen_at > SHOWN_SHARE * core->config->gang_wait_s ? LOST : ABSENT;
    }
    if (machine->heartbeat.spot_notice_s >= 0 || placement->preempt ||
        task->state == RR_TASK_SAVING) {
        return LEAVES;
    }
    return task->state == RR_TASK_RUNNING ? RUNS : SHOWN;
}

struct count {
    guint all, by[DONE + 1];
    bool told;    /* every machine of it can be told now */
    bool at_once; /* it has to make room without delay */
};

static void count_record(const rr_core *core, const rr_job *job, const rr_ledger_record *run,
                         double now, struct count *counts) {
    for (guint i = 0; run && i < run->placements->len; i++) {
        const rr_placement_record *item = &g_array_index(run->placements, rr_placement_record, i);
        const rr_placement *placement =
            rr_placement_find(item->machine, item->attempt, job, item->task);
        if (placement) {
            counts->all++;
            counts->by[state_of(core, item->machine, placement, now)]++;
            counts->at_once = counts->at_once || placement->preempt == RR_PREEMPT_AT_ONCE;
            counts->told = counts->told && rr_machine_heartbeat_recent(core, item->machine, now) &&
                           !rr_machine_commands_unanswered(item->machine);
        }
    }
}

static void count_states(const rr_core *core, const rr_job *job, double now, struct count *counts) {
    memset(counts, 0, sizeof *counts);
    counts->told = true;
    for (guint k = 0; job->records && k < job->records->len; k++) {
        count_record(core, job, g_ptr_array_index(job->records, k), now, counts);
    }
}

static enum rr_gang_phase phase_of(const rr_job *job, const struct count *counts) {
    if (job->done || job->cancelled || counts->by[DONE] > 0) {
        return RR_GANG_ENDING;
    }
    if (counts->all == 0) {
        return RR_GANG_QUEUED;
    }
    if (counts->by[LOST] + counts->by[LEAVES] > 0 || counts->all < job->submission.task_count) {
        return RR_GANG_STOPPING;
    }
    if (counts->by[ABSENT] == counts->all) {
        return RR_GANG_RESERVED;
    }
    return counts->by[RUNS] == counts->all ? RR_GANG_RUNNING : RR_GANG_WAITING;
}

enum rr_gang_phase rr_gang_phase(const rr_core *core, const rr_job *job, double now) {
    struct count counts;
    count_states(core, job, now, &counts);
    return phase_of(job, &counts);
}

bool rr_gang_stops(const rr_core *core, const rr_job *job, double now, bool *saving) {
    struct count counts;
    count_states(core, job, now, &counts);
    enum rr_gang_phase phase = phase_of(job, &counts);
    /* Only a gang that has lost nothing can save, and only if all are told in time. Where the work
     * that takes its room can't wait for that, it does not. */
    *saving = phase == RR_GANG_STOPPING && counts.by[LOST] == 0 && counts.by[ABSENT] == 0 &&
              counts.all == job->submission.task_count && counts.told && !counts.at_once &&
              job->submission.checkpoint_interval_s > 0;
    return phase == RR_GANG_STOPPING || phase == RR_GANG_ENDING;
}
