/* Gangs: all tasks of one run at the same time or none does. A gang is booked whole, in one record
 * and one change, under one attempt; it stops whole, and is booked anew, under a new attempt, once
 * every placement of the old one is proven over. Which of its phases it is in is derived from the
 * ledger and the reports each time: nothing of it is remembered. */
#include "core/plan.h"

#include <string.h>

/* Its tasks are of one chunk, so that one change records them all as done, and one transaction
 * books or ends it, now and under the limits to come: its records, and its final one at the end. */
uint32_t rr_gang_tasks_max(const rr_core *c) {
    uint32_t in_record = c->chunk;
    while (in_record > 1 && !rr_ledger_record_fits(c, in_record)) {
        in_record--;
    }
    uint32_t records = (uint32_t)MAX(rr_transaction_changes_max(c->config) - 1, 1);
    return MIN(c->chunk, in_record * records);
}

/* A machine that has not shown its task for this part of gang_wait_s will not in time. */
#define SHOWN_SHARE 0.5

enum state { ABSENT, SHOWN, RUNS, LEAVES, LOST, DONE };

/* One placement. LOST: over, or never to come in time. LEAVES: its machine goes soon. */
static enum state state_of(const rr_core *c, const rr_machine *m, const rr_placement *pl,
                           double now) {
    const rr_task_status *r = rr_task_status_find(m, pl);
    if (r && r->state == RR_TASK_ENDED) {
        return r->exit_reason == RR_EXIT_DONE ? DONE : LOST;
    }
    if (m->gone || !m->recorded ||
        (m->heartbeat_seen && m->heartbeat.worker_epoch > pl->worker_epoch) ||
        pl->terminated_at > 0) {
        return LOST;
    }
    if (!r) {
        return now - pl->seen_at > SHOWN_SHARE * c->config->gang_wait_s ? LOST : ABSENT;
    }
    if (m->heartbeat.spot_notice_s >= 0 || pl->preempt || r->state == RR_TASK_SAVING) {
        return LEAVES;
    }
    return r->state == RR_TASK_RUNNING ? RUNS : SHOWN;
}

struct count {
    guint all, by[DONE + 1];
    bool told;    /* every machine of it can be told now */
    bool at_once; /* it has to make room without delay */
};

static void count_record(const rr_core *c, const rr_job *j, const rr_ledger_record *run, double now,
                         struct count *n) {
    for (guint i = 0; run && i < run->placements->len; i++) {
        const rr_placement_record *it = &g_array_index(run->placements, rr_placement_record, i);
        const rr_placement *pl = rr_placement_find(it->machine, it->attempt, j, it->task);
        if (pl) {
            n->all++;
            n->by[state_of(c, it->machine, pl, now)]++;
            n->at_once = n->at_once || pl->preempt == RR_PREEMPT_AT_ONCE;
            n->told = n->told && rr_machine_heartbeat_recent(c, it->machine, now) &&
                      !rr_machine_commands_unanswered(it->machine);
        }
    }
}

static void count_states(const rr_core *c, const rr_job *j, double now, struct count *n) {
    memset(n, 0, sizeof *n);
    n->told = true;
    for (guint k = 0; j->records && k < j->records->len; k++) {
        count_record(c, j, g_ptr_array_index(j->records, k), now, n);
    }
}

static enum rr_gang_phase phase_of(const rr_job *j, const struct count *n) {
    if (j->done || j->cancelled || n->by[DONE] > 0) {
        return RR_GANG_ENDING;
    }
    if (n->all == 0) {
        return RR_GANG_QUEUED;
    }
    if (n->by[LOST] + n->by[LEAVES] > 0 || n->all < j->submission.task_count) {
        return RR_GANG_STOPPING;
    }
    if (n->by[ABSENT] == n->all) {
        return RR_GANG_RESERVED;
    }
    return n->by[RUNS] == n->all ? RR_GANG_RUNNING : RR_GANG_WAITING;
}

enum rr_gang_phase rr_gang_phase(const rr_core *c, const rr_job *j, double now) {
    struct count n;
    count_states(c, j, now, &n);
    return phase_of(j, &n);
}

bool rr_gang_stops(const rr_core *c, const rr_job *j, double now, bool *saving) {
    struct count n;
    count_states(c, j, now, &n);
    enum rr_gang_phase phase = phase_of(j, &n);
    /* Only a gang that has lost nothing can save, and only if all are told in time. Where the work
     * that takes its room can't wait for that, it does not. */
    *saving = phase == RR_GANG_STOPPING && n.by[LOST] == 0 && n.by[ABSENT] == 0 &&
              n.all == j->submission.task_count && n.told && !n.at_once &&
              j->submission.checkpoint_interval_s > 0;
    return phase == RR_GANG_STOPPING || phase == RR_GANG_ENDING;
}
