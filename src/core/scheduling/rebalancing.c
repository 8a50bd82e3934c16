/* Rebalancing in two phases, after the paper cited in DESIGN. Allocation removes every movable
 * replica from its machine in a simulation and places all of them again. Its result is used only if
 * it empties a machine with a price, and only the replicas of such machines move. Ordering
 * repeatedly picks, of the moves that fit, the one with the least ratio of replica size to free
 * share of the destination, and frees the resources on its source. */
#include "core/scheduling/rebalancing.h"
#include "core/core_internal.h"
#include "core/health/failure_detector.h"
#include "core/leadership.h"
#include "core/membership/membership.h"
#include "core/scheduling/bin_packing.h"
#include "core/scheduling/placement_constraints.h"
#include "core/scheduling/zone_choice.h"
#include "core/state/jobs.h"
#include "core/state/ledger.h"
#include "core/state/machine_pages.h"
#include "core/state/machines.h"
#include "core/state/name_index.h"
#include "core/state/resources.h"
#include "core/state/transfer_holds.h"

#include <math.h>
#include <string.h>

#define SHARE_EPSILON 1e-9
/* Only replicas on this many of the emptiest machines are placed again, while those on fuller
 * machines stay: the cost then grows linearly with the fleet and not with its square. It is also
 * the most machines that one rebalancing can empty. */
#define SOURCE_MACHINES_MAX 256
/* The fleet counts as healthy with up to one faulty machine in this many, since some machine of a
 * large fleet always has a fault. */
#define FAULTY_MACHINES_ONE_IN 50
#define STABLE_INTERVALS 3 /* heartbeat intervals without a disturbance before replicas move */
/* An overdue rebalancing checks again after this time whether the fleet is stable. */
#define STABILITY_CHECK_PERIOD_S 1.0

/* A replica that allocation places again. */
struct movable_replica {
    rr_job *job;
    uint32_t task;
    rr_machine *source;
    rr_machine *destination; /* set by allocation; the source if the replica stays */
    double size;             /* share of the source's resources that the replica takes */
    double free_share;       /* share of the source's resources that is free now */
    bool ordered;            /* its move has its place in the order */
};

/* Whether the placement is a running replica of a service that rebalancing may move. */
static bool is_movable(const rr_core *core, const rr_machine *machine,
                       const rr_placement *placement, double now) {
    const rr_job *job = placement->job;
    if (job->submission.kind != RR_JOB_SERVICE || job->cancelled || job->done ||
        placement->preempt || !job->placements_per_task ||
        placement->task >= job->submission.task_count ||
        job->placements_per_task[placement->task] != 1 || job->team < 0 ||
        !rr_owns_team(core, job->team) || !rr_machine_schedulable(core, machine, now) ||
        rr_job_held(core, job, now)) {
        return false;
    }
    const rr_task_status *task = rr_task_status_find(machine, placement);
    return task && task->state == RR_TASK_RUNNING;
}

/* ---- conditions for rebalancing ---- */

/* Whether few enough machines have late heartbeats or spot termination notices. */
static bool most_machines_healthy(const rr_core *core, double now) {
    guint up_count = 0, faulty_count = 0;
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        const rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        if (machine->recorded && machine->heartbeat_seen) {
            up_count++;
            faulty_count += !rr_machine_heartbeat_recent(core, machine, now) ||
                            machine->heartbeat.spot_notice_s >= 0;
        }
    }
    return faulty_count * FAULTY_MACHINES_ONE_IN <= up_count;
}

/* Whether the fleet has been stable for STABLE_INTERVALS: no faults beyond the usual, no new term,
 * and no late timers of this controller, since rebalancing is the least urgent of its work.
 * Restarts that time at a disturbance. */
static bool check_fleet_stable(rr_core *core, double now) {
    bool new_term = core->planning.stability_check_token != core->membership.term.token;
    core->planning.stability_check_token = core->membership.term.token;
    if (new_term || !most_machines_healthy(core, now) ||
        rr_core_timers_late(core, now, RR_LATE_TIMER_GRACE_S)) {
        core->planning.stable_since = now;
    }
    return now - core->planning.stable_since >=
           STABLE_INTERVALS * core->config->heartbeat_interval_s;
}

bool rr_check_rebalancing_due(rr_core *core, double now) {
    const struct rr_tuning *tuning = &core->config->tuning;
    if (!tuning->rebalance ||
        now - core->planning.last_rebalancing_at < tuning->rebalance_period_s) {
        if (core->planning.planned_moves->len > 0 && !check_fleet_stable(core, now)) {
            g_array_set_size(core->planning.planned_moves, 0);
        }
        return false;
    }
    if (!check_fleet_stable(core, now)) {
        g_array_set_size(core->planning.planned_moves, 0);
        double next_check_s = fmin(STABILITY_CHECK_PERIOD_S, tuning->rebalance_period_s);
        core->planning.last_rebalancing_at = now - tuning->rebalance_period_s + next_check_s;
        return false;
    }
    return true;
}

/* Returns how many moves one rebalancing may start. Half-empty machines appear in proportion to the
 * size of the fleet, so the limit grows with it. */
static int compute_move_limit(const rr_core *core) {
    guint recorded_count = 0;
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        const rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        recorded_count += machine->recorded;
    }
    int share = (int)(core->config->tuning.rebalance_share * recorded_count);
    return MAX(share, core->config->tuning.rebalance_moves);
}

/* ---- selection of replicas ---- */

/* Whether all placements on the machine are movable. The replicas of other machines stay, since
 * moving them would not empty a machine, and so take no room that useful moves need. */
static bool can_be_emptied(const rr_core *core, const rr_machine *machine, double now) {
    for (guint i = 0; i < machine->placements->len; i++) {
        if (!is_movable(core, machine, &g_array_index(machine->placements, rr_placement, i), now)) {
            return false;
        }
    }
    return machine->placements->len > 0;
}

/* A machine that can be emptied. */
struct source_machine {
    rr_machine *machine;
    double free_share; /* of its resources */
};

/* GCompareFunc: sorts source machines by free share, the emptiest first. */
static gint compare_free_share(gconstpointer left_source, gconstpointer right_source) {
    const struct source_machine *left = left_source, *right = right_source;
    if (fabs(left->free_share - right->free_share) > SHARE_EPSILON) {
        return left->free_share > right->free_share ? -1 : 1;
    }
    return left->machine->id - right->machine->id;
}

/* Returns the machines that can be emptied (struct source_machine), the emptiest first. The caller
 * owns the array. */
static GArray *list_source_machines(const rr_core *core, double now) {
    GArray *sources = g_array_new(FALSE, FALSE, sizeof(struct source_machine));
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        if (can_be_emptied(core, machine, now)) {
            rr_resources capacity = rr_machine_capacity(core, machine);
            rr_resources available = rr_resources_add(capacity, machine->used, -1);
            struct source_machine source = {machine, rr_resources_free_share(available, capacity)};
            g_array_append_val(sources, source);
        }
    }
    g_array_sort(sources, compare_free_share);
    return sources;
}

/* Returns the share of the machine's resources that a task of the job takes. */
static double compute_share_of_machine(const rr_core *core, const rr_machine *machine,
                                       const rr_job *job) {
    rr_resources capacity = rr_machine_capacity(core, machine);
    return 1 - rr_resources_free_share(rr_resources_add(capacity, job->request, -1), capacity);
}

/* GCompareFunc: the order in which replicas are placed again. Replicas that are bound to a zone
 * come first, job by job, then the largest. Among equals, those on the fullest machines come first:
 * they stay in place, and replicas of emptier machines are added to them. Any other order would
 * shift replicas between full machines. */
static gint compare_placement_order(gconstpointer left_replica, gconstpointer right_replica) {
    const struct movable_replica *left = left_replica, *right = right_replica;
    bool left_bound = rr_job_requires_one_zone(left->job),
         right_bound = rr_job_requires_one_zone(right->job);
    if (left_bound != right_bound) {
        return left_bound ? -1 : 1;
    }
    if (left_bound && left->job != right->job) {
        return strcmp(left->job->submission.job_id, right->job->submission.job_id);
    }
    if (fabs(left->size - right->size) > SHARE_EPSILON) {
        return left->size > right->size ? -1 : 1;
    }
    if (fabs(left->free_share - right->free_share) > SHARE_EPSILON) {
        return left->free_share < right->free_share ? -1 : 1;
    }
    return left->source->id - right->source->id;
}

/* Returns the replicas (struct movable_replica) on the emptiest machines, in the order in which
 * they are placed again. The caller owns the array. */
static GArray *list_movable_replicas(const rr_core *core, double now) {
    GArray *replicas = g_array_new(FALSE, TRUE, sizeof(struct movable_replica));
    GArray *sources = list_source_machines(core, now);
    for (guint i = 0; i < sources->len && i < SOURCE_MACHINES_MAX; i++) {
        const struct source_machine *source = &g_array_index(sources, struct source_machine, i);
        const GArray *placements = source->machine->placements;
        for (guint k = 0; k < placements->len; k++) {
            const rr_placement *placement = &g_array_index(placements, rr_placement, k);
            struct movable_replica replica = {
                .job = placement->job,
                .task = placement->task,
                .source = source->machine,
                .size = compute_share_of_machine(core, source->machine, placement->job),
                .free_share = source->free_share};
            g_array_append_val(replicas, replica);
        }
    }
    g_array_free(sources, TRUE);
    g_array_sort(replicas, compare_placement_order);
    return replicas;
}

/* ---- allocation ---- */

/* Sets zones[i] to whether the replica may be placed in zone i. If its job has several replicas
 * that are spread over zones or share one, it stays in its zone. Otherwise it may go to any zone
 * that the job allows, or only to the best of them if the job is bound to one zone. */
static void find_allowed_zones(rr_core *core, const struct movable_replica *replica, bool *zones,
                               double now) {
    const rr_job *job = replica->job;
    guint zone_count = core->stored.zones.names->len;
    bool keeps_zone = job->submission.task_count > 1 &&
                      (job->submission.spread_zones || job->submission.one_zone);
    for (guint zone = 0; zone < zone_count; zone++) {
        const char *name = rr_name_index_at(&core->stored.zones, (int)zone);
        bool named = !job->submission.zone[0] || strcmp(job->submission.zone, name) == 0;
        zones[zone] = keeps_zone ? (int)zone == replica->source->zone : named;
    }
    if (!keeps_zone && rr_job_requires_one_zone(job)) {
        int best = rr_choose_zone(core, job, zones, now);
        for (guint zone = 0; zone < zone_count; zone++) {
            zones[zone] = (int)zone == best;
        }
    }
}

/* Whether one of the first `count` replicas is of this job and is allocated to this machine. */
static bool has_earlier_replica_on(const GArray *replicas, guint count, const rr_job *job,
                                   const rr_machine *machine) {
    for (guint i = 0; i < count; i++) {
        const struct movable_replica *replica = &g_array_index(replicas, struct movable_replica, i);
        if (replica->job == job && replica->destination == machine) {
            return true;
        }
    }
    return false;
}

/* Returns the machine for a replica after the ones before it are allocated: its source if no other
 * machine is better. */
static rr_machine *find_destination(rr_core *core, const GArray *replicas, guint index,
                                    double now) {
    const struct movable_replica *replica = &g_array_index(replicas, struct movable_replica, index);
    bool zones[core->stored.zones.names->len + 1];
    find_allowed_zones(core, replica, zones, now);
    /* On a machine without its image a replica would be down until the image is fetched. */
    struct rr_placement_constraints constraints = {.zones = zones,
                                                   .distinct_machines =
                                                       replica->job->submission.task_count > 1,
                                                   .need_image = true,
                                                   .current = replica->source};
    rr_machine *machine = rr_choose_machine(core, replica->job, &constraints, now);
    if (!machine || (machine != replica->source &&
                     has_earlier_replica_on(replicas, index, replica->job, machine))) {
        return replica->source;
    }
    return machine;
}

/* Sets the destination of every replica. Overwrites the machines' free resources. */
static void allocate_replicas(rr_core *core, GArray *replicas, double now) {
    rr_reset_free_resources(core);
    for (guint i = 0; i < replicas->len; i++) {
        struct movable_replica *replica = &g_array_index(replicas, struct movable_replica, i);
        rr_machine *source = replica->source;
        source->free = rr_resources_add(source->free, replica->job->request, 1);
    }
    for (guint i = 0; i < replicas->len; i++) {
        struct movable_replica *replica = &g_array_index(replicas, struct movable_replica, i);
        rr_machine *destination = find_destination(core, replicas, i, now);
        replica->destination = destination;
        destination->free = rr_resources_add(destination->free, replica->job->request, -1);
    }
}

/* What an allocation changes on one machine. */
struct machine_changes {
    guint leaving, arriving; /* numbers of replicas */
    bool emptied;            /* no placement is left after the moves, and the release saves money */
};

/* Fills in the changes of each machine, by machine id. Returns the number of emptied machines. */
static guint compute_machine_changes(const rr_core *core, const GArray *replicas,
                                     struct machine_changes *changes) {
    guint count = 0;
    for (guint i = 0; i < replicas->len; i++) {
        const struct movable_replica *replica = &g_array_index(replicas, struct movable_replica, i);
        bool moves = replica->source != replica->destination;
        changes[replica->source->id].leaving += moves;
        changes[replica->destination->id].arriving += moves;
    }
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        const rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        struct machine_changes *change = &changes[machine->id];
        change->emptied = machine->recorded && !machine->scaling_in &&
                          rr_machine_price(core, machine) > 0 && machine->placements->len > 0 &&
                          change->leaving == machine->placements->len && change->arriving == 0;
        count += change->emptied;
    }
    return count;
}

/* ---- ordering ---- */

/* Whether the replica leaves a machine that is emptied and fits on its destination now. */
static bool can_move_now(const struct movable_replica *replica,
                         const struct machine_changes *changes) {
    return !replica->ordered && changes[replica->source->id].emptied &&
           replica->destination != replica->source && !changes[replica->destination->id].emptied &&
           rr_resources_fit(replica->job->request, replica->destination->free);
}

/* Returns the replica to move next: of those that can move now, the one with the least ratio of its
 * size to the free share of its destination. Returns NULL if none can move. */
static struct movable_replica *find_next_move(const rr_core *core, GArray *replicas,
                                              const struct machine_changes *changes) {
    struct movable_replica *best = NULL;
    double best_score = 0;
    for (guint i = 0; i < replicas->len; i++) {
        struct movable_replica *replica = &g_array_index(replicas, struct movable_replica, i);
        if (!can_move_now(replica, changes)) {
            continue;
        }
        const rr_machine *destination = replica->destination;
        double free_share =
            rr_resources_free_share(destination->free, rr_machine_capacity(core, destination));
        double score = free_share > 0 ? replica->size / free_share : INFINITY;
        if (!best || score < best_score) {
            best = replica;
            best_score = score;
        }
    }
    return best;
}

/* Returns the number of moves from this machine. */
static guint count_moves_from(const GArray *moves, const rr_machine *source) {
    guint count = 0;
    for (guint i = 0; i < moves->len; i++) {
        count += g_array_index(moves, rr_move, i).from == source;
    }
    return count;
}

/* Appends moves to the planned moves, in an order in which each destination has enough free
 * resources. Leaves out moves from machines that the moves would not empty completely. Overwrites
 * the machines' free resources. */
static void order_moves(rr_core *core, GArray *replicas, const struct machine_changes *changes) {
    GArray *moves = g_array_new(FALSE, FALSE, sizeof(rr_move));
    struct movable_replica *replica;
    rr_reset_free_resources(core);
    while ((replica = find_next_move(core, replicas, changes))) {
        rr_machine *source = replica->source, *destination = replica->destination;
        rr_move move = {replica->job, replica->task, source, destination};
        g_array_append_val(moves, move);
        replica->ordered = true;
        destination->free = rr_resources_add(destination->free, replica->job->request, -1);
        source->free = rr_resources_add(source->free, replica->job->request, 1);
    }
    for (guint i = 0; i < moves->len; i++) {
        const rr_move *move = &g_array_index(moves, rr_move, i);
        if (count_moves_from(moves, move->from) == move->from->placements->len) {
            g_array_append_val(core->planning.planned_moves, *move);
        }
    }
    g_array_free(moves, TRUE);
}

void rr_plan_rebalancing_moves(rr_core *core, double now) {
    core->planning.last_rebalancing_at = now;
    core->planning.rebalance_moves_left = compute_move_limit(core);
    if (core->planning.planned_moves->len > 0) {
        return;
    }
    GArray *replicas = list_movable_replicas(core, now);
    if (replicas->len > 0) {
        allocate_replicas(core, replicas, now);
        struct machine_changes *changes = /* by machine id */
            g_new0(struct machine_changes, (gsize)core->stored.next_machine_id + 1);
        guint emptied_count = compute_machine_changes(core, replicas, changes);
        if (emptied_count > 0) {
            order_moves(core, replicas, changes);
        }
        g_free(changes);
        if (core->planning.planned_moves->len > 0) {
            rr_log_at(core, RR_LOG_INFO,
                      "rebalance: %u replicas examined, %u machines to empty, %u moves planned",
                      replicas->len, emptied_count, core->planning.planned_moves->len);
        }
        rr_reset_free_resources(core);
    }
    g_array_free(replicas, TRUE);
}
