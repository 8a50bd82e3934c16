/* Reserves capacity for a gang by blocking machines within a plan. Blocked machines get no new
 * tasks, so that the next plan selects the same ones, with more free resources. */
#include "core/scheduling/gang_reservation.h"
#include "core/core_internal.h"
#include "core/scheduling/bin_packing.h"
#include "core/scheduling/gang_search.h"
#include "core/scheduling/placement_constraints.h"
#include "core/scheduling/reservation.h"
#include "core/state/jobs.h"
#include "core/state/ledger.h"
#include "core/state/machine_pages.h"
#include "core/state/machines.h"
#include "core/state/resources.h"

#include <string.h>

/* A machine that will take tasks of the gang once the placements that end by themselves have ended
 * there. */
struct future_capacity {
    rr_machine *machine; /* not owned */
    double free_share;   /* of its scarcest resource now, 0 to 1 */
    uint32_t task_count; /* tasks of the gang that it will take */
};

/* Compares machines by free share, the largest first, then by id. */
static gint compare_by_free_share(gconstpointer left_capacity, gconstpointer right_capacity) {
    const struct future_capacity *left = left_capacity, *right = right_capacity;
    if (left->free_share != right->free_share) {
        return left->free_share > right->free_share ? -1 : 1;
    }
    return left->machine->id - right->machine->id;
}

/* The kinds of jobs whose placements are not expected to end by themselves. */
enum long_running_kinds { LONG_RUNNING_SERVICES, LONG_RUNNING_SERVICES_AND_GANGS };

/* Whether the job is of these kinds and not cancelled; placements of a cancelled job end soon. */
static bool is_long_running(const rr_job *job, enum long_running_kinds kinds) {
    bool kind_is_long_running =
        job->submission.kind == RR_JOB_SERVICE ||
        (kinds == LONG_RUNNING_SERVICES_AND_GANGS && job->submission.kind == RR_JOB_GANG);
    return kind_is_long_running && !job->cancelled;
}

/* Returns how many tasks of the job the machine will take once only long-running placements are
 * left there. */
static uint32_t count_future_tasks(const rr_core *core, const rr_machine *machine,
                                   const rr_job *job, enum long_running_kinds kinds) {
    rr_resources available = rr_machine_capacity(core, machine);
    for (guint i = 0; i < machine->placements->len; i++) {
        const rr_job *other = g_array_index(machine->placements, rr_placement, i).job;
        if (is_long_running(other, kinds)) {
            available = rr_resources_add(available, other->request, -1);
        }
    }
    return rr_count_fitting_tasks(job->request, available, job->submission.task_count);
}

/* Returns all machines of these zones that will take tasks of the gang, those with the largest free
 * share first. The caller owns the array. */
static GArray *list_future_capacity(const struct rr_planner *planner, const rr_job *job,
                                    const bool *zones, enum long_running_kinds kinds) {
    rr_core *core = planner->core;
    GArray *capacities = g_array_new(FALSE, FALSE, sizeof(struct future_capacity));
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        core->counters.machines_examined++;
        if (!rr_machine_accepts_job(core, machine, job, zones, planner->now)) {
            continue;
        }
        struct future_capacity capacity = {
            .machine = machine,
            .free_share =
                rr_resources_free_share(machine->free, rr_machine_capacity(core, machine)),
            .task_count = count_future_tasks(core, machine, job, kinds)};
        if (capacity.task_count > 0) {
            g_array_append_val(capacities, capacity);
        }
    }
    g_array_sort(capacities, compare_by_free_share);
    return capacities;
}

/* Reduces the sorted machines to the first ones that together will take the whole gang; returns
 * false if all of them can't. The score prefers machines that take more tasks now, then those with
 * larger free shares. */
static bool select_needed_machines(const rr_job *job, GArray *capacities,
                                   struct rr_gang_score *score) {
    uint32_t future_tasks = 0, tasks_now = 0;
    double free_share = 0;
    guint needed_count = 0;
    for (; needed_count < capacities->len && future_tasks < job->submission.task_count;
         needed_count++) {
        const struct future_capacity *capacity =
            &g_array_index(capacities, struct future_capacity, needed_count);
        future_tasks += capacity->task_count;
        tasks_now += rr_count_fitting_tasks(job->request, capacity->machine->free,
                                            job->submission.task_count);
        free_share += capacity->free_share;
    }
    g_array_set_size(capacities, needed_count);
    *score = (struct rr_gang_score){-(double)tasks_now, -free_share};
    return future_tasks >= job->submission.task_count;
}

/* Searches these zones for machines that will take the whole gang. Returns them and their score, or
 * NULL. The caller owns the array. */
static GArray *search_future_capacity(struct rr_planner *planner, const rr_job *job,
                                      const bool *zones, enum long_running_kinds kinds,
                                      struct rr_gang_score *score) {
    GArray *capacities = list_future_capacity(planner, job, zones, kinds);
    if (!select_needed_machines(job, capacities, score)) {
        g_clear_pointer(&capacities, g_array_unref);
    }
    return capacities;
}

/* Searches for machines that will take the gang once only services and other gangs still run there.
 * An rr_gang_search_fn. */
static GArray *search_while_gangs_run(struct rr_planner *planner, const rr_job *job,
                                      const bool *zones, struct rr_gang_score *score) {
    return search_future_capacity(planner, job, zones, LONG_RUNNING_SERVICES_AND_GANGS, score);
}

/* Searches for machines that will take the gang once only services still run there. An
 * rr_gang_search_fn. */
static GArray *search_after_gangs_end(struct rr_planner *planner, const rr_job *job,
                                      const bool *zones, struct rr_gang_score *score) {
    return search_future_capacity(planner, job, zones, LONG_RUNNING_SERVICES, score);
}

/* Sets the machines' free resources to none, so that this plan places nothing else there. */
static void block_machines(const GArray *capacities) {
    for (guint i = 0; i < capacities->len; i++) {
        g_array_index(capacities, struct future_capacity, i).machine->free =
            (rr_resources){0, 0, 0};
    }
}

void rr_reserve_gang_capacity(struct rr_planner *planner, const rr_job *job) {
    rr_core *core = planner->core;
    guint zone_count = core->stored.zones.names->len;
    bool allowed[zone_count + 1];
    uint32_t no_placements[zone_count + 1];
    memset(no_placements, 0, sizeof no_placements);
    rr_compute_allowed_zones_from(core, job, no_placements, 0, allowed);
    GArray *capacities = rr_search_zones_for_gang(planner, job, allowed, search_while_gangs_run);
    if (!capacities) {
        capacities = rr_search_zones_for_gang(planner, job, allowed, search_after_gangs_end);
    }
    if (capacities) {
        block_machines(capacities);
        g_array_unref(capacities);
    }
    if (!rr_team_within_limit(planner, job, job->submission.task_count)) {
        rr_reserve_team_usage(planner, job, job->submission.task_count);
    }
}
