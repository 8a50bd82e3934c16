/* Places waiting tasks after the chosen design, and reserves the moves of a round. What is reserved
 * stands in the plan's transaction only. */
#include "core/core_internal.h"
#include "core/health/failure_detector.h"
#include "core/membership/membership.h"
#include "core/scheduling/bin_packing.h"
#include "core/scheduling/gang_placement.h"
#include "core/scheduling/plan.h"
#include "core/scheduling/preemption.h"
#include "core/scheduling/reservation.h"
#include "core/state/jobs.h"
#include "core/state/ledger.h"
#include "core/state/machines.h"
#include "core/state/transfer_holds.h"
#include "core/extensions.h"

#include <math.h>
#include <string.h>

#define PLACE_MAX 256   /* placements in one plan at most */
#define RETRY_MAX_S 2.0 /* a job that found no room is looked at again after this at the latest */

static bool next_task(const rr_job *job, uint32_t *task) {
    while (*task < job->submission.task_count &&
           (job->placed[*task] || rr_job_task_done(job, *task))) {
        (*task)++;
    }
    return *task < job->submission.task_count;
}

/* Where a class has an aim on its start: a free machine that can make it, else the room of lower
 * work where the image is, else any free machine, else any room of lower work. */
static bool place_urgent(struct rr_planner *planner, rr_job *job, uint32_t task,
                         const struct rr_placement_constraints *how) {
    rr_core *core = planner->core;
    double within = rr_objective_for(core, "wait", job->submission.job_class)->within_s;
    rr_machine *machine = rr_bin_pack_from(core, job, how, planner->candidates);
    if (machine && rr_image_fetch_s(core, job, machine) + 1 <= within) {
        return rr_reserve(planner, machine, job, task);
    }
    /* While changes are short a free machine is better: a victim costs three changes more, and
     * those that wait behind it their starts. In a burst of four times as many services a fifth of
     * all changes went to victims while one machine in four stood free. */
    bool worth =
        core->planning.write_pressure < 0.9 &&
        (planner->wall - job->accepted_at + 1 < within || core->planning.write_pressure < 0.5);
    if ((worth || !machine) && rr_may_preempt(core, job) &&
        rr_preempt_for_task(planner, job, task, how, true)) {
        return true;
    }
    return machine
               ? rr_reserve(planner, machine, job, task)
               : rr_may_preempt(core, job) && rr_preempt_for_task(planner, job, task, how, false);
}

static bool place_task(struct rr_planner *planner, rr_job *job, uint32_t task,
                       struct rr_placement_constraints *how) {
    if (rr_objective_for(planner->core, "wait", job->submission.job_class) &&
        place_urgent(planner, job, task, how)) {
        return true;
    }
    rr_machine *machine = rr_bin_pack_from(planner->core, job, how, planner->candidates);
    if (!machine && how->distinct_machines && job->placed_count) {
        how->distinct_machines = false; /* better two on one machine than one not at all */
        rr_list_candidates(planner->core, job, how, planner->now, planner->candidates);
        machine = rr_bin_pack_from(planner->core, job, how, planner->candidates);
    }
    if (!machine && rr_within_guarantee(planner, job, 1)) {
        return rr_preempt_for_task(planner, job, task, how, false);
    }
    return machine && rr_reserve(planner, machine, job, task);
}

/* ---- jobs ---- */

static bool may_take_more(const struct rr_planner *planner, const rr_job *job) {
    return rr_within_limit(planner, job, 1) && rr_within_fair_room(planner, job);
}

static void place_job(struct rr_planner *planner, rr_job *job, int *left) {
    rr_core *core = planner->core;
    if (job->submission.kind == RR_JOB_GANG) {
        rr_gang_place(planner, job, left);
        return;
    }
    guint count = core->stored.zones.names->len;
    bool zones[count + 1];
    uint32_t by_zone[count + 1];
    struct rr_job_zones job_zones = {zones, by_zone, 0,
                                     job->submission.spread || job->submission.one_zone};
    memset(zones, 0, sizeof zones);
    memset(by_zone, 0, sizeof by_zone);
    job_zones.all = job_zones.counted ? rr_job_count_by_zone(core, job, NULL, by_zone) : 0;
    rr_job_zones_update(planner, job, &job_zones);
    uint64_t mask = rr_zone_mask(core, zones);
    if (rr_search_failed_before(planner, job, mask)) {
        job->failed_at = planner->now;
        return;
    }
    struct rr_placement_constraints how = {.zones = zones,
                                           .distinct_machines =
                                               job->submission.kind == RR_JOB_SERVICE,
                                           .filter = rr_machine_schedulable};
    /* All zones that the job may use, so that one walk serves all its tasks. */
    bool any[count + 1];
    memset(any, job_zones.counted && !rr_job_zone_bound(job), sizeof any);
    struct rr_placement_constraints walk = how;
    walk.zones = job_zones.counted && !rr_job_zone_bound(job) ? any : zones;
    rr_list_candidates(core, job, &walk, planner->now, planner->candidates);
    uint32_t task = job->next_task_hint;
    bool first = true;
    for (; !planner->full && *left > 0 && next_task(job, &task); task++) {
        if (first) {
            job->next_task_hint = task;
            first = false;
        }
        /* What the ledger can't take yet is no want of room: taken for that, it kept every job that
         * asked for as much waiting, for minutes, while machines went back. */
        enum rr_reservable reservable = rr_reservable(planner, job, task);
        if (reservable == RR_CHUNK_BLOCKED) {
            task = task - task % job->tasks_per_record + job->tasks_per_record - 1;
        }
        if (reservable != RR_RESERVABLE) {
            continue;
        }
        if (!may_take_more(planner, job)) {
            return;
        }
        if (!place_task(planner, job, task, &how)) {
            if (!planner->full) {
                rr_record_failed_search(planner, job, rr_zone_mask(core, zones));
            }
            return;
        }
        (*left)--;
        if (job_zones.counted) {
            job_zones.placements[planner->last_machine->zone]++;
            job_zones.all++;
            rr_job_zones_update(planner, job, &job_zones);
        }
    }
}

/* When a task must start to be in time. By deadline alone a task of a long job that lost its place
 * came last, and with it the whole job. */
static double latest_start(const rr_job *job) {
    return job->submission.deadline_s >= 0
               ? job->accepted_at + job->submission.deadline_s - job->submission.runtime_estimate_s
               : 1e18;
}

static gint by_turn(gconstpointer left_item, gconstpointer right_item) {
    const rr_job *left = *(const rr_job *const *)left_item,
                 *right = *(const rr_job *const *)right_item;
    if (left->submission.priority != right->submission.priority) {
        return left->submission.priority > right->submission.priority ? -1 : 1;
    }
    if (left->replaceable_count != right->replaceable_count) {
        return left->replaceable_count > right->replaceable_count ? -1 : 1;
    }
    if (left->team_fill != right->team_fill) {
        return left->team_fill < right->team_fill ? -1 : 1;
    }
    if (left->class_fill != right->class_fill) {
        return left->class_fill < right->class_fill ? -1 : 1;
    }
    double left_value = latest_start(left), right_value = latest_start(right);
    if (left->submission.priority < RR_PRIORITY_PROD && left_value != right_value) {
        return left_value < right_value ? -1 : 1;
    }
    return left->accepted_at < right->accepted_at ? -1 : left->accepted_at > right->accepted_at;
}

static bool waits(const rr_core *core, const rr_job *job, double now) {
    return job->version && !job->cancelled && !job->done && job->team >= 0 &&
           (size_t)job->team < core->config->team_count &&
           job->done_count + job->placed_count < job->submission.task_count &&
           now >= job->backoff_until && rr_owns_team(core, job->team) &&
           !rr_job_held(core, job, now);
}

void rr_core_each_spillable(const rr_core *core, double now, rr_core_spillable_fn callback,
                            void *user) {
    for (guint i = 0; i < core->stored.open_jobs->len; i++) {
        const rr_job *job = g_ptr_array_index(core->stored.open_jobs, i);
        if (waits(core, job, now) && job->placed_count == 0 && job->done_count == 0 &&
            !rr_job_of_another_cell(core, job)) {
            callback(user, &job->submission, job->accepted_at);
        }
    }
}

bool rr_any_job_waiting(const struct rr_planner *planner) {
    for (guint i = 0; i < planner->core->stored.open_jobs->len; i++) {
        if (waits(planner->core, g_ptr_array_index(planner->core->stored.open_jobs, i),
                  planner->now)) {
            return true;
        }
    }
    return false;
}

GPtrArray *rr_list_waiting_jobs(const struct rr_planner *planner) {
    GPtrArray *wait = g_ptr_array_new();
    for (guint i = 0; i < planner->core->stored.open_jobs->len; i++) {
        rr_job *job = g_ptr_array_index(planner->core->stored.open_jobs, i);
        if (waits(planner->core, job, planner->now)) {
            g_ptr_array_add(wait, job);
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
static rr_job *overdue_gang(const struct rr_planner *planner, const GPtrArray *wait) {
    rr_job *oldest = NULL;
    for (guint i = 0; i < wait->len; i++) {
        rr_job *job = g_ptr_array_index(wait, i);
        bool overdue = job->submission.kind == RR_JOB_GANG && job->placed_count == 0 &&
                       planner->wall - job->accepted_at > FIRST_TASK_S;
        if (overdue && (!oldest || job->accepted_at < oldest->accepted_at)) {
            oldest = job;
        }
    }
    return oldest;
}

#define RESERVE_FIRST_S 90.0 /* from then on work of higher priority leaves it the room, too */

static rr_job *overdue(const struct rr_planner *planner, const GPtrArray *wait) {
    rr_job *best = NULL;
    bool any = planner->core->planning.plan_count % OLDEST_EVERY == 0;
    for (guint i = 0; i < wait->len; i++) {
        rr_job *job = g_ptr_array_index(wait, i);
        bool unbegun = job->done_count + job->placed_count == 0 &&
                       planner->wall - job->accepted_at > FIRST_TASK_S;
        if ((unbegun || any) && planner->now - job->failed_at >= RETRY_MAX_S &&
            (!best || job->accepted_at < best->accepted_at)) {
            best = job;
        }
    }
    return best;
}

/* While changes are short the service that brings back most replicas goes first. */
static void set_missing(const struct rr_planner *planner, const GPtrArray *wait) {
    for (guint i = 0; i < wait->len; i++) {
        rr_job *job = g_ptr_array_index(wait, i);
        bool counts = planner->core->planning.write_pressure > 0.9 &&
                      job->submission.priority == RR_PRIORITY_PROD &&
                      job->submission.kind == RR_JOB_SERVICE;
        job->replaceable_count =
            counts ? job->submission.task_count - job->done_count - job->placed_count : 0;
    }
}

/* Jobs that had their turn before the others in this plan; NULL: none. */
struct early {
    const rr_job *gang, *job;
    const rr_job *reserve; /* the gang for which room is to be kept, once its turn has come */
};

static struct early place_early(struct rr_planner *planner, const GPtrArray *wait, double retry,
                                int *left) {
    rr_job *gang = overdue_gang(planner, wait);
    struct early early = {.gang = gang};
    if (!(gang && planner->now - gang->failed_at >= retry && rr_gang_place(planner, gang, left))) {
        early.reserve = gang;
    }
    if (early.reserve && planner->wall - gang->accepted_at > RESERVE_FIRST_S) {
        rr_gang_reserve_room(planner, gang);
        early.reserve = NULL;
    }
    int head = HEAD_START;
    rr_job *first = overdue(planner, wait);
    if (first && first != gang) {
        place_job(planner, first, &head);
        early.job = head < HEAD_START ? first : NULL;
    }
    return early;
}

void rr_place_waiting(struct rr_planner *planner, GPtrArray *wait) {
    int left = PLACE_MAX;
    double retry = fmin(0.25 + 0.02 * wait->len, RETRY_MAX_S);
    planner->core->planning.plan_count++;
    struct early early = place_early(planner, wait, retry, &left);
    set_missing(planner, wait);
    rr_set_fair_turns(planner, wait);
    g_ptr_array_sort(wait, by_turn);
    for (guint i = 0; i < wait->len && !planner->full && left > 0; i++) {
        rr_job *job = g_ptr_array_index(wait, i);
        if (early.reserve && job->submission.priority <= early.reserve->submission.priority) {
            rr_gang_reserve_room(planner, early.reserve);
            early.reserve = NULL;
        }
        if (planner->now - job->failed_at >= retry && job != early.gang && job != early.job &&
            rr_within_fair_room(planner, job)) {
            place_job(planner, job, &left);
        }
    }
}

/* ---- moves of a round's plan ---- */

void rr_start_due_moves(struct rr_planner *planner) {
    rr_core *core = planner->core;
    while (core->planning.moves->len > 0 && core->planning.rebalance_moves_left > 0 &&
           planner->change_count + 1 <= planner->change_limit) {
        rr_move move = g_array_index(core->planning.moves, rr_move, 0);
        rr_placement *old = NULL;
        for (guint k = 0; k < move.from->placements->len; k++) {
            rr_placement *other = &g_array_index(move.from->placements, rr_placement, k);
            if (other->job == move.job && other->task == move.task && !other->preempt) {
                old = other;
            }
        }
        g_array_remove_index(core->planning.moves, 0);
        core->planning.rebalance_moves_left--;
        bool zones[core->stored.zones.names->len + 1];
        rr_job_zones(core, move.job, zones, old);
        if (!old || move.job->cancelled || rr_job_held(core, move.job, planner->now) ||
            !rr_machine_schedulable(core, move.to, planner->now) ||
            !rr_resources_fit(move.job->request, move.to->free) || !zones[move.to->zone] ||
            !rr_within_limit(planner, move.job, 1) ||
            !rr_plan_edit_record(planner, move.job, old->chunk) ||
            !rr_reserve(planner, move.to, move.job, move.task)) {
            /* A move that fails ends the plan. */
            g_array_set_size(core->planning.moves, 0);
            return;
        }
        const struct rr_plan_edit *edit = rr_plan_edit_record(planner, move.job, old->chunk);
        rr_placement_record *item = edit ? rr_plan_edit_find(edit, old->attempt, move.task) : NULL;
        if (item) {
            item->preempt = RR_PREEMPT_SAVING;
        }
        core->counters.moves_made++;
        rr_log_at(core, RR_LOG_DEBUG, "move %s/%u from %s to %s", move.job->submission.job_id,
                  move.task, move.from->name, move.to->name);
    }
}
