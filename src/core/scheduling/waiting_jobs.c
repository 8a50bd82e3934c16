/* Which jobs wait for placement, and in which order they are placed. */
#include "core/scheduling/waiting_jobs.h"
#include "core/core_internal.h"
#include "core/extensions.h"
#include "core/membership/membership.h"
#include "core/scheduling/fair_share.h"
#include "core/state/jobs.h"
#include "core/state/transfer_holds.h"

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

struct turn {
    rr_job *job;
    uint32_t replaceable_count; /* replicas that one change brings back; 0 while writes suffice */
    struct rr_fair_share_fill fill;
};

static uint32_t replaceable_count(const struct rr_planner *planner, const rr_job *job) {
    bool counts = planner->core->planning.write_pressure > REPLICAS_FIRST_PRESSURE &&
                  job->submission.priority == RR_PRIORITY_PROD &&
                  job->submission.kind == RR_JOB_SERVICE;
    return counts ? job->submission.task_count - job->done_count - job->placed_count : 0;
}

/* When a task has to start to be in time. The deadline alone would put tasks of long jobs last. */
static double latest_start(const rr_job *job) {
    return job->submission.deadline_s >= 0
               ? job->accepted_at + job->submission.deadline_s - job->submission.runtime_estimate_s
               : NO_LATEST_START_S;
}

static gint by_turn(gconstpointer left_turn, gconstpointer right_turn) {
    const struct turn *left = left_turn, *right = right_turn;
    const rr_job *left_job = left->job, *right_job = right->job;
    if (left_job->submission.priority != right_job->submission.priority) {
        return left_job->submission.priority > right_job->submission.priority ? -1 : 1;
    }
    if (left->replaceable_count != right->replaceable_count) {
        return left->replaceable_count > right->replaceable_count ? -1 : 1;
    }
    if (left->fill.team != right->fill.team) {
        return left->fill.team < right->fill.team ? -1 : 1;
    }
    if (left->fill.job_class != right->fill.job_class) {
        return left->fill.job_class < right->fill.job_class ? -1 : 1;
    }
    double left_start = latest_start(left_job), right_start = latest_start(right_job);
    if (left_job->submission.priority < RR_PRIORITY_PROD && left_start != right_start) {
        return left_start < right_start ? -1 : 1;
    }
    return left_job->accepted_at < right_job->accepted_at
               ? -1
               : left_job->accepted_at > right_job->accepted_at;
}

void rr_sort_waiting_jobs(const struct rr_planner *planner, GPtrArray *waiting) {
    struct rr_fair_share_fill *fills = rr_fair_share_fills(planner, waiting);
    GArray *turns = g_array_sized_new(FALSE, FALSE, sizeof(struct turn), waiting->len);
    for (guint i = 0; i < waiting->len; i++) {
        rr_job *job = g_ptr_array_index(waiting, i);
        struct turn turn = {job, replaceable_count(planner, job), fills[i]};
        g_array_append_val(turns, turn);
    }
    g_array_sort(turns, by_turn); /* stable */
    for (guint i = 0; i < waiting->len; i++) {
        waiting->pdata[i] = g_array_index(turns, struct turn, i).job;
    }
    g_array_free(turns, TRUE);
    g_free(fills);
}
