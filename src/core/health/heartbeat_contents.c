/* Records what a heartbeat reports about tasks, images and the state of its machine. */
#include "core/health/heartbeat_contents.h"
#include "core/core_internal.h"
#include "core/health/machine_health.h"
#include "core/state/jobs.h"
#include "core/state/ledger.h"
#include "core/state/machine_pages.h"

#include <string.h>

/* A machine that refused a task for lack of free resources gets no new work for this long: the task
 * that uses them is about to appear in the ledger, or is a stray task that is being stopped. */
#define FULL_MACHINE_BACKOFF_S 2.0
/* A job gets no placements for this long after a worker refused to start one of its tasks
 * because no such job or task exists. */
#define UNKNOWN_TASK_BACKOFF_S 2.0
/* The number of images that a machine is assumed to keep in its cache. The cache cannot be modelled
 * by size, because the size of an image is unknown once its jobs are gone; a wrong assumption costs
 * one fetch. */
#define CACHED_IMAGES_MAX 12

static bool is_same_attempt(const rr_task_status *left, const rr_task_status *right) {
    return left->attempt == right->attempt && left->task == right->task &&
           strcmp(left->job_id, right->job_id) == 0;
}

/* Returns whether the machine's previous heartbeat already reported the end of this attempt. */
static bool was_reported_ended(const rr_machine *machine, const rr_task_status *task) {
    for (guint i = 0; machine->heartbeat_seen && i < machine->heartbeat.tasks->len; i++) {
        const rr_task_status *reported =
            &g_array_index(machine->heartbeat.tasks, rr_task_status, i);
        if (is_same_attempt(reported, task) && reported->state == RR_TASK_ENDED) {
            return true;
        }
    }
    return false;
}

/* Returns whether the machine's previous heartbeat already reported that this attempt had fetched
 * its image. */
static bool was_reported_started(const rr_machine *machine, const rr_task_status *task) {
    for (guint i = 0; machine->heartbeat_seen && i < machine->heartbeat.tasks->len; i++) {
        const rr_task_status *reported =
            &g_array_index(machine->heartbeat.tasks, rr_task_status, i);
        if (is_same_attempt(reported, task)) {
            return reported->state != RR_TASK_FETCHING;
        }
    }
    return false;
}

static void log_machine_events(rr_core *core, const rr_machine *machine,
                               const rr_heartbeat *heartbeat, double now) {
    if (!machine->heartbeat_seen) {
        rr_log_at(core, RR_LOG_DEBUG,
                  "machine %s in zone %s sent its first heartbeat %.0f s after it became known",
                  machine->name, heartbeat->zone, now - machine->known_at);
    }
    if (machine->heartbeat_seen && heartbeat->worker_epoch > machine->heartbeat.worker_epoch) {
        rr_log_at(core, RR_LOG_DEBUG,
                  "machine %s lost its lease: worker epoch is now %" G_GUINT64_FORMAT,
                  machine->name, heartbeat->worker_epoch);
        core->counters.leases_lost++;
    }
    if (heartbeat->spot_notice_s >= 0 &&
        (!machine->heartbeat_seen || machine->heartbeat.spot_notice_s < 0)) {
        rr_log_at(core, RR_LOG_DEBUG, "machine %s got a spot termination notice: %.0f s left",
                  machine->name, heartbeat->spot_notice_s);
        core->counters.spot_notices++;
    }
}

/* Returns whether the end of this task is news. Workers keep ended attempts for the rest of a term,
 * so in the first heartbeat that this process gets, only an attempt that the ledger still has can
 * have ended lately. */
static bool has_just_ended(const rr_machine *machine, const rr_task_status *task,
                           const rr_job *job) {
    if (task->state != RR_TASK_ENDED || was_reported_ended(machine, task)) {
        return false;
    }
    return machine->heartbeat_seen ||
           (job && rr_placement_find(machine, task->attempt, job, task->task));
}

static void record_ended_tasks(rr_core *core, rr_machine *machine, const rr_heartbeat *heartbeat,
                               double now) {
    for (guint i = 0; i < heartbeat->tasks->len; i++) {
        const rr_task_status *task = &g_array_index(heartbeat->tasks, rr_task_status, i);
        rr_job *job = g_hash_table_lookup(core->stored.jobs, task->job_id);
        if (!has_just_ended(machine, task, job)) {
            continue;
        }
        if (task->exit_reason == RR_EXIT_ERROR && job) {
            rr_record_task_failure(core, machine, job, now);
        } else if (task->exit_reason == RR_EXIT_NO_RESOURCES) {
            machine->full_until = now + FULL_MACHINE_BACKOFF_S;
        } else if (task->exit_reason == RR_EXIT_UNKNOWN_TASK && job) {
            job->backoff_until = now + UNKNOWN_TASK_BACKOFF_S;
        } else if (task->exit_reason == RR_EXIT_DONE && job && job->failed_machines) {
            g_array_set_size(job->failed_machines, 0);
        }
    }
}

static void log_started_tasks(rr_core *core, const rr_machine *machine,
                              const rr_heartbeat *heartbeat, double now) {
    for (guint i = 0; i < heartbeat->tasks->len; i++) {
        const rr_task_status *task = &g_array_index(heartbeat->tasks, rr_task_status, i);
        const rr_job *job = g_hash_table_lookup(core->stored.jobs, task->job_id);
        if (job && task->state == RR_TASK_RUNNING && job->team >= 0 &&
            rr_owns_team(core, job->team) && !was_reported_started(machine, task)) {
            rr_log_at(core, RR_LOG_DEBUG,
                      "task %s/%u (class %s) started on machine %s %.1f s after its job was first "
                      "seen, image %s",
                      task->job_id, task->task, job->submission.job_class, machine->name,
                      now - job->first_seen,
                      rr_machine_has_image(machine, job->image) ? "cached" : "fetched");
        }
    }
}

void rr_record_heartbeat_changes(rr_core *core, rr_machine *machine, const rr_heartbeat *heartbeat,
                                 double now) {
    log_machine_events(core, machine, heartbeat, now);
    record_ended_tasks(core, machine, heartbeat, now);
    if (core->log_level >= RR_LOG_DEBUG) {
        log_started_tasks(core, machine, heartbeat, now);
    }
}

void rr_record_fetched_images(rr_core *core, rr_machine *machine) {
    const rr_machine_type *type = rr_machine_type_at(core, machine->machine_type);
    guint images_max = type && type->image_cache_gb > 0 ? CACHED_IMAGES_MAX : 1;
    for (guint i = 0; i < machine->heartbeat.tasks->len; i++) {
        const rr_task_status *task = &g_array_index(machine->heartbeat.tasks, rr_task_status, i);
        const rr_job *job = g_hash_table_lookup(core->stored.jobs, task->job_id);
        bool fetched = task->state == RR_TASK_RUNNING || task->state == RR_TASK_WAITING;
        if (!job || job->image < 0 || !fetched || rr_machine_has_image(machine, job->image)) {
            continue;
        }
        g_array_append_val(machine->images, job->image);
        if (machine->images->len > images_max) {
            g_array_remove_index(machine->images, 0);
        }
    }
}
