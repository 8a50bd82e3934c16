/* Fair room: while admission limits, what it grants a team also bounds and orders what its owner
 * places. */
#include "core/core_internal.h"
#include "core/scheduling/plan.h"
#include "core/scheduling/reservation.h"
#include "core/state/jobs.h"
#include "core/state/machines.h"
#include "core/state/resources.h"
#include "core/extensions.h"

#include <math.h>

void rr_core_set_fair_room(rr_core *core, const double *rooms, double cpu, double gpu, double mem) {
    core->extensions.fair_share_enabled = rooms != NULL;
    core->extensions.total_resources = (rr_resources){cpu, gpu, mem};
    for (size_t i = 0; rooms && i < core->config->team_count; i++) {
        core->extensions.fair_share[i] = rooms[i];
    }
}

static double part_of(double used, double all) {
    return all > 0 ? used / all : 0;
}

static double dominant_part(const rr_core *core, rr_resources used) {
    double cpu = part_of(used.cpus, core->extensions.total_resources.cpus),
           gpu = part_of(used.gpus, core->extensions.total_resources.gpus);
    return fmax(fmax(cpu, gpu), part_of(used.mem_gb, core->extensions.total_resources.mem_gb));
}

/* A team at its fair part of all room leaves what is free to others: an owner sees only its own
 * teams, and two owners would race for it. Not held back are replicas of prod rank, what is within
 * a guarantee, and who has waited so long that the room is evidently of no use to others. */
#define FAIR_WAIT_S 60.0

bool rr_within_fair_room(const struct rr_planner *planner, const rr_job *job) {
    const rr_core *core = planner->core;
    if (!core->extensions.fair_share_enabled || job->submission.priority == RR_PRIORITY_PROD ||
        planner->wall - job->accepted_at > FAIR_WAIT_S || rr_within_guarantee(planner, job, 1)) {
        return true;
    }
    rr_resources used =
        rr_resources_add(rr_team_usage_in_plan(planner, job->team), job->request, 1);
    return dominant_part(core, used) <=
           core->extensions.fair_share[job->team] + RR_RESOURCE_EPSILON;
}

/* What every class of every team uses: by team, then by class. */
static rr_resources *count_classes(const rr_core *core, guint classes) {
    rr_resources *used = g_new0(rr_resources, core->config->team_count * classes + 1);
    for (guint i = 0; i < core->stored.open_jobs->len; i++) {
        const rr_job *job = g_ptr_array_index(core->stored.open_jobs, i);
        if (job->team >= 0 && (size_t)job->team < core->config->team_count && job->job_class >= 0) {
            rr_resources *of_class = &used[(guint)job->team * classes + (guint)job->job_class];
            *of_class = rr_resources_add(*of_class, job->request, job->placed_count);
        }
    }
    return used;
}

void rr_set_fair_turns(const struct rr_planner *planner, GPtrArray *waiting) {
    const rr_core *core = planner->core;
    guint classes = core->stored.job_classes.names->len;
    rr_resources *used = core->extensions.fair_share_enabled ? count_classes(core, classes) : NULL;
    for (guint i = 0; i < waiting->len; i++) {
        rr_job *job = g_ptr_array_index(waiting, i);
        job->team_fill = job->class_fill = 0;
        if (used && job->job_class >= 0) {
            rr_resources team = rr_team_usage(core, job->team);
            double room = core->extensions.fair_share[job->team];
            job->team_fill = room > 0 ? dominant_part(core, team) / room : 1;
            job->class_fill =
                dominant_part(core, used[(guint)job->team * classes + (guint)job->job_class]);
        }
    }
    g_free(used);
}
