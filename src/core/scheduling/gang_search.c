/* Searches the zones for a gang, one by one or all together. */
#include "core/scheduling/gang_search.h"
#include "core/core_internal.h"
#include "core/state/jobs.h"

/* Fills `zones` with the zones of one search. For a one-zone job, `search` is that zone's index. */
static void select_search_zones(const rr_core *core, const rr_job *job, const bool *allowed,
                                guint search, bool *zones) {
    for (guint zone = 0; zone < core->stored.zones.names->len; zone++) {
        zones[zone] = allowed[zone] && (!job->submission.one_zone || zone == search);
    }
}

/* Whether the left score is better than the right one. */
static bool is_better_score(const struct rr_gang_score *left, const struct rr_gang_score *right) {
    return left->primary != right->primary ? left->primary < right->primary
                                           : left->secondary < right->secondary;
}

GArray *rr_search_zones_for_gang(struct rr_planner *planner, const rr_job *job, const bool *allowed,
                                 rr_gang_search_fn search) {
    const rr_core *core = planner->core;
    guint zone_count = core->stored.zones.names->len;
    guint search_count = job->submission.one_zone ? zone_count : 1;
    bool zones[zone_count + 1];
    struct rr_gang_score score, best_score = {0, 0};
    GArray *best = NULL;
    for (guint i = 0; i < search_count; i++) {
        select_search_zones(core, job, allowed, i, zones);
        GArray *found = search(planner, job, zones, &score);
        if (found && (!best || is_better_score(&score, &best_score))) {
            g_clear_pointer(&best, g_array_unref);
            best = g_steal_pointer(&found);
            best_score = score;
        }
        g_clear_pointer(&found, g_array_unref);
    }
    return best;
}
