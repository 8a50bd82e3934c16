/* Selects the jobs that wait for placement, and sorts them into placement order. */
#include "core/scheduling/waiting_jobs.h"
#include "core/core_internal.h"
#include "core/extensions.h"
#include "core/membership/membership.h"
#include "core/scheduling/fair_share.h"
#include "core/state/jobs.h"
#include "core/state/transfer_holds.h"

/* Above this write pressure the service with the most missing replicas is placed first, since one
 * change to the store restores the most replicas there. */
#define REPLICAS_FIRST_PRESSURE 0.9
#define NO_LATEST_START_S 1e18 /* for jobs without deadline: after every deadline */

/* Whether this controller has to place tasks of the job now: it owns the job's team, the job's
 * record is known, the job is neither final, cancelled, in backoff nor blocked by a transfer hold,
 * and some of its tasks are neither placed nor done. */
static bool is_job_waiting(const rr_core *core, const rr_job *job, double now) {
    return job->version && !job->cancelled && !job->done && job->team >= 0 &&
           (size_t)job->team < core->config->team_count &&
           job->done_count + job->placed_count < job->submission.task_count &&
           now >= job->backoff_until && rr_owns_team(core, job->team) &&
           !rr_job_held(core, job, now);
}

bool rr_any_job_waiting(const struct rr_planner *planner) {
    const GPtrArray *open_jobs = planner->core->stored.open_jobs;
    for (guint i = 0; i < open_jobs->len; i++) {
        if (is_job_waiting(planner->core, g_ptr_array_index(open_jobs, i), planner->now)) {
            return true;
        }
    }
    return false;
}

GPtrArray *rr_list_waiting_jobs(const struct rr_planner *planner) {
    const GPtrArray *open_jobs = planner->core->stored.open_jobs;
    GPtrArray *waiting = g_ptr_array_new();
    for (guint i = 0; i < open_jobs->len; i++) {
        rr_job *job = g_ptr_array_index(open_jobs, i);
        if (is_job_waiting(planner->core, job, planner->now)) {
            g_ptr_array_add(waiting, job);
        }
    }
    return waiting;
}

void rr_core_foreach_spillable_job(const rr_core *core, double now, rr_core_spillable_fn callback,
                                   void *user) {
    for (guint i = 0; i < core->stored.open_jobs->len; i++) {
        const rr_job *job = g_ptr_array_index(core->stored.open_jobs, i);
        if (is_job_waiting(core, job, now) && job->placed_count == 0 && job->done_count == 0 &&
            !rr_job_of_another_cell(core, job)) {
            callback(user, &job->submission, job->accepted_at);
        }
    }
}

/* ---- sorting into placement order ---- */

/* A waiting job with the values that it is sorted by. */
struct queue_entry {
    rr_job *job;               /* not owned */
    uint32_t missing_replicas; /* replicas of a service to restore; 0 unless writes are short */
    struct rr_fair_share_usage usage; /* of its team and class */
};

/* Returns how many replicas of a service of prod priority are missing while writes are short, else
 * 0. */
static uint32_t count_missing_replicas(const struct rr_planner *planner, const rr_job *job) {
    bool is_counted = planner->core->planning.write_pressure > REPLICAS_FIRST_PRESSURE &&
                      job->submission.priority == RR_PRIORITY_PROD &&
                      job->submission.kind == RR_JOB_SERVICE;
    return is_counted ? job->submission.task_count - job->done_count - job->placed_count : 0;
}

/* Returns the latest time (wall, seconds) at which a task can start and meet the deadline. Sorting
 * by the deadline itself would place the tasks of long jobs last. */
static double compute_latest_start(const rr_job *job) {
    return job->submission.deadline_s >= 0
               ? job->accepted_at + job->submission.deadline_s - job->submission.runtime_estimate_s
               : NO_LATEST_START_S;
}

/* Compares two entries in placement order. */
static gint compare_entries(gconstpointer left_entry, gconstpointer right_entry) {
    const struct queue_entry *left = left_entry, *right = right_entry;
    const rr_job *left_job = left->job, *right_job = right->job;
    if (left_job->submission.priority != right_job->submission.priority) {
        return left_job->submission.priority > right_job->submission.priority ? -1 : 1;
    }
    if (left->missing_replicas != right->missing_replicas) {
        return left->missing_replicas > right->missing_replicas ? -1 : 1;
    }
    if (left->usage.team_usage != right->usage.team_usage) {
        return left->usage.team_usage < right->usage.team_usage ? -1 : 1;
    }
    if (left->usage.class_usage != right->usage.class_usage) {
        return left->usage.class_usage < right->usage.class_usage ? -1 : 1;
    }
    double left_start = compute_latest_start(left_job),
           right_start = compute_latest_start(right_job);
    if (left_job->submission.priority < RR_PRIORITY_PROD && left_start != right_start) {
        return left_start < right_start ? -1 : 1;
    }
    return left_job->accepted_at < right_job->accepted_at
               ? -1
               : left_job->accepted_at > right_job->accepted_at;
}

void rr_sort_waiting_jobs(const struct rr_planner *planner, GPtrArray *waiting) {
    struct rr_fair_share_usage *usages = rr_compute_fair_share_usage(planner, waiting);
    GArray *entries = g_array_sized_new(FALSE, FALSE, sizeof(struct queue_entry), waiting->len);
    for (guint i = 0; i < waiting->len; i++) {
        rr_job *job = g_ptr_array_index(waiting, i);
        struct queue_entry entry = {job, count_missing_replicas(planner, job), usages[i]};
        g_array_append_val(entries, entry);
    }
    g_array_sort(entries, compare_entries); /* a stable sort, which keeps the order of equal jobs */
    for (guint i = 0; i < waiting->len; i++) {
        waiting->pdata[i] = g_array_index(entries, struct queue_entry, i).job;
    }
    g_array_free(entries, TRUE);
    g_free(usages);
}
