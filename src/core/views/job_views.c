/* What users ask: admission, states, cancelling. */
#include "core/core_internal.h"
#include "core/membership/membership.h"
#include "core/scheduling/gang_phase.h"
#include "core/state/jobs.h"
#include "core/state/ledger.h"
#include "core/state/machine_pages.h"
#include "core/state/machines.h"
#include "core/state/resources.h"
#include "core/leadership.h"
#include "core/submissions.h"

#include <string.h>

static bool zone_offered(const rr_machine_type *type, const char *zone) {
    for (guint i = 0; i < type->zones->len; i++) {
        if (!zone[0] || strcmp(g_ptr_array_index(type->zones, i), zone) == 0) {
            return true;
        }
    }
    return false;
}

static bool machine_type_allowed(const rr_submission *submission, const rr_machine_type *type) {
    for (int i = 0; i < submission->machine_type_count; i++) {
        if (strcmp(submission->machine_types[i], type->name) == 0) {
            return true;
        }
    }
    return submission->machine_type_count == 0;
}

static bool fits_some_machine_type(const rr_core *core, const rr_submission *submission) {
    rr_resources need = {submission->cpus, submission->gpus, submission->mem_gb};
    for (guint i = 0; i < core->stored.machine_types->len; i++) {
        const rr_machine_type *type = rr_machine_type_at(core, (int)i);
        if (type && machine_type_allowed(submission, type) &&
            zone_offered(type, submission->zone) &&
            rr_resources_fit(need, (rr_resources){type->cpus, type->gpus, type->mem_gb})) {
            return true;
        }
    }
    return false;
}

enum rr_submission_check rr_core_check_submission(const rr_core *core,
                                                  const rr_submission *submission,
                                                  const char **why) {
    int team = rr_config_team(core->config, submission->team);
    const struct rr_team_config *team_config = team >= 0 ? &core->config->teams[team] : NULL;
    const rr_job *known = g_hash_table_lookup(core->stored.jobs, submission->job_id);
    if ((known && known->version) || rr_job_final(core, submission->job_id, NULL, NULL)) {
        return RR_SUBMISSION_KNOWN;
    }
    if (!team_config) {
        *why = "unknown team";
        return RR_SUBMISSION_UNSATISFIABLE;
    }
    double number = submission->kind == RR_JOB_ARRAY ? 1 : submission->task_count;
    if ((team_config->cpus_max > 0 &&
         number * submission->cpus > team_config->cpus_max + RR_RESOURCE_EPSILON) ||
        (team_config->gpus_max > 0 &&
         number * submission->gpus > team_config->gpus_max + RR_RESOURCE_EPSILON)) {
        *why = "over the team's limit";
        return RR_SUBMISSION_UNSATISFIABLE;
    }
    if (!core->stored.catalog_known) {
        *why = "machine types not known yet";
        return RR_SUBMISSION_UNDECIDED;
    }
    if (!fits_some_machine_type(core, submission)) {
        *why = "fits no allowed machine type";
        return RR_SUBMISSION_UNSATISFIABLE;
    }
    if (submission->kind == RR_JOB_GANG && submission->task_count > rr_gang_tasks_max(core)) {
        *why = "more linked tasks than one transaction books";
        return RR_SUBMISSION_UNSATISFIABLE;
    }
    if (submission->kind == RR_JOB_GANG && !rr_all_gang_capable(core)) {
        *why = "an older version still serves";
        return RR_SUBMISSION_UNDECIDED;
    }
    return RR_SUBMISSION_NEW;
}

/* Where the machine's reports do not come to this controller whole, what the ledger has had for a
 * while counts as running: the number is for display. */
#define SURELY_S 20.0

static uint32_t count_running(const rr_core *core, const rr_job *job, double now) {
    uint32_t count = 0;
    for (guint k = 0; job->records && k < job->records->len; k++) {
        const rr_ledger_record *run = g_ptr_array_index(job->records, k);
        for (guint i = 0; run && i < run->placements->len; i++) {
            const rr_placement_record *item =
                &g_array_index(run->placements, rr_placement_record, i);
            const rr_placement *placement =
                rr_placement_find(item->machine, item->attempt, job, item->task);
            const rr_task_status *task =
                placement ? rr_task_status_find(item->machine, placement) : NULL;
            count += task ? task->state == RR_TASK_RUNNING
                          : placement && !item->machine->gone && !rr_owns_team(core, job->team) &&
                                now - placement->seen_at > SURELY_S;
        }
    }
    return count;
}

void rr_core_job_view(const rr_core *core, const char *job_id, double now, rr_job_view *out) {
    memset(out, 0, sizeof *out);
    out->state = "queued";
    if (rr_job_final(core, job_id, &out->done, &out->done_count)) {
        out->known = true;
        out->cancelled = !out->done;
        out->state = out->done ? "done" : "aborted";
        return;
    }
    const rr_job *job = g_hash_table_lookup(core->stored.jobs, job_id);
    if (!job || job->version == 0) {
        return;
    }
    out->known = true;
    out->version = job->version;
    out->done_count = job->done_count;
    out->done = job->done;
    out->cancelled = !job->done && job->cancelled;
    if (out->done) {
        out->state = "done";
    } else if (out->cancelled) {
        out->state = "aborted";
    } else if ((out->running_count = count_running(core, job, now)) > 0) {
        out->state = "running";
    }
}

bool rr_core_ready(const rr_core *core, double now) {
    return rr_core_lease_valid(core, now) && core->stored.catalog_known;
}
