/* Selects the placements to preempt for a job by the estimated loss, and marks them in the plan. */
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

/* Penalties added to the estimated loss of work, in seconds. */
#define VICTIM_LOSS_S 1.0 /* for every victim */
/* The first victim of a job whose other tasks are all placed or done may determine when the job
 * ends. */
#define FULLY_PLACED_JOB_LOSS_S 10.0
/* Another controller owns the victim's team, and may change the victim's record too. */
#define FOREIGN_OWNER_LOSS_S 3.0

#define SAFE_SLACK_S 60.0       /* with less slack, a restart endangers the deadline */
#define NO_DEADLINE_SLACK_S 1e6 /* for jobs that have no deadline, or have missed it */
#define STOP_ROUND_TRIP_S 1.0   /* from the stop until the machine reports the resources as free */

/* Distance in the machine list between the starts of successive searches. */
#define SEARCH_START_STRIDE 61

void rr_preemption_init(struct rr_preemption *preemption) {
    preemption->victims = g_array_new(FALSE, FALSE, sizeof(rr_placement *));
    preemption->loss_s = 0;
}

void rr_preemption_clear(struct rr_preemption *preemption) {
    g_array_free(preemption->victims, TRUE);
}

/* Returns the seconds of work lost if the placement stops without saving: the run time since its
 * last checkpoint. */
static double compute_unsaved_work_s(const rr_placement *placement, double now) {
    double ran_s = now - placement->seen_at;
    double interval_s = placement->job->submission.checkpoint_interval_s;
    return interval_s > 0 ? fmod(ran_s, interval_s) : ran_s;
}

/* Returns the slack of the job's deadline, in seconds, if this task runs on without interruption. A
 * job that is already late has no deadline left to miss, and so counts as one without deadline. */
static double compute_slack_s(const rr_placement *placement, double now, double wall) {
    const rr_job *job = placement->job;
    if (job->submission.deadline_s < 0) {
        return NO_DEADLINE_SLACK_S;
    }
    double left_s = fmax(0, job->submission.runtime_estimate_s - (now - placement->seen_at));
    double slack = job->accepted_at + job->submission.deadline_s - wall - left_s;
    return slack < 0 ? NO_DEADLINE_SLACK_S : slack;
}

/* A placement that may be preempted. */
struct victim {
    rr_placement *placement; /* not owned */
    double slack_s;          /* until the deadline of its job, seconds */
};

/* Compares victims by priority, the lowest first, then by slack, the largest first. */
static gint compare_victims(gconstpointer left_victim, gconstpointer right_victim) {
    const struct victim *left = left_victim, *right = right_victim;
    int left_priority = left->placement->job->submission.priority;
    int right_priority = right->placement->job->submission.priority;
    if (left_priority != right_priority) {
        return left_priority < right_priority ? -1 : 1;
    }
    return left->slack_s > right->slack_s ? -1 : left->slack_s < right->slack_s;
}

/* Whether the placement may be preempted for the job, for one of the two reasons that PROTOCOL
 * names: it has lower priority and the job's class has a wait objective, or its team exceeds its
 * guarantee while the job is within its own (job_guaranteed). Replicas of services are preempted
 * for the second reason only. `freed`: resources of the victims selected so far, of whichever team.
 */
static bool may_preempt_placement(const struct rr_planner *planner, const rr_job *job,
                                  const rr_placement *placement, bool job_guaranteed,
                                  rr_resources freed) {
    const rr_job *victim = placement->job;
    if (victim->submission.priority < job->submission.priority &&
        victim->submission.kind != RR_JOB_SERVICE &&
        rr_objective_for(planner->core, "wait", job->submission.job_class)) {
        return true;
    }
    return job_guaranteed && victim->team >= 0 && victim->team != job->team &&
           rr_team_exceeds_guarantee(planner, victim->team, freed);
}

/* Returns the machine's placements (struct victim) that may be preempted for the job, in order of
 * preemption. The caller owns the array. Adds to *available the resources of placements that are
 * already preempted. */
static GArray *list_possible_victims(const struct rr_planner *planner, const rr_machine *machine,
                                     const rr_job *job, bool job_guaranteed,
                                     rr_resources *available) {
    const rr_resources nothing = {0, 0, 0};
    GArray *possible = g_array_new(FALSE, FALSE, sizeof(struct victim));
    for (guint i = 0; i < machine->placements->len; i++) {
        rr_placement *placement = &g_array_index(machine->placements, rr_placement, i);
        /* The machine's free resources already include those of this placement. */
        if (placement->preempted_by_plan || placement->terminated_at > 0) {
            continue;
        }
        if (placement->preempt) {
            *available = rr_resources_add(*available, placement->job->request, 1);
        } else if (may_preempt_placement(planner, job, placement, job_guaranteed, nothing)) {
            struct victim victim = {placement,
                                    compute_slack_s(placement, planner->now, planner->wall)};
            g_array_append_val(possible, victim);
        }
    }
    g_array_sort(possible, compare_victims);
    return possible;
}

/* Returns the estimated loss of preempting the victim, in seconds. at_once: it stops without saving
 * a checkpoint. */
static double compute_loss_s(const struct rr_planner *planner, const struct victim *victim,
                             bool at_once) {
    const rr_job *job = victim->placement->job;
    bool saves = job->submission.checkpoint_interval_s > 0 && !at_once;
    bool fully_placed = job->done_count + job->placed_count >= job->submission.task_count;
    double loss = VICTIM_LOSS_S;
    loss += saves ? job->submission.checkpoint_save_s
                  : compute_unsaved_work_s(victim->placement, planner->now);
    loss += victim->slack_s < SAFE_SLACK_S ? SAFE_SLACK_S - victim->slack_s : 0;
    loss += fully_placed ? FULLY_PLACED_JOB_LOSS_S : 0;
    loss += rr_owns_team(planner->core, job->team) ? 0 : FOREIGN_OWNER_LOSS_S;
    /* All tasks of a gang stop, and restart only when there is capacity for all of them. */
    return job->submission.kind == RR_JOB_GANG ? loss * job->submission.task_count : loss;
}

static bool is_selected(const GArray *victims, const rr_placement *placement) {
    for (guint i = 0; i < victims->len; i++) {
        if (g_array_index(victims, const rr_placement *, i) == placement) {
            return true;
        }
    }
    return false;
}

/* Appends the victim to `victims`; if it belongs to a gang, all of the gang's placements on the
 * machine. Adds their resources to *available. */
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

bool rr_job_may_preempt(const rr_core *core, const rr_job *job) {
    return job->submission.priority > RR_PRIORITY_STANDARD &&
           rr_objective_for(core, "wait", job->submission.job_class);
}

/* Returns how victims on the machine stop. Saving a checkpoint takes time. If the job's wait
 * objective does not leave that much time, or is already missed, they stop at once and lose the
 * work since their last checkpoints. */
static enum rr_preempt_mode choose_preempt_mode(const struct rr_planner *planner, const rr_job *job,
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
            other->submission.checkpoint_save_s + STOP_ROUND_TRIP_S > left_s) {
            return RR_PREEMPT_AT_ONCE;
        }
    }
    return RR_PREEMPT_SAVING;
}

bool rr_preemption_select_victims(const struct rr_planner *planner, const rr_machine *machine,
                                  const rr_job *job, uint32_t task_count,
                                  struct rr_preemption *preemption) {
    bool gang = job->submission.kind == RR_JOB_GANG;
    bool guaranteed =
        rr_team_within_guarantee(planner, job, gang ? job->submission.task_count : task_count);
    bool at_once = choose_preempt_mode(planner, job, machine) == RR_PREEMPT_AT_ONCE;
    rr_resources available = machine->free, freed = {0, 0, 0};
    GArray *possible = list_possible_victims(planner, machine, job, guaranteed, &available);
    g_array_set_size(preemption->victims, 0);
    preemption->loss_s = 0;
    for (guint i = 0; i < possible->len &&
                      rr_count_fitting_tasks(job->request, available, task_count) < task_count;
         i++) {
        const struct victim *victim = &g_array_index(possible, struct victim, i);
        const rr_placement *placement = victim->placement;
        /* Victims selected before may have brought its team back within its guarantee. */
        if (is_selected(preemption->victims, placement) ||
            !may_preempt_placement(planner, job, placement, guaranteed, freed)) {
            continue;
        }
        freed = rr_resources_add(freed, placement->job->request, 1);
        preemption->loss_s += compute_loss_s(planner, victim, at_once);
        add_victim(possible, victim, preemption->victims, &available);
    }
    g_array_free(possible, TRUE);
    return rr_count_fitting_tasks(job->request, available, task_count) >= task_count;
}

/* Returns the plan's edit of the victim's ledger record, or NULL if the transaction is full or the
 * record can't be written. */
static struct rr_record_edit *edit_victim_record(struct rr_planner *planner,
                                                 const rr_placement *victim) {
    return rr_plan_edit_record(planner, victim->job, victim->chunk);
}

/* Marks one victim as preempted, and adds its resources to the machine's free ones. */
static void preempt_placement(struct rr_planner *planner, rr_machine *machine, rr_placement *victim,
                              enum rr_preempt_mode mode) {
    rr_placement_record *record = rr_record_edit_find_placement(edit_victim_record(planner, victim),
                                                                victim->attempt, victim->task);
    if (record) {
        record->preempt = mode;
    }
    victim->preempted_by_plan = true;
    rr_planner_track_machine(planner, machine);
    machine->free = rr_resources_add(machine->free, victim->job->request, 1);
}

bool rr_preemption_apply(struct rr_planner *planner, rr_machine *machine, const rr_job *job,
                         const struct rr_preemption *preemption) {
    const GArray *victims = preemption->victims;
    enum rr_preempt_mode mode = choose_preempt_mode(planner, job, machine);
    for (guint i = 0; i < victims->len; i++) {
        if (!edit_victim_record(planner, g_array_index(victims, rr_placement *, i))) {
            return false;
        }
    }
    for (guint i = 0; i < victims->len; i++) {
        rr_placement *victim = g_array_index(victims, rr_placement *, i);
        preempt_placement(planner, machine, victim, mode);
        rr_log_at(planner->core, RR_LOG_DEBUG, "preempting task %s/%u on machine %s for job %s%s",
                  victim->job->submission.job_id, victim->task, machine->name,
                  job->submission.job_id,
                  mode == RR_PREEMPT_AT_ONCE ? ", without saving a checkpoint" : "");
    }
    return true;
}

/* Whether a task of the job may run on the machine once placements there are preempted. Checks
 * only the constraints, and does not compare resources. */
static bool may_preempt_on_machine(const struct rr_planner *planner, const rr_machine *machine,
                                   const rr_job *job,
                                   const struct rr_placement_constraints *constraints) {
    return machine->placements->len > 0 &&
           rr_machine_accepts_job(planner->core, machine, job, constraints->zones, planner->now) &&
           (!constraints->need_image || rr_machine_has_image(machine, job->image)) &&
           !(constraints->distinct_machines && rr_machine_has_task(machine, job));
}

/* Returns the index of the machine at which a search starts. The start varies with the
 * attempt counter, since in a large cluster each search compares only some of the machines. */
static guint choose_search_start(const rr_core *core, guint machine_count) {
    return machine_count > 0
               ? (guint)(core->membership.attempt_counter * SEARCH_START_STRIDE) % machine_count
               : 0;
}

/* Returns the machine on which preempting for one task has the smallest estimated loss, in seconds
 * of work and penalties, or NULL if no machine compared allows it. Overwrites *preemption with the
 * victims of the last machine compared. */
static rr_machine *find_cheapest_machine(const struct rr_planner *planner, const rr_job *job,
                                         const struct rr_placement_constraints *constraints,
                                         struct rr_preemption *preemption) {
    rr_core *core = planner->core;
    guint count = core->stored.machine_list->len, start = choose_search_start(core, count),
          compared = 0;
    rr_machine *best = NULL;
    double least_loss_s = 0;
    for (guint i = 0; i < count && compared < RR_PREEMPTION_MACHINES_MAX; i++) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, (start + i) % count);
        core->counters.machines_examined++;
        if (!may_preempt_on_machine(planner, machine, job, constraints) ||
            !rr_preemption_select_victims(planner, machine, job, 1, preemption)) {
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
    rr_machine *best = find_cheapest_machine(planner, job, constraints, &preemption);
    bool reserved = best && rr_preemption_select_victims(planner, best, job, 1, &preemption) &&
                    rr_edit_reservation_record(planner, job, task) &&
                    rr_preemption_apply(planner, best, job, &preemption) &&
                    rr_reserve_task(planner, best, job, task);
    rr_preemption_clear(&preemption);
    return reserved;
}
