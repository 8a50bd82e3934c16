#include "core/core_internal.h"
#include "core/scheduling/bin_packing.h"
#include "core/scheduling/gang_placement.h"
#include "core/scheduling/plan.h"
#include "core/scheduling/preemption.h"
#include "core/scheduling/reservation.h"
#include "core/state/jobs.h"
#include "core/state/ledger.h"
#include "core/state/machine_pages.h"
#include "core/state/machines.h"
#include "core/state/resources.h"

#include <string.h>

/* A machine that may take tasks of the gang, once what ends by itself there has ended. */
struct prospect {
    rr_machine *machine;
    double free_share;
    uint32_t seats;
};

static gint by_free_share(gconstpointer left_item, gconstpointer right_item) {
    const struct prospect *left = left_item, *right = right_item;
    if (left->free_share != right->free_share) {
        return left->free_share > right->free_share ? -1 : 1;
    }
    return left->machine->id - right->machine->id;
}

/* Tasks of the job that the machine takes when only replicas are left there, and gangs where those
 * are counted as staying. */
static uint32_t seats_in_time(const rr_core *core, const rr_machine *machine, const rr_job *job,
                              bool gangs_stay) {
    rr_resources room = rr_machine_capacity(core, machine);
    for (guint i = 0; i < machine->placements->len; i++) {
        const rr_job *other = g_array_index(machine->placements, rr_placement, i).job;
        bool stays = other->submission.kind == RR_JOB_SERVICE ||
                     (gangs_stay && other->submission.kind == RR_JOB_GANG);
        if (stays && !other->cancelled) {
            room = rr_resources_add(room, other->request, -1);
        }
    }
    return rr_tasks_fitting(job->request, room, job->submission.task_count);
}

/* All machines of these zones that may ever take tasks of the gang, the emptiest first. */
static GArray *all_prospects(const struct rr_planner *planner, const rr_job *job, const bool *zones,
                             bool gangs_stay) {
    rr_core *core = planner->core;
    GArray *prospects = g_array_new(FALSE, FALSE, sizeof(struct prospect));
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        core->counters.machines_visited++;
        if (!rr_machine_may_take(planner, machine, job, zones)) {
            continue;
        }
        struct prospect prospect = {.machine = machine,
                                    .free_share = rr_resources_free_share(
                                        machine->free, rr_machine_capacity(core, machine)),
                                    .seats = seats_in_time(core, machine, job, gangs_stay)};
        if (prospect.seats > 0) {
            g_array_append_val(prospects, prospect);
        }
    }
    g_array_sort(prospects, by_free_share);
    return prospects;
}

/* How near machines are to taking the whole gang. */
struct progress {
    uint32_t free_seats; /* that they have now */
    double free_share;   /* their free room, in machines */
};

static bool is_nearer(const struct progress *left, const struct progress *right) {
    return left->free_seats != right->free_seats ? left->free_seats > right->free_seats
                                                 : left->free_share > right->free_share;
}

/* Keeps the fewest of them that will take the whole gang; false: they never will. */
static bool keep_needed(const rr_job *job, GArray *prospects, struct progress *progress) {
    uint32_t seats = 0;
    guint needed = 0;
    *progress = (struct progress){0, 0};
    for (; needed < prospects->len && seats < job->submission.task_count; needed++) {
        const struct prospect *prospect = &g_array_index(prospects, struct prospect, needed);
        seats += prospect->seats;
        progress->free_seats +=
            rr_tasks_fitting(job->request, prospect->machine->free, job->submission.task_count);
        progress->free_share += prospect->free_share;
    }
    g_array_set_size(prospects, needed);
    return seats >= job->submission.task_count;
}

/* The machines to keep for the gang, in the zones where most of it fits now; NULL: there are none.
 * What is kept fills up no more, so that the next plan finds the same ones emptier still. */
static GArray *best_prospects(const struct rr_planner *planner, const rr_job *job,
                              const bool *allowed, bool gangs_stay) {
    const rr_core *core = planner->core;
    bool zones[core->stored.zones.names->len + 1];
    struct progress progress, most = {0, 0};
    GArray *best = NULL;
    for (guint search = 0; search < rr_gang_searches(core, job); search++) {
        rr_gang_search_zones(core, job, allowed, search, zones);
        GArray *prospects = all_prospects(planner, job, zones, gangs_stay);
        if (keep_needed(job, prospects, &progress) && (!best || is_nearer(&progress, &most))) {
            g_clear_pointer(&best, g_array_unref);
            best = g_steal_pointer(&prospects);
            most = progress;
        }
        g_clear_pointer(&prospects, g_array_unref);
    }
    return best;
}

static void reserve_machines(const GArray *prospects) {
    const rr_resources none = {0, 0, 0};
    for (guint i = 0; i < prospects->len; i++) {
        g_array_index(prospects, struct prospect, i).machine->free = none;
    }
}

void rr_gang_reserve_room(struct rr_planner *planner, const rr_job *job) {
    rr_core *core = planner->core;
    guint zone_count = core->stored.zones.names->len;
    bool allowed[zone_count + 1];
    uint32_t none_placed[zone_count + 1];
    memset(none_placed, 0, sizeof none_placed);
    rr_job_zones_from(core, job, none_placed, 0, allowed);
    GArray *prospects = best_prospects(planner, job, allowed, true);
    if (!prospects) {
        prospects = best_prospects(planner, job, allowed, false);
    }
    if (prospects) {
        reserve_machines(prospects);
        g_array_unref(prospects);
    }
    if (!rr_within_limit(planner, job, job->submission.task_count)) {
        rr_resources *reserved =
            &g_array_index(core->planning.team_reserved, rr_resources, job->team);
        *reserved = rr_resources_add(*reserved, job->request, job->submission.task_count);
    }
}
