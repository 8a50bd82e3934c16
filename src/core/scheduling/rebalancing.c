/* Re-orchestration: DESIGN's rounds after the paper's two phases. Allocation takes every movable
 * replica off its machine on paper and places all of them anew; the plan counts only if it empties
 * a priced machine, and only the replicas of such machines move. Ordering makes the fitting move of
 * least request over the destination's free room first and credits the source. */
#include "core/scheduling/rebalancing.h"
#include "core/core_internal.h"
#include "core/health/failure_detector.h"
#include "core/membership/membership.h"
#include "core/scheduling/bin_packing.h"
#include "core/state/jobs.h"
#include "core/state/ledger.h"
#include "core/state/machine_pages.h"
#include "core/state/machines.h"
#include "core/state/name_index.h"
#include "core/state/resources.h"
#include "core/state/transfer_holds.h"
#include "core/leadership.h"

#include <math.h>
#include <string.h>

struct movable_task {
    rr_job *job;
    uint32_t task;
    rr_machine *home, *to;
    double size;
    double room; /* free on its machine now */
    bool taken;
};

static bool movable(const rr_core *core, const rr_machine *machine, const rr_placement *placement,
                    double now) {
    const rr_job *job = placement->job;
    if (job->submission.kind != RR_JOB_SERVICE || job->cancelled || job->done ||
        placement->preempt || !job->placed || placement->task >= job->submission.task_count ||
        job->placed[placement->task] != 1 || job->team < 0 || !rr_owns_team(core, job->team) ||
        !rr_machine_schedulable(core, machine, now) || rr_job_held(core, job, now)) {
        return false;
    }
    const rr_task_status *task = rr_task_status_find(machine, placement);
    return task && task->state == RR_TASK_RUNNING;
}

/* No replica moves while a trouble is on: recorded machines silent, notices, a young term, or this
 * controller behind with its work, of which rounds are the last in order. In a
 * large fleet one machine or another always is in trouble: up to one in fifty says nothing. */
static bool calm(rr_core *core, double now) {
    guint up_count = 0, bad = 0;
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        const rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        if (machine->recorded && machine->heartbeat_seen) {
            up_count++;
            bad += !rr_machine_heartbeat_recent(core, machine, now) ||
                   machine->heartbeat.spot_notice_s >= 0;
        }
    }
    bool quiet = bad * 50 <= up_count && !rr_core_timers_late(core, now, RR_LATE_TIMER_GRACE_S);
    if (core->planning.rebalance_token != core->membership.term.token) {
        core->planning.rebalance_token = core->membership.term.token;
        quiet = false;
    }
    if (!quiet) {
        core->planning.calm_since = now;
    }
    return now - core->planning.calm_since >= 3 * core->config->heartbeat_interval_s;
}

static double size_of(const rr_core *core, const rr_machine *machine, const rr_job *job) {
    return 1 - rr_resources_free_share(
                   rr_resources_add(rr_machine_capacity(core, machine), job->request, -1),
                   rr_machine_capacity(core, machine));
}

static gint by_group_and_size(gconstpointer left_item, gconstpointer right_item) {
    const struct movable_task *left = left_item, *right = right_item;
    bool left_bound = rr_job_zone_bound(left->job), right_bound = rr_job_zone_bound(right->job);
    if (left_bound != right_bound) {
        return left_bound ? -1 : 1;
    }
    if (left_bound && left->job != right->job) {
        return strcmp(left->job->submission.job_id, right->job->submission.job_id);
    }
    if (fabs(left->size - right->size) > 1e-9) {
        return left->size > right->size ? -1 : 1;
    }
    /* Between equals, those on the fullest machines: they settle where they are, and what is left
     * on emptier ones fills up with its like. In any other order a plan shifts replicas between
     * full machines, and its moves wait for each other. */
    if (fabs(left->room - right->room) > 1e-9) {
        return left->room < right->room ? -1 : 1;
    }
    return left->home->id - right->home->id;
}

/* A machine with anything that must stay can't be emptied: its replicas stay too, and do not take
 * room on paper that real moves need. */
static bool can_be_emptied(const rr_core *core, const rr_machine *machine, double now) {
    for (guint k = 0; k < machine->placements->len; k++) {
        if (!movable(core, machine, &g_array_index(machine->placements, rr_placement, k), now)) {
            return false;
        }
    }
    return true;
}

/* A plan counts only if it empties machines, and a replica on a full one settles where it is: only
 * those on the emptiest machines are taken off on paper. A plan's cost then grows with the fleet
 * and not with its square; that many machines are more than a round's moves can empty. */
#define LOOK_AT 256

struct machine_room {
    rr_machine *machine;
    double room;
};

static gint by_room(gconstpointer left_item, gconstpointer right_item) {
    const struct machine_room *left = left_item, *right = right_item;
    if (fabs(left->room - right->room) > 1e-9) {
        return left->room > right->room ? -1 : 1;
    }
    return left->machine->id - right->machine->id;
}

static GArray *collect(rr_core *core, double now) {
    GArray *items = g_array_new(FALSE, TRUE, sizeof(struct movable_task));
    GArray *lots = g_array_new(FALSE, FALSE, sizeof(struct machine_room));
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        rr_resources capacity = rr_machine_capacity(core, machine);
        struct machine_room lot = {
            machine,
            rr_resources_free_share(rr_resources_add(capacity, machine->used, -1), capacity)};
        if (machine->placements->len > 0 && can_be_emptied(core, machine, now)) {
            g_array_append_val(lots, lot);
        }
    }
    g_array_sort(lots, by_room);
    for (guint i = 0; i < lots->len && i < LOOK_AT; i++) {
        rr_machine *machine = g_array_index(lots, struct machine_room, i).machine;
        double room = g_array_index(lots, struct machine_room, i).room;
        for (guint k = 0; k < machine->placements->len; k++) {
            const rr_placement *placement = &g_array_index(machine->placements, rr_placement, k);
            struct movable_task item = {placement->job,
                                        placement->task,
                                        machine,
                                        NULL,
                                        size_of(core, machine, placement->job),
                                        room,
                                        false};
            g_array_append_val(items, item);
        }
    }
    g_array_free(lots, TRUE);
    g_array_sort(items, by_group_and_size);
    return items;
}

static bool job_planned_on(const GArray *items, guint upto, const rr_job *job,
                           const rr_machine *machine) {
    for (guint i = 0; i < upto; i++) {
        const struct movable_task *item = &g_array_index(items, struct movable_task, i);
        if (item->job == job && item->to == machine) {
            return true;
        }
    }
    return false;
}

/* A job of several replicas keeps its zones; a single one may go wherever its job allows. */
static void allowed_zones(rr_core *core, const struct movable_task *item, bool *zones, double now) {
    rr_job *job = item->job;
    guint count = core->stored.zones.names->len;
    bool fixed =
        job->submission.task_count > 1 && (job->submission.spread || job->submission.one_zone);
    for (guint other_zone = 0; other_zone < count; other_zone++) {
        zones[other_zone] =
            fixed ? (int)other_zone == item->home->zone
                  : !job->submission.zone[0] ||
                        strcmp(job->submission.zone,
                               rr_name_index_at(&core->stored.zones, (int)other_zone)) == 0;
    }
    if (!fixed && rr_job_zone_bound(job)) {
        int zone = rr_zone_with_most_room(core, job, zones, now);
        for (guint other_zone = 0; other_zone < count; other_zone++) {
            zones[other_zone] = (int)other_zone == zone;
        }
    }
}

static void allocate(rr_core *core, GArray *items, double now) {
    rr_reset_free_resources(core);
    for (guint i = 0; i < items->len; i++) {
        struct movable_task *item = &g_array_index(items, struct movable_task, i);
        item->home->free = rr_resources_add(item->home->free, item->job->request, 1);
    }
    for (guint i = 0; i < items->len; i++) {
        struct movable_task *item = &g_array_index(items, struct movable_task, i);
        bool zones[core->stored.zones.names->len + 1];
        allowed_zones(core, item, zones, now);
        /* An image still to be fetched would keep the replica down for the fetch. */
        struct rr_placement_constraints how = {.zones = zones,
                                               .distinct_machines =
                                                   item->job->submission.task_count > 1,
                                               .current = item->home,
                                               .need_image = true,
                                               .filter = rr_machine_schedulable};
        rr_machine *target = rr_bin_pack(core, item->job, &how, now);
        if (!target || (target != item->home && job_planned_on(items, i, item->job, target))) {
            target = item->home;
        }
        item->to = target;
        target->free = rr_resources_add(target->free, item->job->request, -1);
    }
}

/* Priced machines that the plan leaves empty. */
static guint mark_emptied(rr_core *core, const GArray *items) {
    guint count = 0;
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        machine->leaving = machine->arriving = 0;
    }
    for (guint k = 0; k < items->len; k++) {
        const struct movable_task *item = &g_array_index(items, struct movable_task, k);
        item->home->leaving += item->home != item->to;
        item->to->arriving += item->home != item->to;
    }
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        machine->emptied = machine->recorded && !machine->scaling_in &&
                           rr_machine_price(core, machine) > 0 && machine->placements->len > 0 &&
                           machine->leaving == machine->placements->len && machine->arriving == 0;
        count += machine->emptied;
    }
    return count;
}

/* The fitting move of least request over free room at its destination, or NULL. */
static struct movable_task *next_move(rr_core *core, GArray *items) {
    struct movable_task *best = NULL;
    double least = 0;
    for (guint i = 0; i < items->len; i++) {
        struct movable_task *item = &g_array_index(items, struct movable_task, i);
        if (item->taken || !item->home->emptied || item->to == item->home || item->to->emptied ||
            !rr_resources_fit(item->job->request, item->to->free)) {
            continue;
        }
        double room = rr_resources_free_share(item->to->free, rr_machine_capacity(core, item->to));
        double score = room > 0 ? item->size / room : INFINITY;
        if (!best || score < least) {
            best = item;
            least = score;
        }
    }
    return best;
}

static void order_moves(rr_core *core, GArray *items) {
    GArray *moves = g_array_new(FALSE, FALSE, sizeof(rr_move));
    rr_reset_free_resources(core);
    struct movable_task *item;
    while ((item = next_move(core, items))) {
        rr_move move = {item->job, item->task, item->home, item->to};
        g_array_append_val(moves, move);
        item->taken = true;
        item->to->free = rr_resources_add(item->to->free, item->job->request, -1);
        item->home->free = rr_resources_add(item->home->free, item->job->request, 1);
    }
    /* A machine that can't be emptied whole is left alone: half-made plans only cost. */
    for (guint i = 0; i < moves->len; i++) {
        rr_move *move = &g_array_index(moves, rr_move, i);
        guint count = 0;
        for (guint k = 0; k < moves->len; k++) {
            count += g_array_index(moves, rr_move, k).from == move->from;
        }
        if (count == move->from->placements->len) {
            g_array_append_val(core->planning.moves, *move);
        }
    }
    g_array_free(moves, TRUE);
}

/* A fleet frees half-empty machines in proportion to its size: so many a round it may move. */
static int moves_allowed(const rr_core *core) {
    guint count = 0;
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        count += ((const rr_machine *)g_ptr_array_index(core->stored.machine_list, i))->recorded;
    }
    int share = (int)(core->config->tuning.rebalance_share * count);
    return share > core->config->tuning.rebalance_moves ? share
                                                        : core->config->tuning.rebalance_moves;
}

/* Whether a round begins now. */
bool rr_rebalance_due(rr_core *core, double now) {
    const struct rr_tuning *tuning = &core->config->tuning;
    if (!tuning->rebalance || now - core->planning.rebalance_at < tuning->rebalance_period_s) {
        /* A trouble ends a plan under way at once. */
        if (core->planning.moves->len > 0 && !calm(core, now)) {
            g_array_set_size(core->planning.moves, 0);
        }
        return false;
    }
    if (!calm(core, now)) {
        g_array_set_size(core->planning.moves, 0);
        core->planning.rebalance_at =
            now - tuning->rebalance_period_s +
            fmin(1, tuning->rebalance_period_s); /* looked at again soon */
        return false;
    }
    return true;
}

void rr_rebalance(rr_core *core, double now) {
    core->planning.rebalance_at = now;
    core->planning.rebalance_moves_left = moves_allowed(core);
    if (core->planning.moves->len > 0) {
        return; /* the plan is kept until it is done */
    }
    GArray *items = collect(core, now);
    if (items->len > 0) {
        allocate(core, items, now);
        guint count = mark_emptied(core, items);
        if (count > 0) {
            order_moves(core, items);
        }
        if (core->planning.moves->len > 0) {
            rr_log_at(core, RR_LOG_INFO,
                      "round: %u movable replicas, %u machines to empty, %u moves", items->len,
                      count, core->planning.moves->len);
        }
        rr_reset_free_resources(core);
    }
    g_array_free(items, TRUE);
}
