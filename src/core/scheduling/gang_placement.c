/* Places gangs: on free resources if all tasks fit there, else where preemption loses least work.
 * A waiting gang holds no reservations, so that two gangs can't block each other by each holding
 * half of what they need. */
#include "core/scheduling/gang_placement.h"
#include "core/core_internal.h"
#include "core/membership/membership.h"
#include "core/scheduling/bin_packing.h"
#include "core/scheduling/gang_search.h"
#include "core/scheduling/job_search.h"
#include "core/scheduling/placement_constraints.h"
#include "core/scheduling/preemption.h"
#include "core/scheduling/reservation.h"
#include "core/state/jobs.h"
#include "core/state/ledger.h"
#include "core/state/machines.h"

#include <string.h>

/* Preemption needs additional writes, so a gang does not preempt for the sake of its wait objective
 * while the write pressure is this high. */
#define PREEMPTION_PRESSURE_MAX 0.9

/* ---- placing on free resources ---- */

/* Whether the plan's candidates together have free resources for all tasks of the gang. */
static bool candidates_fit_gang(const struct rr_planner *planner, const rr_job *job) {
    uint32_t task_count = job->submission.task_count, fitting = 0;
    for (guint i = 0; i < planner->candidates->len && fitting < task_count; i++) {
        const rr_machine *machine = g_array_index(planner->candidates, rr_candidate, i).machine;
        fitting += rr_count_fitting_tasks(job->request, machine->free, task_count - fitting);
    }
    return fitting >= task_count;
}

/* Returns whether all tasks of the gang are reserved; if only some are, cancels the attempt's
 * reservations. */
static bool cancel_partial_reservations(const struct rr_planner *planner, const rr_job *job,
                                        uint64_t attempt, uint32_t reserved_count) {
    if (reserved_count == job->submission.task_count) {
        return true;
    }
    if (reserved_count > 0) {
        rr_cancel_reservations(planner, job, attempt);
    }
    return false;
}

/* Reserves all tasks on free resources of the plan's candidates, or none. Returns whether they are
 * reserved. Counts the reservations in `zones`, even if they are cancelled afterwards. */
static bool reserve_on_free_resources(struct rr_planner *planner, rr_job *job,
                                      struct rr_zone_tracker *zones) {
    rr_core *core = planner->core;
    struct rr_placement_constraints constraints = {.zones = zones->allowed};
    uint64_t attempt = rr_next_attempt(core);
    uint32_t task = 0;
    for (; task < job->submission.task_count; task++) {
        rr_machine *machine = rr_choose_candidate(core, job, &constraints, planner->candidates);
        if (!machine || !rr_reserve_task_attempt(planner, machine, job, task, attempt)) {
            break;
        }
        zones->placements_by_zone[machine->zone]++;
        zones->placement_count++;
        rr_compute_allowed_zones_from(core, job, zones->placements_by_zone, zones->placement_count,
                                      zones->allowed);
    }
    return cancel_partial_reservations(planner, job, attempt, task);
}

/* ---- placing on preempted resources ---- */

/* Capacity for one task of a gang on a machine, either free or to be freed by preemption. The n-th
 * slot of a machine has task_count n. */
struct slot {
    rr_machine *machine; /* not owned */
    uint32_t task_count; /* tasks of the gang on the machine, including this one */
    double loss_s;       /* of preempting for all these tasks, plus the image fetch; seconds */
};

/* Compares slots by loss, then by machine, then by number of tasks. */
static gint compare_slots_by_loss(gconstpointer left_slot, gconstpointer right_slot) {
    const struct slot *left = left_slot, *right = right_slot;
    if (left->loss_s != right->loss_s) {
        return left->loss_s < right->loss_s ? -1 : 1;
    }
    if (left->machine != right->machine) {
        return left->machine->id - right->machine->id;
    }
    return left->task_count < right->task_count ? -1 : 1;
}

/* Appends the machine's slots to `slots`; returns whether any of them requires preemption. */
static bool add_slots(struct rr_planner *planner, rr_machine *machine, const rr_job *job,
                      struct rr_preemption *preemption, GArray *slots) {
    double fetch_s = rr_estimate_image_fetch_s(planner->core, job, machine);
    uint32_t free_slots =
        rr_count_fitting_tasks(job->request, machine->free, job->submission.task_count);
    bool preempts = false;
    for (uint32_t count = 1; count <= job->submission.task_count; count++) {
        struct slot slot = {machine, count, fetch_s};
        if (count > free_slots) {
            if (!rr_preemption_select_victims(planner, machine, job, count, preemption)) {
                break;
            }
            slot.loss_s += preemption->loss_s;
            preempts = true;
        }
        g_array_append_val(slots, slot);
    }
    return preempts;
}

/* Returns the slots in these zones, those with the least loss first. The caller owns the array. */
static GArray *list_slots(struct rr_planner *planner, const rr_job *job, const bool *zones) {
    rr_core *core = planner->core;
    GArray *slots = g_array_new(FALSE, FALSE, sizeof(struct slot));
    guint compared = 0;
    struct rr_preemption preemption;
    rr_preemption_init(&preemption);
    for (guint i = 0; i < core->stored.machine_list->len && compared < RR_PREEMPTION_MACHINES_MAX;
         i++) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        core->counters.machines_examined++;
        if (rr_machine_accepts_job(core, machine, job, zones, planner->now)) {
            compared += add_slots(planner, machine, job, &preemption, slots);
        }
    }
    rr_preemption_clear(&preemption);
    g_array_sort(slots, compare_slots_by_loss);
    return slots;
}

/* Reduces the sorted slots to the first ones that take the whole gang, with no more of them in a
 * zone than the job's spread allows, and sets *loss_s to their total loss. Returns false if there
 * are too few. The kept slots of a machine are its first ones, since their losses increase. */
static bool select_best_slots(const struct rr_planner *planner, const rr_job *job, GArray *slots,
                              double *loss_s) {
    uint32_t task_count = job->submission.task_count, selected = 0;
    uint32_t zone_slots_max = job->submission.spread_zones ? (task_count + 1) / 2 : task_count;
    guint zone_count = planner->core->stored.zones.names->len;
    uint32_t slots_in_zone[zone_count + 1];
    memset(slots_in_zone, 0, sizeof slots_in_zone);
    *loss_s = 0;
    for (guint i = 0; i < slots->len && selected < task_count; i++) {
        struct slot slot = g_array_index(slots, struct slot, i);
        if (slots_in_zone[slot.machine->zone] < zone_slots_max) {
            slots_in_zone[slot.machine->zone]++;
            *loss_s += slot.loss_s;
            g_array_index(slots, struct slot, selected++) = slot;
        }
    }
    g_array_set_size(slots, selected);
    return selected == task_count;
}

/* Finds the slots with the least loss for the whole gang. An rr_gang_search_fn. */
static GArray *search_slots(struct rr_planner *planner, const rr_job *job, const bool *zones,
                            struct rr_gang_score *score) {
    GArray *slots = list_slots(planner, job, zones);
    score->secondary = 0;
    if (!select_best_slots(planner, job, slots, &score->primary)) {
        g_clear_pointer(&slots, g_array_unref);
    }
    return slots;
}

/* Returns how many of the slots are on the machine. */
static uint32_t count_slots_on_machine(const GArray *slots, const rr_machine *machine) {
    uint32_t count = 0;
    for (guint i = 0; i < slots->len; i++) {
        count += g_array_index(slots, struct slot, i).machine == machine;
    }
    return count;
}

/* Preempts the placements that occupy these slots. Returns false if the transaction can't take all
 * the changes; placements preempted until then still free resources for later plans. */
static bool preempt_for_slots(struct rr_planner *planner, const rr_job *job, const GArray *slots) {
    struct rr_preemption preemption;
    bool preempted = true;
    rr_preemption_init(&preemption);
    for (guint i = 0; i < slots->len && preempted; i++) {
        rr_machine *machine = g_array_index(slots, struct slot, i).machine;
        uint32_t count = count_slots_on_machine(slots, machine);
        if (rr_count_fitting_tasks(job->request, machine->free, count) < count) {
            preempted = rr_preemption_select_victims(planner, machine, job, count, &preemption) &&
                        rr_preemption_apply(planner, machine, job, &preemption);
        }
    }
    rr_preemption_clear(&preemption);
    return preempted;
}

/* Whether the gang may preempt: either its class has a wait objective, its priority is above low
 * and the write pressure is not too high, or its team's guarantee covers the whole gang. */
static bool may_preempt_for_gang(const struct rr_planner *planner, const rr_job *job) {
    const rr_core *core = planner->core;
    bool urgent = job->submission.priority > RR_PRIORITY_LOW &&
                  rr_objective_for(core, "wait", job->submission.job_class);
    return (urgent && core->planning.write_pressure < PREEMPTION_PRESSURE_MAX) ||
           rr_team_within_guarantee(planner, job, job->submission.task_count);
}

/* Preempts where the least work is lost, and reserves all tasks there, or none; returns whether it
 * did. The tasks start once the machines report the resources as free. */
static bool reserve_on_preempted_resources(struct rr_planner *planner, rr_job *job,
                                           const bool *allowed) {
    GArray *slots = may_preempt_for_gang(planner, job)
                        ? rr_search_zones_for_gang(planner, job, allowed, search_slots)
                        : NULL;
    if (!slots) {
        return false;
    }
    uint64_t attempt = rr_next_attempt(planner->core);
    uint32_t task = 0;
    if (preempt_for_slots(planner, job, slots)) {
        while (task < job->submission.task_count &&
               rr_reserve_task_attempt(planner, g_array_index(slots, struct slot, task).machine,
                                       job, task, attempt)) {
            task++;
        }
    }
    g_array_unref(slots);
    return cancel_partial_reservations(planner, job, attempt, task);
}

/* ---- placing a gang ---- */

/* Places the gang on free resources in the best zones, or by preemption in any zone that the job
 * allows. Returns whether all its tasks are reserved. */
static bool place_in_zones(struct rr_planner *planner, rr_job *job, struct rr_zone_tracker *zones) {
    rr_core *core = planner->core;
    bool allowed_by_job[core->stored.zones.names->len + 1];
    rr_compute_allowed_zones_from(core, job, zones->placements_by_zone, 0, allowed_by_job);
    rr_zone_tracker_update(planner, job, zones);
    uint64_t zone_mask = rr_zone_mask(core, zones->allowed);
    if (rr_skip_repeated_search(planner, job, zone_mask)) {
        return false;
    }
    rr_list_job_candidates(planner, job, zones,
                           &(struct rr_placement_constraints){.zones = zones->allowed});
    /* Checked first, as partial reservations of a gang that doesn't fit would use up the
     * transaction. */
    if ((candidates_fit_gang(planner, job) && reserve_on_free_resources(planner, job, zones)) ||
        (!planner->transaction_full &&
         reserve_on_preempted_resources(planner, job, allowed_by_job))) {
        return true;
    }
    if (!planner->transaction_full) {
        rr_record_failed_search(planner, job, zone_mask);
    }
    return false;
}

bool rr_place_gang(struct rr_planner *planner, rr_job *job, int *placements_left) {
    if (job->placed_count > 0 || !rr_team_within_limit(planner, job, job->submission.task_count)) {
        return false;
    }
    struct rr_zone_tracker zones;
    rr_zone_tracker_init(planner, job, &zones);
    /* The placements of an earlier attempt have to be removed from the ledger first. */
    bool placed = zones.placement_count == 0 && place_in_zones(planner, job, &zones);
    rr_zone_tracker_clear(&zones);
    if (placed) {
        *placements_left -= (int)job->submission.task_count;
    }
    return placed;
}
