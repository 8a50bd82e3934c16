/* Checks whether a submission is new and whether its tasks can ever run. */
#include "core/core_internal.h"
#include "core/leadership.h"
#include "core/membership/membership.h"
#include "core/scheduling/gang_phase.h"
#include "core/state/job_outcomes.h"
#include "core/state/jobs.h"
#include "core/state/machine_pages.h"
#include "core/state/resources.h"
#include "core/submissions.h"

#include <string.h>

/* Whether the machine type is offered in the zone, or with zone "" in any zone at all. */
static bool offered_in_zone(const rr_machine_type *type, const char *zone) {
    for (guint i = 0; i < type->zones->len; i++) {
        if (!zone[0] || strcmp(g_ptr_array_index(type->zones, i), zone) == 0) {
            return true;
        }
    }
    return false;
}

/* Whether the submission allows the machine type; one that lists no machine types allows all. */
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
            offered_in_zone(type, submission->zone) &&
            rr_resources_fit(need, (rr_resources){type->cpus, type->gpus, type->mem_gb})) {
            return true;
        }
    }
    return false;
}

/* limit: 0 means unlimited. */
static bool exceeds(double amount, double limit) {
    return limit > 0 && amount > limit + RR_RESOURCE_EPSILON;
}

/* Whether the job alone would exceed its team's limits. All tasks of a service or gang run at the
 * same time, whereas those of an array can run one after another. */
static bool exceeds_team_limit(const struct rr_team_config *team, const rr_submission *submission) {
    double concurrent_tasks = submission->kind == RR_JOB_ARRAY ? 1 : submission->task_count;
    return exceeds(concurrent_tasks * submission->cpus, team->cpus_max) ||
           exceeds(concurrent_tasks * submission->gpus, team->gpus_max);
}

/* Checks what applies to gangs only: one transaction must reserve all tasks, and every controller
 * of the term must support gangs. */
static enum rr_submission_check check_gang(const rr_core *core, const rr_submission *submission,
                                           const char **why) {
    if (submission->task_count > rr_gang_tasks_max(core)) {
        *why = "more linked tasks than one transaction books";
        return RR_SUBMISSION_UNSATISFIABLE;
    }
    if (!rr_core_all_members_support_gangs(core)) {
        *why = "an older version still serves";
        return RR_SUBMISSION_UNDECIDED;
    }
    return RR_SUBMISSION_NEW;
}

enum rr_submission_check rr_core_check_submission(const rr_core *core,
                                                  const rr_submission *submission,
                                                  const char **why) {
    int team = rr_config_find_team(core->config, submission->team);
    const rr_job *known_job = g_hash_table_lookup(core->stored.jobs, submission->job_id);
    if ((known_job && known_job->version) || rr_job_outcome(core, submission->job_id, NULL, NULL)) {
        return RR_SUBMISSION_KNOWN;
    }
    if (team < 0) {
        *why = "unknown team";
        return RR_SUBMISSION_UNSATISFIABLE;
    }
    if (exceeds_team_limit(&core->config->teams[team], submission)) {
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
    return submission->kind == RR_JOB_GANG ? check_gang(core, submission, why) : RR_SUBMISSION_NEW;
}
