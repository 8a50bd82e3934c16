/* Searches over zones for a gang. */
#include "core/scheduling/gang_search.h"
#include "core/core_internal.h"
#include "core/state/jobs.h"

/* The zones of one search. */
static void zones_of_search(const rr_core *core, const rr_job *job, const bool *allowed,
                            guint search, bool *zones) {
    for (guint zone = 0; zone < core->stored.zones.names->len; zone++) {
        zones[zone] = allowed[zone] && (!job->submission.one_zone || zone == search);
    }
}

static bool is_better(const struct rr_gang_score *left, const struct rr_gang_score *right) {
    return left->first != right->first ? left->first < right->first : left->second < right->second;
}

GArray *rr_gang_best_search(struct rr_planner *planner, const rr_job *job, const bool *allowed,
                            rr_gang_search_fn search) {
    const rr_core *core = planner->core;
    guint zone_count = core->stored.zones.names->len;
    guint search_count = job->submission.one_zone ? zone_count : 1;
    bool zones[zone_count + 1];
    struct rr_gang_score score, best_score = {0, 0};
    GArray *best = NULL;
    for (guint i = 0; i < search_count; i++) {
        zones_of_search(core, job, allowed, i, zones);
        GArray *found = search(planner, job, zones, &score);
        if (found && (!best || is_better(&score, &best_score))) {
            g_clear_pointer(&best, g_array_unref);
            best = g_steal_pointer(&found);
            best_score = score;
        }
        g_clear_pointer(&found, g_array_unref);
    }
    return best;
}
