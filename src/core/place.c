/* Places waiting tasks after the chosen design, makes room for higher work, and books the moves of
 * a round. What is booked stands in the plan's transaction only. */
#include "core/plan.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define PLACE_MAX 256   /* placements in one plan at most */
#define RETRY_MAX_S 2.0 /* a job that found no room is looked at again after this at the latest */

/* ---- placing ---- */

static rr_res team_used(const struct rr_planner *p, int team) {
    rr_res u = rr_team_used(p->c, team);
    return (guint)team < p->c->team_booked->len
               ? rr_res_add(u, g_array_index(p->c->team_booked, rr_res, team), 1)
               : u;
}

/* Every placement in the ledger counts against the limit, proven gone or not. */
static bool within_quota(struct rr_planner *p, const rr_job *j, uint32_t tasks) {
    const struct rr_team_config *t = &p->c->cfg->teams[j->team];
    rr_res u = rr_res_add(team_used(p, j->team), j->need, tasks);
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
static bool within_guarantee(struct rr_planner *p, const rr_job *j) {
    rr_res g = guarantee_of(p->c, j->team), u = rr_res_add(team_used(p, j->team), j->need, 1);
    return u.cpu <= g.cpu + RR_EPS && u.gpu <= g.gpu + RR_EPS;
}

static bool beyond_guarantee(const rr_core *c, int team, rr_res used) {
    rr_res g = guarantee_of(c, team);
    return used.cpu > g.cpu + RR_EPS || used.gpu > g.gpu + RR_EPS;
}

static bool book_as(struct rr_planner *p, rr_machine *m, rr_job *j, uint32_t task,
                    uint64_t attempt) {
    rr_core *c = p->c;
    struct rr_plan_edit *e = rr_edit_of(p, j, task / j->per);
    if (!e || !rr_record_fits(c, e->items->len + 1)) {
        return false;
    }
    rr_item it = {.m = m, .task = task, .attempt = attempt, .tenure = m->rep.tenure};
    g_array_append_val(e->items, it);
    rr_plan_use(p, m);
    g_array_append_val(m->booked, j);
    m->sim = rr_res_add(m->sim, j->need, -1);
    m->booked_cast = j->cast;
    rr_res *u = &g_array_index(c->team_booked, rr_res, j->team);
    *u = rr_res_add(*u, j->need, 1);
    rr_plan_guard(p, j);
    rr_log_at(c, RR_LOG_DEBUG, "place %s/%u try %" G_GUINT64_FORMAT " on %s", j->s.ref, task,
              it.attempt, m->name);
    return true;
}

static bool book(struct rr_planner *p, rr_machine *m, rr_job *j, uint32_t task) {
    return book_as(p, m, j, task, rr_next_attempt(p->c));
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
static bool may_stop(struct rr_planner *p, const rr_job *j, const rr_place *q, bool owed,
                     rr_res taken) {
    const rr_job *v = q->job;
    if (v->s.shape == RR_GANG) {
        return false; /* all of it would go for the room of one task */
    }
    if (v->s.rank < j->s.rank && v->s.shape == RR_BATCH &&
        rr_objective_for(p->c, "wait", j->s.lane)) {
        return true;
    }
    return owed && v->team >= 0 && v->team != j->team &&
           beyond_guarantee(p->c, v->team, rr_res_add(team_used(p, v->team), taken, -1));
}

/* Room for a job that may preempt: which placements would have to go from m, and what that loses.
 */
static bool victims_on(struct rr_planner *p, rr_machine *m, const rr_job *j, bool at_once,
                       GArray *out, double *loss) {
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
static bool must_hurry(const struct rr_planner *p, const rr_job *j, const rr_machine *m) {
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
static bool mark_victims(struct rr_planner *p, rr_machine *m, const rr_job *j, uint32_t task,
                         const GArray *victims, int how) {
    for (guint i = 0; i < victims->len; i++) {
        const rr_place *q = g_array_index(victims, rr_place *, i);
        if (!rr_edit_of(p, q->job, q->task / q->job->per)) {
            return false;
        }
    }
    for (guint i = 0; i < victims->len; i++) {
        rr_place *q = g_array_index(victims, rr_place *, i);
        rr_item *it =
            rr_edit_item(rr_edit_of(p, q->job, q->task / q->job->per), q->attempt, q->task);
        if (it) {
            it->evict = how;
        }
        q->leaving = true;
        rr_plan_use(p, m);
        m->sim = rr_res_add(m->sim, q->job->need, 1);
        rr_log_at(p->c, RR_LOG_DEBUG, "preempt %s/%u on %s for %s/%u%s", q->job->s.ref, q->task,
                  m->name, j->s.ref, task, how == RR_EVICT_AT_ONCE ? ", unsaved" : "");
    }
    return true;
}

#define PREEMPT_LOOK 160 /* machines with victims compared at most */

/* The machine on which least work is lost; the task is booked there at once and starts when the
 * ledger shows room. */
static bool preempt_for(struct rr_planner *p, rr_job *j, uint32_t task, const struct rr_choice *how,
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
    bool ok = best && victims_on(p, best, j, hurry, v, &least) && rr_edit_of(p, j, task / j->per) &&
              mark_victims(p, best, j, task, v, hurry ? RR_EVICT_AT_ONCE : RR_EVICT_SAVING) &&
              book(p, best, j, task);
    g_array_free(v, TRUE);
    return ok;
}

/* Where a class has an aim on its start: a free machine that can make it, else the room of lower
 * work where the image is, else any free machine, else any room of lower work. */
static bool place_urgent(struct rr_planner *p, rr_job *j, uint32_t task,
                         const struct rr_choice *how) {
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

static bool place_task(struct rr_planner *p, rr_job *j, uint32_t task, struct rr_choice *how) {
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

static void zones_update(struct rr_planner *p, rr_job *j, struct zones *z) {
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
static bool hopeless(const struct rr_planner *p, const rr_job *j, uint64_t wards) {
    for (guint i = 0; i < p->failures->len; i++) {
        const struct rr_plan_failure *f = &g_array_index(p->failures, struct rr_plan_failure, i);
        if (same_demands(f->job, j) && rr_res_fits(f->job->need, j->need) &&
            (j->s.shape != RR_GANG || f->job->s.pieces <= j->s.pieces) &&
            (wards & ~f->wards) == 0) {
            return true;
        }
    }
    return false;
}

static void note_failure(struct rr_planner *p, rr_job *j, uint64_t wards) {
    struct rr_plan_failure f = {j, wards};
    j->failed_at = p->now;
    if (p->failures->len < 64) {
        g_array_append_val(p->failures, f);
    }
}

/* The rest of a chunk whose record is full waits. */
static bool chunk_full(struct rr_planner *p, rr_job *j, uint32_t task) {
    const rr_run *r = rr_job_run(j, task / j->per);
    const struct rr_plan_edit *e = r->edit;
    return !rr_record_fits(p->c, (e ? e->items->len : r->items->len) + 1);
}

/* Takes this plan's bookings of the gang back. */
static void unbook(struct rr_planner *p, rr_job *j, uint32_t tasks) {
    const struct rr_plan_edit *e = rr_job_run(j, 0)->edit;
    rr_res *u = &g_array_index(p->c->team_booked, rr_res, j->team);
    for (; tasks > 0; tasks--) {
        rr_machine *m = g_array_index(e->items, rr_item, e->items->len - 1).m;
        g_array_set_size(e->items, e->items->len - 1);
        g_array_set_size(m->booked, m->booked->len - 1);
        m->sim = rr_res_add(m->sim, j->need, 1);
        *u = rr_res_add(*u, j->need, -1);
    }
}

static bool fits_whole(const struct rr_planner *p, const rr_job *j) {
    uint32_t fit = 0;
    for (guint i = 0; i < p->cands->len && fit < j->s.pieces; i++) {
        const rr_machine *m = g_array_index(p->cands, rr_cand, i).m;
        fit += rr_tasks_in(j->need, m->sim, j->s.pieces - fit);
    }
    return fit >= j->s.pieces;
}

/* All tasks of the gang or none, in one record, under one attempt. While one waits for room it
 * holds none, so that no two of them hold a half each. */
static void place_gang(struct rr_planner *p, rr_job *j, int *left) {
    rr_core *c = p->c;
    guint n = c->wards.names->len;
    bool wards[n + 1];
    uint32_t by_ward[n + 1], task = 0;
    struct zones z = {wards, by_ward, 0, true};
    memset(wards, 0, sizeof wards);
    memset(by_ward, 0, sizeof by_ward);
    if (j->nplaced > 0 || !within_quota(p, j, j->s.pieces) ||
        rr_job_count_by_ward(c, j, NULL, by_ward) > 0) {
        return; /* an earlier attempt has tasks left, or the team has no room */
    }
    zones_update(p, j, &z);
    uint64_t mask = ward_mask(c, wards), attempt = rr_next_attempt(c);
    if (hopeless(p, j, mask)) {
        j->failed_at = p->now;
        return;
    }
    struct rr_choice how = {.wards = wards, .filter = rr_machine_usable};
    bool any[n + 1];
    memset(any, !rr_zone_bound(j), sizeof any);
    struct rr_choice walk = how;
    walk.wards = rr_zone_bound(j) ? wards : any;
    rr_candidates(c, j, &walk, p->now, p->cands);
    /* One that can't fit takes nothing of the transaction. */
    if (!fits_whole(p, j)) {
        note_failure(p, j, mask);
        return;
    }
    for (; task < j->s.pieces; task++) {
        rr_machine *m = rr_choose_from(c, j, &how, p->cands);
        if (!m || !book_as(p, m, j, task, attempt)) {
            break;
        }
        z.by_ward[m->ward]++;
        z.all++;
        rr_job_wards_from(c, j, z.by_ward, z.all, z.allowed);
    }
    if (task < j->s.pieces) {
        unbook(p, j, task);
        if (!p->full) {
            note_failure(p, j, mask);
        }
        return;
    }
    *left -= (int)task;
}

static void place_job(struct rr_planner *p, rr_job *j, int *left) {
    rr_core *c = p->c;
    if (j->s.shape == RR_GANG) {
        place_gang(p, j, left);
        return;
    }
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
        if (!within_quota(p, j, 1)) {
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
            const struct rr_plan_edit *e = rr_job_run(j, task / j->per)->edit;
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

bool rr_any_waits(const struct rr_planner *p) {
    for (guint i = 0; i < p->c->open->len; i++) {
        if (waits(p->c, g_ptr_array_index(p->c->open, i), p->now)) {
            return true;
        }
    }
    return false;
}

GPtrArray *rr_waiting_jobs(const struct rr_planner *p) {
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

static rr_job *overdue(const struct rr_planner *p, const GPtrArray *wait) {
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

void rr_place_waiting(struct rr_planner *p, GPtrArray *wait) {
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

void rr_make_moves(struct rr_planner *p) {
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
            !within_quota(p, mv.job, 1) || !book(p, mv.to, mv.job, mv.task)) {
            /* A move that fails ends the plan. */
            g_array_set_size(c->plan_moves, 0);
            return;
        }
        rr_item *it =
            rr_edit_item(rr_job_run(mv.job, mv.task / mv.job->per)->edit, old->attempt, mv.task);
        if (it) {
            it->evict = RR_EVICT_SAVING;
        }
        c->moves_made++;
        rr_log_at(c, RR_LOG_DEBUG, "move %s/%u from %s to %s", mv.job->s.ref, mv.task,
                  mv.from->name, mv.to->name);
    }
}
