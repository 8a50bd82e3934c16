/* Placement of gangs: on free resources if all tasks fit, else where preempting costs least. A gang
 * that waits holds no reservation, so that no two gangs hold half of what each needs. */
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

/* Preempting costs writes of its own, so it waits while the write pressure is above this. */
#define PREEMPTION_PRESSURE_MAX 0.9

/* ---- on free resources ---- */

static bool candidates_take_all_tasks(const struct rr_planner *planner, const rr_job *job) {
    uint32_t task_count = job->submission.task_count, fitting = 0;
    for (guint i = 0; i < planner->candidates->len && fitting < task_count; i++) {
        const rr_machine *machine = g_array_index(planner->candidates, rr_candidate, i).machine;
        fitting += rr_tasks_fitting(job->request, machine->free, task_count - fitting);
    }
    return fitting >= task_count;
}

/* Ends a gang's reservations under one attempt: all of its tasks are reserved, or none. */
static bool keep_all_or_none(const struct rr_planner *planner, const rr_job *job, uint64_t attempt,
                             uint32_t reserved_count) {
    if (reserved_count == job->submission.task_count) {
        return true;
    }
    if (reserved_count > 0) {
        rr_cancel_reservations(planner, job, attempt);
    }
    return false;
}

static bool reserve_on_free_resources(struct rr_planner *planner, rr_job *job,
                                      struct rr_job_zones *zones) {
    rr_core *core = planner->core;
    struct rr_placement_constraints constraints = {.zones = zones->allowed};
    uint64_t attempt = rr_next_attempt(core);
    uint32_t task = 0;
    for (; task < job->submission.task_count; task++) {
        rr_machine *machine = rr_bin_pack_from(core, job, &constraints, planner->candidates);
        if (!machine || !rr_reserve_attempt(planner, machine, job, task, attempt)) {
            break;
        }
        zones->placements[machine->zone]++;
        zones->placement_count++;
        rr_job_zones_from(core, job, zones->placements, zones->placement_count, zones->allowed);
    }
    return keep_all_or_none(planner, job, attempt, task);
}

/* ---- on preempted resources ---- */

/* Room for one task of a gang on a machine, free or to be made. */
struct slot {
    rr_machine *machine;
    uint32_t task_count; /* tasks of the gang on the machine, with this one */
    double loss_s;       /* of preempting for all these tasks, with the fetch of the image */
};

static gint by_loss(gconstpointer left_slot, gconstpointer right_slot) {
    const struct slot *left = left_slot, *right = right_slot;
    if (left->loss_s != right->loss_s) {
        return left->loss_s < right->loss_s ? -1 : 1;
    }
    if (left->machine != right->machine) {
        return left->machine->id - right->machine->id;
    }
    return left->task_count < right->task_count ? -1 : 1;
}

/* Adds the machine's slots; returns whether any of them needs preemption. */
static bool add_slots(struct rr_planner *planner, rr_machine *machine, const rr_job *job,
                      struct rr_preemption *preemption, GArray *slots) {
    double fetch_s = rr_image_fetch_s(planner->core, job, machine);
    uint32_t free_slots = rr_tasks_fitting(job->request, machine->free, job->submission.task_count);
    bool preempts = false;
    for (uint32_t count = 1; count <= job->submission.task_count; count++) {
        struct slot slot = {machine, count, fetch_s};
        if (count > free_slots) {
            if (!rr_preemption_find(planner, machine, job, count, preemption)) {
                break;
            }
            slot.loss_s += preemption->loss_s;
            preempts = true;
        }
        g_array_append_val(slots, slot);
    }
    return preempts;
}

/* The slots in these zones, least loss first; the caller owns them. */
static GArray *list_slots(struct rr_planner *planner, const rr_job *job, const bool *zones) {
    rr_core *core = planner->core;
    GArray *slots = g_array_new(FALSE, FALSE, sizeof(struct slot));
    guint compared = 0;
    struct rr_preemption preemption;
    rr_preemption_init(&preemption);
    for (guint i = 0; i < core->stored.machine_list->len && compared < RR_PREEMPT_COMPARED_MAX;
         i++) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        core->counters.machines_visited++;
        if (rr_machine_may_take(core, machine, job, zones, planner->now)) {
            compared += add_slots(planner, machine, job, &preemption, slots);
        }
    }
    rr_preemption_clear(&preemption);
    g_array_sort(slots, by_loss);
    return slots;
}

/* Keeps the first slots that take the whole gang, with no more of them in a zone than the job
 * allows. False: there are too few. A machine's slots stay in order, since their losses grow. */
static bool keep_best_slots(const struct rr_planner *planner, const rr_job *job, GArray *slots,
                            double *loss_s) {
    uint32_t task_count = job->submission.task_count, kept = 0;
    uint32_t zone_max = job->submission.spread ? (task_count + 1) / 2 : task_count;
    guint zone_count = planner->core->stored.zones.names->len;
    uint32_t in_zone[zone_count + 1];
    memset(in_zone, 0, sizeof in_zone);
    *loss_s = 0;
    for (guint i = 0; i < slots->len && kept < task_count; i++) {
        struct slot slot = g_array_index(slots, struct slot, i);
        if (in_zone[slot.machine->zone] < zone_max) {
            in_zone[slot.machine->zone]++;
            *loss_s += slot.loss_s;
            g_array_index(slots, struct slot, kept++) = slot;
        }
    }
    g_array_set_size(slots, kept);
    return kept == task_count;
}

/* A rr_gang_search_fn: the slots for the whole gang with the least loss. */
static GArray *search_slots(struct rr_planner *planner, const rr_job *job, const bool *zones,
                            struct rr_gang_score *score) {
    GArray *slots = list_slots(planner, job, zones);
    score->second = 0;
    if (!keep_best_slots(planner, job, slots, &score->first)) {
        g_clear_pointer(&slots, g_array_unref);
    }
    return slots;
}

static uint32_t slots_on(const GArray *slots, const rr_machine *machine) {
    uint32_t count = 0;
    for (guint i = 0; i < slots->len; i++) {
        count += g_array_index(slots, struct slot, i).machine == machine;
    }
    return count;
}

/* Preempts what stands in the way of the gang on the machines of these slots. False: the
 * transaction has no room for all of it; what is preempted makes room for the plans that follow. */
static bool preempt_for_slots(struct rr_planner *planner, const rr_job *job, const GArray *slots) {
    struct rr_preemption preemption;
    bool preempted = true;
    rr_preemption_init(&preemption);
    for (guint i = 0; i < slots->len && preempted; i++) {
        rr_machine *machine = g_array_index(slots, struct slot, i).machine;
        uint32_t count = slots_on(slots, machine);
        if (rr_tasks_fitting(job->request, machine->free, count) < count) {
            preempted = rr_preemption_find(planner, machine, job, count, &preemption) &&
                        rr_preemption_apply(planner, machine, job, &preemption);
        }
    }
    rr_preemption_clear(&preemption);
    return preempted;
}

/* Whether the job's class has an objective for its wait, or the guarantee covers the whole gang. */
static bool may_preempt(const struct rr_planner *planner, const rr_job *job) {
    const rr_core *core = planner->core;
    bool urgent = job->submission.priority > RR_PRIORITY_LOW &&
                  rr_objective_for(core, "wait", job->submission.job_class);
    return (urgent && core->planning.write_pressure < PREEMPTION_PRESSURE_MAX) ||
           rr_within_guarantee(planner, job, job->submission.task_count);
}

/* Preempts where least is lost, and reserves all tasks there. They start when the machines show
 * free resources. */
static bool reserve_on_preempted_resources(struct rr_planner *planner, rr_job *job,
                                           const bool *allowed) {
    GArray *slots =
        may_preempt(planner, job) ? rr_gang_best_search(planner, job, allowed, search_slots) : NULL;
    if (!slots) {
        return false;
    }
    uint64_t attempt = rr_next_attempt(planner->core);
    uint32_t task = 0;
    if (preempt_for_slots(planner, job, slots)) {
        while (task < job->submission.task_count &&
               rr_reserve_attempt(planner, g_array_index(slots, struct slot, task).machine, job,
                                  task, attempt)) {
            task++;
        }
    }
    g_array_unref(slots);
    return keep_all_or_none(planner, job, attempt, task);
}

/* ---- one gang ---- */

/* Free resources are searched in the best zones, preempted ones in all that the job allows. */
static bool place_in_zones(struct rr_planner *planner, rr_job *job, struct rr_job_zones *zones) {
    rr_core *core = planner->core;
    bool any_allowed[core->stored.zones.names->len + 1];
    rr_job_zones_from(core, job, zones->placements, 0, any_allowed);
    rr_job_zones_update(planner, job, zones);
    uint64_t zone_mask = rr_zone_mask(core, zones->allowed);
    if (rr_search_is_hopeless(planner, job, zone_mask)) {
        return false;
    }
    rr_list_job_candidates(planner, job, zones,
                           &(struct rr_placement_constraints){.zones = zones->allowed});
    /* A gang that does not fit must not use up the transaction with partial reservations. */
    if ((candidates_take_all_tasks(planner, job) &&
         reserve_on_free_resources(planner, job, zones)) ||
        (!planner->full && reserve_on_preempted_resources(planner, job, any_allowed))) {
        return true;
    }
    if (!planner->full) {
        rr_record_failed_search(planner, job, zone_mask);
    }
    return false;
}

bool rr_place_gang(struct rr_planner *planner, rr_job *job, int *placements_left) {
    if (job->placed_count > 0 || !rr_within_limit(planner, job, job->submission.task_count)) {
        return false;
    }
    struct rr_job_zones zones;
    rr_job_zones_init(planner, job, &zones);
    /* Placements of an earlier attempt have to leave the ledger first. */
    bool placed = zones.placement_count == 0 && place_in_zones(planner, job, &zones);
    rr_job_zones_clear(&zones);
    if (placed) {
        *placements_left -= (int)job->submission.task_count;
    }
    return placed;
}
