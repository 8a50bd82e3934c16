/* Fair shares: while admission limits the teams, the share that it grants a team also limits how
 * many of the team's tasks its owner places, and determines the order of the jobs. */
#include "core/scheduling/fair_share.h"
#include "core/core_internal.h"
#include "core/extensions.h"
#include "core/scheduling/reservation.h"
#include "core/state/jobs.h"
#include "core/state/machines.h"
#include "core/state/resources.h"

#include <math.h>

/* A job that has waited longer is not limited, as other teams evidently don't use what is free. */
#define FAIR_SHARE_WAIT_MAX_S 60.0

void rr_core_set_fair_shares(rr_core *core, const double *fair_shares, double cpus, double gpus,
                             double mem_gb) {
    core->extensions.fair_share_enabled = fair_shares != NULL;
    core->extensions.total_resources = (rr_resources){cpus, gpus, mem_gb};
    for (size_t i = 0; fair_shares && i < core->config->team_count; i++) {
        core->extensions.fair_share[i] = fair_shares[i];
    }
}

/* Returns the used share of a resource, 0 if there is none of it. */
static double compute_share(double used, double total) {
    return total > 0 ? used / total : 0;
}

/* Returns the largest share that `used` takes of any total resource, as in dominant resource
 * fairness. */
static double compute_dominant_share(const rr_core *core, rr_resources used) {
    const rr_resources *total = &core->extensions.total_resources;
    double cpu_share = compute_share(used.cpus, total->cpus);
    double gpu_share = compute_share(used.gpus, total->gpus);
    return fmax(fmax(cpu_share, gpu_share), compute_share(used.mem_gb, total->mem_gb));
}

/* An owner knows the waiting jobs of its own teams only. Without the limit, the owners of two teams
 * would race for the free resources. */
bool rr_team_within_fair_share(const struct rr_planner *planner, const rr_job *job) {
    const rr_core *core = planner->core;
    if (!core->extensions.fair_share_enabled || job->submission.priority == RR_PRIORITY_PROD ||
        planner->wall - job->accepted_at > FAIR_SHARE_WAIT_MAX_S ||
        rr_team_within_guarantee(planner, job, 1)) {
        return true;
    }
    rr_resources used =
        rr_resources_add(rr_team_usage_in_plan(planner, job->team), job->request, 1);
    return compute_dominant_share(core, used) <=
           core->extensions.fair_share[job->team] + RR_RESOURCE_EPSILON;
}

/* Returns the entry of the job's team and class in an array from sum_usage_by_class(). */
static rr_resources *get_class_usage(rr_resources *used_by_class, const rr_job *job,
                                     guint class_count) {
    return &used_by_class[(guint)job->team * class_count + (guint)job->job_class];
}

/* Returns the resources that each job class of each team uses, indexed by team * class_count +
 * class. The caller frees the array with g_free(). */
static rr_resources *sum_usage_by_class(const rr_core *core, guint class_count) {
    rr_resources *used_by_class = g_new0(rr_resources, core->config->team_count * class_count + 1);
    for (guint i = 0; i < core->stored.open_jobs->len; i++) {
        const rr_job *job = g_ptr_array_index(core->stored.open_jobs, i);
        if (job->team >= 0 && (size_t)job->team < core->config->team_count && job->job_class >= 0) {
            rr_resources *class_used = get_class_usage(used_by_class, job, class_count);
            *class_used = rr_resources_add(*class_used, job->request, job->placed_count);
        }
    }
    return used_by_class;
}

struct rr_fair_share_usage *rr_compute_fair_share_usage(const struct rr_planner *planner,
                                                        const GPtrArray *waiting) {
    const rr_core *core = planner->core;
    struct rr_fair_share_usage *usages = g_new0(struct rr_fair_share_usage, waiting->len + 1);
    if (!core->extensions.fair_share_enabled) {
        return usages;
    }
    guint class_count = core->stored.job_classes.names->len;
    rr_resources *used_by_class = sum_usage_by_class(core, class_count);
    for (guint i = 0; i < waiting->len; i++) {
        const rr_job *job = g_ptr_array_index(waiting, i);
        if (job->job_class >= 0) {
            double used_share = compute_dominant_share(core, rr_team_usage(core, job->team));
            double fair_share = core->extensions.fair_share[job->team];
            usages[i].team_usage = fair_share > 0 ? used_share / fair_share : 1;
            usages[i].class_usage =
                compute_dominant_share(core, *get_class_usage(used_by_class, job, class_count));
        }
    }
    g_free(used_by_class);
    return usages;
}
