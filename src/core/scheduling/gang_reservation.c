/* Keeps room for a gang. Machines that are kept fill up no more, so that the next plan finds the
 * same ones with more free resources. */
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

/* A machine that will take tasks of the gang once what ends by itself there has ended. */
struct future_room {
    rr_machine *machine;
    double free_share;   /* now */
    uint32_t task_count; /* that it will take */
};

static gint by_free_share(gconstpointer left_room, gconstpointer right_room) {
    const struct future_room *left = left_room, *right = right_room;
    if (left->free_share != right->free_share) {
        return left->free_share > right->free_share ? -1 : 1;
    }
    return left->machine->id - right->machine->id;
}

/* Which placements will not end by themselves. */
enum staying { SERVICES_STAY, SERVICES_AND_GANGS_STAY };

static bool stays(const rr_job *job, enum staying staying) {
    bool kind_stays = job->submission.kind == RR_JOB_SERVICE ||
                      (staying == SERVICES_AND_GANGS_STAY && job->submission.kind == RR_JOB_GANG);
    return kind_stays && !job->cancelled;
}

/* How many tasks of the job the machine takes when only staying placements are left there. */
static uint32_t future_task_count(const rr_core *core, const rr_machine *machine, const rr_job *job,
                                  enum staying staying) {
    rr_resources available = rr_machine_capacity(core, machine);
    for (guint i = 0; i < machine->placements->len; i++) {
        const rr_job *other = g_array_index(machine->placements, rr_placement, i).job;
        if (stays(other, staying)) {
            available = rr_resources_add(available, other->request, -1);
        }
    }
    return rr_tasks_fitting(job->request, available, job->submission.task_count);
}

/* All machines of these zones that will ever take tasks of the gang, the emptiest first. */
static GArray *list_future_room(const struct rr_planner *planner, const rr_job *job,
                                const bool *zones, enum staying staying) {
    rr_core *core = planner->core;
    GArray *rooms = g_array_new(FALSE, FALSE, sizeof(struct future_room));
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        core->counters.machines_visited++;
        if (!rr_machine_may_take(core, machine, job, zones, planner->now)) {
            continue;
        }
        struct future_room room = {.machine = machine,
                                   .free_share = rr_resources_free_share(
                                       machine->free, rr_machine_capacity(core, machine)),
                                   .task_count = future_task_count(core, machine, job, staying)};
        if (room.task_count > 0) {
            g_array_append_val(rooms, room);
        }
    }
    g_array_sort(rooms, by_free_share);
    return rooms;
}

/* Keeps the fewest machines that will take the whole gang; false: they never will. The score counts
 * the tasks that they take now, then their free shares. */
static bool keep_needed(const rr_job *job, GArray *rooms, struct rr_gang_score *score) {
    uint32_t future_tasks = 0, tasks_now = 0;
    double free_share = 0;
    guint needed = 0;
    for (; needed < rooms->len && future_tasks < job->submission.task_count; needed++) {
        const struct future_room *room = &g_array_index(rooms, struct future_room, needed);
        future_tasks += room->task_count;
        tasks_now +=
            rr_tasks_fitting(job->request, room->machine->free, job->submission.task_count);
        free_share += room->free_share;
    }
    g_array_set_size(rooms, needed);
    *score = (struct rr_gang_score){-(double)tasks_now, -free_share};
    return future_tasks >= job->submission.task_count;
}

static GArray *search_future_room(struct rr_planner *planner, const rr_job *job, const bool *zones,
                                  enum staying staying, struct rr_gang_score *score) {
    GArray *rooms = list_future_room(planner, job, zones, staying);
    if (!keep_needed(job, rooms, score)) {
        g_clear_pointer(&rooms, g_array_unref);
    }
    return rooms;
}

/* Two rr_gang_search_fn. */
static GArray *search_beside_gangs(struct rr_planner *planner, const rr_job *job, const bool *zones,
                                   struct rr_gang_score *score) {
    return search_future_room(planner, job, zones, SERVICES_AND_GANGS_STAY, score);
}

static GArray *search_after_gangs(struct rr_planner *planner, const rr_job *job, const bool *zones,
                                  struct rr_gang_score *score) {
    return search_future_room(planner, job, zones, SERVICES_STAY, score);
}

static void keep_machines(const GArray *rooms) {
    for (guint i = 0; i < rooms->len; i++) {
        g_array_index(rooms, struct future_room, i).machine->free = (rr_resources){0, 0, 0};
    }
}

void rr_gang_reserve_room(struct rr_planner *planner, const rr_job *job) {
    rr_core *core = planner->core;
    guint zone_count = core->stored.zones.names->len;
    bool allowed[zone_count + 1];
    uint32_t none_placed[zone_count + 1];
    memset(none_placed, 0, sizeof none_placed);
    rr_job_zones_from(core, job, none_placed, 0, allowed);
    GArray *rooms = rr_gang_best_search(planner, job, allowed, search_beside_gangs);
    if (!rooms) {
        rooms = rr_gang_best_search(planner, job, allowed, search_after_gangs);
    }
    if (rooms) {
        keep_machines(rooms);
        g_array_unref(rooms);
    }
    if (!rr_within_limit(planner, job, job->submission.task_count)) {
        rr_reserve_team_usage(planner, job, job->submission.task_count);
    }
}
