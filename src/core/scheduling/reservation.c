#include "core/scheduling/reservation.h"
#include "core/core_internal.h"
#include "core/membership/membership.h"
#include "core/scheduling/bin_packing.h"
#include "core/scheduling/plan.h"
#include "core/state/jobs.h"
#include "core/state/ledger.h"
#include "core/state/machines.h"
#include "core/state/resources.h"

#include <string.h>

#define FAILURES_MAX 64         /* searches remembered within one plan */
#define OVERFLOW_RECORDS_MAX 16 /* of one job: what it has running beyond its chunks' records */

rr_resources rr_team_usage_in_plan(const struct rr_planner *planner, int team) {
    const rr_core *core = planner->core;
    rr_resources used = rr_team_usage(core, team);
    if ((guint)team >= core->planning.team_reserved->len) {
        return used;
    }
    return rr_resources_add(used, g_array_index(core->planning.team_reserved, rr_resources, team),
                            1);
}

bool rr_within_limit(const struct rr_planner *planner, const rr_job *job, uint32_t tasks) {
    const struct rr_team_config *team = &planner->core->config->teams[job->team];
    rr_resources used =
        rr_resources_add(rr_team_usage_in_plan(planner, job->team), job->request, tasks);
    return (team->cpus_max <= 0 || used.cpus <= team->cpus_max + RR_RESOURCE_EPSILON) &&
           (team->gpus_max <= 0 || used.gpus <= team->gpus_max + RR_RESOURCE_EPSILON);
}

/* In a resource of which the team is guaranteed none: 0. */
static rr_resources guarantee_of(const rr_core *core, int team) {
    if (team < 0 || (size_t)team >= core->config->team_count) {
        return (rr_resources){0, 0, 0};
    }
    return (rr_resources){core->config->teams[team].cpus, core->config->teams[team].gpus, 0};
}

bool rr_within_guarantee(const struct rr_planner *planner, const rr_job *job, uint32_t tasks) {
    rr_resources guarantee = guarantee_of(planner->core, job->team);
    rr_resources used =
        rr_resources_add(rr_team_usage_in_plan(planner, job->team), job->request, tasks);
    return used.cpus <= guarantee.cpus + RR_RESOURCE_EPSILON &&
           used.gpus <= guarantee.gpus + RR_RESOURCE_EPSILON;
}

bool rr_beyond_guarantee(const struct rr_planner *planner, int team, rr_resources returned) {
    rr_resources guarantee = guarantee_of(planner->core, team);
    rr_resources used = rr_resources_add(rr_team_usage_in_plan(planner, team), returned, -1);
    return used.cpus > guarantee.cpus + RR_RESOURCE_EPSILON ||
           used.gpus > guarantee.gpus + RR_RESOURCE_EPSILON;
}

/* Whether the record takes one placement more, once what is known to be over has left it. */
static bool has_room(const struct rr_planner *planner, const rr_ledger_record *run) {
    if (!run) {
        return true;
    }
    const struct rr_plan_edit *edit = run->edit;
    guint over = MIN(rr_plan_terminated_count(planner, run), run->placements->len);
    guint placements = edit ? edit->placements->len : run->placements->len - over;
    return rr_ledger_record_fits(planner->core, placements + 1);
}

static const rr_ledger_record *record_at(const rr_job *job, uint32_t chunk) {
    return job->records && chunk < job->records->len ? g_ptr_array_index(job->records, chunk)
                                                     : NULL;
}

/* The number of a record with room, of the task's chunk or else an overflow record; -1: none. Those
 * are written only while every controller reads them. */
static int64_t chunk_with_room(const struct rr_planner *planner, rr_job *job, uint32_t task) {
    uint32_t home = task / job->tasks_per_record, first = rr_job_chunks(job);
    if (has_room(planner, rr_job_ledger_record(job, home))) {
        return home;
    }
    uint32_t end = MIN(first + OVERFLOW_RECORDS_MAX,
                       RR_TASKS_MAX / planner->core->stored.tasks_per_record + 1);
    for (uint32_t chunk = first; rr_all_gang_capable(planner->core) && chunk < end; chunk++) {
        if (has_room(planner, record_at(job, chunk))) {
            return chunk;
        }
    }
    return -1;
}

/* A record that this plan has not begun, with a placement of the task. */
static bool has_earlier(const rr_ledger_record *run, uint32_t task) {
    for (guint i = 0; run && !run->edit && i < run->placements->len; i++) {
        if (g_array_index(run->placements, rr_placement_record, i).task == task) {
            return true;
        }
    }
    return false;
}

/* The records in which a task may stand: that of its chunk, then the overflow records. A job may
 * have hundreds of others. */
static guint records_of_task(const rr_job *job) {
    return rr_job_overflows(job) ? 1 + job->records->len - rr_job_chunks(job) : 1;
}

static uint32_t record_of_task(const rr_job *job, uint32_t task, guint i) {
    return i == 0 ? task / job->tasks_per_record : rr_job_chunks(job) + i - 1;
}

enum rr_reservable rr_reservable(const struct rr_planner *planner, rr_job *job, uint32_t task) {
    if (chunk_with_room(planner, job, task) < 0) {
        return RR_CHUNK_BLOCKED;
    }
    for (guint i = 0; i < records_of_task(job); i++) {
        const rr_ledger_record *run = record_at(job, record_of_task(job, task, i));
        if (has_earlier(run, task) && !rr_plan_writable(planner, run)) {
            return RR_TASK_BLOCKED;
        }
    }
    return RR_RESERVABLE;
}

/* An earlier placement of the task that is over leaves the ledger with the change that reserves it
 * anew, whichever record it is in. */
static bool begin_earlier_records(struct rr_planner *planner, rr_job *job, uint32_t task) {
    for (guint i = 0; i < records_of_task(job); i++) {
        uint32_t chunk = record_of_task(job, task, i);
        if (has_earlier(record_at(job, chunk), task) && !rr_plan_edit_record(planner, job, chunk)) {
            return false;
        }
    }
    return true;
}

struct rr_plan_edit *rr_reservation_record(struct rr_planner *planner, rr_job *job, uint32_t task) {
    if (!begin_earlier_records(planner, job, task)) {
        return NULL;
    }
    int64_t chunk = chunk_with_room(planner, job, task);
    return chunk < 0 ? NULL : rr_plan_edit_record(planner, job, (uint32_t)chunk);
}

bool rr_reserve_attempt(struct rr_planner *planner, rr_machine *machine, rr_job *job, uint32_t task,
                        uint64_t attempt) {
    rr_core *core = planner->core;
    struct rr_plan_edit *edit = rr_reservation_record(planner, job, task);
    if (!edit || !rr_ledger_record_fits(core, edit->placements->len + 1)) {
        return false;
    }
    rr_placement_record item = {.machine = machine,
                                .task = task,
                                .attempt = attempt,
                                .worker_epoch = machine->heartbeat.worker_epoch};
    g_array_append_val(edit->placements, item);
    rr_plan_use_machine(planner, machine);
    g_array_append_val(machine->reserved_jobs, job);
    machine->free = rr_resources_add(machine->free, job->request, -1);
    machine->reserved_image = job->image;
    rr_resources *reserved = &g_array_index(core->planning.team_reserved, rr_resources, job->team);
    *reserved = rr_resources_add(*reserved, job->request, 1);
    rr_plan_guard(planner, job);
    planner->last_machine = machine;
    rr_log_at(core, RR_LOG_DEBUG, "place %s/%u attempt %" G_GUINT64_FORMAT " on %s",
              job->submission.job_id, task, attempt, machine->name);
    return true;
}

bool rr_reserve(struct rr_planner *planner, rr_machine *machine, rr_job *job, uint32_t task) {
    return rr_reserve_attempt(planner, machine, job, task, rr_next_attempt(planner->core));
}

void rr_job_zones_update(struct rr_planner *planner, const rr_job *job,
                         struct rr_job_zones *zones) {
    rr_core *core = planner->core;
    guint zone_count = core->stored.zones.names->len, open = 0;
    rr_job_zones_from(core, job, zones->placements, zones->all, zones->allowed);
    for (guint zone = 0; zone < zone_count; zone++) {
        open += zones->allowed[zone];
    }
    if (!rr_job_zone_bound(job) || open <= 1) {
        return;
    }
    int best = rr_zone_with_most_room(core, job, zones->allowed, planner->now);
    for (guint zone = 0; zone < zone_count; zone++) {
        zones->allowed[zone] = (int)zone == best;
    }
}

uint64_t rr_zone_mask(const rr_core *core, const bool *allowed) {
    uint64_t mask = 0;
    for (guint zone = 0; zone < core->stored.zones.names->len; zone++) {
        mask |= allowed[zone] ? (uint64_t)1 << (zone % 64) : 0;
    }
    return mask;
}

static bool same_machine_types(const rr_submission *left, const rr_submission *right) {
    size_t bytes = (size_t)left->machine_type_count * sizeof *left->machine_types;
    return left->machine_type_count == right->machine_type_count &&
           (bytes == 0 || memcmp(left->machine_types, right->machine_types, bytes) == 0);
}

static bool same_demands(const rr_job *left, const rr_job *right) {
    return left->team == right->team && left->job_class == right->job_class &&
           left->submission.priority == right->submission.priority &&
           left->submission.spot == right->submission.spot &&
           left->submission.kind == right->submission.kind &&
           strcmp(left->submission.zone, right->submission.zone) == 0 &&
           same_machine_types(&left->submission, &right->submission);
}

bool rr_search_failed_before(const struct rr_planner *planner, const rr_job *job,
                             uint64_t zone_mask) {
    for (guint i = 0; i < planner->failures->len; i++) {
        const struct rr_plan_failure *failure =
            &g_array_index(planner->failures, struct rr_plan_failure, i);
        if (same_demands(failure->job, job) &&
            rr_resources_fit(failure->job->request, job->request) &&
            (job->submission.kind != RR_JOB_GANG ||
             failure->job->submission.task_count <= job->submission.task_count) &&
            (zone_mask & ~failure->zones) == 0) {
            return true;
        }
    }
    return false;
}

void rr_record_failed_search(struct rr_planner *planner, rr_job *job, uint64_t zone_mask) {
    struct rr_plan_failure failure = {job, zone_mask};
    job->failed_at = planner->now;
    if (planner->failures->len < FAILURES_MAX) {
        g_array_append_val(planner->failures, failure);
    }
}
