/* Computes the demand for machines: for waiting work, and for headroom for future arrivals. */
#include "core/autoscaling/capacity_demand.h"
#include "core/autoscaling/demand_simulation.h"
#include "core/autoscaling/scale_in.h"
#include "core/core_internal.h"
#include "core/scheduling/bin_packing.h"
#include "core/state/jobs.h"
#include "core/state/ledger.h"
#include "core/state/machine_pages.h"
#include "core/state/machines.h"
#include "core/state/name_index.h"
#include "core/state/transfer_holds.h"

#include <math.h>
#include <string.h>

/* The demand is recomputed at most this often. */
#define DEMAND_INTERVAL_S 1

/* At most this many tasks of a job are simulated at a time. */
#define SIMULATED_JOB_TASKS_MAX 5000

/* Safety factor on runtimes and start-up times, which are estimates, before a deadline. */
#define DEADLINE_ESTIMATE_FACTOR 1.3
/* New machines are rented for a job with a deadline once it has less time to spare than this. */
#define DEADLINE_SLACK_MIN_S 40

/* Jobs accepted within this time after the first term began were waiting before it and say nothing
 * about the arrival rate. */
#define INITIAL_BACKLOG_S 20.0
/* An arrival rate is measured over at least this time. */
#define ARRIVAL_SPAN_MIN_S 60
/* Headroom covers the arrivals during a machine's start-up, which is assumed to take this factor
 * times its estimate plus this margin. */
#define HEADROOM_STARTUP_FACTOR 1.2
#define HEADROOM_STARTUP_MARGIN_S 10
/* The time within which a preempted task ends after it has saved its progress. */
#define PREEMPTION_MARGIN_S 1

static double get_longest_startup_s(const rr_core *core) {
    double startup_s = 0;
    for (guint i = 0; i < core->stored.machine_types->len; i++) {
        const rr_machine_type *type = rr_machine_type_at(core, (int)i);
        startup_s = type ? fmax(startup_s, type->startup_s) : startup_s;
    }
    return startup_s;
}

/* ---- demand of waiting work ---- */

static double estimate_longest_image_fetch_s(const rr_core *core, const rr_job *job) {
    double fetch_s = 0;
    for (guint i = 0; i < core->stored.machine_types->len; i++) {
        const rr_machine_type *type = rr_machine_type_at(core, (int)i);
        if (type && type->image_pull_gb_per_s > 0) {
            fetch_s = fmax(fetch_s, job->submission.image_size_gb / type->image_pull_gb_per_s);
        }
    }
    return fetch_s;
}

/* Returns whether the job needs new machines now. A job with a deadline waits for resources to
 * become free as long as a machine rented later would still let it meet the deadline. */
static bool needs_new_machines(const rr_core *core, const rr_job *job, double wall) {
    if (job->submission.deadline_s < 0) {
        return true;
    }
    double slack_s = job->accepted_at + job->submission.deadline_s - wall -
                     DEADLINE_ESTIMATE_FACTOR * job->submission.runtime_estimate_s -
                     DEADLINE_ESTIMATE_FACTOR * get_longest_startup_s(core) -
                     estimate_longest_image_fetch_s(core, job);
    return slack_s < DEADLINE_SLACK_MIN_S;
}

/* Sets lost_count of each job to its unfinished placements on machines that are gone or declared
 * dead. These tasks need resources at once, though their owners remove the placements from the
 * ledger only as fast as the store's limits allow. */
static void count_lost_tasks(const rr_core *core) {
    for (guint i = 0; i < core->stored.open_jobs->len; i++) {
        rr_job *job = g_ptr_array_index(core->stored.open_jobs, i);
        job->lost_count = 0;
    }
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        const rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        if (!machine->gone && !(machine->to_release && machine->declared_dead)) {
            continue;
        }
        for (guint k = 0; k < machine->placements->len; k++) {
            const rr_placement *placement = &g_array_index(machine->placements, rr_placement, k);
            placement->job->lost_count += !rr_job_task_done(placement->job, placement->task);
        }
    }
}

/* Reduces the allowed zones to one: the zone in which most of the gang fits now, or else any of
 * them. Machines spread over several zones are of no use to a gang that must run in one. */
static void restrict_to_one_zone(const struct rr_demand_simulation *sim, const rr_job *job,
                                 bool *zones) {
    int best = rr_choose_zone(sim->core, job, zones, sim->now);
    for (guint zone = 0; zone < sim->core->stored.zones.names->len; zone++) {
        best = best < 0 && zones[zone] ? (int)zone : best;
        zones[zone] = (int)zone == best;
    }
}

/* Returns whether the job is unfinished, belongs to a configured team and has to get its resources
 * in this cell. */
static bool needs_resources_in_cell(const rr_core *core, const rr_job *job) {
    return job->version && !job->cancelled && !job->done && !rr_job_transferred(core, job) &&
           !rr_job_of_another_cell(core, job) && job->team >= 0 &&
           (size_t)job->team < core->config->team_count;
}

/* Counts the tasks of the job that need resources, at most one more than the team's limits let
 * run at a time. */
static uint32_t count_waiting_tasks(const rr_core *core, const rr_job *job) {
    if (!needs_resources_in_cell(core, job)) {
        return 0;
    }
    const struct rr_team_config *team = &core->config->teams[job->team];
    uint32_t unfinished = job->submission.task_count - job->done_count;
    uint32_t count = MIN(unfinished - job->placed_count + job->lost_count, unfinished);
    count = MIN(count, SIMULATED_JOB_TASKS_MAX);
    if (team->cpus_max > 0 && job->request.cpus > 0) {
        count = MIN(count, (uint32_t)(team->cpus_max / job->request.cpus + 1));
    }
    if (team->gpus_max > 0 && job->request.gpus > 0) {
        count = MIN(count, (uint32_t)(team->gpus_max / job->request.gpus + 1));
    }
    return count;
}

static void simulate_waiting_work(struct rr_demand_simulation *sim) {
    const rr_core *core = sim->core;
    count_lost_tasks(core);
    for (guint i = 0; i < core->stored.open_jobs->len; i++) {
        const rr_job *job = g_ptr_array_index(core->stored.open_jobs, i);
        uint32_t tasks = count_waiting_tasks(core, job);
        bool zones[core->stored.zones.names->len + 1];
        if (tasks == 0) {
            continue;
        }
        rr_compute_allowed_zones(core, job, zones, NULL);
        if (job->submission.kind == RR_JOB_GANG && job->submission.one_zone) {
            restrict_to_one_zone(sim, job, zones);
        }
        /* Replicas of a service run on separate machines. */
        struct rr_task_demand demand = {
            .job = job,
            .zones = zones,
            .tasks = tasks,
            .per_machine_max = job->submission.kind == RR_JOB_SERVICE ? 1 : tasks,
            .may_scale_out = needs_new_machines(core, job, sim->wall),
        };
        rr_simulate_demand(sim, &demand);
    }
}

/* ---- headroom for future arrivals ---- */

/* Returns whether the placed task can be preempted for jobs like this one and would save its
 * progress and end within within_s seconds. */
static bool is_preemptible_for(const rr_placement *placement, const rr_job *job, double within_s) {
    const rr_submission *submission = &placement->job->submission;
    return submission->kind == RR_JOB_ARRAY && submission->priority < job->submission.priority &&
           job->submission.priority > RR_PRIORITY_STANDARD &&
           submission->checkpoint_interval_s > 0 &&
           submission->checkpoint_save_s + PREEMPTION_MARGIN_S <= within_s;
}

/* Adds the resources of the tasks that the job may preempt within within_s seconds to the free
 * resources of their machines, since these resources serve as headroom. */
static void free_preemptible_resources(const struct rr_demand_simulation *sim, const rr_job *job,
                                       double within_s) {
    const rr_core *core = sim->core;
    for (guint i = 0; i < core->stored.machine_list->len; i++) {
        rr_machine *machine = g_ptr_array_index(core->stored.machine_list, i);
        if (machine->placements->len == 0 ||
            !rr_machine_counts_as_capacity(core, machine, sim->now) ||
            !rr_job_allows_machine(core, job, machine->machine_type, machine->zone,
                                   machine->spot)) {
            continue;
        }
        for (guint k = 0; k < machine->placements->len; k++) {
            const rr_placement *placement = &g_array_index(machine->placements, rr_placement, k);
            if (is_preemptible_for(placement, job, within_s)) {
                machine->free = rr_resources_add(machine->free, placement->job->request, 1);
            }
        }
    }
}

/* Returns the number of tasks of the class that arrived recently, without those that were waiting
 * before the first term. Sets *last to the latest job of the class, NULL: none. */
static double count_arrived_tasks(const rr_core *core, const char *job_class, const rr_job **last) {
    double tasks = 0;
    *last = NULL;
    for (guint i = 0; i < core->stored.recent_arrivals->len; i++) {
        const rr_job *job = g_array_index(core->stored.recent_arrivals, rr_job *, i);
        if (strcmp(job->submission.job_class, job_class) == 0) {
            *last = job;
            tasks += job->accepted_at > core->membership.term.first_term_at + INITIAL_BACKLOG_S
                         ? job->submission.task_count
                         : 0;
        }
    }
    return tasks;
}

/* Adds headroom for the tasks of a job class that are expected to arrive while a machine starts up,
 * plus one standard deviation (of a Poisson process). The latest job represents the class.
 * span_s: time over which the arrivals were counted. */
static void simulate_class_headroom(struct rr_demand_simulation *sim,
                                    const struct rr_objective *objective, double span_s) {
    const rr_core *core = sim->core;
    const rr_job *last;
    double arrived = count_arrived_tasks(core, objective->job_class, &last);
    if (!last) {
        return;
    }
    double mean =
        arrived / span_s *
        (HEADROOM_STARTUP_FACTOR * get_longest_startup_s(core) + HEADROOM_STARTUP_MARGIN_S);
    int tasks = MAX((int)ceil(core->config->tuning.headroom * (mean + sqrt(mean))), 0);
    bool zones[core->stored.zones.names->len + 1];
    for (guint zone = 0; zone < core->stored.zones.names->len; zone++) {
        zones[zone] =
            !last->submission.zone[0] ||
            strcmp(last->submission.zone, rr_name_index_at(&core->stored.zones, (int)zone)) == 0;
    }
    free_preemptible_resources(sim, last, objective->within_s);
    rr_list_machines_with_room(sim);
    struct rr_task_demand demand = {.job = last,
                                    .zones = zones,
                                    .tasks = (uint32_t)tasks,
                                    .per_machine_max = (uint32_t)tasks,
                                    .may_scale_out = true};
    rr_simulate_demand(sim, &demand);
}

static void simulate_headroom(struct rr_demand_simulation *sim) {
    rr_core *core = sim->core;
    rr_arrivals_trim(core, sim->wall);
    double running_s = sim->wall - core->membership.term.first_term_at;
    double span_s = fmin(RR_ARRIVAL_WINDOW_S, fmax(ARRIVAL_SPAN_MIN_S, running_s));
    for (size_t i = 0; i < core->config->objective_count; i++) {
        const struct rr_objective *objective = &core->config->objectives[i];
        if (strcmp(objective->kind, "wait") == 0) {
            simulate_class_headroom(sim, objective, span_s);
        }
    }
}

bool rr_prepare_demand_step(rr_core *core, double now, double wall, rr_autoscaler_step *out) {
    struct rr_demand_simulation sim;
    if (now - core->autoscaling.demand_simulated_at < DEMAND_INTERVAL_S ||
        !core->autoscaling.machines_listed || !core->stored.catalog_known) {
        return false;
    }
    core->autoscaling.demand_simulated_at = now;
    rr_demand_simulation_init(&sim, core, now, wall);
    simulate_waiting_work(&sim);
    simulate_headroom(&sim);
    rr_decide_releases(core, now, wall);
    rr_put_rental_intents(core, sim.planned, &out->transaction);
    rr_demand_simulation_clear(&sim);
    if (out->transaction.changes->len == 0) {
        return false;
    }
    out->kind = RR_AUTOSCALER_COMMIT;
    return true;
}
