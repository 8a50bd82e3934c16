/* Assesses a single machine by its heartbeats, its answers to commands and the tasks that failed on
 * it. */
#include "core/health/machine_health.h"
#include "core/core_internal.h"
#include "core/health/contacts.h"
#include "core/state/jobs.h"

#include <math.h>
#include <string.h>

/* A heartbeat is overdue after this many heartbeat intervals, but not before a worker that got no
 * answer has had time to send it to the next controller (OVERDUE_MIN_S). */
#define OVERDUE_INTERVALS 1.3
#define OVERDUE_MIN_S 6.5

/* A machine's own heartbeats count as lost after this many heartbeat intervals without one. */
#define HEARTBEATS_LOST_INTERVALS 2.5

/* A machine gets no new work after this many consecutive commands without an answer. */
#define COMMANDS_UNANSWERED_MAX 2

/* A machine that reports this many ended tasks gets no new work, so that its heartbeat, which has a
 * size limit, keeps room for the tasks that run. */
#define ENDED_TASKS_MAX 256

/* A machine's name counts as reused after this many consecutive answers, over this time, that are
 * older than its newest heartbeat: one or two may be late duplicates. */
#define STALE_ANSWERS_MIN 3
#define STALE_ANSWERS_MIN_S 2.0

/* The failures on a machine are forgotten once none has been added for this long. */
#define FAILURE_RETENTION_S 150.0
/* How long a quarantine lasts after the last failure: less than the time that a job may wait. */
#define QUARANTINE_S 60.0
/* How long after the last failure a machine counts as failed recently. */
#define RECENT_FAILURE_S 60.0
/* A machine is quarantined once tasks of this many jobs have failed on it. */
#define QUARANTINE_JOBS_MIN 2
/* A job whose tasks failed on more machines than this is itself at fault. */
#define JOB_FAILED_MACHINES_MAX 2
/* The failed jobs kept for a machine, and the machines kept for a job that failed on them. */
#define FAILURES_KEPT_MAX 16

/* A job's backoff doubles with each machine on which it fails and reaches its maximum at this many
 * machines. */
#define BACKOFF_MACHINES_MAX 7
#define BACKOFF_MAX_S 60.0

double rr_heartbeat_age(const rr_machine *machine, double now) {
    return machine->heartbeat_seen ? now - machine->heartbeat_at : now - machine->known_at;
}

bool rr_machine_heartbeat_overdue(const rr_core *core, const rr_machine *machine, double now) {
    return rr_heartbeat_age(machine, now) >
           fmax(OVERDUE_INTERVALS * core->config->heartbeat_interval_s, OVERDUE_MIN_S);
}

bool rr_machine_heartbeat_recent(const rr_core *core, const rr_machine *machine, double now) {
    return machine->heartbeat_seen &&
           now - machine->heartbeat_at <=
               core->config->tuning.recent_heartbeat_intervals * core->config->heartbeat_interval_s;
}

bool rr_machine_heartbeats_lost(const rr_core *core, const rr_machine *machine, double now) {
    double limit_s = HEARTBEATS_LOST_INTERVALS * core->config->heartbeat_interval_s;
    return machine->heartbeat_seen && now - machine->last_own_heartbeat_at > limit_s &&
           rr_peers_connected_for(core, now, limit_s);
}

bool rr_machine_commands_unanswered(const rr_machine *machine) {
    return machine->unanswered_commands >= COMMANDS_UNANSWERED_MAX;
}

bool rr_machine_name_reused(const rr_machine *machine, double now) {
    return machine->stale_answers >= STALE_ANSWERS_MIN &&
           now - machine->stale_answers_since > STALE_ANSWERS_MIN_S;
}

/* Counts the jobs that failed on this machine and are not themselves at fault. */
static guint count_credible_failures(const rr_machine *machine) {
    guint count = 0;
    for (guint i = 0; i < machine->failed_jobs->len; i++) {
        const rr_job *job = g_array_index(machine->failed_jobs, rr_job *, i);
        count += !job->failed_machines || job->failed_machines->len <= JOB_FAILED_MACHINES_MAX;
    }
    return count;
}

bool rr_machine_quarantined(const rr_machine *machine, double now) {
    return machine->last_task_failure_at > 0 &&
           now - machine->last_task_failure_at < QUARANTINE_S &&
           count_credible_failures(machine) >= QUARANTINE_JOBS_MIN;
}

bool rr_machine_failed_recently(const rr_machine *machine, double now) {
    return machine->last_task_failure_at > 0 &&
           now - machine->last_task_failure_at < RECENT_FAILURE_S &&
           count_credible_failures(machine) > 0;
}

bool rr_machine_full_of_ended_tasks(const rr_machine *machine) {
    return machine->ended_task_count >= ENDED_TASKS_MAX;
}

/* Requires a recent heartbeat, because the old ones of a partitioned zone still report free
 * resources. */
bool rr_machine_schedulable(const rr_core *core, const rr_machine *machine, double now) {
    return machine->recorded && !machine->scaling_in && machine->address[0] && machine->verified &&
           rr_machine_heartbeat_recent(core, machine, now) &&
           machine->heartbeat.spot_notice_s < 0 && now >= machine->full_until &&
           !rr_machine_quarantined(machine, now) && !machine->to_release &&
           !rr_machine_full_of_ended_tasks(machine) && !rr_machine_commands_unanswered(machine) &&
           !rr_machine_heartbeats_lost(core, machine, now);
}

static bool array_contains(const GArray *array, const void *item, size_t item_size) {
    for (guint i = 0; i < array->len; i++) {
        if (memcmp(array->data + (size_t)i * item_size, item, item_size) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns the job's backoff in seconds. The first failures cause no delay, as they may be the fault
 * of the machines. */
static double compute_backoff_s(guint failed_machines) {
    if (failed_machines <= JOB_FAILED_MACHINES_MAX) {
        return 0;
    }
    return failed_machines >= BACKOFF_MACHINES_MAX ? BACKOFF_MAX_S
                                                   : (double)(1u << (failed_machines - 1));
}

void rr_record_task_failure(rr_core *core, rr_machine *machine, rr_job *job, double now) {
    if (machine->last_task_failure_at > 0 &&
        now - machine->last_task_failure_at > FAILURE_RETENTION_S) {
        g_array_set_size(machine->failed_jobs, 0);
    }
    machine->last_task_failure_at = now;
    if (machine->failed_jobs->len < FAILURES_KEPT_MAX &&
        !array_contains(machine->failed_jobs, &job, sizeof(rr_job *))) {
        g_array_append_val(machine->failed_jobs, job);
    }
    if (!job->failed_machines) {
        job->failed_machines = g_array_new(FALSE, FALSE, sizeof(int));
    }
    if (job->failed_machines->len < FAILURES_KEPT_MAX &&
        !array_contains(job->failed_machines, &machine->id, sizeof(int))) {
        g_array_append_val(job->failed_machines, machine->id);
    }
    job->backoff_until = now + compute_backoff_s(job->failed_machines->len);
    rr_log_at(core, RR_LOG_DEBUG,
              "task of job %s failed on machine %s (job failed on %u machines, %u jobs failed on "
              "machine)",
              job->submission.job_id, machine->name, job->failed_machines->len,
              machine->failed_jobs->len);
}
