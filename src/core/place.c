/* Places waiting tasks after the chosen design, and books the moves of a round. What is booked
 * stands in the plan's transaction only. */
#include "core/place_gang.h"
#include "core/preempt.h"

#include <math.h>
#include <string.h>

#define PLACE_MAX 256   /* placements in one plan at most */
#define RETRY_MAX_S 2.0 /* a job that found no room is looked at again after this at the latest */

static bool next_task(const rr_job *j, uint32_t *task) {
    while (*task < j->submission.task_count && (j->placed[*task] || rr_job_task_done(j, *task))) {
        (*task)++;
    }
    return *task < j->submission.task_count;
}

/* Where a class has an aim on its start: a free machine that can make it, else the room of lower
 * work where the image is, else any free machine, else any room of lower work. */
static bool place_urgent(struct rr_planner *p, rr_job *j, uint32_t task,
                         const struct rr_placement_constraints *how) {
    rr_core *c = p->core;
    double within = rr_objective_for(c, "wait", j->submission.job_class)->within_s;
    rr_machine *m = rr_bin_pack_from(c, j, how, p->candidates);
    if (m && rr_image_fetch_s(c, j, m) + 1 <= within) {
        return rr_reserve(p, m, j, task);
    }
    /* While changes are short a free machine is better: a victim costs three changes more, and
     * those that wait behind it their starts. In a burst of four times as many services a fifth of
     * all changes went to victims while one machine in four stood free. */
    bool worth = c->pressure < 0.9 && (p->wall - j->accepted_at + 1 < within || c->pressure < 0.5);
    if ((worth || !m) && rr_may_preempt(c, j) && rr_preempt_for_task(p, j, task, how, true)) {
        return true;
    }
    return m ? rr_reserve(p, m, j, task)
             : rr_may_preempt(c, j) && rr_preempt_for_task(p, j, task, how, false);
}

static bool place_task(struct rr_planner *p, rr_job *j, uint32_t task,
                       struct rr_placement_constraints *how) {
    if (rr_objective_for(p->core, "wait", j->submission.job_class) &&
        place_urgent(p, j, task, how)) {
        return true;
    }
    rr_machine *m = rr_bin_pack_from(p->core, j, how, p->candidates);
    if (!m && how->distinct_machines && j->placed_count) {
        how->distinct_machines = false; /* better two on one machine than one not at all */
        rr_list_candidates(p->core, j, how, p->now, p->candidates);
        m = rr_bin_pack_from(p->core, j, how, p->candidates);
    }
    if (!m && rr_within_guarantee(p, j, 1)) {
        return rr_preempt_for_task(p, j, task, how, false);
    }
    return m && rr_reserve(p, m, j, task);
}

/* ---- jobs ---- */

static bool may_take_more(const struct rr_planner *p, const rr_job *j) {
    return rr_within_limit(p, j, 1) && rr_within_fair_room(p, j);
}

static void place_job(struct rr_planner *p, rr_job *j, int *left) {
    rr_core *c = p->core;
    if (j->submission.kind == RR_JOB_GANG) {
        rr_gang_place(p, j, left);
        return;
    }
    guint n = c->zones.names->len;
    bool zones[n + 1];
    uint32_t by_zone[n + 1];
    struct rr_job_zones z = {zones, by_zone, 0, j->submission.spread || j->submission.one_zone};
    memset(zones, 0, sizeof zones);
    memset(by_zone, 0, sizeof by_zone);
    z.all = z.counted ? rr_job_count_by_zone(c, j, NULL, by_zone) : 0;
    rr_job_zones_update(p, j, &z);
    uint64_t mask = rr_zone_mask(c, zones);
    if (rr_search_failed_before(p, j, mask)) {
        j->failed_at = p->now;
        return;
    }
    struct rr_placement_constraints how = {.zones = zones,
                                           .distinct_machines =
                                               j->submission.kind == RR_JOB_SERVICE,
                                           .filter = rr_machine_schedulable};
    /* All zones that the job may use, so that one walk serves all its tasks. */
    bool any[n + 1];
    memset(any, z.counted && !rr_job_zone_bound(j), sizeof any);
    struct rr_placement_constraints walk = how;
    walk.zones = z.counted && !rr_job_zone_bound(j) ? any : zones;
    rr_list_candidates(c, j, &walk, p->now, p->candidates);
    uint32_t task = j->next_task_hint;
    bool first = true;
    for (; !p->full && *left > 0 && next_task(j, &task); task++) {
        if (first) {
            j->next_task_hint = task;
            first = false;
        }
        /* What the ledger can't take yet is no want of room: taken for that, it kept every job that
         * asked for as much waiting, for minutes, while machines went back. */
        enum rr_reservable bookable = rr_reservable(p, j, task);
        if (bookable == RR_CHUNK_BLOCKED) {
            task = task - task % j->tasks_per_record + j->tasks_per_record - 1;
        }
        if (bookable != RR_RESERVABLE) {
            continue;
        }
        if (!may_take_more(p, j)) {
            return;
        }
        if (!place_task(p, j, task, &how)) {
            if (!p->full) {
                rr_record_failed_search(p, j, rr_zone_mask(c, zones));
            }
            return;
        }
        (*left)--;
        if (z.counted) {
            z.placements[p->last_machine->zone]++;
            z.all++;
            rr_job_zones_update(p, j, &z);
        }
    }
}

/* When a task must start to be in time. By deadline alone a task of a long job that lost its place
 * came last, and with it the whole job. */
static double latest_start(const rr_job *j) {
    return j->submission.deadline_s >= 0
               ? j->accepted_at + j->submission.deadline_s - j->submission.runtime_estimate_s
               : 1e18;
}

static gint by_turn(gconstpointer a, gconstpointer b) {
    const rr_job *x = *(const rr_job *const *)a, *y = *(const rr_job *const *)b;
    if (x->submission.priority != y->submission.priority) {
        return x->submission.priority > y->submission.priority ? -1 : 1;
    }
    if (x->replaceable_count != y->replaceable_count) {
        return x->replaceable_count > y->replaceable_count ? -1 : 1;
    }
    if (x->team_fill != y->team_fill) {
        return x->team_fill < y->team_fill ? -1 : 1;
    }
    if (x->class_fill != y->class_fill) {
        return x->class_fill < y->class_fill ? -1 : 1;
    }
    double dx = latest_start(x), dy = latest_start(y);
    if (x->submission.priority < RR_PRIORITY_PROD && dx != dy) {
        return dx < dy ? -1 : 1;
    }
    return x->accepted_at < y->accepted_at ? -1 : x->accepted_at > y->accepted_at;
}

static bool waits(const rr_core *c, const rr_job *j, double now) {
    return j->version && !j->cancelled && !j->done && j->team >= 0 &&
           (size_t)j->team < c->config->team_count &&
           j->done_count + j->placed_count < j->submission.task_count && now >= j->backoff_until &&
           rr_owns_team(c, j->team) && !rr_job_held(c, j, now);
}

void rr_core_each_spillable(const rr_core *c, double now, rr_core_spillable_fn fn, void *user) {
    for (guint i = 0; i < c->open->len; i++) {
        const rr_job *j = g_ptr_array_index(c->open, i);
        if (waits(c, j, now) && j->placed_count == 0 && j->done_count == 0 &&
            !rr_job_of_another_cell(c, j)) {
            fn(user, &j->submission, j->accepted_at);
        }
    }
}

bool rr_any_job_waiting(const struct rr_planner *p) {
    for (guint i = 0; i < p->core->open->len; i++) {
        if (waits(p->core, g_ptr_array_index(p->core->open, i), p->now)) {
            return true;
        }
    }
    return false;
}

GPtrArray *rr_list_waiting_jobs(const struct rr_planner *p) {
    GPtrArray *wait = g_ptr_array_new();
    for (guint i = 0; i < p->core->open->len; i++) {
        rr_job *j = g_ptr_array_index(p->core->open, i);
        if (waits(p->core, j, p->now)) {
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

/* The gang that has waited longest for room, if that is long; one at a time gathers it. */
static rr_job *overdue_gang(const struct rr_planner *p, const GPtrArray *wait) {
    rr_job *oldest = NULL;
    for (guint i = 0; i < wait->len; i++) {
        rr_job *j = g_ptr_array_index(wait, i);
        bool overdue = j->submission.kind == RR_JOB_GANG && j->placed_count == 0 &&
                       p->wall - j->accepted_at > FIRST_TASK_S;
        if (overdue && (!oldest || j->accepted_at < oldest->accepted_at)) {
            oldest = j;
        }
    }
    return oldest;
}

#define RESERVE_FIRST_S 90.0 /* from then on work of higher priority leaves it the room, too */

static rr_job *overdue(const struct rr_planner *p, const GPtrArray *wait) {
    rr_job *best = NULL;
    bool any = p->core->plans % OLDEST_EVERY == 0;
    for (guint i = 0; i < wait->len; i++) {
        rr_job *j = g_ptr_array_index(wait, i);
        bool unbegun =
            j->done_count + j->placed_count == 0 && p->wall - j->accepted_at > FIRST_TASK_S;
        if ((unbegun || any) && p->now - j->failed_at >= RETRY_MAX_S &&
            (!best || j->accepted_at < best->accepted_at)) {
            best = j;
        }
    }
    return best;
}

/* While changes are short the service that brings back most replicas goes first. */
static void set_missing(const struct rr_planner *p, const GPtrArray *wait) {
    for (guint i = 0; i < wait->len; i++) {
        rr_job *j = g_ptr_array_index(wait, i);
        bool counts = p->core->pressure > 0.9 && j->submission.priority == RR_PRIORITY_PROD &&
                      j->submission.kind == RR_JOB_SERVICE;
        j->replaceable_count =
            counts ? j->submission.task_count - j->done_count - j->placed_count : 0;
    }
}

/* Jobs that had their turn before the others in this plan; NULL: none. */
struct early {
    const rr_job *gang, *job;
    const rr_job *reserve; /* the gang for which room is to be kept, once its turn has come */
};

static struct early place_early(struct rr_planner *p, const GPtrArray *wait, double retry,
                                int *left) {
    rr_job *gang = overdue_gang(p, wait);
    struct early early = {.gang = gang};
    if (!(gang && p->now - gang->failed_at >= retry && rr_gang_place(p, gang, left))) {
        early.reserve = gang;
    }
    if (early.reserve && p->wall - gang->accepted_at > RESERVE_FIRST_S) {
        rr_gang_reserve_room(p, gang);
        early.reserve = NULL;
    }
    int head = HEAD_START;
    rr_job *first = overdue(p, wait);
    if (first && first != gang) {
        place_job(p, first, &head);
        early.job = head < HEAD_START ? first : NULL;
    }
    return early;
}

void rr_place_waiting(struct rr_planner *p, GPtrArray *wait) {
    int left = PLACE_MAX;
    double retry = fmin(0.25 + 0.02 * wait->len, RETRY_MAX_S);
    p->core->plans++;
    struct early early = place_early(p, wait, retry, &left);
    set_missing(p, wait);
    rr_set_fair_turns(p, wait);
    g_ptr_array_sort(wait, by_turn);
    for (guint i = 0; i < wait->len && !p->full && left > 0; i++) {
        rr_job *j = g_ptr_array_index(wait, i);
        if (early.reserve && j->submission.priority <= early.reserve->submission.priority) {
            rr_gang_reserve_room(p, early.reserve);
            early.reserve = NULL;
        }
        if (p->now - j->failed_at >= retry && j != early.gang && j != early.job &&
            rr_within_fair_room(p, j)) {
            place_job(p, j, &left);
        }
    }
}

/* ---- moves of a round's plan ---- */

void rr_start_due_moves(struct rr_planner *p) {
    rr_core *c = p->core;
    while (c->plan_moves->len > 0 && c->round_left > 0 && p->change_count + 1 <= p->change_limit) {
        rr_move mv = g_array_index(c->plan_moves, rr_move, 0);
        rr_placement *old = NULL;
        for (guint k = 0; k < mv.from->placements->len; k++) {
            rr_placement *q = &g_array_index(mv.from->placements, rr_placement, k);
            if (q->job == mv.job && q->task == mv.task && !q->preempt) {
                old = q;
            }
        }
        g_array_remove_index(c->plan_moves, 0);
        c->round_left--;
        bool zones[c->zones.names->len + 1];
        rr_job_zones(c, mv.job, zones, old);
        if (!old || mv.job->cancelled || rr_job_held(c, mv.job, p->now) ||
            !rr_machine_schedulable(c, mv.to, p->now) ||
            !rr_resources_fit(mv.job->request, mv.to->free) || !zones[mv.to->zone] ||
            !rr_within_limit(p, mv.job, 1) || !rr_plan_edit_record(p, mv.job, old->chunk) ||
            !rr_reserve(p, mv.to, mv.job, mv.task)) {
            /* A move that fails ends the plan. */
            g_array_set_size(c->plan_moves, 0);
            return;
        }
        const struct rr_plan_edit *e = rr_plan_edit_record(p, mv.job, old->chunk);
        rr_placement_record *it = e ? rr_plan_edit_find(e, old->attempt, mv.task) : NULL;
        if (it) {
            it->preempt = RR_PREEMPT_SAVING;
        }
        c->moves_made++;
        rr_log_at(c, RR_LOG_DEBUG, "move %s/%u from %s to %s", mv.job->submission.job_id, mv.task,
                  mv.from->name, mv.to->name);
    }
}
