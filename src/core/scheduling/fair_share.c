/* Fair shares: while admission limits, what it grants a team also bounds and orders what the team's
 * owner places. */
#include "core/scheduling/fair_share.h"
#include "core/core_internal.h"
#include "core/extensions.h"
#include "core/scheduling/reservation.h"
#include "core/state/jobs.h"
#include "core/state/machines.h"
#include "core/state/resources.h"

#include <math.h>

/* A job that has waited longer than this shows that other teams do not use the free room. */
#define FAIR_SHARE_WAIT_MAX_S 60.0

void rr_core_set_fair_shares(rr_core *core, const double *rooms, double cpu, double gpu,
                             double mem) {
    core->extensions.fair_share_enabled = rooms != NULL;
    core->extensions.total_resources = (rr_resources){cpu, gpu, mem};
    for (size_t i = 0; rooms && i < core->config->team_count; i++) {
        core->extensions.fair_share[i] = rooms[i];
    }
}

static double share_of(double used, double total) {
    return total > 0 ? used / total : 0;
}

static double dominant_share(const rr_core *core, rr_resources used) {
    const rr_resources *total = &core->extensions.total_resources;
    double cpu_share = share_of(used.cpus, total->cpus);
    double gpu_share = share_of(used.gpus, total->gpus);
    return fmax(fmax(cpu_share, gpu_share), share_of(used.mem_gb, total->mem_gb));
}

/* An owner sees only its own teams: without a bound, the owners of two teams would race for what is
 * free. Replicas of prod priority and work within a guarantee are not held back. */
bool rr_within_fair_share(const struct rr_planner *planner, const rr_job *job) {
    const rr_core *core = planner->core;
    if (!core->extensions.fair_share_enabled || job->submission.priority == RR_PRIORITY_PROD ||
        planner->wall - job->accepted_at > FAIR_SHARE_WAIT_MAX_S ||
        rr_within_guarantee(planner, job, 1)) {
        return true;
    }
    rr_resources used =
        rr_resources_add(rr_team_usage_in_plan(planner, job->team), job->request, 1);
    return dominant_share(core, used) <=
           core->extensions.fair_share[job->team] + RR_RESOURCE_EPSILON;
}

static rr_resources *usage_of_class(rr_resources *usage, const rr_job *job, guint class_count) {
    return &usage[(guint)job->team * class_count + (guint)job->job_class];
}

/* What every class of every team uses, by team, then by class. The caller frees it. */
static rr_resources *usage_by_class(const rr_core *core, guint class_count) {
    rr_resources *usage = g_new0(rr_resources, core->config->team_count * class_count + 1);
    for (guint i = 0; i < core->stored.open_jobs->len; i++) {
        const rr_job *job = g_ptr_array_index(core->stored.open_jobs, i);
        if (job->team >= 0 && (size_t)job->team < core->config->team_count && job->job_class >= 0) {
            rr_resources *of_class = usage_of_class(usage, job, class_count);
            *of_class = rr_resources_add(*of_class, job->request, job->placed_count);
        }
    }
    return usage;
}

struct rr_fair_share_fill *rr_fair_share_fills(const struct rr_planner *planner,
                                               const GPtrArray *waiting) {
    const rr_core *core = planner->core;
    struct rr_fair_share_fill *fills = g_new0(struct rr_fair_share_fill, waiting->len + 1);
    if (!core->extensions.fair_share_enabled) {
        return fills;
    }
    guint class_count = core->stored.job_classes.names->len;
    rr_resources *usage = usage_by_class(core, class_count);
    for (guint i = 0; i < waiting->len; i++) {
        const rr_job *job = g_ptr_array_index(waiting, i);
        if (job->job_class >= 0) {
            double used_share = dominant_share(core, rr_team_usage(core, job->team));
            double fair_share = core->extensions.fair_share[job->team];
            fills[i].team = fair_share > 0 ? used_share / fair_share : 1;
            fills[i].job_class = dominant_share(core, *usage_of_class(usage, job, class_count));
        }
    }
    g_free(usage);
    return fills;
}
