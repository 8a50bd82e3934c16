/* Reserves machines for tasks: adds a placement to the edit of a ledger record, and updates the
 * machine's free resources and the team's usage within the plan. */
#include "core/scheduling/reservation.h"
#include "core/core_internal.h"
#include "core/leadership.h"
#include "core/membership/membership.h"
#include "core/scheduling/plan_edits.h"
#include "core/state/jobs.h"
#include "core/state/ledger.h"
#include "core/state/machines.h"
#include "core/state/resources.h"

#define OVERFLOW_RECORDS_MAX 16 /* per job */
#define NO_CHUNK (-1)

/* ---- limits and guarantees of teams ---- */

rr_resources rr_team_usage_in_plan(const struct rr_planner *planner, int team) {
    const rr_core *core = planner->core;
    rr_resources used = rr_team_usage(core, team);
    if ((guint)team >= core->planning.team_reserved->len) {
        return used;
    }
    return rr_resources_add(used, g_array_index(core->planning.team_reserved, rr_resources, team),
                            1);
}

bool rr_team_within_limit(const struct rr_planner *planner, const rr_job *job,
                          uint32_t task_count) {
    const struct rr_team_config *team = &planner->core->config->teams[job->team];
    rr_resources used =
        rr_resources_add(rr_team_usage_in_plan(planner, job->team), job->request, task_count);
    return (team->cpus_max <= 0 || used.cpus <= team->cpus_max + RR_RESOURCE_EPSILON) &&
           (team->gpus_max <= 0 || used.gpus <= team->gpus_max + RR_RESOURCE_EPSILON);
}

/* Returns the CPUs and GPUs guaranteed to the team; memory is not guaranteed. A team that is not in
 * the settings has no guarantee. */
static rr_resources get_team_guarantee(const rr_core *core, int team) {
    if (team < 0 || (size_t)team >= core->config->team_count) {
        return (rr_resources){0, 0, 0};
    }
    return (rr_resources){core->config->teams[team].cpus, core->config->teams[team].gpus, 0};
}

bool rr_team_within_guarantee(const struct rr_planner *planner, const rr_job *job,
                              uint32_t task_count) {
    rr_resources guarantee = get_team_guarantee(planner->core, job->team);
    rr_resources used =
        rr_resources_add(rr_team_usage_in_plan(planner, job->team), job->request, task_count);
    return used.cpus <= guarantee.cpus + RR_RESOURCE_EPSILON &&
           used.gpus <= guarantee.gpus + RR_RESOURCE_EPSILON;
}

bool rr_team_exceeds_guarantee(const struct rr_planner *planner, int team, rr_resources returned) {
    rr_resources guarantee = get_team_guarantee(planner->core, team);
    rr_resources used = rr_resources_add(rr_team_usage_in_plan(planner, team), returned, -1);
    return used.cpus > guarantee.cpus + RR_RESOURCE_EPSILON ||
           used.gpus > guarantee.gpus + RR_RESOURCE_EPSILON;
}

void rr_reserve_team_usage(const struct rr_planner *planner, const rr_job *job, double task_count) {
    rr_resources *reserved =
        &g_array_index(planner->core->planning.team_reserved, rr_resources, job->team);
    *reserved = rr_resources_add(*reserved, job->request, task_count);
}

/* ---- choice of the ledger record ---- */

/* Returns the job's record of this chunk, or NULL if there is none yet. */
static const rr_ledger_record *find_chunk_record(const rr_job *job, uint32_t chunk) {
    return job->records && chunk < job->records->len ? g_ptr_array_index(job->records, chunk)
                                                     : NULL;
}

/* Whether the record has room for one more placement once its terminated placements are removed.
 * NULL stands for a record that does not exist yet. */
static bool has_room_for_placement(const struct rr_planner *planner,
                                   const rr_ledger_record *record) {
    if (!record) {
        return true;
    }
    const struct rr_record_edit *edit = record->edit;
    guint terminated =
        MIN(rr_plan_count_terminated_placements(planner, record), record->placements->len);
    guint placements = edit ? edit->placements->len : record->placements->len - terminated;
    return rr_ledger_record_fits(planner->core, placements + 1);
}

/* Returns the number of a record with room for a placement of the task, or NO_CHUNK. Prefers the
 * record of the task's chunk to an overflow record; overflow records are written only while every
 * controller of the term can read them. */
static int64_t find_reservation_chunk(const struct rr_planner *planner, rr_job *job,
                                      uint32_t task) {
    uint32_t home_chunk = task / job->tasks_per_record, first_overflow = rr_job_count_chunks(job);
    if (has_room_for_placement(planner, rr_job_ledger_record_get(job, home_chunk))) {
        return home_chunk;
    }
    if (!rr_core_all_members_support_gangs(planner->core)) {
        return NO_CHUNK;
    }
    uint32_t end = MIN(first_overflow + OVERFLOW_RECORDS_MAX,
                       RR_TASKS_MAX / planner->core->stored.tasks_per_record + 1);
    for (uint32_t chunk = first_overflow; chunk < end; chunk++) {
        if (has_room_for_placement(planner, find_chunk_record(job, chunk))) {
            return chunk;
        }
    }
    return NO_CHUNK;
}

/* Whether the record has a placement of the task. False for NULL and for a record that this plan
 * edits already, since the edit has removed the terminated placements. */
static bool has_earlier_placement(const rr_ledger_record *record, uint32_t task) {
    for (guint i = 0; record && !record->edit && i < record->placements->len; i++) {
        if (g_array_index(record->placements, rr_placement_record, i).task == task) {
            return true;
        }
    }
    return false;
}

/* Returns the number of records that may hold placements of one task: that of its chunk and the
 * overflow records. The others are not searched, since a job may have hundreds of records. */
static guint count_task_records(const rr_job *job) {
    return rr_job_has_overflow_records(job) ? 1 + job->records->len - rr_job_count_chunks(job) : 1;
}

/* Returns the chunk of the i-th record that may hold placements of the task. */
static uint32_t get_task_record_chunk(const rr_job *job, uint32_t task, guint i) {
    return i == 0 ? task / job->tasks_per_record : rr_job_count_chunks(job) + i - 1;
}

enum rr_reservable rr_check_reservable(const struct rr_planner *planner, rr_job *job,
                                       uint32_t task) {
    if (find_reservation_chunk(planner, job, task) == NO_CHUNK) {
        return RR_CHUNK_BLOCKED;
    }
    for (guint i = 0; i < count_task_records(job); i++) {
        const rr_ledger_record *record =
            find_chunk_record(job, get_task_record_chunk(job, task, i));
        if (has_earlier_placement(record, task) && !rr_plan_can_write_record(planner, record)) {
            return RR_TASK_BLOCKED;
        }
    }
    return RR_RESERVABLE;
}

/* Edits all records that hold an earlier, terminated placement of the task, so that the transaction
 * that reserves the task again removes it. Returns false if one of them can't be edited. */
static bool edit_earlier_placements(struct rr_planner *planner, rr_job *job, uint32_t task) {
    for (guint i = 0; i < count_task_records(job); i++) {
        uint32_t chunk = get_task_record_chunk(job, task, i);
        if (has_earlier_placement(find_chunk_record(job, chunk), task) &&
            !rr_plan_edit_record(planner, job, chunk)) {
            return false;
        }
    }
    return true;
}

struct rr_record_edit *rr_edit_reservation_record(struct rr_planner *planner, rr_job *job,
                                                  uint32_t task) {
    if (!edit_earlier_placements(planner, job, task)) {
        return NULL;
    }
    int64_t chunk = find_reservation_chunk(planner, job, task);
    return chunk == NO_CHUNK ? NULL : rr_plan_edit_record(planner, job, (uint32_t)chunk);
}

/* ---- reservations ---- */

bool rr_reserve_task_attempt(struct rr_planner *planner, rr_machine *machine, rr_job *job,
                             uint32_t task, uint64_t attempt) {
    struct rr_record_edit *edit = rr_edit_reservation_record(planner, job, task);
    if (!edit || !rr_ledger_record_fits(planner->core, edit->placements->len + 1)) {
        return false;
    }
    rr_placement_record record = {.machine = machine,
                                  .task = task,
                                  .attempt = attempt,
                                  .worker_epoch = machine->heartbeat.worker_epoch};
    g_array_append_val(edit->placements, record);
    rr_planner_track_machine(planner, machine);
    g_array_append_val(machine->reserved_jobs, job);
    machine->free = rr_resources_add(machine->free, job->request, -1);
    machine->reserved_image = job->image;
    rr_reserve_team_usage(planner, job, 1);
    rr_planner_guard_job(planner, job);
    planner->last_reserved_machine = machine;
    rr_log_at(planner->core, RR_LOG_DEBUG,
              "reserve task %s/%u attempt %" G_GUINT64_FORMAT " on machine %s",
              job->submission.job_id, task, attempt, machine->name);
    return true;
}

bool rr_reserve_task(struct rr_planner *planner, rr_machine *machine, rr_job *job, uint32_t task) {
    return rr_reserve_task_attempt(planner, machine, job, task, rr_next_attempt(planner->core));
}

/* Removes the last placement of a record edit and gives back its resources. */
static void cancel_last_reservation(const struct rr_planner *planner, const rr_job *job,
                                    GArray *placements) {
    rr_machine *machine =
        g_array_index(placements, rr_placement_record, placements->len - 1).machine;
    g_array_set_size(placements, placements->len - 1);
    g_array_set_size(machine->reserved_jobs, machine->reserved_jobs->len - 1);
    machine->free = rr_resources_add(machine->free, job->request, 1);
    rr_reserve_team_usage(planner, job, -1);
}

static bool ends_with_attempt(const GArray *placements, uint64_t attempt) {
    return placements->len > 0 &&
           g_array_index(placements, rr_placement_record, placements->len - 1).attempt == attempt;
}

void rr_cancel_reservations(const struct rr_planner *planner, const rr_job *job, uint64_t attempt) {
    for (guint chunk = 0; chunk < job->records->len; chunk++) {
        const rr_ledger_record *record = g_ptr_array_index(job->records, chunk);
        const struct rr_record_edit *edit = record ? record->edit : NULL;
        while (edit && ends_with_attempt(edit->placements, attempt)) {
            cancel_last_reservation(planner, job, edit->placements);
        }
    }
}
