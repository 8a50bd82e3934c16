/* What a team owner does next: take back placements on proof, stop, start, reap, place waiting
 * tasks. One plan makes at most one transaction; the shell plans again once the mirror shows it. */
#include "core/model.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define RESEND_S 1.5
#define PLACE_MAX 256 /* placements in one plan at most */

/* Changes to one machine's record in this plan. */
struct edit {
    rr_machine *m;
    GArray *places; /* rr_place */
};

struct result_edit {
    rr_job *job;
    GArray *tasks; /* uint32_t */
    int zone;
};

struct planner {
    rr_core *c;
    double now, wall;
    rr_plan *out;
    GPtrArray *edits;      /* struct edit* */
    GPtrArray *results;    /* struct result_edit* */
    GPtrArray *touched;    /* rr_job*: guarded against a cancellation in between */
    GHashTable *team_used; /* team -> rr_res* */
    int ops;               /* changes so far */
    size_t bytes;          /* their size, roughly */
    bool full;             /* the transaction takes no more */
};

void rr_plan_init(rr_plan *p) {
    memset(p, 0, sizeof *p);
    rr_txn_init(&p->txn);
    p->dos = g_ptr_array_new_with_free_func((GDestroyNotify)rr_do_free);
    p->next_s = 0.5;
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
    e->m->edit = NULL;
    g_array_free(e->places, TRUE);
    g_free(e);
}

static void result_free(gpointer p) {
    struct result_edit *r = p;
    g_array_free(r->tasks, TRUE);
    g_free(r);
}

/* ---- the transaction under construction ---- */

static size_t record_bytes(guint places) {
    return 300 + (size_t)places * 48;
}

/* Whether a record with this many placements keeps to the store's size of a value. */
static bool record_fits(const rr_core *c, guint places) {
    return (double)record_bytes(places) <= c->cfg->value_kb * 1024;
}

static bool txn_room(struct planner *p, int ops, size_t bytes) {
    if (p->ops + ops > p->c->cfg->txn_ops || p->bytes + bytes > 48 * 1024) {
        p->full = true;
        return false;
    }
    return true;
}

static struct edit *edit_of(struct planner *p, rr_machine *m) {
    if (m->edit) {
        return m->edit;
    }
    if (!txn_room(p, 1, record_bytes(m->places->len + 1))) {
        return NULL;
    }
    struct edit *e = g_new0(struct edit, 1);
    e->m = m;
    e->places = g_array_copy(m->places);
    m->edit = e;
    p->ops++;
    p->bytes += record_bytes(m->places->len + 1);
    g_ptr_array_add(p->edits, e);
    return e;
}

static struct result_edit *result_of(struct planner *p, rr_job *j) {
    for (guint i = 0; i < p->results->len; i++) {
        struct result_edit *r = g_ptr_array_index(p->results, i);
        if (r->job == j) {
            return r;
        }
    }
    /* One for the chunk, one for the job's end. */
    if (!txn_room(p, 2, RR_CHUNK / 4 + 1024)) {
        return NULL;
    }
    struct result_edit *r = g_new0(struct result_edit, 1);
    r->job = j;
    r->zone = -1;
    r->tasks = g_array_new(FALSE, FALSE, sizeof(uint32_t));
    p->ops += 2;
    p->bytes += RR_CHUNK / 4 + 1024;
    g_ptr_array_add(p->results, r);
    return r;
}

static bool same_chunk(const struct result_edit *r, uint32_t task) {
    return r->tasks->len == 0 || g_array_index(r->tasks, uint32_t, 0) / RR_CHUNK == task / RR_CHUNK;
}

static bool result_has(const struct result_edit *r, uint32_t task) {
    for (guint i = 0; i < r->tasks->len; i++) {
        if (g_array_index(r->tasks, uint32_t, i) == task) {
            return true;
        }
    }
    return false;
}

static void touch_job(struct planner *p, rr_job *j) {
    if (!g_ptr_array_find(p->touched, j, NULL)) {
        g_ptr_array_add(p->touched, j);
    }
}

/* Takes a placement out of the record, with its completion if there is one to record. */
static void remove_place(struct planner *p, rr_machine *m, const rr_place *pl, bool done) {
    rr_job *j = pl->job;
    if (done && !j->cancelled && !rr_job_task_done(j, pl->task)) {
        struct result_edit *r = result_of(p, j);
        if (!r || !same_chunk(r, pl->task)) {
            return;
        }
        if (!edit_of(p, m)) {
            return;
        }
        if (!result_has(r, pl->task)) {
            g_array_append_val(r->tasks, pl->task);
        }
        r->zone = m->ward;
    }
    struct edit *e = edit_of(p, m);
    for (guint i = 0; e && i < e->places->len; i++) {
        const rr_place *q = &g_array_index(e->places, rr_place, i);
        if (q->attempt == pl->attempt && q->job == j && q->task == pl->task) {
            g_array_remove_index(e->places, i);
            return;
        }
    }
}

/* ---- orders ---- */

static rr_do *do_for(struct planner *p, rr_machine *m) {
    for (guint i = 0; i < p->out->dos->len; i++) {
        rr_do *d = g_ptr_array_index(p->out->dos, i);
        if (strcmp(d->stone, m->name) == 0) {
            return d;
        }
    }
    rr_do *d = g_new0(rr_do, 1);
    g_strlcpy(d->stone, m->name, sizeof d->stone);
    g_strlcpy(d->addr, m->addr, sizeof d->addr);
    d->warrant = p->c->term.token;
    d->tenure = m->rep.tenure;
    d->orders = g_array_new(FALSE, TRUE, sizeof(rr_order));
    d->fallback = m->via;
    d->via = m->via >= 0 && p->now < m->direct_bad_until ? m->via : -1;
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
static bool has_older(const rr_core *c, const rr_place *pl) {
    if (!pl->job->placed || pl->task >= pl->job->s.pieces || pl->job->placed[pl->task] < 2) {
        return false;
    }
    for (guint i = 0; i < c->machine_list->len; i++) {
        const rr_machine *m = g_ptr_array_index(c->machine_list, i);
        for (guint k = 0; k < m->places->len; k++) {
            const rr_place *q = &g_array_index(m->places, rr_place, k);
            if (q->job == pl->job && q->task == pl->task && q->attempt < pl->attempt) {
                return true;
            }
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

static bool over_capacity(const rr_core *c, const rr_machine *m) {
    return !rr_res_fits(m->used, rr_machine_cap(c, m));
}

static void start_place(struct planner *p, rr_machine *m, rr_place *pl) {
    if (pl->start_at > 0 && p->now - pl->start_at < RESEND_S) {
        return;
    }
    /* Booked over others that must go first: the machine would refuse it. */
    if (over_capacity(p->c, m) || has_older(p->c, pl) || m->ret) {
        return;
    }
    order(p, m, RR_START, pl->job->s.ref, pl->task, pl->attempt, 0);
    pl->start_at = p->now;
}

static void reconcile_place(struct planner *p, rr_machine *m, rr_place *pl) {
    const rr_core *c = p->c;
    const rr_piece *r = rr_piece_find(m, pl);
    if (m->rep.tenure > pl->tenure) {
        /* The worker killed and forgot everything of the earlier tenure, and commands for it are
         * refused. */
        remove_place(p, m, pl, r && r->standing == RR_ENDED && r->cause == RR_DONE);
        return;
    }
    if (r && r->standing == RR_ENDED) {
        /* Shown as exited it can't start again before it is reaped, and that comes after this. */
        remove_place(p, m, pl, r->cause == RR_DONE);
        return;
    }
    if (m->do_inflight || p->now < m->do_next || !rr_machine_fresh(c, m, p->now)) {
        return;
    }
    if (unwanted(m, pl)) {
        /* Absent in a report that knows the present token, with no start of this term under way:
         * it never will be there. */
        if (!r && m->rep.warrant == c->term.token && !start_lost(c, m, pl->attempt)) {
            remove_place(p, m, pl, false);
            return;
        }
        stop_place(p, m, pl, r);
    } else if (!r) {
        start_place(p, m, pl);
    }
}

/* Tasks on the machine that the ledger does not know: exited ones are reaped, others stopped. */
static void reconcile_stray(struct planner *p, rr_machine *m, const rr_piece *r) {
    const rr_core *c = p->c;
    rr_job *j = g_hash_table_lookup(c->jobs, r->ref);
    if (!j || j->team < 0 || !rr_owns_team(c, j->team) ||
        rr_place_find(m, r->attempt, j, r->task)) {
        return;
    }
    if (r->standing == RR_ENDED) {
        /* While a copy of its start may come late, the exited attempt stays and blocks it. */
        if (!start_lost(c, m, r->attempt)) {
            order(p, m, RR_REAP, r->ref, r->task, r->attempt, 0);
        }
    } else {
        order(p, m, RR_STOP, r->ref, r->task, r->attempt, 0);
    }
}

static void reconcile(struct planner *p, rr_machine *m) {
    if (!m->heard || m->rep.warrant > p->c->term.token) {
        return;
    }
    for (guint i = 0; i < m->places->len; i++) {
        rr_place *pl = &g_array_index(m->places, rr_place, i);
        if (pl->job->team >= 0 && rr_owns_team(p->c, pl->job->team)) {
            reconcile_place(p, m, pl);
        }
    }
    if (m->do_inflight || p->now < m->do_next || !rr_machine_fresh(p->c, m, p->now)) {
        return;
    }
    for (guint i = 0; i < m->rep.pieces->len; i++) {
        reconcile_stray(p, m, &g_array_index(m->rep.pieces, rr_piece, i));
    }
}

/* ---- placing ---- */

static rr_res *team_used(struct planner *p, int team) {
    rr_res *u = g_hash_table_lookup(p->team_used, GINT_TO_POINTER(team + 1));
    if (u) {
        return u;
    }
    u = g_new0(rr_res, 1);
    for (guint i = 0; i < p->c->machine_list->len; i++) {
        const rr_machine *m = g_ptr_array_index(p->c->machine_list, i);
        for (guint k = 0; k < m->places->len; k++) {
            const rr_place *pl = &g_array_index(m->places, rr_place, k);
            if (pl->job->team == team) {
                *u = rr_res_add(*u, pl->job->need, 1);
            }
        }
    }
    g_hash_table_insert(p->team_used, GINT_TO_POINTER(team + 1), u);
    return u;
}

/* Every placement in the ledger counts against the limit, proven gone or not. */
static bool within_quota(struct planner *p, const rr_job *j) {
    const struct rr_team_config *t = &p->c->cfg->teams[j->team];
    rr_res u = rr_res_add(*team_used(p, j->team), j->need, 1);
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
    rr_res g = guarantee_of(p->c, j->team), u = rr_res_add(*team_used(p, j->team), j->need, 1);
    return u.cpu <= g.cpu + RR_EPS && u.gpu <= g.gpu + RR_EPS;
}

static bool beyond_guarantee(const rr_core *c, int team, rr_res used) {
    rr_res g = guarantee_of(c, team);
    return used.cpu > g.cpu + RR_EPS || used.gpu > g.gpu + RR_EPS;
}

static bool book(struct planner *p, rr_machine *m, rr_job *j, uint32_t task) {
    rr_core *c = p->c;
    struct edit *e = edit_of(p, m);
    if (!e || !record_fits(c, e->places->len + 1)) {
        return false;
    }
    rr_place pl = {.job = j, .task = task, .tenure = m->rep.tenure};
    pl.attempt = rr_next_attempt(c);
    g_array_append_val(e->places, pl);
    m->sim = rr_res_add(m->sim, j->need, -1);
    m->booked_cast = j->cast;
    rr_res *u = team_used(p, j->team);
    *u = rr_res_add(*u, j->need, 1);
    touch_job(p, j);
    rr_log_at(c, RR_LOG_DEBUG, "place %s/%u try %" G_GUINT64_FORMAT " on %s", j->s.ref, task,
              pl.attempt, m->name);
    return true;
}

static bool booked_now(const struct planner *p, const rr_job *j, uint32_t task) {
    for (guint i = 0; i < p->edits->len; i++) {
        const struct edit *e = g_ptr_array_index(p->edits, i);
        for (guint k = 0; k < e->places->len; k++) {
            const rr_place *q = &g_array_index(e->places, rr_place, k);
            if (q->job == j && q->task == task) {
                return true;
            }
        }
    }
    return false;
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
    const rr_place *place;
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
           beyond_guarantee(p->c, v->team, rr_res_add(*team_used(p, v->team), taken, -1));
}

/* Room for a job that may preempt: which placements would have to go from m, and what that loses.
 */
static bool victims_on(struct planner *p, rr_machine *m, const rr_job *j, bool at_once, GArray *out,
                       double *loss) {
    rr_res room = m->sim;
    const GArray *places = m->edit ? ((struct edit *)m->edit)->places : m->places;
    GArray *lower = g_array_new(FALSE, FALSE, sizeof(struct victim));
    bool owed = within_guarantee(p, j);
    rr_res taken = {0, 0, 0};
    *loss = 0;
    g_array_set_size(out, 0);
    for (guint i = 0; i < places->len; i++) {
        const rr_place *q = &g_array_index(places, rr_place, i);
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
        const rr_place *q = v->place;
        if (!may_stop(p, j, q, owed, taken)) {
            continue; /* those before it brought its team back within its guarantee */
        }
        taken = rr_res_add(taken, q->job->need, 1);
        bool saves = q->job->s.cairn_s > 0 && !at_once;
        room = rr_res_add(room, q->job->need, 1);
        *loss += 1 + (saves ? q->job->s.stash_s : unsaved(q, p->now));
        *loss += v->slack < TIGHT_S ? TIGHT_S - v->slack : 0;
        g_array_append_val(out, q->attempt);
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

static void mark_victims(struct planner *p, rr_machine *m, const rr_job *j, uint32_t task,
                         const GArray *attempts, int how) {
    struct edit *e = m->edit;
    for (guint i = 0; i < e->places->len; i++) {
        rr_place *q = &g_array_index(e->places, rr_place, i);
        for (guint k = 0; k < attempts->len; k++) {
            if (q->attempt == g_array_index(attempts, uint64_t, k) && !q->evict && q->job != j) {
                q->evict = how;
                rr_log_at(p->c, RR_LOG_INFO, "preempt %s/%u on %s for %s/%u%s", q->job->s.ref,
                          q->task, m->name, j->s.ref, task,
                          how == RR_EVICT_AT_ONCE ? ", unsaved" : "");
            }
        }
    }
}

/* The machine on which least work is lost; the task is booked there at once and starts when the
 * ledger shows room. */
static bool preempt_for(struct planner *p, rr_job *j, uint32_t task, const bool *wards, bool warm) {
    rr_core *c = p->c;
    rr_machine *best = NULL;
    double least = 0;
    GArray *v = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    for (guint i = 0; i < c->machine_list->len; i++) {
        rr_machine *m = g_ptr_array_index(c->machine_list, i);
        double loss;
        if (m->ward < 0 || !wards[m->ward] || !rr_job_allows(c, j, m->build, m->ward, m->loaners) ||
            !rr_machine_usable(c, m, p->now) || (warm && !rr_machine_has_cast(m, j->cast)) ||
            !victims_on(p, m, j, must_hurry(p, j, m), v, &loss)) {
            continue;
        }
        if (!best || loss < least) {
            best = m;
            least = loss;
        }
    }
    bool hurry = best && must_hurry(p, j, best);
    bool ok = best && victims_on(p, best, j, hurry, v, &least) && book(p, best, j, task);
    if (ok) {
        mark_victims(p, best, j, task, v, hurry ? RR_EVICT_AT_ONCE : RR_EVICT_SAVING);
    }
    g_array_free(v, TRUE);
    return ok;
}

/* Where a class has an aim on its start: a free machine that can make it, else the room of lower
 * work where the image is, else any free machine, else any room of lower work. */
static bool place_urgent(struct planner *p, rr_job *j, uint32_t task, struct rr_choice *how) {
    const rr_core *c = p->c;
    double within = rr_objective_for(c, "wait", j->s.lane)->within_s;
    rr_machine *m = rr_choose(p->c, j, how, p->now);
    if (m && rr_fetch_time(c, j, m) + 1 <= within) {
        return book(p, m, j, task);
    }
    if (may_preempt(c, j) && preempt_for(p, j, task, how->wards, true)) {
        return true;
    }
    return m ? book(p, m, j, task)
             : may_preempt(c, j) && preempt_for(p, j, task, how->wards, false);
}

static bool place_task(struct planner *p, rr_job *j, uint32_t task, const bool *wards) {
    struct rr_choice how = {
        .wards = wards, .separate = j->s.shape == RR_SERVICE, .filter = rr_machine_usable};
    if (rr_objective_for(p->c, "wait", j->s.lane) && place_urgent(p, j, task, &how)) {
        return true;
    }
    rr_machine *m = rr_choose(p->c, j, &how, p->now);
    if (!m && how.separate && j->nplaced) {
        how.separate = false; /* better two on one machine than one not at all */
        m = rr_choose(p->c, j, &how, p->now);
    }
    if (!m && within_guarantee(p, j)) {
        return preempt_for(p, j, task, wards, false);
    }
    return m && book(p, m, j, task);
}

static void place_job(struct planner *p, rr_job *j, int *left) {
    rr_core *c = p->c;
    bool wards[c->wards.names->len + 1];
    memset(wards, 0, sizeof wards);
    rr_job_wards(c, j, wards, NULL);
    if (rr_zone_bound(j)) {
        int z = rr_zone_most_room(c, j, wards, p->now);
        for (guint w = 0; w < c->wards.names->len; w++) {
            wards[w] = (int)w == z;
        }
    }
    uint32_t task = j->hint;
    bool first = true;
    for (; !p->full && *left > 0 && next_task(j, &task); task++) {
        if (first) {
            j->hint = task;
            first = false;
        }
        if (booked_now(p, j, task)) {
            continue;
        }
        if (!within_quota(p, j)) {
            return;
        }
        if (!place_task(p, j, task, wards)) {
            return;
        }
        (*left)--;
        if (j->s.apart || j->s.one_zone) {
            return; /* the zones' counts change: the next plan goes on */
        }
    }
}

static gint by_turn(gconstpointer a, gconstpointer b) {
    const rr_job *x = *(const rr_job *const *)a, *y = *(const rr_job *const *)b;
    if (x->s.rank != y->s.rank) {
        return x->s.rank > y->s.rank ? -1 : 1;
    }
    double dx = x->s.due_s >= 0 ? x->at + x->s.due_s : 1e18;
    double dy = y->s.due_s >= 0 ? y->at + y->s.due_s : 1e18;
    if (x->s.rank < RR_PROD && dx != dy) {
        return dx < dy ? -1 : 1;
    }
    return x->at < y->at ? -1 : x->at > y->at;
}

static void place_waiting(struct planner *p) {
    rr_core *c = p->c;
    GPtrArray *wait = g_ptr_array_new();
    for (guint i = 0; i < c->open->len; i++) {
        rr_job *j = g_ptr_array_index(c->open, i);
        if (j->mark && !j->cancelled && !j->done && j->team >= 0 &&
            (size_t)j->team < c->cfg->nteams && j->ndone + j->nplaced < j->s.pieces &&
            p->now >= j->hold_until && rr_owns_team(c, j->team)) {
            g_ptr_array_add(wait, j);
        }
    }
    g_ptr_array_sort(wait, by_turn);
    int left = PLACE_MAX;
    for (guint i = 0; i < wait->len && !p->full && left > 0; i++) {
        place_job(p, g_ptr_array_index(wait, i), &left);
    }
    g_ptr_array_free(wait, TRUE);
}

/* ---- moves of a round's plan ---- */

static void make_moves(struct planner *p) {
    rr_core *c = p->c;
    while (c->plan_moves->len > 0 && c->round_left > 0 && p->ops + 2 <= c->cfg->txn_ops) {
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
            !within_quota(p, mv.job) || !edit_of(p, mv.from) || !book(p, mv.to, mv.job, mv.task)) {
            /* A move that fails ends the plan. */
            g_array_set_size(c->plan_moves, 0);
            return;
        }
        struct edit *e = mv.from->edit;
        for (guint k = 0; k < e->places->len; k++) {
            rr_place *q = &g_array_index(e->places, rr_place, k);
            q->evict = q->attempt == old->attempt ? RR_EVICT_SAVING : q->evict;
        }
        c->moves_made++;
        rr_log_at(c, RR_LOG_INFO, "move %s/%u from %s to %s", mv.job->s.ref, mv.task, mv.from->name,
                  mv.to->name);
    }
}

#define STRANGER_S 120.0

/* Machines known only from reports that came late, after their records were gone. */
static void forget_strangers(rr_core *c, double now) {
    for (guint i = c->machine_list->len; i > 0; i--) {
        rr_machine *m = g_ptr_array_index(c->machine_list, i - 1);
        if (!m->recorded && !m->to_adopt && !m->do_inflight && rr_silent_for(m, now) > STRANGER_S) {
            rr_machine_forget(c, m);
        }
    }
}

/* ---- probes ---- */

#define PROBES_MAX 2 /* at a time: a silent zone must not keep the senders from the others */
#define PROBE_EVERY_S 0.9

/* A report late by more than its usual quarter: ask. The one asked longest ago comes first. */
static void probe_silent(struct planner *p) {
    rr_core *c = p->c;
    for (guint i = 0; i < c->machine_list->len && c->probing < PROBES_MAX; i++) {
        rr_machine *best = NULL;
        for (guint k = 0; k < c->machine_list->len; k++) {
            rr_machine *m = g_ptr_array_index(c->machine_list, k);
            if (m->recorded && !m->ret && m->addr[0] && !m->do_inflight &&
                (m->heard || m->places->len) && rr_silent_for(m, p->now) > 1.3 * c->cfg->report_s &&
                p->now - m->probed_at > PROBE_EVERY_S &&
                (!best || m->probed_at < best->probed_at)) {
                best = m;
            }
        }
        if (!best) {
            return;
        }
        best->probed_at = p->now;
        best->do_inflight = true;
        do_for(p, best);
        c->probing++;
    }
}

/* ---- putting it together ---- */

static void put_results(struct planner *p) {
    for (guint i = 0; i < p->results->len; i++) {
        struct result_edit *r = g_ptr_array_index(p->results, i);
        rr_job *j = r->job;
        char key[RR_ID + 64];
        rr_out o;
        if (r->tasks->len == 0) {
            continue;
        }
        uint32_t chunk = g_array_index(r->tasks, uint32_t, 0) / RR_CHUNK;
        rr_out_init(&o);
        rr_job_chunk_encode(&o, j, chunk, r->tasks,
                            j->s.one_zone ? rr_names_at(&p->c->wards, r->zone) : NULL);
        rr_result_key(j->s.ref, chunk, key, sizeof key);
        rr_txn_put(&p->out->txn, key, &o, 0);
        touch_job(p, j);
        if (j->ndone + r->tasks->len < j->s.pieces) {
            continue;
        }
        rr_out_init(&o);
        rr_put_map(&o, 4);
        rr_put_key_text(&o, "ref", j->s.ref);
        rr_put_key_text(&o, "final", "done");
        rr_put_key_text(&o, "crew", j->s.crew);
        rr_put_key_u64(&o, "pieces", j->s.pieces);
        rr_core_job_key(j->s.ref, key, sizeof key);
        rr_txn_put(&p->out->txn, key, &o, 0);
        rr_log_at(p->c, RR_LOG_DEBUG, "job %s is done", j->s.ref);
    }
}

static void build_txn(struct planner *p) {
    rr_txn *t = &p->out->txn;
    char key[RR_ID + 32];
    rr_txn_guard(t, RR_ROOT "term", p->c->term.mark);
    for (guint i = 0; i < p->edits->len; i++) {
        struct edit *e = g_ptr_array_index(p->edits, i);
        rr_out o;
        rr_out_init(&o);
        rr_machine_encode(p->c, &o, e->m, e->places, e->m->ret);
        rr_machine_key(e->m->name, key, sizeof key);
        rr_txn_guard(t, key, e->m->mark);
        rr_txn_put(t, key, &o, 0);
    }
    put_results(p);
    for (guint i = 0; i < p->touched->len; i++) {
        rr_job *j = g_ptr_array_index(p->touched, i);
        if ((int)t->guards->len < 4 * p->c->cfg->txn_ops) {
            rr_core_job_key(j->s.ref, key, sizeof key);
            rr_txn_guard(t, key, j->mark);
        }
    }
    p->out->has_txn = t->changes->len > 0;
}

static void finish_dos(struct planner *p) {
    for (guint i = 0; i < p->out->dos->len; i++) {
        rr_do *d = g_ptr_array_index(p->out->dos, i);
        rr_machine *m = g_hash_table_lookup(p->c->machines, d->stone);
        m->do_inflight = true;
    }
}

void rr_core_plan(rr_core *c, double now, double wall, rr_plan *out) {
    if (!rr_core_entitled(c, now)) {
        return;
    }
    struct planner p = {.c = c, .now = now, .wall = wall, .out = out};
    p.edits = g_ptr_array_new_with_free_func(edit_free);
    p.results = g_ptr_array_new_with_free_func(result_free);
    p.touched = g_ptr_array_new();
    p.team_used = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    forget_strangers(c, now);
    rr_sim_reset(c);
    for (guint i = 0; i < c->machine_list->len; i++) {
        reconcile(&p, g_ptr_array_index(c->machine_list, i));
    }
    rr_round(c, now); /* leaves every sum of free room as the ledger has it */
    place_waiting(&p);
    make_moves(&p);
    build_txn(&p);
    finish_dos(&p);
    probe_silent(&p);
    g_hash_table_destroy(p.team_used);
    g_ptr_array_free(p.touched, TRUE);
    g_ptr_array_free(p.results, TRUE);
    g_ptr_array_free(p.edits, TRUE);
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
    if (probe) {
        m->probe_fails = outcome == RR_DO_ANSWERED ? 0 : m->probe_fails + 1;
        return;
    }
    m->do_next = outcome == RR_DO_ANSWERED ? (executed ? 0 : now + 0.5) : now + 1;
    if (outcome == RR_DO_ANSWERED) {
        return;
    }
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
