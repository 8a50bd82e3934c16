/* State of a job as reported to users, and whether this controller can serve them. */
#include "core/core_internal.h"
#include "core/leadership.h"
#include "core/membership/membership.h"
#include "core/state/job_outcomes.h"
#include "core/state/jobs.h"
#include "core/state/machines.h"
#include "core/submissions.h"
#include "wire/wire_words.h"

#include <string.h>

/* A task of another owner's team counts as running once the ledger has contained it for this long,
 * if the machine's heartbeats that reach this controller don't show it. The count is only
 * displayed. */
#define ASSUMED_RUNNING_S 20.0

static bool is_running(const rr_core *core, const rr_job *job,
                       const rr_placement_record *placement_record, double now) {
    const rr_machine *machine = placement_record->machine;
    const rr_placement *placement =
        rr_placement_find(machine, placement_record->attempt, job, placement_record->task);
    if (!placement) {
        return false;
    }
    const rr_task_status *status = rr_task_status_find(machine, placement);
    if (status) {
        return status->state == RR_TASK_RUNNING;
    }
    return !machine->gone && !rr_owns_team(core, job->team) &&
           now - placement->seen_at > ASSUMED_RUNNING_S;
}

static uint32_t count_running(const rr_core *core, const rr_job *job, double now) {
    uint32_t count = 0;
    for (guint k = 0; job->records && k < job->records->len; k++) {
        const rr_ledger_record *record = g_ptr_array_index(job->records, k);
        for (guint i = 0; record && i < record->placements->len; i++) {
            count += is_running(core, job,
                                &g_array_index(record->placements, rr_placement_record, i), now);
        }
    }
    return count;
}

void rr_core_get_job_view(const rr_core *core, const char *job_id, double now, rr_job_view *out) {
    memset(out, 0, sizeof *out);
    out->state = RR_WORD_QUEUED;
    if (rr_job_outcome(core, job_id, &out->done, &out->done_count)) {
        out->known = true;
        out->cancelled = !out->done;
        out->state = out->done ? RR_WORD_DONE : RR_WORD_CANCELLED;
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
        out->state = RR_WORD_DONE;
    } else if (out->cancelled) {
        out->state = RR_WORD_CANCELLED;
    } else if ((out->running_count = count_running(core, job, now)) > 0) {
        out->state = RR_WORD_RUNNING;
    }
}

bool rr_core_is_ready(const rr_core *core, double now) {
    return rr_core_lease_valid(core, now) && core->stored.catalog_known;
}
