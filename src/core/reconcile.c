/* What each placement of this owner needs: proof that it is over, a start, a stop or a reap, and
 * what machines have that the ledger does not know. Commands go out with the plan. */
#include "core/plan.h"

#include <math.h>
#include <string.h>

#define RESEND_S 1.5
#define REAP_TASKS 32 /* tasks shown by a machine beyond which none waits to be reaped */

/* ---- orders ---- */

rr_command_batch *rr_plan_command_batch(struct rr_planner *p, rr_machine *m) {
    if (m->plan_commands) {
        return m->plan_commands;
    }
    rr_command_batch *d = g_new0(rr_command_batch, 1);
    g_strlcpy(d->machine, m->name, sizeof d->machine);
    g_strlcpy(d->address, m->address, sizeof d->address);
    d->fencing_token = p->core->term.token;
    d->worker_epoch = m->heartbeat.worker_epoch;
    d->commands = g_array_new(FALSE, TRUE, sizeof(rr_command));
    d->fallback = m->heard_via;
    d->via = m->heard_via >= 0 && p->now < m->direct_path_bad_until ? m->heard_via : -1;
    d->may_time_out = m->unanswered > 0 ||
                      rr_heartbeat_age(m, p->now) > 1.3 * p->core->config->heartbeat_interval_s;
    m->plan_commands = d;
    g_ptr_array_add(p->plan->command_batches, d);
    return d;
}

static void add_command(struct rr_planner *p, rr_machine *m, enum rr_command_kind verb,
                        const char *ref, uint32_t task, uint64_t attempt, double grace_s) {
    rr_command o = {.kind = verb, .task = task, .attempt = attempt, .grace_s = grace_s};
    g_strlcpy(o.job_id, ref, sizeof o.job_id);
    g_array_append_val(rr_plan_command_batch(p, m)->commands, o);
}

/* An attempt's start may be under way still: it went unanswered under this token and worker_epoch.
 */
static bool start_lost(const rr_core *c, const rr_machine *m, uint64_t attempt) {
    return m->unanswered_starts_token == c->term.token &&
           m->unanswered_starts_epoch == m->heartbeat.worker_epoch &&
           g_hash_table_contains(m->unanswered_starts, &attempt);
}

static const char *exit_reason_name(enum rr_exit_reason cause) {
    static const char *const names[] = {"ended",  "done",    "halted", "error",      "full",
                                        "in use", "no such", "peers",  "incomplete", "ended"};
    return names[cause];
}

/* ---- what a placement needs ---- */

static bool older_in(const rr_ledger_record *r, const rr_placement *pl) {
    for (guint i = 0; i < r->placements->len; i++) {
        const rr_placement_record *it = &g_array_index(r->placements, rr_placement_record, i);
        if (it->task == pl->task && it->attempt < pl->attempt) {
            return true;
        }
    }
    return false;
}

/* The older placement of a task is the live one; a newer one waits for its end (moves: the
 * destination is booked first). */
static bool has_older(const rr_placement *pl) {
    rr_job *j = pl->job;
    if (!j->placed || pl->task >= j->submission.task_count || j->placed[pl->task] < 2) {
        return false;
    }
    if (older_in(rr_job_ledger_record(j, pl->task / j->tasks_per_record), pl)) {
        return true;
    }
    for (guint n = rr_job_chunks(j); n < j->records->len; n++) { /* overflow records */
        const rr_ledger_record *r = g_ptr_array_index(j->records, n);
        if (r && older_in(r, pl)) {
            return true;
        }
    }
    return false;
}

static bool unwanted(const struct rr_planner *p, const rr_machine *m, const rr_placement *pl) {
    bool saving;
    if (pl->job->submission.kind == RR_JOB_GANG &&
        rr_gang_stops(p->core, pl->job, p->now, &saving)) {
        return true;
    }
    return pl->job->cancelled || rr_job_revoked(p->core, pl->job) ||
           rr_job_task_done(pl->job, pl->task) || pl->preempt || m->heartbeat.spot_notice_s >= 0;
}

/* Time to save: what the aim of the work that waits, or the notice, leaves. */
static double leave_for(const struct rr_planner *p, const rr_machine *m, const rr_placement *pl) {
    bool saving = true;
    if (pl->job->cancelled || pl->job->done || rr_job_revoked(p->core, pl->job) ||
        pl->job->submission.checkpoint_interval_s <= 0) {
        return 0;
    }
    /* A gang saves whole: who has saved waits for those that were told last. */
    if (pl->job->submission.kind == RR_JOB_GANG) {
        rr_gang_stops(p->core, pl->job, p->now, &saving);
        return saving ? pl->job->submission.save_s + p->core->config->gang_peer_s : 0;
    }
    if (pl->preempt == RR_PREEMPT_AT_ONCE) {
        return 0;
    }
    double leave = pl->job->submission.save_s + 2;
    if (m->heartbeat.spot_notice_s >= 0 && m->heartbeat.spot_notice_s < leave) {
        leave = fmax(m->heartbeat.spot_notice_s, 0);
    }
    return leave;
}

static void stop_placement(struct rr_planner *p, rr_machine *m, rr_placement *pl,
                           const rr_task_status *r) {
    double leave = leave_for(p, m, pl);
    /* A task that is saving is left to it, unless its user has cancelled the job. */
    if (pl->stop_at > 0 && p->now - pl->stop_at < RESEND_S) {
        return;
    }
    if (r && r->state == RR_TASK_SAVING && leave > 0) {
        return;
    }
    /* Told to save, a gang is left to it for as long as that takes: another stop without grace, as
     * one exits and the gang counts as lost, would undo what the others save. */
    if (pl->job->submission.kind == RR_JOB_GANG && pl->stop_grace_s > 0 && !pl->job->cancelled &&
        p->now - pl->stop_at < pl->stop_grace_s) {
        return;
    }
    if (!r && !start_lost(p->core, m, pl->attempt)) {
        return;
    }
    if (!r) {
        /* An unanswered start may come late. Started and stopped under one token, the attempt
         * stays on the machine as exited and blocks the late copy. */
        add_command(p, m, RR_COMMAND_START, pl->job->submission.job_id, pl->task, pl->attempt, 0);
        leave = 0;
    }
    add_command(p, m, RR_COMMAND_STOP, pl->job->submission.job_id, pl->task, pl->attempt, leave);
    pl->stop_at = p->now;
    pl->stop_grace_s = leave;
}

/* Booked over others that are to go first: the machine would refuse it now. Where nothing is to go,
 * two owners booked the same room, and the worker decides between them. */
static bool room_coming(const rr_core *c, const rr_machine *m) {
    bool leaving = false;
    rr_resources used = m->used;
    for (guint i = 0; i < m->placements->len; i++) {
        const rr_placement *q = &g_array_index(m->placements, rr_placement, i);
        bool over = q->terminated_at > 0;
        used = over ? rr_resources_add(used, q->job->request, -1) : used;
        leaving = leaving || (!over && (q->preempt || q->job->cancelled));
    }
    return leaving && !rr_resources_fit(used, rr_machine_capacity(c, m));
}

static void start_placement(struct rr_planner *p, rr_machine *m, rr_placement *pl) {
    if (pl->start_at > 0 && p->now - pl->start_at < RESEND_S) {
        return;
    }
    if (room_coming(p->core, m) || has_older(pl) || m->scaling_in) {
        return;
    }
    add_command(p, m, RR_COMMAND_START, pl->job->submission.job_id, pl->task, pl->attempt, 0);
    pl->start_at = p->now;
}

/* True: it is to be looked at again before the machine reports anything new. */
static bool reconcile_placement(struct rr_planner *p, rr_machine *m, rr_placement *pl) {
    const rr_core *c = p->core;
    const rr_task_status *r = rr_task_status_find(m, pl);
    if (m->heartbeat.worker_epoch > pl->worker_epoch) {
        /* The worker killed and forgot everything of the earlier worker_epoch, and commands for it
         * are refused. */
        rr_plan_terminated(p, m, pl,
                           r && r->state == RR_TASK_ENDED && r->exit_reason == RR_EXIT_DONE,
                           "later worker epoch");
        return true;
    }
    if (r && r->state == RR_TASK_ENDED) {
        /* Shown as exited it can't start again before it is reaped, and that comes after this. */
        rr_plan_terminated(p, m, pl, r->exit_reason == RR_EXIT_DONE,
                           exit_reason_name(r->exit_reason));
        return true;
    }
    bool stop = unwanted(p, m, pl);
    if (r && !stop) {
        return false;
    }
    if (m->command_inflight || p->now < m->next_command_at ||
        !rr_machine_heartbeat_recent(c, m, p->now)) {
        return true;
    }
    if (!stop) {
        start_placement(p, m, pl);
        return true;
    }
    /* Absent in a report that knows the present token, with no start of this term under way: it
     * never will be there. */
    if (!r && m->heartbeat.fencing_token == c->term.token && !start_lost(c, m, pl->attempt)) {
        rr_plan_terminated(p, m, pl, false, "absent");
    } else {
        stop_placement(p, m, pl, r);
    }
    return true;
}

/* An exited task takes no room. Its reap goes with the next command to the machine, mostly the
 * start of what takes its place, or after a report interval: a command of its own costs a
 * connection, and one more report with news that every owner has to hear. Only what is done for
 * good waits: a task that is to run again may be refused where an earlier attempt of it is still
 * shown. */
static bool reap_may_wait(const struct rr_planner *p, rr_machine *m, const rr_task_status *r) {
    if (m->plan_commands || r->exit_reason != RR_EXIT_DONE ||
        m->heartbeat.tasks->len > REAP_TASKS) {
        return false;
    }
    m->reap_at = m->reap_at > 0 ? m->reap_at : p->now;
    return p->now - m->reap_at < p->core->config->heartbeat_interval_s;
}

/* Of a job kept as a line the team is not known any more. The provisioner stops what still runs,
 * and clears what an earlier term started: the command's token voids any start of it that comes
 * late. An exited attempt of this term is left to the controller that made it, which alone knows
 * whether a copy of its start may still be on its way and has to find the attempt there. */
static bool clears_line(const rr_core *c, const rr_task_status *r, double now) {
    if (r->state == RR_TASK_ENDED && rr_attempt_token(r->attempt) == c->term.token) {
        return rr_attempt_member(r->attempt) == rr_member_index(c);
    }
    return rr_core_is_autoscaler(c, now);
}

/* Tasks on the machine that the ledger does not know: exited ones are reaped, others stopped. */
static bool reconcile_stray(struct rr_planner *p, rr_machine *m, const rr_task_status *r) {
    const rr_core *c = p->core;
    rr_job *j = g_hash_table_lookup(c->jobs, r->job_id);
    bool ours = j ? j->team >= 0 && rr_owns_team(c, j->team)
                  : rr_job_final(c, r->job_id, NULL, NULL) && clears_line(c, r, p->now);
    if (!ours || (j && rr_placement_find(m, r->attempt, j, r->task))) {
        return false;
    }
    if (r->state != RR_TASK_ENDED) {
        add_command(p, m, RR_COMMAND_STOP, r->job_id, r->task, r->attempt, 0);
        return true;
    }
    /* While a copy of its start may come late, the exited attempt stays and blocks it. */
    if (start_lost(c, m, r->attempt)) {
        return false;
    }
    if (reap_may_wait(p, m, r)) {
        return true;
    }
    add_command(p, m, RR_COMMAND_REAP, r->job_id, r->task, r->attempt, 0);
    return true;
}

/* Another owner's task: that it is over makes room, long before its owner records it. */
static void see_terminated(const struct rr_planner *p, const rr_machine *m, rr_placement *pl) {
    const rr_task_status *r = rr_task_status_find(m, pl);
    if (pl->terminated_at <= 0 &&
        ((r && r->state == RR_TASK_ENDED) ||
         (m->heartbeat_seen && m->heartbeat.worker_epoch > pl->worker_epoch))) {
        pl->terminated_at = p->now;
    }
}

/* True: to be looked at again with the next plan. */
static bool reconcile(struct rr_planner *p, rr_machine *m) {
    rr_core *c = p->core;
    bool again = false;
    c->visits++;
    /* A booking is made on a recorded machine only; one whose record has gone is proven gone. */
    bool gone = !m->recorded;
    if (!gone && (!m->heartbeat_seen || m->heartbeat.fencing_token > c->term.token)) {
        return false; /* a report or the next term brings it back */
    }
    for (guint i = 0; i < m->placements->len; i++) {
        rr_placement *pl = &g_array_index(m->placements, rr_placement, i);
        if (pl->job->team < 0 || !rr_owns_team(c, pl->job->team)) {
            see_terminated(p, m, pl);
            continue;
        }
        if (gone) {
            rr_plan_terminated(p, m, pl, false, "machine gone"); /* proven by its record's end */
            again = true;
        } else {
            again = reconcile_placement(p, m, pl) || again;
        }
    }
    if (gone || m->command_inflight || p->now < m->next_command_at ||
        !rr_machine_heartbeat_recent(c, m, p->now)) {
        return again || m->command_inflight || p->now < m->next_command_at;
    }
    for (guint i = 0; i < m->heartbeat.tasks->len; i++) {
        again =
            reconcile_stray(p, m, &g_array_index(m->heartbeat.tasks, rr_task_status, i)) || again;
    }
    return again;
}

/* Gangs of ours with a task on a machine that something happened to. */
static void note_gangs(const struct rr_planner *p, const rr_machine *m, GPtrArray *gangs) {
    for (guint i = 0; i < m->placements->len; i++) {
        rr_job *j = g_array_index(m->placements, rr_placement, i).job;
        if (j->submission.kind == RR_JOB_GANG && j->team >= 0 && rr_owns_team(p->core, j->team) &&
            !g_ptr_array_find(gangs, j, NULL)) {
            g_ptr_array_add(gangs, j);
        }
    }
}

static void reconcile_running(struct rr_planner *p, const rr_ledger_record *run) {
    for (guint k = 0; run && k < run->placements->len; k++) {
        rr_machine *m = g_array_index(run->placements, rr_placement_record, k).machine;
        if (!m->dirty && reconcile(p, m)) {
            rr_mark_dirty(p->core, m);
        }
    }
}

/* What happened to one task of a gang is to be seen on the machines of all, and now: they stop in
 * the same moment. */
static void reconcile_gangs(struct rr_planner *p, const GPtrArray *gangs) {
    bool saving;
    for (guint i = 0; i < gangs->len; i++) {
        rr_job *j = g_ptr_array_index(gangs, i);
        if (!rr_gang_stops(p->core, j, p->now, &saving)) {
            continue;
        }
        for (guint n = 0; n < j->records->len; n++) {
            reconcile_running(p, g_ptr_array_index(j->records, n));
        }
    }
}

void rr_reconcile(struct rr_planner *p) {
    rr_core *c = p->core;
    if (c->all_dirty_token != c->term.token) {
        c->all_dirty_token = c->term.token;
        for (guint i = 0; i < c->machine_list->len; i++) {
            rr_mark_dirty(c, g_ptr_array_index(c->machine_list, i));
        }
    }
    guint n = c->dirty->len, kept = 0;
    GPtrArray *gangs = g_ptr_array_new(); /* rr_job* */
    for (guint i = 0; i < n; i++) {
        rr_machine *m = g_ptr_array_index(c->dirty, i);
        note_gangs(p, m, gangs);
        m->dirty = reconcile(p, m);
        if (m->dirty) {
            c->dirty->pdata[kept++] = m;
        }
    }
    g_ptr_array_set_size(c->dirty, (gint)kept);
    reconcile_gangs(p, gangs);
    g_ptr_array_free(gangs, TRUE);
}
