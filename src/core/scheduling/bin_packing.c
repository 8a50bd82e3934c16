/* The allocation phase of the paper that DESIGN cites, for new tasks and rebalancing alike: a task
 * goes to the fitting machine of least price times free share. Tasks that are bound to a zone first
 * get a zone (zone_choice.c), and there the fitting machine with least free room. */
#include "core/scheduling/bin_packing.h"
#include "core/core_internal.h"
#include "core/health/failure_detector.h"
#include "core/state/jobs.h"
#include "core/state/ledger.h"
#include "core/state/machine_pages.h"
#include "core/state/machines.h"
#include "core/state/resources.h"

#include <math.h>

#define SCORE_EPSILON 1e-9
#define DEFAULT_IMAGE_FETCH_S 5.0 /* on machine types without a known pull rate */

/* Above this write pressure machines of other owners' shards come after all of the own shard's. */
#define FOREIGN_SHARD_PRESSURE 0.3
#define JOB_FAILED_PENALTY 2.0     /* this job failed on the machine */
#define MACHINE_FAILED_PENALTY 1.0 /* any job failed there not long ago */
#define FOREIGN_SHARD_PENALTY 0.5

uint32_t rr_tasks_fitting(rr_resources request, rr_resources available, uint32_t count_max) {
    uint32_t count = 0;
    while (count < count_max && rr_resources_fit(request, available)) {
        available = rr_resources_add(available, request, -1);
        count++;
    }
    return count;
}

void rr_reset_free_resources(rr_core *core) {
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        machine->free = rr_resources_add(rr_machine_capacity(core, machine), machine->used, -1);
        for (guint k = 0; k < machine->placements->len; k++) {
            const rr_placement *placement = &g_array_index(machine->placements, rr_placement, k);
            if (placement->terminated_at > 0) {
                machine->free = rr_resources_add(machine->free, placement->job->request, 1);
            }
        }
        machine->reserved_image = -1;
    }
}

double rr_image_fetch_s(const rr_core *core, const rr_job *job, const rr_machine *machine) {
    if (rr_machine_has_image(machine, job->image)) {
        return 0;
    }
    const rr_machine_type *type = rr_machine_type_at(core, machine->machine_type);
    return type && type->pull_rate > 0 ? job->submission.image_size_gb / type->pull_rate
                                       : DEFAULT_IMAGE_FETCH_S;
}

/* ---- candidates ---- */

static bool job_failed_on(const rr_machine *machine, const rr_job *job) {
    for (guint i = 0; job->failed_machines && i < job->failed_machines->len; i++) {
        if (g_array_index(job->failed_machines, int, i) == machine->id) {
            return true;
        }
    }
    return false;
}

static bool is_image_coming(const rr_machine *machine, int image) {
    for (guint i = 0; i < machine->placements->len; i++) {
        if (g_array_index(machine->placements, rr_placement, i).job->image == image) {
            return true;
        }
    }
    return machine->reserved_image == image;
}

/* Whether another owner takes the machine before this one does. All controllers see the same
 * shards, since they derive from names. */
static bool is_of_foreign_shard(const rr_core *core, const rr_machine *machine) {
    return core->membership.shard_count > 1 &&
           g_str_hash(machine->name) % core->membership.shard_count != core->membership.shard;
}

static double failure_penalty(const rr_core *core, const rr_job *job, const rr_candidate *candidate,
                              double now) {
    double penalty = 0;
    if (job_failed_on(candidate->machine, job)) {
        penalty = JOB_FAILED_PENALTY;
    } else if (rr_machine_failed_recently(candidate->machine, now)) {
        penalty = MACHINE_FAILED_PENALTY;
    }
    /* A reservation that another owner's refuses costs writes, so that the own shard comes first
     * while writes are short. */
    if (candidate->foreign_shard && core->planning.write_pressure > FOREIGN_SHARD_PRESSURE) {
        penalty += FOREIGN_SHARD_PENALTY;
    }
    return penalty;
}

/* A fetch makes the machine dearer by the time it takes, since it is held for that long too. Where
 * the start is urgent, a missing image counts before the price instead. Within a zone that the job
 * is bound to, prices don't count. */
static double effective_price(const rr_core *core, const rr_job *job, const rr_machine *machine,
                              bool urgent, double fetch_s) {
    if (rr_job_zone_bound(job)) {
        return 1;
    }
    double price = rr_machine_price(core, machine);
    return !urgent && job->submission.runtime_estimate_s > 0
               ? price * (1 + fetch_s / job->submission.runtime_estimate_s)
               : price;
}

static rr_candidate make_candidate(const rr_core *core, const rr_job *job, rr_machine *machine,
                                   const struct rr_placement_constraints *constraints,
                                   double fetch_s, double now) {
    bool urgent = rr_objective_for(core, "wait", job->submission.job_class) != NULL;
    rr_candidate candidate = {.machine = machine,
                              .capacity = rr_machine_capacity(core, machine),
                              .price = effective_price(core, job, machine, urgent, fetch_s),
                              .fetch_s = fetch_s,
                              .image_missing = urgent && fetch_s > 0,
                              .image_coming = fetch_s > 0 && is_image_coming(machine, job->image)};
    /* A replica that is being moved may stay where it is, whatever the shard. */
    candidate.foreign_shard = !constraints->current && is_of_foreign_shard(core, machine);
    candidate.failure_penalty = failure_penalty(core, job, &candidate, now);
    return candidate;
}

static bool breaks_distinct_machines(const struct rr_placement_constraints *constraints,
                                     const rr_machine *machine, const rr_job *job) {
    return constraints->distinct_machines && machine != constraints->current &&
           rr_machine_has_task(machine, job);
}

void rr_list_candidates(rr_core *core, const rr_job *job,
                        const struct rr_placement_constraints *constraints, double now,
                        GArray *candidates) {
    g_array_set_size(candidates, 0);
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        core->counters.machines_visited++;
        if (!rr_resources_fit(job->request, machine->free) ||
            !rr_machine_may_take(core, machine, job, constraints->zones, now)) {
            continue;
        }
        double fetch_s = rr_image_fetch_s(core, job, machine);
        if ((constraints->need_image && fetch_s > 0) ||
            breaks_distinct_machines(constraints, machine, job)) {
            continue;
        }
        rr_candidate candidate = make_candidate(core, job, machine, constraints, fetch_s, now);
        g_array_append_val(candidates, candidate);
    }
}

/* ---- score and choice ---- */

/* Compared field by field in this order; less is better. */
struct score {
    double failure_penalty;
    double image_missing;
    double cost;
    double fetch_s;
    double foreign_shard;
    double
        image_coming; /* a machine without either image becomes ready for a second kind of work */
    double free_share;
};

static struct score score_of(const struct rr_placement_constraints *constraints,
                             const rr_candidate *candidate) {
    double free_share = rr_resources_free_share(candidate->machine->free, candidate->capacity);
    /* Between equals a task stays where it is. */
    bool stays = candidate->machine == constraints->current;
    return (struct score){.failure_penalty = candidate->failure_penalty,
                          .image_missing = candidate->image_missing,
                          .cost = candidate->price * free_share,
                          .fetch_s = candidate->fetch_s,
                          .foreign_shard = candidate->foreign_shard,
                          .image_coming = candidate->image_coming,
                          .free_share = free_share - stays};
}

static bool is_better(const struct score *left, const struct score *right) {
    if (left->failure_penalty != right->failure_penalty) {
        return left->failure_penalty < right->failure_penalty;
    }
    if (left->image_missing != right->image_missing) {
        return left->image_missing < right->image_missing;
    }
    if (fabs(left->cost - right->cost) > SCORE_EPSILON) {
        return left->cost < right->cost;
    }
    if (fabs(left->fetch_s - right->fetch_s) > SCORE_EPSILON) {
        return left->fetch_s < right->fetch_s;
    }
    if (left->foreign_shard != right->foreign_shard) {
        return left->foreign_shard < right->foreign_shard;
    }
    if (left->image_coming != right->image_coming) {
        return left->image_coming < right->image_coming;
    }
    return left->free_share < right->free_share - SCORE_EPSILON;
}

/* Whether the candidate can't take a task any more, because of reservations since it was listed. */
static bool is_used_up(const struct rr_placement_constraints *constraints, const rr_job *job,
                       const rr_machine *machine) {
    return !rr_resources_fit(job->request, machine->free) ||
           (machine->reserved_jobs && breaks_distinct_machines(constraints, machine, job));
}

rr_machine *rr_bin_pack_from(rr_core *core, const rr_job *job,
                             const struct rr_placement_constraints *constraints,
                             GArray *candidates) {
    rr_machine *best = NULL;
    struct score best_score = {0};
    for (guint i = 0; i < candidates->len;) {
        const rr_candidate *candidate = &g_array_index(candidates, rr_candidate, i);
        rr_machine *machine = candidate->machine;
        core->counters.machines_visited++;
        if (is_used_up(constraints, job, machine)) {
            g_array_remove_index_fast(candidates, i);
            continue;
        }
        struct score score = score_of(constraints, candidate);
        /* Between equals the older machine, whatever the order of the list has become. */
        bool wins = !best || is_better(&score, &best_score) ||
                    (!is_better(&best_score, &score) && machine->id < best->id);
        if (constraints->zones[machine->zone] && wins) {
            best = machine;
            best_score = score;
        }
        i++;
    }
    return best;
}

rr_machine *rr_bin_pack(rr_core *core, const rr_job *job,
                        const struct rr_placement_constraints *constraints, double now) {
    GArray *candidates = g_array_new(FALSE, FALSE, sizeof(rr_candidate));
    rr_list_candidates(core, job, constraints, now, candidates);
    rr_machine *machine = rr_bin_pack_from(core, job, constraints, candidates);
    g_array_free(candidates, TRUE);
    return machine;
}
