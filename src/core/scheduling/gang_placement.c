#include "core/scheduling/gang_placement.h"
#include "core/core_internal.h"
#include "core/health/failure_detector.h"
#include "core/membership/membership.h"
#include "core/scheduling/bin_packing.h"
#include "core/scheduling/plan.h"
#include "core/scheduling/preemption.h"
#include "core/scheduling/reservation.h"
#include "core/state/jobs.h"
#include "core/state/ledger.h"
#include "core/state/machines.h"
#include "core/state/resources.h"

#include <string.h>

/* While changes are this short no victims are made: each costs changes of its own. */
#define SHORT_OF_CHANGES 0.9

static void unbook_last(struct rr_planner *planner, const rr_job *job, GArray *items) {
    rr_machine *machine = g_array_index(items, rr_placement_record, items->len - 1).machine;
    rr_resources *reserved =
        &g_array_index(planner->core->planning.team_reserved, rr_resources, job->team);
    g_array_set_size(items, items->len - 1);
    g_array_set_size(machine->reserved_jobs, machine->reserved_jobs->len - 1);
    machine->free = rr_resources_add(machine->free, job->request, 1);
    *reserved = rr_resources_add(*reserved, job->request, -1);
}

/* Takes this plan's reservations of the gang under this attempt back. */
static void unbook(struct rr_planner *planner, const rr_job *job, uint64_t attempt) {
    for (guint chunk = 0; chunk < job->records->len; chunk++) {
        const rr_ledger_record *run = g_ptr_array_index(job->records, chunk);
        const struct rr_plan_edit *edit = run ? run->edit : NULL;
        while (edit && edit->placements->len > 0 &&
               g_array_index(edit->placements, rr_placement_record, edit->placements->len - 1)
                       .attempt == attempt) {
            unbook_last(planner, job, edit->placements);
        }
    }
}

/* The plan's candidates have free room for all tasks. */
static bool fits_whole(const struct rr_planner *planner, const rr_job *job) {
    uint32_t fitting = 0;
    for (guint i = 0; i < planner->candidates->len && fitting < job->submission.task_count; i++) {
        const rr_machine *machine = g_array_index(planner->candidates, rr_candidate, i).machine;
        fitting +=
            rr_tasks_fitting(job->request, machine->free, job->submission.task_count - fitting);
    }
    return fitting >= job->submission.task_count;
}

/* Reserves all tasks on free room, or none. */
static bool reserve_on_free_room(struct rr_planner *planner, rr_job *job,
                                 struct rr_job_zones *zones) {
    rr_core *core = planner->core;
    struct rr_placement_constraints choice = {.zones = zones->allowed,
                                              .filter = rr_machine_schedulable};
    uint64_t attempt = rr_next_attempt(core);
    uint32_t task = 0;
    for (; task < job->submission.task_count; task++) {
        rr_machine *machine = rr_bin_pack_from(core, job, &choice, planner->candidates);
        if (!machine || !rr_reserve_attempt(planner, machine, job, task, attempt)) {
            break;
        }
        zones->placements[machine->zone]++;
        zones->all++;
        rr_job_zones_from(core, job, zones->placements, zones->all, zones->allowed);
    }
    if (task == job->submission.task_count) {
        return true;
    }
    if (task > 0) {
        unbook(planner, job, attempt);
    }
    return false;
}

/* Fills the plan's candidates: one walk serves all tasks, in whatever zones they may come to be. */
static void find_candidates(struct rr_planner *planner, const rr_job *job, const bool *allowed) {
    guint zone_count = planner->core->stored.zones.names->len;
    bool all_zones[zone_count + 1];
    memset(all_zones, true, sizeof all_zones);
    struct rr_placement_constraints choice = {.zones = rr_job_zone_bound(job) ? allowed : all_zones,
                                              .filter = rr_machine_schedulable};
    rr_list_candidates(planner->core, job, &choice, planner->now, planner->candidates);
}

/* ---- making room ---- */

guint rr_gang_searches(const rr_core *core, const rr_job *job) {
    return job->submission.one_zone ? core->stored.zones.names->len : 1;
}

void rr_gang_search_zones(const rr_core *core, const rr_job *job, const bool *allowed, guint search,
                          bool *zones) {
    for (guint zone = 0; zone < core->stored.zones.names->len; zone++) {
        zones[zone] = allowed[zone] && (!job->submission.one_zone || zone == search);
    }
}

/* Room for one task of a gang on a machine, free or to be made. */
struct seat {
    rr_machine *machine;
    uint32_t tasks; /* of the gang there, with this one */
    double loss;    /* what stopping work for all these loses, and the time of the image's fetch */
};

static gint by_loss(gconstpointer left_item, gconstpointer right_item) {
    const struct seat *left = left_item, *right = right_item;
    if (left->loss != right->loss) {
        return left->loss < right->loss ? -1 : 1;
    }
    if (left->machine != right->machine) {
        return left->machine->id - right->machine->id;
    }
    return left->tasks < right->tasks ? -1 : 1;
}

/* Adds the machine's seats; returns whether any of them needs victims. */
static bool add_seats(struct rr_planner *planner, rr_machine *machine, const rr_job *job,
                      struct rr_preemption *found, GArray *seats) {
    double fetch = rr_image_fetch_s(planner->core, job, machine);
    uint32_t free_seats = rr_tasks_fitting(job->request, machine->free, job->submission.task_count);
    bool victims = false;
    for (uint32_t tasks = 1; tasks <= job->submission.task_count; tasks++) {
        struct seat seat = {machine, tasks, fetch};
        if (tasks > free_seats) {
            if (!rr_preemption_find(planner, machine, job, tasks, found)) {
                break;
            }
            seat.loss += found->loss;
            victims = true;
        }
        g_array_append_val(seats, seat);
    }
    return victims;
}

/* The seats in these zones, least loss first. */
static GArray *find_seats(struct rr_planner *planner, const rr_job *job, const bool *zones) {
    rr_core *core = planner->core;
    GArray *seats = g_array_new(FALSE, FALSE, sizeof(struct seat));
    guint compared = 0;
    struct rr_preemption found;
    rr_preemption_init(&found);
    for (guint i = 0; i < core->stored.machine_list->len && compared < RR_PREEMPT_COMPARED_MAX;
         i++) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        core->counters.machines_visited++;
        if (rr_machine_may_take(planner, machine, job, zones)) {
            compared += add_seats(planner, machine, job, &found, seats);
        }
    }
    rr_preemption_clear(&found);
    g_array_sort(seats, by_loss);
    return seats;
}

/* Keeps the first seats that take the whole gang, no more of them in a zone than the job allows;
 * false: there are too few. *loss: of all. A machine's later seats never come before its earlier
 * ones, as they lose no less. */
static bool choose_seats(const struct rr_planner *planner, const rr_job *job, GArray *seats,
                         double *loss) {
    guint zone_count = planner->core->stored.zones.names->len, kept = 0;
    uint32_t in_zone[zone_count + 1];
    uint32_t most =
        job->submission.spread ? (job->submission.task_count + 1) / 2 : job->submission.task_count;
    memset(in_zone, 0, sizeof in_zone);
    *loss = 0;
    for (guint i = 0; i < seats->len && kept < job->submission.task_count; i++) {
        struct seat seat = g_array_index(seats, struct seat, i);
        if (in_zone[seat.machine->zone] < most) {
            in_zone[seat.machine->zone]++;
            *loss += seat.loss;
            g_array_index(seats, struct seat, kept++) = seat;
        }
    }
    g_array_set_size(seats, kept);
    return kept == job->submission.task_count;
}

/* The seats for the whole gang where least is lost; NULL: there is no such room. */
static GArray *best_seats(struct rr_planner *planner, const rr_job *job, const bool *allowed) {
    const rr_core *core = planner->core;
    bool zones[core->stored.zones.names->len + 1];
    GArray *best = NULL;
    double least = 0, loss;
    for (guint search = 0; search < rr_gang_searches(core, job); search++) {
        rr_gang_search_zones(core, job, allowed, search, zones);
        GArray *seats = find_seats(planner, job, zones);
        if (choose_seats(planner, job, seats, &loss) && (!best || loss < least)) {
            g_clear_pointer(&best, g_array_unref);
            best = g_steal_pointer(&seats);
            least = loss;
        }
        g_clear_pointer(&seats, g_array_unref);
    }
    return best;
}

static uint32_t seats_on(const GArray *seats, const rr_machine *machine) {
    uint32_t tasks = 0;
    for (guint i = 0; i < seats->len; i++) {
        tasks += g_array_index(seats, struct seat, i).machine == machine;
    }
    return tasks;
}

/* Marks the victims on the machines of these seats. False: the transaction has no room for all of
 * them; what is marked makes room for the plans that follow. */
static bool mark_victims(struct rr_planner *planner, const rr_job *job, const GArray *seats) {
    struct rr_preemption found;
    bool marked = true;
    rr_preemption_init(&found);
    for (guint i = 0; i < seats->len && marked; i++) {
        rr_machine *machine = g_array_index(seats, struct seat, i).machine;
        uint32_t tasks = seats_on(seats, machine);
        if (rr_tasks_fitting(job->request, machine->free, tasks) < tasks) {
            marked = rr_preemption_find(planner, machine, job, tasks, &found) &&
                     rr_preemption_mark(planner, machine, job, &found);
        }
    }
    rr_preemption_clear(&found);
    return marked;
}

/* The class has an aim on its start, or the team is owed the room for all of the gang. */
static bool may_make_room(const struct rr_planner *planner, const rr_job *job) {
    const rr_core *core = planner->core;
    bool urgent = job->submission.priority > RR_PRIORITY_LOW &&
                  rr_objective_for(core, "wait", job->submission.job_class);
    return (urgent && core->planning.write_pressure < SHORT_OF_CHANGES) ||
           rr_within_guarantee(planner, job, job->submission.task_count);
}

/* Has lower work stopped where least is lost, and reserves all tasks there; they start when the
 * machines show room. */
static bool reserve_on_preempted_room(struct rr_planner *planner, rr_job *job,
                                      const bool *allowed) {
    GArray *seats = may_make_room(planner, job) ? best_seats(planner, job, allowed) : NULL;
    if (!seats) {
        return false;
    }
    uint64_t attempt = rr_next_attempt(planner->core);
    uint32_t task = 0;
    if (mark_victims(planner, job, seats)) {
        while (task < job->submission.task_count &&
               rr_reserve_attempt(planner, g_array_index(seats, struct seat, task).machine, job,
                                  task, attempt)) {
            task++;
        }
    }
    if (task > 0 && task < job->submission.task_count) {
        unbook(planner, job, attempt);
    }
    g_array_unref(seats);
    return task == job->submission.task_count;
}

/* ---- one gang ---- */

/* While a gang waits for room it holds none, so that no two of them hold a half each. */
bool rr_gang_place(struct rr_planner *planner, rr_job *job, int *left) {
    rr_core *core = planner->core;
    guint zone_count = core->stored.zones.names->len;
    bool allowed[zone_count + 1];
    uint32_t placements[zone_count + 1];
    struct rr_job_zones zones = {allowed, placements, 0, true};
    memset(allowed, 0, sizeof allowed);
    memset(placements, 0, sizeof placements);
    if (job->placed_count > 0 || !rr_within_limit(planner, job, job->submission.task_count) ||
        rr_job_count_by_zone(core, job, NULL, placements) > 0) {
        return false; /* an earlier attempt has tasks left, or the team has no room */
    }
    /* Room may be made in any zone that the job allows; free room is looked for in the best. */
    bool any_allowed[zone_count + 1];
    rr_job_zones_from(core, job, placements, 0, any_allowed);
    rr_job_zones_update(planner, job, &zones);
    uint64_t zone_mask = rr_zone_mask(core, allowed);
    if (rr_search_failed_before(planner, job, zone_mask)) {
        job->failed_at = planner->now;
        return false;
    }
    find_candidates(planner, job, allowed);
    /* One that can't fit takes nothing of the transaction. */
    bool fits = fits_whole(planner, job);
    if ((fits && reserve_on_free_room(planner, job, &zones)) ||
        (!planner->full && reserve_on_preempted_room(planner, job, any_allowed))) {
        *left -= (int)job->submission.task_count;
        return true;
    }
    if (!planner->full) {
        rr_record_failed_search(planner, job, zone_mask);
    }
    return false;
}
