/* What a team owner does next: take back placements on proof, stop, start, reap, place waiting
 * tasks. One plan makes at most one transaction. It costs what changed since the last one: only
 * machines that something happened to are reconciled, and one change books or ends many tasks of a
 * job. */
#include "core/model.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define RESEND_S 1.5
#define REAP_PIECES 32 /* tasks shown by a machine beyond which none waits to be reaped */
#define PLACE_MAX 256  /* placements in one plan at most */
#define GATHER_S 40.0  /* completions wait this long at most for others of their job */
#define TXN_BYTES ((size_t)48 * 1024) /* of the store's 64 KiB for a transaction */
#define RECOUNT_S 60.0
#define SHRINK_S 60.0
#define RETRY_MAX_S 2.0 /* a job that found no room is looked at again after this at the latest */

/* Changes to one record of the ledger in this plan. */
struct edit {
    rr_job *job;
    rr_run *run;
    GArray *items; /* rr_item: as they will be */
    GArray *done;  /* uint32_t: tasks completed */
    int zone;      /* of a completed task, -1 */
};

/* A placement known to be over. */
struct over {
    rr_machine *m;
    rr_job *job;
    uint32_t task;
    uint64_t attempt;
    bool done, wait; /* completed; may wait for others of its job */
    bool evicted;    /* made room, for another owner's task perhaps, who waits for the record */
    guint next;      /* 1 + the index of the next one of its record, 0: none */
};

/* A job for which there was no room in this plan: nor is there for another like it. */
struct failure {
    const rr_job *job;
    uint64_t wards;
};

struct reopened {
    rr_job *job;
    uint32_t task;
};

struct planner {
    rr_core *c;
    double now, wall;
    rr_plan *out;
    GPtrArray *edits;    /* struct edit* */
    GArray *overs;       /* struct over */
    GArray *reopened;    /* struct reopened */
    GPtrArray *machines; /* rr_machine*: with scratch to clear */
    GPtrArray *guards;   /* rr_job*: guarded against a cancellation in between */
    GArray *failures;    /* struct failure */
    GArray *cands;       /* rr_cand, reused */
    int ops, limit;      /* changes so far and at most */
    size_t bytes;        /* their size, roughly */
    bool full;           /* the transaction takes no more */
};

void rr_plan_init(rr_plan *p) {
    memset(p, 0, sizeof *p);
    rr_txn_init(&p->txn);
    p->dos = g_ptr_array_new_with_free_func((GDestroyNotify)rr_do_free);
}

void rr_plan_clear(rr_plan *p) {
    rr_txn_clear(&p->txn);
    g_ptr_array_free(p->dos, TRUE);
}

void rr_do_free(rr_do *d) {
    g_array_free(d->orders, TRUE);
    g_free(d);
}

static void edit_free(gpointer p) {
    struct edit *e = p;
    e->run->edit = NULL;
    e->job->over = e->job->finishing = 0;
    e->job->ending = false;
    g_array_free(e->items, TRUE);
    g_array_free(e->done, TRUE);
    g_free(e);
}

/* ---- the transaction under construction ---- */

/* Whether a record with this many placements keeps to the store's size of a value. */
static bool record_fits(const rr_core *c, guint items) {
    return (double)rr_run_bytes(items) <= c->cfg->value_kb * 1024;
}

static bool has_room(const struct planner *p, int ops, size_t bytes) {
    return p->ops + ops <= p->limit && p->bytes + bytes <= TXN_BYTES;
}

static bool txn_room(struct planner *p, int ops, size_t bytes) {
    p->full = p->full || !has_room(p, ops, bytes);
    return has_room(p, ops, bytes);
}

static void take_overs(struct planner *p, struct edit *e);

static struct edit *edit_of(struct planner *p, rr_job *j, uint32_t chunk) {
    rr_run *r = rr_job_run(j, chunk);
    if (r->edit) {
        return r->edit;
    }
    size_t bytes = rr_run_bytes(r->items->len + 1) + 120;
    if (!txn_room(p, 1, bytes)) {
        return NULL;
    }
    struct edit *e = g_new0(struct edit, 1);
    e->job = j;
    e->run = r;
    e->items = g_array_copy(r->items);
    e->done = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    e->zone = -1;
    r->edit = e;
    p->ops++;
    p->bytes += bytes;
    g_ptr_array_add(p->edits, e);
    take_overs(p, e);
    return e;
}

static rr_item *item_in(const struct edit *e, uint64_t attempt, uint32_t task) {
    for (guint i = 0; i < e->items->len; i++) {
        rr_item *it = &g_array_index(e->items, rr_item, i);
        if (it->attempt == attempt && it->task == task) {
            return it;
        }
    }
    return NULL;
}

static bool done_in(const struct edit *e, uint32_t task) {
    for (guint i = 0; i < e->done->len; i++) {
        if (g_array_index(e->done, uint32_t, i) == task) {
            return true;
        }
    }
    return false;
}

static void guard_job(struct planner *p, rr_job *j) {
    if (!j->listed) {
        j->listed = true;
        g_ptr_array_add(p->guards, j);
    }
}

/* A machine whose scratch is to be cleared after the plan. */
static void use_machine(struct planner *p, rr_machine *m) {
    if (!m->booked) {
        m->booked = g_array_new(FALSE, FALSE, sizeof(rr_job *));
        g_ptr_array_add(p->machines, m);
    }
}

/* A task whose placement is over may be placed anew in the same change. */
static void reopen(struct planner *p, rr_job *j, uint32_t task) {
    struct reopened r = {j, task};
    if (j->placed && task < j->s.pieces && j->placed[task] == 1 && !j->cancelled &&
        !rr_job_task_done(j, task)) {
        j->placed[task] = 0;
        j->nplaced--;
        j->hint = MIN(j->hint, task);
        g_array_append_val(p->reopened, r);
    }
}

/* The mirror counts placements as the store has them. */
static void close_again(struct planner *p) {
    for (guint i = 0; i < p->reopened->len; i++) {
        const struct reopened *r = &g_array_index(p->reopened, struct reopened, i);
        r->job->placed[r->task] = 1;
        r->job->nplaced++;
    }
}

/* Takes a placement out of its record, with its completion if there is one to record. */
static void take_over(struct planner *p, struct edit *e, const struct over *o) {
    rr_job *j = o->job;
    if (o->done && !j->cancelled && !rr_job_task_done(j, o->task) && !done_in(e, o->task)) {
        /* The last one ends the job: a change more. */
        bool last = j->ndone + j->finishing + 1 >= j->s.pieces;
        if (last && !has_room(p, 1, 200)) {
            return;
        }
        p->ops += last;
        j->finishing++;
        g_array_append_val(e->done, o->task);
        e->zone = o->m->ward;
    }
    rr_item *it = item_in(e, o->attempt, o->task);
    if (it) {
        g_array_remove_index(e->items, (guint)(it - (rr_item *)(void *)e->items->data));
    }
}

/* A record that changes anyway loses all that is known to be over in it. */
static void take_overs(struct planner *p, struct edit *e) {
    for (guint n = e->run->overs; n > 0;) {
        const struct over *o = &g_array_index(p->overs, struct over, n - 1);
        take_over(p, e, o);
        n = o->next;
    }
}

static const char *cause_name(enum rr_cause cause) {
    static const char *const names[] = {"ended", "done",   "halted",  "error",
                                        "full",  "in use", "no such", "ended"};
    return names[cause];
}

static void note_over(struct planner *p, rr_machine *m, rr_place *pl, bool done, const char *why) {
    rr_job *j = pl->job;
    if (pl->over_at <= 0 && !done) {
        rr_log_at(p->c, RR_LOG_DEBUG, "over %s/%u on %s: %s", j->s.ref, pl->task, m->name, why);
    }
    rr_run *r = rr_job_run(j, pl->task / j->per);
    struct over o = {.m = m,
                     .job = j,
                     .task = pl->task,
                     .attempt = pl->attempt,
                     .done = done,
                     .evicted = pl->evict != RR_KEEP,
                     .next = r->overs};
    pl->over_at = pl->over_at > 0 ? pl->over_at : p->now;
    o.wait = p->now - pl->over_at < GATHER_S * p->c->pressure;
    if (done && !rr_job_task_done(j, pl->task)) {
        j->over++;
    }
    g_array_append_val(p->overs, o);
    r->overs = p->overs->len;
}

static bool finishes(const rr_job *j) {
    return !j->cancelled && j->ndone + j->over >= j->s.pieces;
}

static bool lost(const struct over *o) {
    return !o->done && !o->job->cancelled;
}

/* Completions are gathered while changes are short; one change then ends several. A job's last ones
 * never wait, since its user does. What is to run again waits for its turn among all that waits for
 * a place, and is taken out in the change that books it anew: when a zone of four hundred machines
 * had lost its leases, records of arrays were cleared first, a change each, and services came back
 * after them, 35 s later. */
static void record_overs(struct planner *p) {
    for (guint i = 0; i < p->overs->len; i++) {
        const struct over *o = &g_array_index(p->overs, struct over, i);
        if (lost(o)) {
            reopen(p, o->job, o->task);
        }
        if (o->evicted || (!lost(o) && (!o->wait || finishes(o->job)))) {
            edit_of(p, o->job, o->task / o->job->per);
        }
    }
}

/* Lost places for whose tasks there was no room: their records are cleared as changes allow. */
static void record_lost(struct planner *p) {
    for (guint i = 0; i < p->overs->len && !p->full; i++) {
        const struct over *o = &g_array_index(p->overs, struct over, i);
        if (lost(o) && !o->wait) {
            edit_of(p, o->job, o->task / o->job->per);
        }
    }
}

/* ---- orders ---- */

static rr_do *do_for(struct planner *p, rr_machine *m) {
    if (m->plan_do) {
        return m->plan_do;
    }
    rr_do *d = g_new0(rr_do, 1);
    g_strlcpy(d->stone, m->name, sizeof d->stone);
    g_strlcpy(d->addr, m->addr, sizeof d->addr);
    d->warrant = p->c->term.token;
    d->tenure = m->rep.tenure;
    d->orders = g_array_new(FALSE, TRUE, sizeof(rr_order));
    d->fallback = m->via;
    d->via = m->via >= 0 && p->now < m->direct_bad_until ? m->via : -1;
    d->doubtful = m->unanswered > 0 || rr_silent_for(m, p->now) > 1.3 * p->c->cfg->report_s;
    m->plan_do = d;
    g_ptr_array_add(p->out->dos, d);
    return d;
}

static void order(struct planner *p, rr_machine *m, enum rr_verb verb, const char *ref,
                  uint32_t task, uint64_t attempt, double leave_s) {
    rr_order o = {.verb = verb, .task = task, .attempt = attempt, .leave_s = leave_s};
    g_strlcpy(o.ref, ref, sizeof o.ref);
    g_array_append_val(do_for(p, m)->orders, o);
}

/* An attempt's start may be under way still: it went unanswered under this token and tenure. */
static bool start_lost(const rr_core *c, const rr_machine *m, uint64_t attempt) {
    return m->lost_token == c->term.token && m->lost_tenure == m->rep.tenure &&
           g_hash_table_contains(m->lost, &attempt);
}

/* ---- what a placement needs ---- */

/* The older placement of a task is the live one; a newer one waits for its end (moves: the
 * destination is booked first). */
static bool has_older(const rr_place *pl) {
    rr_job *j = pl->job;
    if (!j->placed || pl->task >= j->s.pieces || j->placed[pl->task] < 2) {
        return false;
    }
    const rr_run *r = rr_job_run(j, pl->task / j->per);
    for (guint i = 0; i < r->items->len; i++) {
        const rr_item *it = &g_array_index(r->items, rr_item, i);
        if (it->task == pl->task && it->attempt < pl->attempt) {
            return true;
        }
    }
    return false;
}

static bool unwanted(const rr_machine *m, const rr_place *pl) {
    return pl->job->cancelled || rr_job_task_done(pl->job, pl->task) || pl->evict ||
           m->rep.recall_s >= 0;
}

/* Time to save: what the aim of the work that waits, or the notice, leaves. */
static double leave_for(const rr_machine *m, const rr_place *pl) {
    if (pl->job->cancelled || pl->job->done || pl->job->s.cairn_s <= 0) {
        return 0;
    }
    if (pl->evict == RR_EVICT_AT_ONCE) {
        return 0;
    }
    double leave = pl->job->s.stash_s + 2;
    if (m->rep.recall_s >= 0 && m->rep.recall_s < leave) {
        leave = fmax(m->rep.recall_s, 0);
    }
    return leave;
}

static void stop_place(struct planner *p, rr_machine *m, rr_place *pl, const rr_piece *r) {
    double leave = leave_for(m, pl);
    /* A task that is saving is left to it, unless its user has cancelled the job. */
    if (pl->stop_at > 0 && p->now - pl->stop_at < RESEND_S) {
        return;
    }
    if (r && r->standing == RR_FLUSHING && leave > 0) {
        return;
    }
    if (!r && !start_lost(p->c, m, pl->attempt)) {
        return;
    }
    if (!r) {
        /* An unanswered start may come late. Started and stopped under one token, the attempt
         * stays on the machine as exited and blocks the late copy. */
        order(p, m, RR_START, pl->job->s.ref, pl->task, pl->attempt, 0);
        leave = 0;
    }
    order(p, m, RR_STOP, pl->job->s.ref, pl->task, pl->attempt, leave);
    pl->stop_at = p->now;
}

/* Booked over others that are to go first: the machine would refuse it now. Where nothing is to go,
 * two owners booked the same room, and the worker decides between them. */
static bool room_coming(const rr_core *c, const rr_machine *m) {
    bool leaving = false;
    rr_res used = m->used;
    for (guint i = 0; i < m->places->len; i++) {
        const rr_place *q = &g_array_index(m->places, rr_place, i);
        bool over = q->over_at > 0;
        used = over ? rr_res_add(used, q->job->need, -1) : used;
        leaving = leaving || (!over && (q->evict || q->job->cancelled));
    }
    return leaving && !rr_res_fits(used, rr_machine_cap(c, m));
}

static void start_place(struct planner *p, rr_machine *m, rr_place *pl) {
    if (pl->start_at > 0 && p->now - pl->start_at < RESEND_S) {
        return;
    }
    if (room_coming(p->c, m) || has_older(pl) || m->ret) {
        return;
    }
    order(p, m, RR_START, pl->job->s.ref, pl->task, pl->attempt, 0);
    pl->start_at = p->now;
}

/* True: it is to be looked at again before the machine reports anything new. */
static bool reconcile_place(struct planner *p, rr_machine *m, rr_place *pl) {
    const rr_core *c = p->c;
    const rr_piece *r = rr_piece_find(m, pl);
    if (m->rep.tenure > pl->tenure) {
        /* The worker killed and forgot everything of the earlier tenure, and commands for it are
         * refused. */
        note_over(p, m, pl, r && r->standing == RR_ENDED && r->cause == RR_DONE, "later tenure");
        return true;
    }
    if (r && r->standing == RR_ENDED) {
        /* Shown as exited it can't start again before it is reaped, and that comes after this. */
        note_over(p, m, pl, r->cause == RR_DONE, cause_name(r->cause));
        return true;
    }
    bool stop = unwanted(m, pl);
    if (r && !stop) {
        return false;
    }
    if (m->do_inflight || p->now < m->do_next || !rr_machine_fresh(c, m, p->now)) {
        return true;
    }
    if (!stop) {
        start_place(p, m, pl);
        return true;
    }
    /* Absent in a report that knows the present token, with no start of this term under way: it
     * never will be there. */
    if (!r && m->rep.warrant == c->term.token && !start_lost(c, m, pl->attempt)) {
        note_over(p, m, pl, false, "absent");
    } else {
        stop_place(p, m, pl, r);
    }
    return true;
}

/* An exited task takes no room. Its reap goes with the next command to the machine, mostly the
 * start of what takes its place, or after a report interval: a command of its own costs a
 * connection, and one more report with news that every owner has to hear. Only what is done for
 * good waits: a task that is to run again may be refused where an earlier attempt of it is still
 * shown. */
static bool reap_may_wait(const struct planner *p, rr_machine *m, const rr_piece *r) {
    if (m->plan_do || r->cause != RR_DONE || m->rep.pieces->len > REAP_PIECES) {
        return false;
    }
    m->reap_at = m->reap_at > 0 ? m->reap_at : p->now;
    return p->now - m->reap_at < p->c->cfg->report_s;
}

/* Tasks on the machine that the ledger does not know: exited ones are reaped, others stopped. */
static bool reconcile_stray(struct planner *p, rr_machine *m, const rr_piece *r) {
    const rr_core *c = p->c;
    rr_job *j = g_hash_table_lookup(c->jobs, r->ref);
    /* Of a job kept as a line the team is not known any more: the steward clears what is left. */
    bool ours = j ? j->team >= 0 && rr_owns_team(c, j->team)
                  : rr_job_final(c, r->ref, NULL, NULL) && rr_core_is_steward(c, p->now);
    if (!ours || (j && rr_place_find(m, r->attempt, j, r->task))) {
        return false;
    }
    if (r->standing != RR_ENDED) {
        order(p, m, RR_STOP, r->ref, r->task, r->attempt, 0);
        return true;
    }
    /* While a copy of its start may come late, the exited attempt stays and blocks it. */
    if (start_lost(c, m, r->attempt)) {
        return false;
    }
    if (reap_may_wait(p, m, r)) {
        return true;
    }
    order(p, m, RR_REAP, r->ref, r->task, r->attempt, 0);
    return true;
}

/* Another owner's task: that it is over makes room, long before its owner records it. */
static void see_over(const struct planner *p, const rr_machine *m, rr_place *pl) {
    const rr_piece *r = rr_piece_find(m, pl);
    if (pl->over_at <= 0 &&
        ((r && r->standing == RR_ENDED) || (m->heard && m->rep.tenure > pl->tenure))) {
        pl->over_at = p->now;
    }
}

/* True: to be looked at again with the next plan. */
static bool reconcile(struct planner *p, rr_machine *m) {
    rr_core *c = p->c;
    bool again = false;
    c->visits++;
    /* A booking is made on a recorded machine only; one whose record has gone is proven gone. */
    bool gone = !m->recorded;
    if (!gone && (!m->heard || m->rep.warrant > c->term.token)) {
        return false; /* a report or the next term brings it back */
    }
    for (guint i = 0; i < m->places->len; i++) {
        rr_place *pl = &g_array_index(m->places, rr_place, i);
        if (pl->job->team < 0 || !rr_owns_team(c, pl->job->team)) {
            see_over(p, m, pl);
            continue;
        }
        if (gone) {
            note_over(p, m, pl, false, "machine gone"); /* proven by its record's end */
            again = true;
        } else {
            again = reconcile_place(p, m, pl) || again;
        }
    }
    if (gone || m->do_inflight || p->now < m->do_next || !rr_machine_fresh(c, m, p->now)) {
        return again || m->do_inflight || p->now < m->do_next;
    }
    for (guint i = 0; i < m->rep.pieces->len; i++) {
        again = reconcile_stray(p, m, &g_array_index(m->rep.pieces, rr_piece, i)) || again;
    }
    return again;
}

static void reconcile_dirty(struct planner *p) {
    rr_core *c = p->c;
    if (c->all_dirty_token != c->term.token) {
        c->all_dirty_token = c->term.token;
        for (guint i = 0; i < c->machine_list->len; i++) {
            rr_touch(c, g_ptr_array_index(c->machine_list, i));
        }
    }
    guint n = c->dirty->len, kept = 0;
    for (guint i = 0; i < n; i++) {
        rr_machine *m = g_ptr_array_index(c->dirty, i);
        m->dirty = reconcile(p, m);
        if (m->dirty) {
            c->dirty->pdata[kept++] = m;
        }
    }
    g_ptr_array_set_size(c->dirty, (gint)kept);
}

/* ---- placing ---- */

static rr_res team_used(const struct planner *p, int team) {
    rr_res u = rr_team_used(p->c, team);
    return (guint)team < p->c->team_booked->len
               ? rr_res_add(u, g_array_index(p->c->team_booked, rr_res, team), 1)
               : u;
}

/* Every placement in the ledger counts against the limit, proven gone or not. */
static bool within_quota(struct planner *p, const rr_job *j) {
    const struct rr_team_config *t = &p->c->cfg->teams[j->team];
    rr_res u = rr_res_add(team_used(p, j->team), j->need, 1);
    return (t->cpus_max <= 0 || u.cpu <= t->cpus_max + RR_EPS) &&
           (t->gpus_max <= 0 || u.gpu <= t->gpus_max + RR_EPS);
}

/* The guarantee of a team, in a resource it is given none of: 0. */
static rr_res guarantee_of(const rr_core *c, int team) {
    if (team < 0 || (size_t)team >= c->cfg->nteams) {
        return (rr_res){0, 0, 0};
    }
    return (rr_res){c->cfg->teams[team].cpus, c->cfg->teams[team].gpus, 0};
}

/* One more task of the job keeps its team within its guarantee. */
static bool within_guarantee(struct planner *p, const rr_job *j) {
    rr_res g = guarantee_of(p->c, j->team), u = rr_res_add(team_used(p, j->team), j->need, 1);
    return u.cpu <= g.cpu + RR_EPS && u.gpu <= g.gpu + RR_EPS;
}

static bool beyond_guarantee(const rr_core *c, int team, rr_res used) {
    rr_res g = guarantee_of(c, team);
    return used.cpu > g.cpu + RR_EPS || used.gpu > g.gpu + RR_EPS;
}

static bool book(struct planner *p, rr_machine *m, rr_job *j, uint32_t task) {
    rr_core *c = p->c;
    struct edit *e = edit_of(p, j, task / j->per);
    if (!e || !record_fits(c, e->items->len + 1)) {
        return false;
    }
    rr_item it = {.m = m, .task = task, .attempt = rr_next_attempt(c), .tenure = m->rep.tenure};
    g_array_append_val(e->items, it);
    use_machine(p, m);
    g_array_append_val(m->booked, j);
    m->sim = rr_res_add(m->sim, j->need, -1);
    m->booked_cast = j->cast;
    rr_res *u = &g_array_index(c->team_booked, rr_res, j->team);
    *u = rr_res_add(*u, j->need, 1);
    guard_job(p, j);
    rr_log_at(c, RR_LOG_DEBUG, "place %s/%u try %" G_GUINT64_FORMAT " on %s", j->s.ref, task,
              it.attempt, m->name);
    return true;
}

static bool next_task(const rr_job *j, uint32_t *task) {
    while (*task < j->s.pieces && (j->placed[*task] || rr_job_task_done(j, *task))) {
        (*task)++;
    }
    return *task < j->s.pieces;
}

/* Work that stopping this placement at once would lose: what it did since it last saved. */
static double unsaved(const rr_place *q, double now) {
    double ran = now - q->seen_at;
    double cairn = q->job->s.cairn_s;
    return cairn > 0 ? fmod(ran, cairn) : ran;
}

/* Time to spare until the job's deadline if this task ran on from here; what is late already has
 * nothing left to lose. */
static double slack_of(const rr_place *q, double now, double wall) {
    const rr_job *j = q->job;
    if (j->s.due_s < 0) {
        return 1e6;
    }
    double left = fmax(0, j->s.guess_s - (now - q->seen_at));
    double slack = j->at + j->s.due_s - wall - left;
    return slack < 0 ? 1e6 : slack;
}

struct victim {
    rr_place *place;
    double slack;
};

static gint by_slack(gconstpointer a, gconstpointer b) {
    const struct victim *x = a, *y = b;
    if (x->place->job->s.rank != y->place->job->s.rank) {
        return x->place->job->s.rank < y->place->job->s.rank ? -1 : 1;
    }
    return x->slack > y->slack ? -1 : x->slack < y->slack;
}

#define TIGHT_S 60.0 /* a deadline nearer than this is in danger from a restart */
#define INTACT_S                                                                                   \
    10.0 /* loss counted for the first victim of a job: its last task decides when it ends */
#define FOREIGN_S                                                                                  \
    3.0 /* loss counted for a victim of another owner, who may change its record too */

/* PROTOCOL's two grounds: lower rank, or work of any rank that another team runs beyond its own
 * guarantee where this team is owed the room. `taken` is what victims so far give back. */
static bool may_stop(struct planner *p, const rr_job *j, const rr_place *q, bool owed,
                     rr_res taken) {
    const rr_job *v = q->job;
    if (v->s.rank < j->s.rank && v->s.shape == RR_BATCH &&
        rr_objective_for(p->c, "wait", j->s.lane)) {
        return true;
    }
    return owed && v->team >= 0 && v->team != j->team &&
           beyond_guarantee(p->c, v->team, rr_res_add(team_used(p, v->team), taken, -1));
}

/* Room for a job that may preempt: which placements would have to go from m, and what that loses.
 */
static bool victims_on(struct planner *p, rr_machine *m, const rr_job *j, bool at_once, GArray *out,
                       double *loss) {
    rr_res room = m->sim;
    GArray *lower = g_array_new(FALSE, FALSE, sizeof(struct victim));
    bool owed = within_guarantee(p, j);
    rr_res taken = {0, 0, 0};
    *loss = 0;
    g_array_set_size(out, 0);
    for (guint i = 0; i < m->places->len; i++) {
        rr_place *q = &g_array_index(m->places, rr_place, i);
        /* Free room has what is over, and what this plan stops, already: counted once more, the
         * same victim made room for two. */
        if (q->leaving || q->over_at > 0) {
            continue;
        }
        if (q->evict) {
            room = rr_res_add(room, q->job->need, 1);
        } else if (may_stop(p, j, q, owed, taken)) {
            struct victim v = {q, slack_of(q, p->now, p->wall)};
            g_array_append_val(lower, v);
        }
    }
    g_array_sort(lower, by_slack);
    for (guint i = 0; i < lower->len && !rr_res_fits(j->need, room); i++) {
        const struct victim *v = &g_array_index(lower, struct victim, i);
        rr_place *q = v->place;
        if (!may_stop(p, j, q, owed, taken)) {
            continue; /* those before it brought its team back within its guarantee */
        }
        taken = rr_res_add(taken, q->job->need, 1);
        bool saves = q->job->s.cairn_s > 0 && !at_once;
        room = rr_res_add(room, q->job->need, 1);
        *loss += 1 + (saves ? q->job->s.stash_s : unsaved(q, p->now));
        *loss += v->slack < TIGHT_S ? TIGHT_S - v->slack : 0;
        *loss += q->job->ndone + q->job->nplaced < q->job->s.pieces ? 0 : INTACT_S;
        *loss += rr_owns_team(p->c, q->job->team) ? 0 : FOREIGN_S;
        g_array_append_val(out, q);
    }
    g_array_free(lower, TRUE);
    return rr_res_fits(j->need, room);
}

static bool may_preempt(const rr_core *c, const rr_job *j) {
    return j->s.rank > RR_STANDARD && rr_objective_for(c, "wait", j->s.lane);
}

/* Saving takes the victims' stash time; where the aim on the start does not leave it, or is missed
 * already (a replica lost with its machine, say), they stop at once and lose what they did since
 * their last checkpoint. */
static bool must_hurry(const struct planner *p, const rr_job *j, const rr_machine *m) {
    const struct rr_objective *o = rr_objective_for(p->c, "wait", j->s.lane);
    double left = o ? o->within_s - (p->wall - j->at) : 1e9;
    for (guint i = 0; i < m->places->len; i++) {
        const rr_place *q = &g_array_index(m->places, rr_place, i);
        if (q->job->s.rank < j->s.rank && q->job->s.stash_s + 1 > left) {
            return true;
        }
    }
    return false;
}

/* False: the transaction has no room for the victims' records. */
static bool mark_victims(struct planner *p, rr_machine *m, const rr_job *j, uint32_t task,
                         const GArray *victims, int how) {
    for (guint i = 0; i < victims->len; i++) {
        const rr_place *q = g_array_index(victims, rr_place *, i);
        if (!edit_of(p, q->job, q->task / q->job->per)) {
            return false;
        }
    }
    for (guint i = 0; i < victims->len; i++) {
        rr_place *q = g_array_index(victims, rr_place *, i);
        rr_item *it = item_in(edit_of(p, q->job, q->task / q->job->per), q->attempt, q->task);
        if (it) {
            it->evict = how;
        }
        q->leaving = true;
        use_machine(p, m);
        m->sim = rr_res_add(m->sim, q->job->need, 1);
        rr_log_at(p->c, RR_LOG_DEBUG, "preempt %s/%u on %s for %s/%u%s", q->job->s.ref, q->task,
                  m->name, j->s.ref, task, how == RR_EVICT_AT_ONCE ? ", unsaved" : "");
    }
    return true;
}

#define PREEMPT_LOOK 160 /* machines with victims compared at most */

/* The machine on which least work is lost; the task is booked there at once and starts when the
 * ledger shows room. */
static bool preempt_for(struct planner *p, rr_job *j, uint32_t task, const struct rr_choice *how,
                        bool warm) {
    rr_core *c = p->c;
    rr_machine *best = NULL;
    double least = 0;
    guint n = c->machine_list->len, looked = 0, first = n ? (guint)(c->counter * 61) % n : 0;
    GArray *v = g_array_new(FALSE, FALSE, sizeof(rr_place *));
    for (guint i = 0; i < n && looked < PREEMPT_LOOK; i++) {
        rr_machine *m = g_ptr_array_index(c->machine_list, (first + i) % n);
        double loss;
        c->visits++;
        if (m->ward < 0 || !how->wards[m->ward] || m->places->len == 0 ||
            !rr_job_allows(c, j, m->build, m->ward, m->loaners) ||
            !rr_machine_usable(c, m, p->now) || (warm && !rr_machine_has_cast(m, j->cast)) ||
            (how->separate && rr_machine_has_task(m, j)) ||
            !victims_on(p, m, j, must_hurry(p, j, m), v, &loss)) {
            continue;
        }
        looked++;
        if (!best || loss < least) {
            best = m;
            least = loss;
        }
    }
    bool hurry = best && must_hurry(p, j, best);
    bool ok = best && victims_on(p, best, j, hurry, v, &least) && edit_of(p, j, task / j->per) &&
              mark_victims(p, best, j, task, v, hurry ? RR_EVICT_AT_ONCE : RR_EVICT_SAVING) &&
              book(p, best, j, task);
    g_array_free(v, TRUE);
    return ok;
}

/* Where a class has an aim on its start: a free machine that can make it, else the room of lower
 * work where the image is, else any free machine, else any room of lower work. */
static bool place_urgent(struct planner *p, rr_job *j, uint32_t task, const struct rr_choice *how) {
    rr_core *c = p->c;
    double within = rr_objective_for(c, "wait", j->s.lane)->within_s;
    rr_machine *m = rr_choose_from(c, j, how, p->cands);
    if (m && rr_fetch_time(c, j, m) + 1 <= within) {
        return book(p, m, j, task);
    }
    /* While changes are short a free machine is better: a victim costs three changes more, and
     * those that wait behind it their starts. In a burst of four times as many services a fifth of
     * all changes went to victims while one machine in four stood free. */
    bool worth = c->pressure < 0.9 && (p->wall - j->at + 1 < within || c->pressure < 0.5);
    if ((worth || !m) && may_preempt(c, j) && preempt_for(p, j, task, how, true)) {
        return true;
    }
    return m ? book(p, m, j, task) : may_preempt(c, j) && preempt_for(p, j, task, how, false);
}

static bool place_task(struct planner *p, rr_job *j, uint32_t task, struct rr_choice *how) {
    if (rr_objective_for(p->c, "wait", j->s.lane) && place_urgent(p, j, task, how)) {
        return true;
    }
    rr_machine *m = rr_choose_from(p->c, j, how, p->cands);
    if (!m && how->separate && j->nplaced) {
        how->separate = false; /* better two on one machine than one not at all */
        rr_candidates(p->c, j, how, p->now, p->cands);
        m = rr_choose_from(p->c, j, how, p->cands);
    }
    if (!m && within_guarantee(p, j)) {
        return preempt_for(p, j, task, how, false);
    }
    return m && book(p, m, j, task);
}

/* ---- which zones and jobs ---- */

struct zones {
    bool *allowed;
    uint32_t *by_ward; /* placements of the job, with those of this plan */
    uint32_t all;
    bool counted; /* the job's zones depend on them */
};

static void zones_update(struct planner *p, rr_job *j, struct zones *z) {
    const rr_core *c = p->c;
    rr_job_wards_from(c, j, z->by_ward, z->all, z->allowed);
    guint open = 0;
    for (guint w = 0; w < c->wards.names->len; w++) {
        open += z->allowed[w];
    }
    if (rr_zone_bound(j) && open > 1) {
        int best = rr_zone_most_room(p->c, j, z->allowed, p->now);
        for (guint w = 0; w < c->wards.names->len; w++) {
            z->allowed[w] = (int)w == best;
        }
    }
}

static uint64_t ward_mask(const rr_core *c, const bool *wards) {
    uint64_t mask = 0;
    for (guint w = 0; w < c->wards.names->len; w++) {
        mask |= wards[w] ? (uint64_t)1 << (w % 64) : 0;
    }
    return mask;
}

static bool same_demands(const rr_job *a, const rr_job *b) {
    return a->team == b->team && a->lane == b->lane && a->s.rank == b->s.rank &&
           a->s.loaners == b->s.loaners && a->s.shape == b->s.shape &&
           strcmp(a->s.ward, b->s.ward) == 0 && a->s.nbuilds == b->s.nbuilds &&
           (a->s.nbuilds == 0 ||
            memcmp(a->s.builds, b->s.builds, (size_t)a->s.nbuilds * sizeof *a->s.builds) == 0);
}

/* Whether a job that asks no more than this one has just found no room. */
static bool hopeless(const struct planner *p, const rr_job *j, uint64_t wards) {
    for (guint i = 0; i < p->failures->len; i++) {
        const struct failure *f = &g_array_index(p->failures, struct failure, i);
        if (same_demands(f->job, j) && rr_res_fits(f->job->need, j->need) &&
            (wards & ~f->wards) == 0) {
            return true;
        }
    }
    return false;
}

static void note_failure(struct planner *p, rr_job *j, uint64_t wards) {
    struct failure f = {j, wards};
    j->failed_at = p->now;
    if (p->failures->len < 64) {
        g_array_append_val(p->failures, f);
    }
}

/* The rest of a chunk whose record is full waits. */
static bool chunk_full(struct planner *p, rr_job *j, uint32_t task) {
    const rr_run *r = rr_job_run(j, task / j->per);
    const struct edit *e = r->edit;
    return !record_fits(p->c, (e ? e->items->len : r->items->len) + 1);
}

static void place_job(struct planner *p, rr_job *j, int *left) {
    rr_core *c = p->c;
    guint n = c->wards.names->len;
    bool wards[n + 1];
    uint32_t by_ward[n + 1];
    struct zones z = {wards, by_ward, 0, j->s.apart || j->s.one_zone};
    memset(wards, 0, sizeof wards);
    memset(by_ward, 0, sizeof by_ward);
    z.all = z.counted ? rr_job_count_by_ward(c, j, NULL, by_ward) : 0;
    zones_update(p, j, &z);
    uint64_t mask = ward_mask(c, wards);
    if (hopeless(p, j, mask)) {
        j->failed_at = p->now;
        return;
    }
    struct rr_choice how = {
        .wards = wards, .separate = j->s.shape == RR_SERVICE, .filter = rr_machine_usable};
    /* All zones that the job may use, so that one walk serves all its tasks. */
    bool any[n + 1];
    memset(any, z.counted && !rr_zone_bound(j), sizeof any);
    struct rr_choice walk = how;
    walk.wards = z.counted && !rr_zone_bound(j) ? any : wards;
    rr_candidates(c, j, &walk, p->now, p->cands);
    uint32_t task = j->hint;
    bool first = true;
    for (; !p->full && *left > 0 && next_task(j, &task); task++) {
        if (first) {
            j->hint = task;
            first = false;
        }
        if (chunk_full(p, j, task)) {
            task = task - task % j->per + j->per - 1;
            continue;
        }
        if (!within_quota(p, j)) {
            return;
        }
        if (!place_task(p, j, task, &how)) {
            if (!p->full) {
                note_failure(p, j, ward_mask(c, wards));
            }
            return;
        }
        (*left)--;
        if (z.counted) {
            const struct edit *e = rr_job_run(j, task / j->per)->edit;
            const rr_machine *m = g_array_index(e->items, rr_item, e->items->len - 1).m;
            z.by_ward[m->ward]++;
            z.all++;
            zones_update(p, j, &z);
        }
    }
}

/* When a task must start to be in time. By deadline alone a task of a long job that lost its place
 * came last, and with it the whole job. */
static double latest_start(const rr_job *j) {
    return j->s.due_s >= 0 ? j->at + j->s.due_s - j->s.guess_s : 1e18;
}

static gint by_turn(gconstpointer a, gconstpointer b) {
    const rr_job *x = *(const rr_job *const *)a, *y = *(const rr_job *const *)b;
    if (x->s.rank != y->s.rank) {
        return x->s.rank > y->s.rank ? -1 : 1;
    }
    if (x->missing != y->missing) {
        return x->missing > y->missing ? -1 : 1;
    }
    double dx = latest_start(x), dy = latest_start(y);
    if (x->s.rank < RR_PROD && dx != dy) {
        return dx < dy ? -1 : 1;
    }
    return x->at < y->at ? -1 : x->at > y->at;
}

static bool waits(const rr_core *c, const rr_job *j, double now) {
    return j->mark && !j->cancelled && !j->done && j->team >= 0 &&
           (size_t)j->team < c->cfg->nteams && j->ndone + j->nplaced < j->s.pieces &&
           now >= j->hold_until && rr_owns_team(c, j->team);
}

static bool any_waits(const struct planner *p) {
    for (guint i = 0; i < p->c->open->len; i++) {
        if (waits(p->c, g_ptr_array_index(p->c->open, i), p->now)) {
            return true;
        }
    }
    return false;
}

static GPtrArray *waiting_jobs(const struct planner *p) {
    GPtrArray *wait = g_ptr_array_new();
    for (guint i = 0; i < p->c->open->len; i++) {
        rr_job *j = g_ptr_array_index(p->c->open, i);
        if (waits(p->c, j, p->now)) {
            g_ptr_array_add(wait, j);
        }
    }
    return wait;
}

/* A day's largest job must not wait for ever behind a stream of small ones with nearer deadlines: a
 * job that has waited for its first task for this long gets a few before all others. Now and then
 * the oldest does, too, so that what has begun goes on. */
#define FIRST_TASK_S 45.0
#define OLDEST_EVERY 7 /* plans */
#define HEAD_START 8   /* tasks */

static rr_job *overdue(const struct planner *p, const GPtrArray *wait) {
    rr_job *best = NULL;
    bool any = p->c->plans % OLDEST_EVERY == 0;
    for (guint i = 0; i < wait->len; i++) {
        rr_job *j = g_ptr_array_index(wait, i);
        bool unbegun = j->ndone + j->nplaced == 0 && p->wall - j->at > FIRST_TASK_S;
        if ((unbegun || any) && p->now - j->failed_at >= RETRY_MAX_S &&
            (!best || j->at < best->at)) {
            best = j;
        }
    }
    return best;
}

static void place_waiting(struct planner *p, GPtrArray *wait) {
    int left = PLACE_MAX, head = HEAD_START;
    double retry = fmin(0.25 + 0.02 * wait->len, RETRY_MAX_S);
    p->c->plans++;
    rr_job *first = overdue(p, wait);
    if (first) {
        place_job(p, first, &head);
    }
    for (guint i = 0; i < wait->len; i++) {
        rr_job *j = g_ptr_array_index(wait, i);
        /* While changes are short the one that brings back most replicas goes first. */
        bool counts = p->c->pressure > 0.9 && j->s.rank == RR_PROD && j->s.shape == RR_SERVICE;
        j->missing = counts ? j->s.pieces - j->ndone - j->nplaced : 0;
    }
    g_ptr_array_sort(wait, by_turn);
    for (guint i = 0; i < wait->len && !p->full && left > 0; i++) {
        rr_job *j = g_ptr_array_index(wait, i);
        if (p->now - j->failed_at >= retry && !(j == first && head < HEAD_START)) {
            place_job(p, j, &left);
        }
    }
}

/* ---- moves of a round's plan ---- */

static void make_moves(struct planner *p) {
    rr_core *c = p->c;
    while (c->plan_moves->len > 0 && c->round_left > 0 && p->ops + 1 <= p->limit) {
        rr_move mv = g_array_index(c->plan_moves, rr_move, 0);
        rr_place *old = NULL;
        for (guint k = 0; k < mv.from->places->len; k++) {
            rr_place *q = &g_array_index(mv.from->places, rr_place, k);
            if (q->job == mv.job && q->task == mv.task && !q->evict) {
                old = q;
            }
        }
        g_array_remove_index(c->plan_moves, 0);
        c->round_left--;
        bool wards[c->wards.names->len + 1];
        rr_job_wards(c, mv.job, wards, old);
        if (!old || mv.job->cancelled || !rr_machine_usable(c, mv.to, p->now) ||
            !rr_res_fits(mv.job->need, mv.to->sim) || !wards[mv.to->ward] ||
            !within_quota(p, mv.job) || !book(p, mv.to, mv.job, mv.task)) {
            /* A move that fails ends the plan. */
            g_array_set_size(c->plan_moves, 0);
            return;
        }
        rr_item *it =
            item_in(rr_job_run(mv.job, mv.task / mv.job->per)->edit, old->attempt, mv.task);
        if (it) {
            it->evict = RR_EVICT_SAVING;
        }
        c->moves_made++;
        rr_log_at(c, RR_LOG_DEBUG, "move %s/%u from %s to %s", mv.job->s.ref, mv.task,
                  mv.from->name, mv.to->name);
    }
}

#define STRANGER_S 120.0
#define GONE_KEEP_S 600.0 /* a copy of a report later than this makes a stranger for a while */

static gboolean gone_old(gpointer k, gpointer v, gpointer now) {
    (void)k;
    return *(double *)now - *(double *)v > GONE_KEEP_S;
}

/* Machines known only from reports that came late, after their records were gone, and names of
 * machines that went with work of which nothing is left in the ledger. */
static void forget_strangers(rr_core *c, double now) {
    g_hash_table_foreach_remove(c->gone, gone_old, &now);
    for (guint i = c->machine_list->len; i > 0; i--) {
        rr_machine *m = g_ptr_array_index(c->machine_list, i - 1);
        if (!m->recorded && !m->to_adopt && !m->do_inflight && m->places->len == 0 &&
            (m->gone || rr_silent_for(m, now) > STRANGER_S)) {
            rr_machine_forget(c, m);
        }
    }
}

/* ---- probes ---- */

#define PROBES_MAX 24   /* at a time */
#define PROBES_IN_CUT 2 /* into a zone that is mostly silent: a sample tells a cut from deaths */
#define PROBE_EVERY_S 0.9
#define PROBE_LOOK_S 0.3

static gint by_probed(gconstpointer a, gconstpointer b) {
    const rr_machine *x = *(rr_machine *const *)a, *y = *(rr_machine *const *)b;
    return x->probed_at < y->probed_at ? -1 : x->probed_at > y->probed_at;
}

/* Whose silence is ours to look into: the steward's all, an owner's those with its work. */
static bool concerns_us(const rr_core *c, const rr_machine *m, bool steward) {
    for (guint i = 0; !steward && i < m->places->len; i++) {
        const rr_job *j = g_array_index(m->places, rr_place, i).job;
        if (j->team >= 0 && rr_owns_team(c, j->team)) {
            return true;
        }
    }
    return steward;
}

static bool wants_probe(const rr_core *c, const rr_machine *m, double now, bool steward) {
    if (m->ret || !m->addr[0] || m->do_inflight || now - m->probed_at <= PROBE_EVERY_S) {
        return false;
    }
    bool late = rr_silent_for(m, now) > 1.3 * c->cfg->report_s && (m->heard || m->places->len);
    bool doubted = m->unanswered >= 2 || now < m->suspect_until;
    /* A report about an unknown machine may be a late copy: a live exchange has to vouch for it. */
    bool stranger = !m->recorded && m->heard && !m->vouched && !m->gone;
    return (m->recorded ? late || doubted : stranger && steward) && concerns_us(c, m, steward);
}

/* A report late by more than its usual quarter, commands without answers: ask, with a command that
 * carries the present token, so that a worker that a deposed controller holds on to learns of it.
 * Those asked longest ago come first. */
static void probe_silent(struct planner *p) {
    rr_core *c = p->c;
    if (p->now - c->probe_at < PROBE_LOOK_S) {
        return;
    }
    c->probe_at = p->now;
    rr_note_cuts(c, p->now);
    bool steward = rr_core_is_steward(c, p->now);
    guint in_cut[c->wards.names->len + 1];
    memset(in_cut, 0, sizeof in_cut);
    GPtrArray *late = g_ptr_array_new();
    for (guint i = 0; i < c->machine_list->len; i++) {
        rr_machine *m = g_ptr_array_index(c->machine_list, i);
        if (wants_probe(c, m, p->now, steward)) {
            g_ptr_array_add(late, m);
        }
    }
    g_ptr_array_sort(late, by_probed);
    for (guint i = 0; i < late->len && c->probing < PROBES_MAX; i++) {
        rr_machine *m = g_ptr_array_index(late, i);
        if (m->plan_do ||
            (m->ward >= 0 && rr_zone_silent(c, m->ward) && in_cut[m->ward]++ >= PROBES_IN_CUT)) {
            continue;
        }
        m->probed_at = p->now;
        m->do_inflight = true;
        rr_do *d = do_for(p, m);
        d->doubtful = true;
        m->plan_do = NULL;
        c->probing++;
    }
    g_ptr_array_free(late, TRUE);
}

/* ---- putting it together ---- */

static void put_final(struct planner *p, const rr_job *j) {
    char key[RR_ID + 64];
    rr_out o;
    rr_out_init(&o);
    rr_put_map(&o, 4);
    rr_put_key_text(&o, "ref", j->s.ref);
    rr_put_key_text(&o, "final", "done");
    rr_put_key_text(&o, "crew", j->s.crew);
    rr_put_key_u64(&o, "pieces", j->s.pieces);
    rr_core_job_key(j->s.ref, key, sizeof key);
    rr_txn_guard(&p->out->txn, key, j->own_mark);
    rr_txn_put(&p->out->txn, key, &o, 0);
    rr_log_at(p->c, RR_LOG_DEBUG,
              "job %s is done, %u tasks, %.0f s after it came, due after %.0f, guess %.0f",
              j->s.ref, j->s.pieces, p->wall - j->at, j->s.due_s, j->s.guess_s);
}

static void put_edit(struct planner *p, const struct edit *e) {
    rr_txn *t = &p->out->txn;
    rr_job *j = e->job;
    char key[RR_ID + 64];
    rr_run_key(j->s.ref, e->run->chunk, key, sizeof key);
    bool ends = j->finishing > 0 && j->ndone + j->finishing >= j->s.pieces;
    bool over = ends || j->cancelled || j->done;
    if (over && e->items->len == 0 && e->run->mark == 0) {
        return;
    }
    rr_txn_guard(t, key, e->run->mark);
    if (over && e->items->len == 0) {
        rr_txn_delete(t, key);
    } else {
        rr_out o;
        rr_out_init(&o);
        rr_run_encode(p->c, &o, j, e->run->chunk, e->items, e->done,
                      j->s.one_zone ? (e->zone >= 0 ? e->zone : j->zone) : -1);
        rr_txn_put(t, key, &o, 0);
    }
    if (e->done->len > 0) {
        guard_job(p, j);
        if (ends && !j->ending) {
            j->ending = true;
            put_final(p, j);
        }
    }
}

/* Records of final jobs go when changes are plentiful. */
static void put_garbage(struct planner *p) {
    rr_core *c = p->c;
    for (guint i = c->garbage->len; i > 0 && c->pressure < 0.5 && p->ops < p->limit; i--) {
        const char *key = g_ptr_array_index(c->garbage, i - 1);
        rr_job *j;
        const rr_run *r = rr_garbage_run(c, i - 1, &j);
        if (!r || !r->mark) {
            g_ptr_array_remove_index_fast(c->garbage, i - 1);
        } else if (!j->open && !r->edit && j->team >= 0 && rr_owns_team(c, j->team)) {
            rr_txn_guard(&p->out->txn, key, r->mark);
            rr_txn_delete(&p->out->txn, key);
            p->ops++;
        }
    }
}

/* What the changes are for: the store allows few, so this is where they are counted. */
static void log_plan(const struct planner *p) {
    guint done = 0, freed = 0, booked = 0;
    for (guint i = 0; i < p->edits->len; i++) {
        const struct edit *e = g_ptr_array_index(p->edits, i);
        guint new = 0;
        for (guint k = 0; k < e->items->len; k++) {
            const rr_item *it = &g_array_index(e->items, rr_item, k);
            new += rr_place_find(it->m, it->attempt, e->job, it->task) == NULL;
        }
        booked += new > 0;
        done += new == 0 && e->done->len > 0;
        freed += new == 0 && e->done->len == 0;
    }
    rr_log_at(p->c, RR_LOG_DEBUG,
              "plan: %u changes: %u records book, %u end tasks, %u others; %u known over; "
              "pressure %.2f",
              p->out->txn.changes->len, booked, done, freed, p->overs->len, p->c->pressure);
}

/* A batch says nothing any more once all its jobs have records of their own. */
static bool batch_over(const rr_batch *b) {
    for (guint i = 0; i < b->jobs->len; i++) {
        if (((const rr_job *)g_ptr_array_index(b->jobs, i))->own_mark == 0) {
            return false;
        }
    }
    return true;
}

static void put_old_batches(struct planner *p) {
    rr_core *c = p->c;
    GHashTableIter it;
    gpointer k, v;
    if (c->pressure > 0.3 || p->now - c->batches_at < 2 || !rr_core_is_steward(c, p->now)) {
        return;
    }
    c->batches_at = p->now;
    g_hash_table_iter_init(&it, c->batches);
    while (p->ops < p->limit && g_hash_table_iter_next(&it, &k, &v)) {
        if (batch_over(v)) {
            rr_txn_guard(&p->out->txn, k, ((rr_batch *)v)->mark);
            rr_txn_delete(&p->out->txn, k);
            p->ops++;
        }
    }
}

static void build_txn(struct planner *p) {
    rr_txn *t = &p->out->txn;
    char key[RR_ID + 64];
    rr_txn_guard(t, RR_ROOT "term", p->c->term.mark);
    for (guint i = 0; i < p->edits->len; i++) {
        put_edit(p, g_ptr_array_index(p->edits, i));
    }
    /* Every booking guards its job, and with that its own first copy: one that was held up finds
     * the job changed by its end, should the ledger's record be gone by then. */
    for (guint i = 0; i < p->guards->len; i++) {
        rr_job *j = g_ptr_array_index(p->guards, i);
        rr_core_job_key(j->s.ref, key, sizeof key);
        rr_txn_guard(t, key, j->own_mark);
    }
    /* On their own: if one of them is not as the mirror has it, no other change suffers. */
    if (t->changes->len == 0) {
        put_garbage(p);
        put_old_batches(p);
    }
    p->out->has_txn = t->changes->len > 0;
    if (p->out->has_txn && p->c->log_level >= RR_LOG_DEBUG) {
        log_plan(p);
    }
}

static void finish_dos(struct planner *p) {
    for (guint i = 0; i < p->out->dos->len; i++) {
        const rr_do *d = g_ptr_array_index(p->out->dos, i);
        rr_machine *m = g_hash_table_lookup(p->c->machines, d->stone);
        m->do_inflight = true;
        m->plan_do = NULL;
        m->reap_at = 0;
    }
}

static void planner_clear(struct planner *p) {
    for (guint i = 0; i < p->machines->len; i++) {
        rr_machine *m = g_ptr_array_index(p->machines, i);
        g_array_free(m->booked, TRUE);
        m->booked = NULL;
        for (guint k = 0; k < m->places->len; k++) {
            g_array_index(m->places, rr_place, k).leaving = false;
        }
    }
    for (guint i = 0; i < p->guards->len; i++) {
        ((rr_job *)g_ptr_array_index(p->guards, i))->listed = false;
    }
    g_ptr_array_free(p->machines, TRUE);
    g_ptr_array_free(p->guards, TRUE);
    g_ptr_array_free(p->edits, TRUE);
    close_again(p);
    for (guint i = 0; i < p->overs->len; i++) {
        const struct over *o = &g_array_index(p->overs, struct over, i);
        o->job->over = 0;
        rr_job_run(o->job, o->task / o->job->per)->overs = 0;
    }
    g_array_free(p->reopened, TRUE);
    g_array_free(p->overs, TRUE);
    g_array_free(p->failures, TRUE);
    g_array_free(p->cands, TRUE);
}

/* Whether changes were what bounded the plan, not the transaction. Between two plans some gather,
 * so that their number alone never looked short while hundreds of bookings waited for them. */
static void note_short(struct planner *p) {
    if (p->full && p->c->changes < p->c->cfg->txn_ops) {
        p->c->short_at = p->now;
    }
    p->full = false;
}

#define SHORT_S 1.0

static double pressure_now(const rr_core *c, double now) {
    return c->short_at > 0 && now - c->short_at < SHORT_S ? 1 : c->pressure;
}

void rr_core_plan(rr_core *c, double now, double wall, rr_plan *out) {
    if (!rr_core_entitled(c, now) || !rr_core_settled(c)) {
        return;
    }
    struct planner p = {.c = c, .now = now, .wall = wall, .out = out};
    c->pressure = pressure_now(c, now);
    p.edits = g_ptr_array_new_with_free_func(edit_free);
    p.overs = g_array_new(FALSE, FALSE, sizeof(struct over));
    p.reopened = g_array_new(FALSE, FALSE, sizeof(struct reopened));
    p.machines = g_ptr_array_new();
    p.guards = g_ptr_array_new();
    p.failures = g_array_new(FALSE, FALSE, sizeof(struct failure));
    p.cands = g_array_new(FALSE, FALSE, sizeof(rr_cand));
    g_array_set_size(c->team_booked, 0);
    g_array_set_size(c->team_booked, (guint)c->cfg->nteams);
    /* What is over leaves part of the transaction to what waits for its start. */
    int ops = MIN(c->cfg->txn_ops, c->changes);
    p.limit = any_waits(&p) ? ops - ops / 2 : ops;
    reconcile_dirty(&p);
    record_overs(&p);
    finish_dos(&p);
    GPtrArray *wait = waiting_jobs(&p); /* with those whose tasks have just lost their places */
    p.limit = ops;
    note_short(&p);
    bool round = rr_round_due(c, now);
    if (ops > 0 && (wait->len || round || c->plan_moves->len)) {
        rr_sim_reset(c);
        if (round) {
            rr_round(c, now); /* leaves every sum of free room as the ledger has it */
        }
        place_waiting(&p, wait);
        make_moves(&p);
    }
    record_lost(&p);
    note_short(&p);
    build_txn(&p);
    guint first = out->dos->len;
    probe_silent(&p);
    for (guint i = first; i < out->dos->len; i++) {
        rr_machine *m =
            g_hash_table_lookup(c->machines, ((rr_do *)g_ptr_array_index(out->dos, i))->stone);
        m->plan_do = NULL;
    }
    if (now - c->strangers_at > 1) {
        c->strangers_at = now;
        forget_strangers(c, now);
    }
    if (now - c->recount_at > RECOUNT_S) {
        c->recount_at = now;
        rr_team_recount(c);
    }
    g_ptr_array_free(wait, TRUE);
    planner_clear(&p);
    if (now - c->shrunk_at > SHRINK_S) {
        c->shrunk_at = now;
        rr_jobs_shrink(c, wall);
    }
}

/* Commands to it go unanswered: the others are told, since the steward may not have sent any. */
static void suspect(rr_core *c, rr_machine *m, double now) {
    if (rr_core_late(c, now, RR_LATE_S)) {
        return; /* the answer may be waiting to be read */
    }
    m->unanswered_at = m->unanswered++ == 0 ? now : m->unanswered_at;
    if (m->unanswered >= 2) {
        rr_core_suspect(c, m->name, now);
    }
}

void rr_core_suspect(rr_core *c, const char *stone, double now) {
    rr_machine *m = g_hash_table_lookup(c->machines, stone);
    if (m) {
        m->suspect_until = now + 2 * c->cfg->report_s;
    }
}

/* Machines whose commands got no answer twice or more in a row, for the peers. */
void rr_core_suspects(rr_core *c, double now, GPtrArray *out) {
    for (guint i = 0; i < c->machine_list->len; i++) {
        const rr_machine *m = g_ptr_array_index(c->machine_list, i);
        if (m->unanswered >= 2 && m->recorded && now - m->heard_at < 2 * c->cfg->report_s) {
            g_ptr_array_add(out, g_strdup(m->name));
        }
    }
}

static void probe_result(rr_core *c, rr_machine *m, double now, bool answered) {
    if (answered) {
        m->probe_fails = 0;
        m->deaf_probes = m->unanswered = 0;
        m->suspect_until = 0;
        return;
    }
    if (rr_core_late(c, now, RR_LATE_S)) {
        return; /* its answer may be waiting to be read */
    }
    m->probe_fails++;
    /* Only while it goes on reporting: a silent machine is another trouble. */
    if (!rr_machine_quiet(c, m, now)) {
        m->deaf_at = m->deaf_probes++ == 0 ? now : m->deaf_at;
        suspect(c, m, now);
    }
}

void rr_core_do_result(rr_core *c, double now, const rr_do *d, enum rr_do_outcome outcome,
                       bool executed) {
    rr_machine *m = g_hash_table_lookup(c->machines, d->stone);
    bool probe = d->orders->len == 0;
    c->probing -= probe && c->probing > 0;
    if (!m) {
        return;
    }
    m->do_inflight = false;
    rr_touch(c, m);
    if (probe) {
        probe_result(c, m, now, outcome == RR_DO_ANSWERED);
        return;
    }
    m->do_next = outcome == RR_DO_ANSWERED ? (executed ? 0 : now + 0.5) : now + 1;
    if (outcome == RR_DO_ANSWERED) {
        m->unanswered = 0;
        return;
    }
    suspect(c, m, now);
    if (d->via < 0) {
        m->direct_bad_until = now + 10;
    }
    if (outcome != RR_DO_DOUBT) {
        return;
    }
    if (m->lost_token != d->warrant || m->lost_tenure != d->tenure) {
        g_hash_table_remove_all(m->lost);
        m->lost_token = d->warrant;
        m->lost_tenure = d->tenure;
    }
    for (guint i = 0; i < d->orders->len; i++) {
        const rr_order *o = &g_array_index(d->orders, rr_order, i);
        if (o->verb == RR_START) {
            g_hash_table_add(m->lost, g_memdup2(&o->attempt, sizeof o->attempt));
        }
    }
}
