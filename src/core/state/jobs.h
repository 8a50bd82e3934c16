/* Jobs in the store cache. Each is in one of three states: open (not final, or with placements
 * left), closed (final and without placements) or shrunk to its outcome (rr_job_outcome). */
#ifndef RR_CORE_STATE_JOBS_H
#define RR_CORE_STATE_JOBS_H

#include "core/state/ledger_record.h"
#include "core/state/resources.h"
#include "wire/wire.h"

#define RR_ARRIVAL_WINDOW_S 120.0 /* arrivals count for headroom this long */

struct rr_job {
    rr_submission submission;
    int team, job_class, image; /* indices of names, -1: not known yet */
    rr_resources request;       /* of one task */
    uint64_t version;           /* of the record it is known from, 0: known from its ledger only */
    uint64_t own_version;       /* of its own record, 0: known from a batch only */
    double accepted_at;         /* wall */
    bool cancelled, done, open;
    guint8 *done_bits; /* done tasks, one bit each; NULL while closed */
    guint8 *placed;    /* placements in the ledger by task; NULL while closed */
    uint32_t done_count, placed_count, next_task_hint;
    uint32_t tasks_per_record;
    GPtrArray *records; /* rr_ledger_record* by chunk, with NULL entries; NULL: none at all */
    int zone;           /* of completed tasks of a one-zone job, -1 */
    /* observed */
    double first_seen;       /* steady */
    double failed_at;        /* steady, no room was found for it then */
    double backoff_until;    /* steady, not placed before */
    GArray *failed_machines; /* int: ids of machines where a task failed; NULL: none */
    bool idle;               /* was retirable at the last rr_jobs_shrink() */
    /* scratch of one simulation of demand */
    uint32_t lost_count; /* placements on machines that are gone */
};

/* Returns the job of this id, creating it without a submission if need be. */
rr_job *rr_job_get(rr_core *core, const char *job_id, double now);
/* Frees a job with its ledger records; takes gpointer, as GLib's containers do. */
void rr_job_free(gpointer data);
/* Lists the job among the open ones and allocates its task tables. */
void rr_job_open(rr_core *core, rr_job *job);
/* Closes a final job whose last placement is gone: frees its task tables and leaves the records
 * that remain of its ledger to be deleted. */
void rr_job_close_if_final(rr_core *core, rr_job *job);
/* Whether the job or this task of it is done. */
bool rr_job_task_done(const rr_job *job, uint32_t task);
/* Whether the job has shrunk to its outcome; *done and *done_count (may be NULL) receive it. */
bool rr_job_outcome(const rr_core *core, const char *job_id, bool *done, uint32_t *done_count);
/* Notes an arrival, for headroom; those of the first load are of any age and don't count. */
void rr_arrivals_add(rr_core *core, rr_job *job);
/* Drops arrivals older than RR_ARRIVAL_WINDOW_S. wall: time of day, seconds. */
void rr_arrivals_trim(rr_core *core, double wall);
/* Returns the configured objective of this kind for a job class, or NULL. */
const struct rr_objective *rr_objective_for(const rr_core *core, const char *kind,
                                            const char *job_class);

#endif
