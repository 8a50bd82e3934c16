/* Tracks the zones that a job may use, and the failed searches of a plan. */
#include "core/scheduling/job_search.h"
#include "core/core_internal.h"
#include "core/scheduling/bin_packing.h"
#include "core/scheduling/placement_constraints.h"
#include "core/scheduling/zone_choice.h"
#include "core/state/jobs.h"
#include "core/state/resources.h"

#include <string.h>

#define FAILED_SEARCHES_MAX 64 /* recorded in one plan */
#define ZONE_MASK_BITS 64

void rr_zone_tracker_init(const struct rr_planner *planner, const rr_job *job,
                          struct rr_zone_tracker *zones) {
    guint zone_count = planner->core->stored.zones.names->len;
    *zones = (struct rr_zone_tracker){.allowed = g_new0(bool, zone_count + 1),
                                      .placements_by_zone = g_new0(uint32_t, zone_count + 1),
                                      .counts_placements = job->submission.spread_zones ||
                                                           job->submission.one_zone ||
                                                           job->submission.kind == RR_JOB_GANG};
    if (zones->counts_placements) {
        zones->placement_count = rr_count_placements_by_zone(job, NULL, zones->placements_by_zone);
    }
}

void rr_zone_tracker_clear(struct rr_zone_tracker *zones) {
    g_free(zones->allowed);
    g_free(zones->placements_by_zone);
}

void rr_zone_tracker_update(const struct rr_planner *planner, const rr_job *job,
                            struct rr_zone_tracker *zones) {
    rr_core *core = planner->core;
    guint zone_count = core->stored.zones.names->len, allowed_count = 0;
    rr_compute_allowed_zones_from(core, job, zones->placements_by_zone, zones->placement_count,
                                  zones->allowed);
    for (guint zone = 0; zone < zone_count; zone++) {
        allowed_count += zones->allowed[zone];
    }
    if (!rr_job_requires_one_zone(job) || allowed_count <= 1) {
        return;
    }
    int best = rr_choose_zone(core, job, zones->allowed, planner->now);
    for (guint zone = 0; zone < zone_count; zone++) {
        zones->allowed[zone] = (int)zone == best;
    }
}

void rr_zone_tracker_add_placement(const struct rr_planner *planner, const rr_job *job,
                                   const rr_machine *machine, struct rr_zone_tracker *zones) {
    if (zones->counts_placements) {
        zones->placements_by_zone[machine->zone]++;
        zones->placement_count++;
        rr_zone_tracker_update(planner, job, zones);
    }
}

void rr_list_job_candidates(struct rr_planner *planner, const rr_job *job,
                            const struct rr_zone_tracker *zones,
                            const struct rr_placement_constraints *constraints) {
    guint zone_count = planner->core->stored.zones.names->len;
    bool all_zones[zone_count + 1];
    memset(all_zones, true, sizeof all_zones);
    struct rr_placement_constraints wide_constraints = *constraints;
    wide_constraints.zones =
        zones->counts_placements && !rr_job_requires_one_zone(job) ? all_zones : zones->allowed;
    rr_list_candidate_machines(planner->core, job, &wide_constraints, planner->now,
                               planner->candidates);
}

uint64_t rr_zone_mask(const rr_core *core, const bool *allowed) {
    uint64_t mask = 0;
    for (guint zone = 0; zone < core->stored.zones.names->len; zone++) {
        mask |= allowed[zone] ? (uint64_t)1 << (zone % ZONE_MASK_BITS) : 0;
    }
    return mask;
}

/* Whether both submissions list the same machine types in the same order. */
static bool allows_same_machine_types(const rr_submission *left, const rr_submission *right) {
    size_t bytes = (size_t)left->machine_type_count * sizeof *left->machine_types;
    return left->machine_type_count == right->machine_type_count &&
           (bytes == 0 || memcmp(left->machine_types, right->machine_types, bytes) == 0);
}

/* Whether searches for both jobs differ only in the resources and the number of tasks requested. */
static bool are_searches_alike(const rr_job *left, const rr_job *right) {
    return left->team == right->team && left->job_class == right->job_class &&
           left->submission.priority == right->submission.priority &&
           left->submission.spot_allowed == right->submission.spot_allowed &&
           left->submission.kind == right->submission.kind &&
           strcmp(left->submission.zone, right->submission.zone) == 0 &&
           allows_same_machine_types(&left->submission, &right->submission);
}

/* Whether this plan has recorded a failed search in all of these zones, for a similar job that
 * requests no more; of gangs, for one with no more tasks. */
static bool has_similar_search_failed(const struct rr_planner *planner, const rr_job *job,
                                      uint64_t zone_mask) {
    for (guint i = 0; i < planner->failed_searches->len; i++) {
        const struct rr_failed_search *failed =
            &g_array_index(planner->failed_searches, struct rr_failed_search, i);
        bool no_larger_gang = job->submission.kind != RR_JOB_GANG ||
                              failed->job->submission.task_count <= job->submission.task_count;
        if (are_searches_alike(failed->job, job) &&
            rr_resources_fit(failed->job->request, job->request) && no_larger_gang &&
            (zone_mask & ~failed->zone_mask) == 0) {
            return true;
        }
    }
    return false;
}

bool rr_skip_repeated_search(const struct rr_planner *planner, rr_job *job, uint64_t zone_mask) {
    if (!has_similar_search_failed(planner, job, zone_mask)) {
        return false;
    }
    job->search_failed_at = planner->now;
    return true;
}

void rr_record_failed_search(struct rr_planner *planner, rr_job *job, uint64_t zone_mask) {
    struct rr_failed_search failed = {job, zone_mask};
    job->search_failed_at = planner->now;
    if (planner->failed_searches->len < FAILED_SEARCHES_MAX) {
        g_array_append_val(planner->failed_searches, failed);
    }
}
