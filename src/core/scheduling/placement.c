/* Places waiting tasks: the best machine by bin packing, or preemption where the job may preempt.
 * Reservations stand in the plan's transaction only. */
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

#define PLACEMENTS_MAX 256 /* in one plan */

/* A job that found no room is tried again after a time that grows with the number of waiting jobs.
 */
#define RETRY_BASE_S 0.25
#define RETRY_PER_JOB_S 0.02
#define RETRY_MAX_S 2.0

/* A job that has waited this long for its first task gets a few before all others, so that a stream
 * of small jobs with nearer deadlines can't keep it waiting for ever. */
#define FIRST_TASK_WAIT_MAX_S 45.0
/* Every so many plans the oldest job gets a few, too, so that what has begun goes on. */
#define OLDEST_FIRST_PLANS 7
#define EARLY_PLACEMENTS_MAX 8
/* A gang that has waited this long gets room before work of higher priority. */
#define GANG_RESERVES_FIRST_S 90.0

/* Preempting costs writes, so that it waits while the write pressure is above these: the first as
 * long as the objective for the wait can be met, the second once it is missed. */
#define PREEMPTION_PRESSURE_MAX 0.9
#define LATE_PREEMPTION_PRESSURE_MAX 0.5
#define START_ROUND_TRIP_S 1.0 /* from the reservation to the start, without the image's fetch */

/* ---- one task ---- */

/* Whether preempting is worth its writes although another machine is free. */
static bool preempts_before_free_machine(const struct rr_planner *planner, const rr_job *job,
                                         double within_s) {
    double pressure = planner->core->planning.write_pressure;
    bool in_time = planner->wall - job->accepted_at + START_ROUND_TRIP_S < within_s;
    return pressure < PREEMPTION_PRESSURE_MAX &&
           (in_time || pressure < LATE_PREEMPTION_PRESSURE_MAX);
}

/* Places a task of a class with an objective for its wait: on a free machine that can meet it, else
 * by preempting where the image is, else on any free machine, else by preempting anywhere. */
static bool place_urgent_task(struct rr_planner *planner, rr_job *job, uint32_t task,
                              const struct rr_placement_constraints *constraints) {
    rr_core *core = planner->core;
    double within_s = rr_objective_for(core, "wait", job->submission.job_class)->within_s;
    rr_machine *machine = rr_bin_pack_from(core, job, constraints, planner->candidates);
    if (machine && rr_image_fetch_s(core, job, machine) + START_ROUND_TRIP_S <= within_s) {
        return rr_reserve(planner, machine, job, task);
    }
    struct rr_placement_constraints with_image = *constraints;
    with_image.need_image = true;
    bool may_preempt = rr_may_preempt(core, job);
    if (may_preempt && (!machine || preempts_before_free_machine(planner, job, within_s)) &&
        rr_preempt_for_task(planner, job, task, &with_image)) {
        return true;
    }
    return machine ? rr_reserve(planner, machine, job, task)
                   : may_preempt && rr_preempt_for_task(planner, job, task, constraints);
}

/* May clear constraints->distinct_machines: two tasks on one machine are better than one unplaced.
 */
static bool place_task(struct rr_planner *planner, rr_job *job, uint32_t task,
                       struct rr_placement_constraints *constraints) {
    rr_core *core = planner->core;
    if (rr_objective_for(core, "wait", job->submission.job_class) &&
        place_urgent_task(planner, job, task, constraints)) {
        return true;
    }
    rr_machine *machine = rr_bin_pack_from(core, job, constraints, planner->candidates);
    if (!machine && constraints->distinct_machines && job->placed_count) {
        constraints->distinct_machines = false;
        rr_list_candidates(core, job, constraints, planner->now, planner->candidates);
        machine = rr_bin_pack_from(core, job, constraints, planner->candidates);
    }
    if (!machine && rr_within_guarantee(planner, job, 1)) {
        return rr_preempt_for_task(planner, job, task, constraints);
    }
    return machine && rr_reserve(planner, machine, job, task);
}

/* ---- one job ---- */

/* Moves *task on to the first one at or after it that is neither placed nor done; false: none is.
 */
static bool find_unplaced_task(const rr_job *job, uint32_t *task) {
    while (*task < job->submission.task_count &&
           (job->placed[*task] || rr_job_task_done(job, *task))) {
        (*task)++;
    }
    return *task < job->submission.task_count;
}

static uint32_t last_task_of_chunk(const rr_job *job, uint32_t task) {
    return task - task % job->tasks_per_record + job->tasks_per_record - 1;
}

/* Moves *task on to the next one that the ledger takes a placement of; false: there is none. A task
 * that the ledger can't take yet is passed over and does not count as a failed search: the job is
 * tried again as soon as records have room. */
static bool find_reservable_task(const struct rr_planner *planner, rr_job *job, uint32_t *task) {
    for (; find_unplaced_task(job, task); (*task)++) {
        switch (rr_reservable(planner, job, *task)) {
        case RR_RESERVABLE:
            return true;
        case RR_TASK_BLOCKED:
            break;
        case RR_CHUNK_BLOCKED:
            *task = last_task_of_chunk(job, *task);
            break;
        }
    }
    return false;
}

static bool may_take_more(const struct rr_planner *planner, const rr_job *job) {
    return rr_within_limit(planner, job, 1) && rr_within_fair_share(planner, job);
}

static void place_tasks_in_zones(struct rr_planner *planner, rr_job *job,
                                 struct rr_job_zones *zones, int *placements_left) {
    rr_core *core = planner->core;
    rr_job_zones_update(planner, job, zones);
    if (rr_search_is_hopeless(planner, job, rr_zone_mask(core, zones->allowed))) {
        return;
    }
    struct rr_placement_constraints constraints = {
        .zones = zones->allowed, .distinct_machines = job->submission.kind == RR_JOB_SERVICE};
    rr_list_job_candidates(planner, job, zones, &constraints);
    uint32_t task = job->next_task_hint;
    if (!planner->full && *placements_left > 0 && find_unplaced_task(job, &task)) {
        job->next_task_hint = task;
    }
    for (; !planner->full && *placements_left > 0 && find_reservable_task(planner, job, &task);
         task++) {
        if (!may_take_more(planner, job)) {
            return;
        }
        if (!place_task(planner, job, task, &constraints)) {
            if (!planner->full) {
                rr_record_failed_search(planner, job, rr_zone_mask(core, zones->allowed));
            }
            return;
        }
        (*placements_left)--;
        rr_job_zones_add(planner, job, planner->last_reserved, zones);
    }
}

static void place_job(struct rr_planner *planner, rr_job *job, int *placements_left) {
    if (job->submission.kind == RR_JOB_GANG) {
        rr_place_gang(planner, job, placements_left);
        return;
    }
    struct rr_job_zones zones;
    rr_job_zones_init(planner, job, &zones);
    place_tasks_in_zones(planner, job, &zones, placements_left);
    rr_job_zones_clear(&zones);
}

/* ---- all jobs ---- */

static bool waits_too_long(const struct rr_planner *planner, const rr_job *job) {
    return planner->wall - job->accepted_at > FIRST_TASK_WAIT_MAX_S;
}

/* The gang that has waited longest, NULL: none has waited too long. Room is gathered for one at a
 * time. */
static rr_job *overdue_gang(const struct rr_planner *planner, const GPtrArray *waiting) {
    rr_job *oldest = NULL;
    for (guint i = 0; i < waiting->len; i++) {
        rr_job *job = g_ptr_array_index(waiting, i);
        bool overdue = job->submission.kind == RR_JOB_GANG && job->placed_count == 0 &&
                       waits_too_long(planner, job);
        if (overdue && (!oldest || job->accepted_at < oldest->accepted_at)) {
            oldest = job;
        }
    }
    return oldest;
}

/* The oldest job of those that wait too long for their first task, and now and then of all; NULL:
 * none. */
static rr_job *overdue_job(const struct rr_planner *planner, const GPtrArray *waiting) {
    rr_job *oldest = NULL;
    bool any = planner->core->planning.plan_count % OLDEST_FIRST_PLANS == 0;
    for (guint i = 0; i < waiting->len; i++) {
        rr_job *job = g_ptr_array_index(waiting, i);
        bool overdue = job->done_count + job->placed_count == 0 && waits_too_long(planner, job);
        if ((overdue || any) && planner->now - job->failed_at >= RETRY_MAX_S &&
            (!oldest || job->accepted_at < oldest->accepted_at)) {
            oldest = job;
        }
    }
    return oldest;
}

/* Jobs that had their turn before the others in this plan; NULL: none. */
struct early_jobs {
    const rr_job *gang, *job;
    const rr_job *keep_room_for; /* the gang for which room is to be kept when its turn comes */
};

static struct early_jobs place_early_jobs(struct rr_planner *planner, const GPtrArray *waiting,
                                          double retry_s, int *placements_left) {
    rr_job *gang = overdue_gang(planner, waiting);
    struct early_jobs early = {.gang = gang};
    bool gang_placed = gang && planner->now - gang->failed_at >= retry_s &&
                       rr_place_gang(planner, gang, placements_left);
    if (gang && !gang_placed) {
        if (planner->wall - gang->accepted_at > GANG_RESERVES_FIRST_S) {
            rr_gang_reserve_room(planner, gang);
        } else {
            early.keep_room_for = gang;
        }
    }
    rr_job *job = overdue_job(planner, waiting);
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
    planner->core->planning.plan_count++;
    struct early_jobs early = place_early_jobs(planner, waiting, retry_s, &placements_left);
    rr_sort_waiting_jobs(planner, waiting);
    for (guint i = 0; i < waiting->len && !planner->full && placements_left > 0; i++) {
        rr_job *job = g_ptr_array_index(waiting, i);
        if (early.keep_room_for &&
            job->submission.priority <= early.keep_room_for->submission.priority) {
            rr_gang_reserve_room(planner, early.keep_room_for);
            early.keep_room_for = NULL;
        }
        if (planner->now - job->failed_at >= retry_s && job != early.gang && job != early.job &&
            rr_within_fair_share(planner, job)) {
            place_job(planner, job, &placements_left);
        }
    }
}
