/* Job objects of the store cache: creation, opening, closing and recent arrivals. */
#include "core/state/jobs.h"
#include "core/core_internal.h"

#include <string.h>

#define ARRIVALS_MAX 4096u
/* The oldest arrivals, dropped together once there are more than ARRIVALS_MAX. */
#define ARRIVALS_DROP_COUNT 1024u

rr_job *rr_job_get(rr_core *core, const char *job_id, double now) {
    rr_job *job = g_hash_table_lookup(core->stored.jobs, job_id);
    if (!job) {
        job = g_new0(rr_job, 1);
        g_strlcpy(job->submission.job_id, job_id, sizeof job->submission.job_id);
        job->team = job->job_class = job->image = job->zone = -1;
        job->first_seen = now;
        job->tasks_per_record = core->stored.tasks_per_record;
        g_hash_table_insert(core->stored.jobs, job->submission.job_id, job);
    }
    return job;
}

void rr_job_free(gpointer data) {
    rr_job *job = data;
    rr_submission_clear(&job->submission);
    g_free(job->done_bitmap);
    g_free(job->placements_per_task);
    if (job->failed_machines) {
        g_array_free(job->failed_machines, TRUE);
    }
    if (job->records) {
        g_ptr_array_free(job->records, TRUE);
    }
    g_free(job);
}

void rr_job_open(rr_core *core, rr_job *job) {
    if (!job->open) {
        job->open = true;
        g_ptr_array_add(core->stored.open_jobs, job);
    }
    if (!job->placements_per_task) {
        job->placements_per_task = g_malloc0(job->submission.task_count);
    }
    if (!job->done_bitmap && !job->done) {
        job->done_bitmap = g_malloc0((job->submission.task_count + 7) / 8);
    }
}

void rr_job_close_if_final(rr_core *core, rr_job *job) {
    if (!job->open || !(job->done || job->cancelled) || job->placed_count) {
        return;
    }
    job->open = false;
    g_ptr_array_remove_fast(core->stored.open_jobs, job);
    g_clear_pointer(&job->done_bitmap, g_free);
    g_clear_pointer(&job->placements_per_task, g_free);
    for (guint i = 0; job->records && i < job->records->len; i++) {
        const rr_ledger_record *record = g_ptr_array_index(job->records, i);
        if (record && record->version) {
            rr_orphan_record_add(core, job->submission.job_id, record->chunk);
        }
    }
}

bool rr_job_task_done(const rr_job *job, uint32_t task) {
    if (job->done) {
        return true;
    }
    return job->done_bitmap && task < job->submission.task_count &&
           (job->done_bitmap[task / 8] >> (task % 8) & 1);
}

void rr_arrivals_add(rr_core *core, rr_job *job) {
    if (core->stored.reloading && core->membership.term.token == 0) {
        return;
    }
    g_array_append_val(core->stored.recent_arrivals, job);
    if (core->stored.recent_arrivals->len > ARRIVALS_MAX) {
        g_array_remove_range(core->stored.recent_arrivals, 0, ARRIVALS_DROP_COUNT);
    }
}

void rr_arrivals_trim(rr_core *core, double wall) {
    const GArray *arrivals = core->stored.recent_arrivals;
    guint expired = 0;
    while (expired < arrivals->len &&
           wall - g_array_index(arrivals, rr_job *, expired)->accepted_at > RR_ARRIVAL_WINDOW_S) {
        expired++;
    }
    if (expired > 0) {
        g_array_remove_range(core->stored.recent_arrivals, 0, expired);
    }
}

const struct rr_objective *rr_objective_for(const rr_core *core, const char *kind,
                                            const char *job_class) {
    for (size_t i = 0; i < core->config->objective_count; i++) {
        const struct rr_objective *objective = &core->config->objectives[i];
        if (strcmp(objective->kind, kind) == 0 && strcmp(objective->job_class, job_class) == 0) {
            return objective;
        }
    }
    return NULL;
}
