/* Chooses machines by bin packing, for new tasks and for rebalancing. This is the allocation phase
 * of the paper cited in DESIGN: a task goes to the fitting machine with the lowest product of price
 * and free share. For a job bound to one zone, the zone is chosen first (zone_choice.c), and the
 * task then goes to the fitting machine there with the smallest free share. */
#include "core/scheduling/bin_packing.h"
#include "core/core_internal.h"
#include "core/health/failure_detector.h"
#include "core/state/jobs.h"
#include "core/state/ledger.h"
#include "core/state/machine_pages.h"
#include "core/state/machines.h"
#include "core/state/resources.h"

#include <math.h>

#define SCORE_EPSILON 1e-9        /* scores closer than this are equal */
#define DEFAULT_IMAGE_FETCH_S 5.0 /* for machine types without a known pull rate */

/* Above this write pressure, machines of foreign shards get FOREIGN_SHARD_PENALTY and so come after
 * all machines of this controller's shard with the same failure history. */
#define FOREIGN_SHARD_PRESSURE 0.3

/* Penalties are compared before all other parts of the score. */
#define JOB_FAILED_PENALTY 2.0     /* a task of this job has failed on the machine */
#define MACHINE_FAILED_PENALTY 1.0 /* a task of any job has recently failed on the machine */
#define FOREIGN_SHARD_PENALTY 0.5

uint32_t rr_count_fitting_tasks(rr_resources request, rr_resources available, uint32_t count_max) {
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

double rr_estimate_image_fetch_s(const rr_core *core, const rr_job *job,
                                 const rr_machine *machine) {
    if (rr_machine_has_image(machine, job->image)) {
        return 0;
    }
    const rr_machine_type *type = rr_machine_type_at(core, machine->machine_type);
    return type && type->image_pull_gb_per_s > 0
               ? job->submission.image_size_gb / type->image_pull_gb_per_s
               : DEFAULT_IMAGE_FETCH_S;
}

/* ---- listing candidates ---- */

/* Whether a task of the job has failed on the machine. */
static bool job_failed_on_machine(const rr_machine *machine, const rr_job *job) {
    for (guint i = 0; job->failed_machines && i < job->failed_machines->len; i++) {
        if (g_array_index(job->failed_machines, int, i) == machine->id) {
            return true;
        }
    }
    return false;
}

/* Whether a task with this image is placed on the machine, or was the last one reserved there. */
static bool is_image_expected(const rr_machine *machine, int image) {
    for (guint i = 0; i < machine->placements->len; i++) {
        if (g_array_index(machine->placements, rr_placement, i).job->image == image) {
            return true;
        }
    }
    return machine->reserved_image == image;
}

/* Whether the machine belongs to the shard of another owner, which considers it before this
 * controller does. All controllers compute the same shards, from the hash of the machine's name. */
static bool is_in_foreign_shard(const rr_core *core, const rr_machine *machine) {
    return core->membership.shard_count > 1 &&
           g_str_hash(machine->name) % core->membership.shard_count != core->membership.shard;
}

/* Returns the candidate's penalty: for failures, and for a foreign shard while writes are short. */
static double compute_penalty(const rr_core *core, const rr_job *job, const rr_candidate *candidate,
                              double now) {
    double penalty = 0;
    if (job_failed_on_machine(candidate->machine, job)) {
        penalty = JOB_FAILED_PENALTY;
    } else if (rr_machine_failed_recently(candidate->machine, now)) {
        penalty = MACHINE_FAILED_PENALTY;
    }
    /* A reservation that conflicts with one of another owner is rejected and wastes writes. */
    if (candidate->foreign_shard && core->planning.write_pressure > FOREIGN_SHARD_PRESSURE) {
        penalty += FOREIGN_SHARD_PENALTY;
    }
    return penalty;
}

/* Returns the price that the score uses. The time to fetch the image raises it in proportion to the
 * task's run time, since the task occupies the machine for that time too. For an urgent start the
 * fetch does not count here, as a missing image counts before the price. Prices don't count (1) for
 * a job bound to one zone. */
static double compute_effective_price(const rr_core *core, const rr_job *job,
                                      const rr_machine *machine, bool urgent, double fetch_s) {
    if (rr_job_requires_one_zone(job)) {
        return 1;
    }
    double price = rr_machine_price(core, machine);
    return !urgent && job->submission.runtime_estimate_s > 0
               ? price * (1 + fetch_s / job->submission.runtime_estimate_s)
               : price;
}

/* Returns the machine as a candidate. A start is urgent if the job's class has a wait objective. */
static rr_candidate make_candidate(const rr_core *core, const rr_job *job, rr_machine *machine,
                                   const struct rr_placement_constraints *constraints,
                                   double fetch_s, double now) {
    bool urgent = rr_objective_for(core, "wait", job->submission.job_class) != NULL;
    rr_candidate candidate = {.machine = machine,
                              .capacity = rr_machine_capacity(core, machine),
                              .price = compute_effective_price(core, job, machine, urgent, fetch_s),
                              .fetch_s = fetch_s,
                              .image_missing = urgent && fetch_s > 0,
                              .image_expected =
                                  fetch_s > 0 && is_image_expected(machine, job->image)};
    /* Rebalancing may leave a replica where it is, in whichever shard. */
    candidate.foreign_shard = !constraints->current && is_in_foreign_shard(core, machine);
    candidate.penalty = compute_penalty(core, job, &candidate, now);
    return candidate;
}

/* Whether a task on the machine would share it with another task of the job that requires distinct
 * machines. The machine where the task runs now is always allowed. */
static bool violates_distinct_machines(const struct rr_placement_constraints *constraints,
                                       const rr_machine *machine, const rr_job *job) {
    return constraints->distinct_machines && machine != constraints->current &&
           rr_machine_has_task(machine, job);
}

void rr_list_candidate_machines(rr_core *core, const rr_job *job,
                                const struct rr_placement_constraints *constraints, double now,
                                GArray *candidates) {
    g_array_set_size(candidates, 0);
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        core->counters.machines_examined++;
        if (!rr_resources_fit(job->request, machine->free) ||
            !rr_machine_accepts_job(core, machine, job, constraints->zones, now)) {
            continue;
        }
        double fetch_s = rr_estimate_image_fetch_s(core, job, machine);
        if ((constraints->need_image && fetch_s > 0) ||
            violates_distinct_machines(constraints, machine, job)) {
            continue;
        }
        rr_candidate candidate = make_candidate(core, job, machine, constraints, fetch_s, now);
        g_array_append_val(candidates, candidate);
    }
}

/* ---- scoring and choosing ---- */

/* The score of a candidate. Scores are compared field by field in this order; the lower is the
 * better. */
struct score {
    double penalty;       /* for failures and a foreign shard */
    double image_missing; /* 1: lacks the image, and the start is urgent */
    double cost;          /* price times free share */
    double fetch_s;       /* estimated time to fetch the image, seconds */
    double foreign_shard; /* 1: the machine is in a foreign shard */
    /* 1: another task there already needs the image. A machine that gets the image anew becomes
     * ready for a second kind of work. */
    double image_expected;
    /* Free share of the machine's resources, 0 to 1; lowered by 1 for the machine that runs the
     * task now. */
    double free_share;
};

/* Returns the candidate's score, from the resources that are free now. */
static struct score compute_score(const struct rr_placement_constraints *constraints,
                                  const rr_candidate *candidate) {
    double free_share = rr_resources_free_share(candidate->machine->free, candidate->capacity);
    /* Otherwise equal, a task stays where it is. */
    bool is_current = candidate->machine == constraints->current;
    return (struct score){.penalty = candidate->penalty,
                          .image_missing = candidate->image_missing,
                          .cost = candidate->price * free_share,
                          .fetch_s = candidate->fetch_s,
                          .foreign_shard = candidate->foreign_shard,
                          .image_expected = candidate->image_expected,
                          .free_share = free_share - is_current};
}

/* Whether the left score is lower than the right one. */
static bool is_better_score(const struct score *left, const struct score *right) {
    if (left->penalty != right->penalty) {
        return left->penalty < right->penalty;
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
    if (left->image_expected != right->image_expected) {
        return left->image_expected < right->image_expected;
    }
    return left->free_share < right->free_share - SCORE_EPSILON;
}

/* Whether reservations made since the machine was listed leave it unable to take another task. */
static bool candidate_no_longer_fits(const struct rr_placement_constraints *constraints,
                                     const rr_job *job, const rr_machine *machine) {
    return !rr_resources_fit(job->request, machine->free) ||
           (machine->reserved_jobs && violates_distinct_machines(constraints, machine, job));
}

rr_machine *rr_choose_candidate(rr_core *core, const rr_job *job,
                                const struct rr_placement_constraints *constraints,
                                GArray *candidates) {
    rr_machine *best = NULL;
    struct score best_score = {0};
    for (guint i = 0; i < candidates->len;) {
        const rr_candidate *candidate = &g_array_index(candidates, rr_candidate, i);
        rr_machine *machine = candidate->machine;
        core->counters.machines_examined++;
        if (candidate_no_longer_fits(constraints, job, machine)) {
            g_array_remove_index_fast(candidates, i);
            continue;
        }
        struct score score = compute_score(constraints, candidate);
        /* Removals reorder the list; among equal scores the lowest id, the oldest machine, wins. */
        bool wins = !best || is_better_score(&score, &best_score) ||
                    (!is_better_score(&best_score, &score) && machine->id < best->id);
        if (constraints->zones[machine->zone] && wins) {
            best = machine;
            best_score = score;
        }
        i++;
    }
    return best;
}

rr_machine *rr_choose_machine(rr_core *core, const rr_job *job,
                              const struct rr_placement_constraints *constraints, double now) {
    GArray *candidates = g_array_new(FALSE, FALSE, sizeof(rr_candidate));
    rr_list_candidate_machines(core, job, constraints, now, candidates);
    rr_machine *machine = rr_choose_candidate(core, job, constraints, candidates);
    g_array_free(candidates, TRUE);
    return machine;
}
