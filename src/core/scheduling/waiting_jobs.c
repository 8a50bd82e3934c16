/* Which jobs wait for placement, and in which order they are placed. */
#include "core/scheduling/waiting_jobs.h"
#include "core/core_internal.h"
#include "core/membership/membership.h"
#include "core/scheduling/fair_share.h"
#include "core/state/jobs.h"
#include "core/state/transfer_holds.h"
#include "core/extensions.h"

/* Above this write pressure the service that one change brings back most replicas of goes first. */
#define REPLICAS_FIRST_PRESSURE 0.9
#define NO_LATEST_START_S 1e18

static bool is_waiting(const rr_core *core, const rr_job *job, double now) {
    return job->version && !job->cancelled && !job->done && job->team >= 0 &&
           (size_t)job->team < core->config->team_count &&
           job->done_count + job->placed_count < job->submission.task_count &&
           now >= job->backoff_until && rr_owns_team(core, job->team) &&
           !rr_job_held(core, job, now);
}

bool rr_any_job_waiting(const struct rr_planner *planner) {
    const GPtrArray *open_jobs = planner->core->stored.open_jobs;
    for (guint i = 0; i < open_jobs->len; i++) {
        if (is_waiting(planner->core, g_ptr_array_index(open_jobs, i), planner->now)) {
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
        if (is_waiting(planner->core, job, planner->now)) {
            g_ptr_array_add(waiting, job);
        }
    }
    return waiting;
}

void rr_core_each_spillable(const rr_core *core, double now, rr_core_spillable_fn callback,
                            void *user) {
    for (guint i = 0; i < core->stored.open_jobs->len; i++) {
        const rr_job *job = g_ptr_array_index(core->stored.open_jobs, i);
        if (is_waiting(core, job, now) && job->placed_count == 0 && job->done_count == 0 &&
            !rr_job_of_another_cell(core, job)) {
            callback(user, &job->submission, job->accepted_at);
        }
    }
}

/* ---- order ---- */

/* Sets replaceable_count, which orders services while writes are short. */
static void set_replaceable_counts(const struct rr_planner *planner, const GPtrArray *waiting) {
    bool writes_short = planner->core->planning.write_pressure > REPLICAS_FIRST_PRESSURE;
    for (guint i = 0; i < waiting->len; i++) {
        rr_job *job = g_ptr_array_index(waiting, i);
        bool counts = writes_short && job->submission.priority == RR_PRIORITY_PROD &&
                      job->submission.kind == RR_JOB_SERVICE;
        job->replaceable_count =
            counts ? job->submission.task_count - job->done_count - job->placed_count : 0;
    }
}

/* When a task has to start to be in time. The deadline alone would put tasks of long jobs last. */
static double latest_start(const rr_job *job) {
    return job->submission.deadline_s >= 0
               ? job->accepted_at + job->submission.deadline_s - job->submission.runtime_estimate_s
               : NO_LATEST_START_S;
}

static gint by_turn(gconstpointer left_job, gconstpointer right_job) {
    const rr_job *left = *(const rr_job *const *)left_job;
    const rr_job *right = *(const rr_job *const *)right_job;
    if (left->submission.priority != right->submission.priority) {
        return left->submission.priority > right->submission.priority ? -1 : 1;
    }
    if (left->replaceable_count != right->replaceable_count) {
        return left->replaceable_count > right->replaceable_count ? -1 : 1;
    }
    if (left->team_fill != right->team_fill) {
        return left->team_fill < right->team_fill ? -1 : 1;
    }
    if (left->class_fill != right->class_fill) {
        return left->class_fill < right->class_fill ? -1 : 1;
    }
    double left_start = latest_start(left), right_start = latest_start(right);
    if (left->submission.priority < RR_PRIORITY_PROD && left_start != right_start) {
        return left_start < right_start ? -1 : 1;
    }
    return left->accepted_at < right->accepted_at ? -1 : left->accepted_at > right->accepted_at;
}

void rr_sort_waiting_jobs(const struct rr_planner *planner, GPtrArray *waiting) {
    set_replaceable_counts(planner, waiting);
    rr_set_fair_share_fill(planner, waiting);
    g_ptr_array_sort(waiting, by_turn);
}
