/* Places waiting tasks on the machine that bin packing chooses, or by preemption if the job may
 * preempt. Reservations exist only in the plan's transaction until it is committed. */
#include "core/scheduling/placement.h"
#include "core/core_internal.h"
#include "core/scheduling/bin_packing.h"
#include "core/scheduling/fair_share.h"
#include "core/scheduling/gang_placement.h"
#include "core/scheduling/gang_reservation.h"
#include "core/scheduling/job_search.h"
#include "core/scheduling/placement_constraints.h"
#include "core/scheduling/preemption.h"
#include "core/scheduling/reservation.h"
#include "core/scheduling/waiting_jobs.h"
#include "core/state/jobs.h"

#include <math.h>

#define PLACEMENTS_MAX 256 /* placements in one plan; a gang may exceed it */

/* A job for which no machine was found is retried after a delay that increases with the number of
 * waiting jobs. */
#define RETRY_BASE_S 0.25
#define RETRY_PER_JOB_S 0.02
#define RETRY_MAX_S 2.0

/* A job without any placed or completed task that has waited this long gets up to
 * EARLY_PLACEMENTS_MAX placements before all other jobs, so that a stream of small jobs with
 * earlier deadlines can't starve it. A gang that has waited this long is tried first, and gets
 * capacity reserved if it can't be placed. */
#define FIRST_TASK_WAIT_MAX_S 45.0
/* Once in this many plans the oldest waiting job gets these early placements, too, so that jobs
 * that have already started make progress. */
#define OLDEST_JOB_PERIOD_PLANS 7
#define EARLY_PLACEMENTS_MAX 8
/* After this wait, capacity is reserved for a gang before work of higher priority is placed. */
#define GANG_RESERVE_FIRST_WAIT_S 90.0

/* Preemption needs additional writes, so it is not used while another machine is free and the write
 * pressure is this high: the first limit holds while the wait objective can still be met, the
 * second once it is missed. */
#define PREEMPTION_PRESSURE_MAX 0.9
#define LATE_PREEMPTION_PRESSURE_MAX 0.5
#define START_ROUND_TRIP_S 1.0 /* from the reservation to the start, without the image fetch */

/* ---- placing a task ---- */

/* Whether preempting is worth the additional writes although another machine is free. objective_s:
 * the job's wait objective, in seconds. */
static bool should_preempt_first(const struct rr_planner *planner, const rr_job *job,
                                 double objective_s) {
    double pressure = planner->core->planning.write_pressure;
    bool in_time = planner->wall - job->accepted_at + START_ROUND_TRIP_S < objective_s;
    return pressure < PREEMPTION_PRESSURE_MAX &&
           (in_time || pressure < LATE_PREEMPTION_PRESSURE_MAX);
}

/* Places a task of a job whose class has a wait objective: on a free machine that can meet the
 * objective, else by preemption on a machine that has the image, else on any free machine, else by
 * preemption on any machine. Returns whether the task is reserved. */
static bool place_urgent_task(struct rr_planner *planner, rr_job *job, uint32_t task,
                              const struct rr_placement_constraints *constraints) {
    rr_core *core = planner->core;
    double objective_s = rr_objective_for(core, "wait", job->submission.job_class)->within_s;
    rr_machine *machine = rr_choose_candidate(core, job, constraints, planner->candidates);
    if (machine &&
        rr_estimate_image_fetch_s(core, job, machine) + START_ROUND_TRIP_S <= objective_s) {
        return rr_reserve_task(planner, machine, job, task);
    }
    struct rr_placement_constraints with_image = *constraints;
    with_image.need_image = true;
    bool may_preempt = rr_job_may_preempt(core, job);
    if (may_preempt && (!machine || should_preempt_first(planner, job, objective_s)) &&
        rr_preempt_for_task(planner, job, task, &with_image)) {
        return true;
    }
    return machine ? rr_reserve_task(planner, machine, job, task)
                   : may_preempt && rr_preempt_for_task(planner, job, task, constraints);
}

/* Places a task of any job; returns whether it is reserved. If no distinct machine is left for a
 * further replica, clears constraints->distinct_machines, since two tasks on one machine are better
 * than an unplaced one. */
static bool place_task(struct rr_planner *planner, rr_job *job, uint32_t task,
                       struct rr_placement_constraints *constraints) {
    rr_core *core = planner->core;
    if (rr_objective_for(core, "wait", job->submission.job_class) &&
        place_urgent_task(planner, job, task, constraints)) {
        return true;
    }
    rr_machine *machine = rr_choose_candidate(core, job, constraints, planner->candidates);
    if (!machine && constraints->distinct_machines && job->placed_count) {
        constraints->distinct_machines = false;
        rr_list_candidate_machines(core, job, constraints, planner->now, planner->candidates);
        machine = rr_choose_candidate(core, job, constraints, planner->candidates);
    }
    if (!machine && rr_team_within_guarantee(planner, job, 1)) {
        return rr_preempt_for_task(planner, job, task, constraints);
    }
    return machine && rr_reserve_task(planner, machine, job, task);
}

/* ---- placing a job ---- */

/* Advances *task to the first task, from *task on, that is neither placed nor done. Returns false
 * if there is none. */
static bool find_unplaced_task(const rr_job *job, uint32_t *task) {
    while (*task < job->submission.task_count &&
           (job->placements_per_task[*task] || rr_job_task_done(job, *task))) {
        (*task)++;
    }
    return *task < job->submission.task_count;
}

/* Returns the last task of the ledger chunk that the task is in. */
static uint32_t get_last_task_of_chunk(const rr_job *job, uint32_t task) {
    return task - task % job->tasks_per_record + job->tasks_per_record - 1;
}

/* Advances *task to the first unplaced task, from *task on, for which the ledger can take a
 * placement. Returns false if there is none. Skipping a task that the ledger can't take yet does
 * not count as a failed search, so that the job is retried as soon as its records have room. */
static bool find_reservable_task(const struct rr_planner *planner, rr_job *job, uint32_t *task) {
    for (; find_unplaced_task(job, task); (*task)++) {
        switch (rr_check_reservable(planner, job, *task)) {
        case RR_RESERVABLE:
            return true;
        case RR_TASK_BLOCKED:
            break;
        case RR_CHUNK_BLOCKED:
            *task = get_last_task_of_chunk(job, *task);
            break;
        }
    }
    return false;
}

/* Whether the team's limit and fair share allow it one more task of the job. */
static bool may_place_more_tasks(const struct rr_planner *planner, const rr_job *job) {
    return rr_team_within_limit(planner, job, 1) && rr_team_within_fair_share(planner, job);
}

/* Reserves tasks of the job one by one, until a task can't be placed, the team may take no more, or
 * the plan or *placements_left is exhausted. */
static void place_tasks_in_zones(struct rr_planner *planner, rr_job *job,
                                 struct rr_zone_tracker *zones, int *placements_left) {
    rr_core *core = planner->core;
    rr_zone_tracker_update(planner, job, zones);
    if (rr_skip_repeated_search(planner, job, rr_zone_mask(core, zones->allowed))) {
        return;
    }
    struct rr_placement_constraints constraints = {
        .zones = zones->allowed, .distinct_machines = job->submission.kind == RR_JOB_SERVICE};
    rr_list_job_candidates(planner, job, zones, &constraints);
    uint32_t task = job->next_task_hint;
    if (!planner->transaction_full && *placements_left > 0 && find_unplaced_task(job, &task)) {
        job->next_task_hint = task;
    }
    for (; !planner->transaction_full && *placements_left > 0 &&
           find_reservable_task(planner, job, &task);
         task++) {
        if (!may_place_more_tasks(planner, job)) {
            return;
        }
        if (!place_task(planner, job, task, &constraints)) {
            if (!planner->transaction_full) {
                rr_record_failed_search(planner, job, rr_zone_mask(core, zones->allowed));
            }
            return;
        }
        (*placements_left)--;
        rr_zone_tracker_add_placement(planner, job, planner->last_reserved_machine, zones);
    }
}

/* Reserves tasks of the job, and subtracts them from *placements_left. */
static void place_job(struct rr_planner *planner, rr_job *job, int *placements_left) {
    if (job->submission.kind == RR_JOB_GANG) {
        rr_place_gang(planner, job, placements_left);
        return;
    }
    struct rr_zone_tracker zones;
    rr_zone_tracker_init(planner, job, &zones);
    place_tasks_in_zones(planner, job, &zones, placements_left);
    rr_zone_tracker_clear(&zones);
}

/* ---- placing all waiting jobs ---- */

static bool has_waited_too_long(const struct rr_planner *planner, const rr_job *job) {
    return planner->wall - job->accepted_at > FIRST_TASK_WAIT_MAX_S;
}

/* Returns the oldest unplaced gang that has waited too long, or NULL. Capacity is reserved for one
 * gang at a time. */
static rr_job *find_overdue_gang(const struct rr_planner *planner, const GPtrArray *waiting) {
    rr_job *oldest = NULL;
    for (guint i = 0; i < waiting->len; i++) {
        rr_job *job = g_ptr_array_index(waiting, i);
        bool overdue = job->submission.kind == RR_JOB_GANG && job->placed_count == 0 &&
                       has_waited_too_long(planner, job);
        if (overdue && (!oldest || job->accepted_at < oldest->accepted_at)) {
            oldest = job;
        }
    }
    return oldest;
}

/* Returns the oldest job that has waited too long for its first task, or in every
 * OLDEST_JOB_PERIOD_PLANS-th plan the oldest waiting job; NULL if there is none. Skips jobs whose
 * last search failed less than RETRY_MAX_S ago. */
static rr_job *find_overdue_job(const struct rr_planner *planner, const GPtrArray *waiting) {
    rr_job *oldest = NULL;
    bool take_any = planner->core->planning.placement_plan_count % OLDEST_JOB_PERIOD_PLANS == 0;
    for (guint i = 0; i < waiting->len; i++) {
        rr_job *job = g_ptr_array_index(waiting, i);
        bool overdue =
            job->done_count + job->placed_count == 0 && has_waited_too_long(planner, job);
        if ((overdue || take_any) && planner->now - job->search_failed_at >= RETRY_MAX_S &&
            (!oldest || job->accepted_at < oldest->accepted_at)) {
            oldest = job;
        }
    }
    return oldest;
}

/* The jobs that a plan places before all others. NULL: none. */
struct early_jobs {
    const rr_job *gang;        /* the overdue gang, whether placed or not */
    const rr_job *job;         /* the overdue job, if any of its tasks was placed */
    const rr_job *reserve_for; /* the gang to reserve capacity for, once all jobs of higher
                                  priority have been tried */
};

/* Places the overdue gang or reserves capacity for it, and places some tasks of the overdue job. */
static struct early_jobs place_early_jobs(struct rr_planner *planner, const GPtrArray *waiting,
                                          double retry_s, int *placements_left) {
    rr_job *gang = find_overdue_gang(planner, waiting);
    struct early_jobs early = {.gang = gang};
    bool gang_placed = gang && planner->now - gang->search_failed_at >= retry_s &&
                       rr_place_gang(planner, gang, placements_left);
    if (gang && !gang_placed) {
        if (planner->wall - gang->accepted_at > GANG_RESERVE_FIRST_WAIT_S) {
            rr_reserve_gang_capacity(planner, gang);
        } else {
            early.reserve_for = gang;
        }
    }
    rr_job *job = find_overdue_job(planner, waiting);
    if (job && job != gang) {
        int early_left = EARLY_PLACEMENTS_MAX;
        place_job(planner, job, &early_left);
        early.job = early_left < EARLY_PLACEMENTS_MAX ? job : NULL;
    }
    return early;
}

void rr_place_waiting_jobs(struct rr_planner *planner, GPtrArray *waiting) {
    int placements_left = PLACEMENTS_MAX;
    double retry_s = fmin(RETRY_BASE_S + RETRY_PER_JOB_S * waiting->len, RETRY_MAX_S);
    planner->core->planning.placement_plan_count++;
    struct early_jobs early = place_early_jobs(planner, waiting, retry_s, &placements_left);
    rr_sort_waiting_jobs(planner, waiting);
    for (guint i = 0; i < waiting->len && !planner->transaction_full && placements_left > 0; i++) {
        rr_job *job = g_ptr_array_index(waiting, i);
        if (early.reserve_for &&
            job->submission.priority <= early.reserve_for->submission.priority) {
            rr_reserve_gang_capacity(planner, early.reserve_for);
            early.reserve_for = NULL;
        }
        if (planner->now - job->search_failed_at >= retry_s && job != early.gang &&
            job != early.job && rr_team_within_fair_share(planner, job)) {
            place_job(planner, job, &placements_left);
        }
    }
}
