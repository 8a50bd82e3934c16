/* Preemption: which placements may stop for a job, and what stopping them loses. */
#include "core/scheduling/preemption.h"
#include "core/core_internal.h"
#include "core/membership/membership.h"
#include "core/scheduling/bin_packing.h"
#include "core/scheduling/plan_edits.h"
#include "core/scheduling/reservation.h"
#include "core/state/jobs.h"
#include "core/state/ledger.h"
#include "core/state/machines.h"
#include "core/state/resources.h"

#include <math.h>

/* Losses beside the work itself. */
#define VICTIM_LOSS_S 1.0
#define INTACT_JOB_LOSS_S 10.0   /* the first victim of a job may decide when the job ends */
#define FOREIGN_OWNER_LOSS_S 3.0 /* another owner may change the victim's record too */

#define SLACK_WANTED_S 60.0 /* a deadline nearer than this is in danger from a restart */
#define NO_DEADLINE_SLACK_S 1e6
#define STOP_ROUND_TRIP_S 1.0 /* until a machine shows the room that a stop has made */

/* Spreads the starts of successive searches over the machine list. */
#define SEARCH_START_STRIDE 61

void rr_preemption_init(struct rr_preemption *preemption) {
    preemption->victims = g_array_new(FALSE, FALSE, sizeof(rr_placement *));
    preemption->loss_s = 0;
}

void rr_preemption_clear(struct rr_preemption *preemption) {
    g_array_free(preemption->victims, TRUE);
}

/* Work lost by stopping the placement without a save: its run time since its last checkpoint. */
static double unsaved_work_s(const rr_placement *placement, double now) {
    double ran_s = now - placement->seen_at;
    double interval_s = placement->job->submission.checkpoint_interval_s;
    return interval_s > 0 ? fmod(ran_s, interval_s) : ran_s;
}

/* Time to spare until the job's deadline if this task runs on from here. A job that is late already
 * has no deadline left to lose. */
static double slack_s(const rr_placement *placement, double now, double wall) {
    const rr_job *job = placement->job;
    if (job->submission.deadline_s < 0) {
        return NO_DEADLINE_SLACK_S;
    }
    double left_s = fmax(0, job->submission.runtime_estimate_s - (now - placement->seen_at));
    double slack = job->accepted_at + job->submission.deadline_s - wall - left_s;
    return slack < 0 ? NO_DEADLINE_SLACK_S : slack;
}

struct victim {
    rr_placement *placement;
    double slack_s;
};

/* Lowest priority first, then most time to spare. */
static gint by_priority_and_slack(gconstpointer left_victim, gconstpointer right_victim) {
    const struct victim *left = left_victim, *right = right_victim;
    int left_priority = left->placement->job->submission.priority;
    int right_priority = right->placement->job->submission.priority;
    if (left_priority != right_priority) {
        return left_priority < right_priority ? -1 : 1;
    }
    return left->slack_s > right->slack_s ? -1 : left->slack_s < right->slack_s;
}

/* Whether the placement may stop for the job, on one of PROTOCOL's two grounds: it has lower
 * priority, or it runs beyond its team's guarantee where the job is within its own
 * (job_guaranteed). Replicas are stopped on the second ground alone. `returned`: what victims of
 * its team chosen so far give back. */
static bool may_stop(const struct rr_planner *planner, const rr_job *job,
                     const rr_placement *placement, bool job_guaranteed, rr_resources returned) {
    const rr_job *victim = placement->job;
    if (victim->submission.priority < job->submission.priority &&
        victim->submission.kind != RR_JOB_SERVICE &&
        rr_objective_for(planner->core, "wait", job->submission.job_class)) {
        return true;
    }
    return job_guaranteed && victim->team >= 0 && victim->team != job->team &&
           rr_beyond_guarantee(planner, victim->team, returned);
}

/* The machine's placements that may stop for the job, in the order in which they would; the caller
 * owns the array. Adds to *available what is being stopped already. */
static GArray *possible_victims(const struct rr_planner *planner, const rr_machine *machine,
                                const rr_job *job, bool job_guaranteed, rr_resources *available) {
    const rr_resources nothing = {0, 0, 0};
    GArray *possible = g_array_new(FALSE, FALSE, sizeof(struct victim));
    for (guint i = 0; i < machine->placements->len; i++) {
        rr_placement *placement = &g_array_index(machine->placements, rr_placement, i);
        /* The machine's free resources include these already. */
        if (placement->leaving || placement->terminated_at > 0) {
            continue;
        }
        if (placement->preempt) {
            *available = rr_resources_add(*available, placement->job->request, 1);
        } else if (may_stop(planner, job, placement, job_guaranteed, nothing)) {
            struct victim victim = {placement, slack_s(placement, planner->now, planner->wall)};
            g_array_append_val(possible, victim);
        }
    }
    g_array_sort(possible, by_priority_and_slack);
    return possible;
}

static double loss_s(const struct rr_planner *planner, const struct victim *victim, bool at_once) {
    const rr_job *job = victim->placement->job;
    bool saves = job->submission.checkpoint_interval_s > 0 && !at_once;
    bool intact = job->done_count + job->placed_count >= job->submission.task_count;
    double loss = VICTIM_LOSS_S;
    loss += saves ? job->submission.save_s : unsaved_work_s(victim->placement, planner->now);
    loss += victim->slack_s < SLACK_WANTED_S ? SLACK_WANTED_S - victim->slack_s : 0;
    loss += intact ? INTACT_JOB_LOSS_S : 0;
    loss += rr_owns_team(planner->core, job->team) ? 0 : FOREIGN_OWNER_LOSS_S;
    /* A gang stops whole, and starts again only when room for all of it is found. */
    return job->submission.kind == RR_JOB_GANG ? loss * job->submission.task_count : loss;
}

static bool is_chosen(const GArray *victims, const rr_placement *placement) {
    for (guint i = 0; i < victims->len; i++) {
        if (g_array_index(victims, const rr_placement *, i) == placement) {
            return true;
        }
    }
    return false;
}

/* Adds a victim; of a gang, all that the machine has of it. Adds to *available what they give back.
 */
static void add_victim(const GArray *possible, const struct victim *victim, GArray *victims,
                       rr_resources *available) {
    const rr_job *job = victim->placement->job;
    for (guint i = 0; i < possible->len; i++) {
        rr_placement *placement = g_array_index(possible, struct victim, i).placement;
        if (placement == victim->placement ||
            (job->submission.kind == RR_JOB_GANG && placement->job == job)) {
            g_array_append_val(victims, placement);
            *available = rr_resources_add(*available, placement->job->request, 1);
        }
    }
}

bool rr_may_preempt(const rr_core *core, const rr_job *job) {
    return job->submission.priority > RR_PRIORITY_STANDARD &&
           rr_objective_for(core, "wait", job->submission.job_class);
}

/* How victims on the machine stop. Saving takes time; where the objective for the job's wait leaves
 * none, or is missed already, they stop at once and lose their work since the last checkpoint. */
static enum rr_preempt_mode preempt_mode(const struct rr_planner *planner, const rr_job *job,
                                         const rr_machine *machine) {
    const struct rr_objective *objective =
        rr_objective_for(planner->core, "wait", job->submission.job_class);
    if (!objective) {
        return RR_PREEMPT_SAVING;
    }
    double left_s = objective->within_s - (planner->wall - job->accepted_at);
    for (guint i = 0; i < machine->placements->len; i++) {
        const rr_job *other = g_array_index(machine->placements, rr_placement, i).job;
        if (other->submission.priority < job->submission.priority &&
            other->submission.save_s + STOP_ROUND_TRIP_S > left_s) {
            return RR_PREEMPT_AT_ONCE;
        }
    }
    return RR_PREEMPT_SAVING;
}

bool rr_preemption_find(const struct rr_planner *planner, const rr_machine *machine,
                        const rr_job *job, uint32_t task_count, struct rr_preemption *preemption) {
    bool gang = job->submission.kind == RR_JOB_GANG;
    bool guaranteed =
        rr_within_guarantee(planner, job, gang ? job->submission.task_count : task_count);
    bool at_once = preempt_mode(planner, job, machine) == RR_PREEMPT_AT_ONCE;
    rr_resources available = machine->free, returned = {0, 0, 0};
    GArray *possible = possible_victims(planner, machine, job, guaranteed, &available);
    g_array_set_size(preemption->victims, 0);
    preemption->loss_s = 0;
    for (guint i = 0;
         i < possible->len && rr_tasks_fitting(job->request, available, task_count) < task_count;
         i++) {
        const struct victim *victim = &g_array_index(possible, struct victim, i);
        const rr_placement *placement = victim->placement;
        /* Victims before it may have brought its team back within its guarantee. */
        if (is_chosen(preemption->victims, placement) ||
            !may_stop(planner, job, placement, guaranteed, returned)) {
            continue;
        }
        returned = rr_resources_add(returned, placement->job->request, 1);
        preemption->loss_s += loss_s(planner, victim, at_once);
        add_victim(possible, victim, preemption->victims, &available);
    }
    g_array_free(possible, TRUE);
    return rr_tasks_fitting(job->request, available, task_count) >= task_count;
}

static struct rr_record_edit *edit_of_victim(struct rr_planner *planner,
                                             const rr_placement *victim) {
    return rr_plan_edit_record(planner, victim->job, victim->chunk);
}

static void preempt_placement(struct rr_planner *planner, rr_machine *machine, rr_placement *victim,
                              enum rr_preempt_mode mode) {
    rr_placement_record *record =
        rr_record_edit_find(edit_of_victim(planner, victim), victim->attempt, victim->task);
    if (record) {
        record->preempt = mode;
    }
    victim->leaving = true;
    rr_planner_use_machine(planner, machine);
    machine->free = rr_resources_add(machine->free, victim->job->request, 1);
}

bool rr_preemption_apply(struct rr_planner *planner, rr_machine *machine, const rr_job *job,
                         const struct rr_preemption *preemption) {
    const GArray *victims = preemption->victims;
    enum rr_preempt_mode mode = preempt_mode(planner, job, machine);
    for (guint i = 0; i < victims->len; i++) {
        if (!edit_of_victim(planner, g_array_index(victims, rr_placement *, i))) {
            return false;
        }
    }
    for (guint i = 0; i < victims->len; i++) {
        rr_placement *victim = g_array_index(victims, rr_placement *, i);
        preempt_placement(planner, machine, victim, mode);
        rr_log_at(planner->core, RR_LOG_DEBUG, "preempt %s/%u on %s for %s%s",
                  victim->job->submission.job_id, victim->task, machine->name,
                  job->submission.job_id, mode == RR_PREEMPT_AT_ONCE ? ", unsaved" : "");
    }
    return true;
}

static bool may_preempt_on(const struct rr_planner *planner, const rr_machine *machine,
                           const rr_job *job, const struct rr_placement_constraints *constraints) {
    return machine->placements->len > 0 &&
           rr_machine_may_take(planner->core, machine, job, constraints->zones, planner->now) &&
           (!constraints->need_image || rr_machine_has_image(machine, job->image)) &&
           !(constraints->distinct_machines && rr_machine_has_task(machine, job));
}

/* Searches start at different machines, since each compares only some of a large fleet. */
static guint search_start(const rr_core *core, guint machine_count) {
    return machine_count > 0
               ? (guint)(core->membership.attempt_counter * SEARCH_START_STRIDE) % machine_count
               : 0;
}

/* The machine on which preempting for one task loses least, NULL: none. */
static rr_machine *cheapest_machine(const struct rr_planner *planner, const rr_job *job,
                                    const struct rr_placement_constraints *constraints,
                                    struct rr_preemption *preemption) {
    rr_core *core = planner->core;
    guint count = core->stored.machine_list->len, start = search_start(core, count), compared = 0;
    rr_machine *best = NULL;
    double least_loss_s = 0;
    for (guint i = 0; i < count && compared < RR_PREEMPT_COMPARED_MAX; i++) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, (start + i) % count);
        core->counters.machines_visited++;
        if (!may_preempt_on(planner, machine, job, constraints) ||
            !rr_preemption_find(planner, machine, job, 1, preemption)) {
            continue;
        }
        compared++;
        if (!best || preemption->loss_s < least_loss_s) {
            best = machine;
            least_loss_s = preemption->loss_s;
        }
    }
    return best;
}

bool rr_preempt_for_task(struct rr_planner *planner, rr_job *job, uint32_t task,
                         const struct rr_placement_constraints *constraints) {
    struct rr_preemption preemption;
    rr_preemption_init(&preemption);
    rr_machine *best = cheapest_machine(planner, job, constraints, &preemption);
    bool reserved = best && rr_preemption_find(planner, best, job, 1, &preemption) &&
                    rr_reservation_record(planner, job, task) &&
                    rr_preemption_apply(planner, best, job, &preemption) &&
                    rr_reserve(planner, best, job, task);
    rr_preemption_clear(&preemption);
    return reserved;
}
