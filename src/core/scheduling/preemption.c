#include "core/scheduling/preemption.h"
#include "core/core_internal.h"
#include "core/health/failure_detector.h"
#include "core/membership/membership.h"
#include "core/scheduling/bin_packing.h"
#include "core/scheduling/plan.h"
#include "core/scheduling/reservation.h"
#include "core/state/jobs.h"
#include "core/state/ledger.h"
#include "core/state/machines.h"
#include "core/state/resources.h"

#include <math.h>
#include <string.h>

/* Losses beside the work itself, in seconds. */
#define VICTIM_LOSS_S 1.0
#define TIGHT_S 60.0        /* a deadline nearer than this is in danger from a restart */
#define INTACT_JOB_S 10.0   /* the first victim of a job: its last task decides when it ends */
#define FOREIGN_OWNER_S 3.0 /* a victim of another owner, who may change its record too */

#define NO_DEADLINE_SLACK_S 1e6
#define STOP_ROUND_TRIP_S 1.0 /* until a machine shows the room that a stop has made */

void rr_preemption_init(struct rr_preemption *preemption) {
    preemption->victims = g_array_new(FALSE, FALSE, sizeof(rr_placement *));
    preemption->loss = 0;
}

void rr_preemption_clear(struct rr_preemption *preemption) {
    g_array_free(preemption->victims, TRUE);
}

/* Work that stopping this placement at once would lose: its run time since its last checkpoint. */
static double unsaved_work(const rr_placement *place, double now) {
    double ran = now - place->seen_at;
    double interval = place->job->submission.checkpoint_interval_s;
    return interval > 0 ? fmod(ran, interval) : ran;
}

/* Time to spare until the job's deadline if this task ran on from here; what is late already has
 * nothing left to lose. */
static double slack_of(const rr_placement *place, double now, double wall) {
    const rr_job *job = place->job;
    if (job->submission.deadline_s < 0) {
        return NO_DEADLINE_SLACK_S;
    }
    double left = fmax(0, job->submission.runtime_estimate_s - (now - place->seen_at));
    double slack = job->accepted_at + job->submission.deadline_s - wall - left;
    return slack < 0 ? NO_DEADLINE_SLACK_S : slack;
}

struct victim {
    rr_placement *placement;
    double slack;
};

/* Lowest priority first, then most time to spare. */
static gint by_priority_and_slack(gconstpointer left_item, gconstpointer right_item) {
    const struct victim *left = left_item, *right = right_item;
    if (left->placement->job->submission.priority != right->placement->job->submission.priority) {
        return left->placement->job->submission.priority <
                       right->placement->job->submission.priority
                   ? -1
                   : 1;
    }
    return left->slack > right->slack ? -1 : left->slack < right->slack;
}

/* The protocol's two grounds: lower priority, or work of any priority that another team runs beyond
 * its own guarantee where this team is owed the room. `returned` is what victims so far give back.
 * Replicas are stopped on the second ground alone. */
static bool may_stop(const struct rr_planner *planner, const rr_job *job, const rr_placement *place,
                     bool owed, rr_resources returned) {
    const rr_job *victim = place->job;
    if (victim->submission.priority < job->submission.priority &&
        victim->submission.kind != RR_JOB_SERVICE &&
        rr_objective_for(planner->core, "wait", job->submission.job_class)) {
        return true;
    }
    return owed && victim->team >= 0 && victim->team != job->team &&
           rr_beyond_guarantee(planner, victim->team, returned);
}

/* The machine's placements that may be stopped for the job, in the order in which they would be.
 * Adds to *room what is being stopped already. */
static GArray *possible_victims(const struct rr_planner *planner, const rr_machine *machine,
                                const rr_job *job, bool owed, rr_resources *room) {
    const rr_resources nothing = {0, 0, 0};
    GArray *possible = g_array_new(FALSE, FALSE, sizeof(struct victim));
    for (guint i = 0; i < machine->placements->len; i++) {
        rr_placement *place = &g_array_index(machine->placements, rr_placement, i);
        /* Free room has what is over, and what this plan stops, already: counted once more, the
         * same victim made room for two. */
        if (place->leaving || place->terminated_at > 0) {
            continue;
        }
        if (place->preempt) {
            *room = rr_resources_add(*room, place->job->request, 1);
        } else if (may_stop(planner, job, place, owed, nothing)) {
            struct victim victim = {place, slack_of(place, planner->now, planner->wall)};
            g_array_append_val(possible, victim);
        }
    }
    g_array_sort(possible, by_priority_and_slack);
    return possible;
}

static double loss_of(const struct rr_planner *planner, const struct victim *victim, bool at_once) {
    const rr_job *job = victim->placement->job;
    bool saves = job->submission.checkpoint_interval_s > 0 && !at_once;
    double loss = VICTIM_LOSS_S;
    loss += saves ? job->submission.save_s : unsaved_work(victim->placement, planner->now);
    loss += victim->slack < TIGHT_S ? TIGHT_S - victim->slack : 0;
    loss += job->done_count + job->placed_count < job->submission.task_count ? 0 : INTACT_JOB_S;
    loss += rr_owns_team(planner->core, job->team) ? 0 : FOREIGN_OWNER_S;
    /* A gang stops whole, and starts anew only when room for all of it is found again. */
    return job->submission.kind == RR_JOB_GANG ? loss * job->submission.task_count : loss;
}

static bool is_chosen(const GArray *victims, const rr_placement *place) {
    for (guint i = 0; i < victims->len; i++) {
        if (g_array_index(victims, const rr_placement *, i) == place) {
            return true;
        }
    }
    return false;
}

/* Adds a victim; of a gang, all that the machine has of it. What they give back goes to *room. */
static void choose_victims(const GArray *possible, const struct victim *victim, GArray *victims,
                           rr_resources *room) {
    const rr_job *job = victim->placement->job;
    for (guint i = 0; i < possible->len; i++) {
        rr_placement *place = g_array_index(possible, struct victim, i).placement;
        if (place == victim->placement ||
            (job->submission.kind == RR_JOB_GANG && place->job == job)) {
            g_array_append_val(victims, place);
            *room = rr_resources_add(*room, place->job->request, 1);
        }
    }
}

bool rr_may_preempt(const rr_core *core, const rr_job *job) {
    return job->submission.priority > RR_PRIORITY_STANDARD &&
           rr_objective_for(core, "wait", job->submission.job_class);
}

/* Saving takes the victims' time; where the aim on the start does not leave it, or is missed
 * already (a replica lost with its machine, say), they stop at once and lose what they did since
 * their last checkpoint. */
static bool must_stop_at_once(const struct rr_planner *planner, const rr_job *job,
                              const rr_machine *machine) {
    const struct rr_objective *aim =
        rr_objective_for(planner->core, "wait", job->submission.job_class);
    if (!aim) {
        return false;
    }
    double left = aim->within_s - (planner->wall - job->accepted_at);
    for (guint i = 0; i < machine->placements->len; i++) {
        const rr_job *other = g_array_index(machine->placements, rr_placement, i).job;
        if (other->submission.priority < job->submission.priority &&
            other->submission.save_s + STOP_ROUND_TRIP_S > left) {
            return true;
        }
    }
    return false;
}

bool rr_preemption_find(struct rr_planner *planner, rr_machine *machine, const rr_job *job,
                        uint32_t tasks, struct rr_preemption *out) {
    bool gang = job->submission.kind == RR_JOB_GANG;
    bool owed = rr_within_guarantee(planner, job, gang ? job->submission.task_count : tasks);
    bool at_once = must_stop_at_once(planner, job, machine);
    rr_resources room = machine->free, returned = {0, 0, 0};
    GArray *possible = possible_victims(planner, machine, job, owed, &room);
    g_array_set_size(out->victims, 0);
    out->loss = 0;
    for (guint i = 0; i < possible->len && rr_tasks_fitting(job->request, room, tasks) < tasks;
         i++) {
        const struct victim *victim = &g_array_index(possible, struct victim, i);
        rr_placement *place = victim->placement;
        /* Those before it may have brought its team back within its guarantee. */
        if (is_chosen(out->victims, place) || !may_stop(planner, job, place, owed, returned)) {
            continue;
        }
        returned = rr_resources_add(returned, place->job->request, 1);
        out->loss += loss_of(planner, victim, at_once);
        choose_victims(possible, victim, out->victims, &room);
    }
    g_array_free(possible, TRUE);
    return rr_tasks_fitting(job->request, room, tasks) >= tasks;
}

static struct rr_plan_edit *edit_of_victim(struct rr_planner *planner, const rr_placement *victim) {
    return rr_plan_edit_record(planner, victim->job, victim->chunk);
}

bool rr_preemption_mark(struct rr_planner *planner, rr_machine *machine, const rr_job *job,
                        const struct rr_preemption *preemption) {
    const GArray *victims = preemption->victims;
    bool at_once = must_stop_at_once(planner, job, machine);
    for (guint i = 0; i < victims->len; i++) {
        if (!edit_of_victim(planner, g_array_index(victims, rr_placement *, i))) {
            return false;
        }
    }
    for (guint i = 0; i < victims->len; i++) {
        rr_placement *place = g_array_index(victims, rr_placement *, i);
        rr_placement_record *item =
            rr_plan_edit_find(edit_of_victim(planner, place), place->attempt, place->task);
        if (item) {
            item->preempt = at_once ? RR_PREEMPT_AT_ONCE : RR_PREEMPT_SAVING;
        }
        place->leaving = true;
        rr_plan_use_machine(planner, machine);
        machine->free = rr_resources_add(machine->free, place->job->request, 1);
        rr_log_at(planner->core, RR_LOG_DEBUG, "preempt %s/%u on %s for %s%s",
                  place->job->submission.job_id, place->task, machine->name, job->submission.job_id,
                  at_once ? ", unsaved" : "");
    }
    return true;
}

bool rr_machine_may_take(const struct rr_planner *planner, const rr_machine *machine,
                         const rr_job *job, const bool *allowed) {
    return machine->zone >= 0 && allowed[machine->zone] &&
           rr_job_allows(planner->core, job, machine->machine_type, machine->zone, machine->spot) &&
           rr_machine_schedulable(planner->core, machine, planner->now);
}

static bool may_take(const struct rr_planner *planner, const rr_machine *machine, const rr_job *job,
                     const struct rr_placement_constraints *choice, bool warm_only) {
    return machine->placements->len > 0 &&
           rr_machine_may_take(planner, machine, job, choice->zones) &&
           (!warm_only || rr_machine_has_image(machine, job->image)) &&
           !(choice->distinct_machines && rr_machine_has_task(machine, job));
}

/* Where a search over machines begins: not always with the same ones. */
static guint first_compared(const rr_core *core, guint machines) {
    return machines > 0 ? (guint)(core->membership.attempt_counter * 61) % machines : 0;
}

bool rr_preempt_for_task(struct rr_planner *planner, rr_job *job, uint32_t task,
                         const struct rr_placement_constraints *choice, bool warm_only) {
    rr_core *core = planner->core;
    rr_machine *best = NULL;
    double least = 0;
    guint count = core->stored.machine_list->len, first = first_compared(core, count), compared = 0;
    struct rr_preemption found;
    rr_preemption_init(&found);
    for (guint i = 0; i < count && compared < RR_PREEMPT_COMPARED_MAX; i++) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, (first + i) % count);
        core->counters.machines_visited++;
        if (!may_take(planner, machine, job, choice, warm_only) ||
            !rr_preemption_find(planner, machine, job, 1, &found)) {
            continue;
        }
        compared++;
        if (!best || found.loss < least) {
            best = machine;
            least = found.loss;
        }
    }
    bool reserved = best && rr_preemption_find(planner, best, job, 1, &found) &&
                    rr_reservation_record(planner, job, task) &&
                    rr_preemption_mark(planner, best, job, &found) &&
                    rr_reserve(planner, best, job, task);
    rr_preemption_clear(&found);
    return reserved;
}
