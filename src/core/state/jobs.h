/* Jobs in the store cache. A job is open (not final, or it still has placements), closed (final and
 * without placements) or evicted (only its outcome is kept, see rr_job_outcome). A job is final
 * once it is done or cancelled. */
#ifndef RR_CORE_STATE_JOBS_H
#define RR_CORE_STATE_JOBS_H

#include "core/state/ledger_record.h"
#include "core/state/resources.h"
#include "wire/wire.h"

/* Age up to which arrivals count for the autoscaler's headroom. */
#define RR_ARRIVAL_WINDOW_S 120.0

struct rr_job {
    rr_submission submission;   /* task_count 0: not known yet */
    int team, job_class, image; /* name indices, -1: not known yet */
    rr_resources request;       /* resources of one task */
    uint64_t version; /* of the record that the job is known from, 0: from its ledger only */
    uint64_t own_record_version; /* of the job's own record, 0: none has arrived */
    double accepted_at;          /* time of day, seconds */
    bool cancelled, done, open;
    guint8 *done_bitmap; /* one bit per task, set once the task is done; NULL while closed */
    guint8 *placements_per_task; /* number in the ledger, by task; NULL while closed */
    uint32_t done_count;         /* tasks that are done */
    uint32_t placed_count;       /* tasks with at least one placement */
    uint32_t next_task_hint;     /* index at which the search for an unplaced task begins */
    uint32_t tasks_per_record;
    GPtrArray *records; /* rr_ledger_record* by chunk, entries may be NULL; NULL: none at all */
    int zone;           /* zone index of a one-zone job, as the ledger records it, -1: none */
    /* Observed by this process; not stored. */
    double first_seen;       /* when the job became known; steady time */
    double search_failed_at; /* when a search last found no room for the job; steady time */
    double backoff_until;    /* the job is not placed before this steady time */
    GArray *failed_machines; /* int: ids of machines on which a task failed; NULL: none */
    bool evictable;          /* could have been evicted at the last rr_jobs_evict_final() */
    /* Scratch of one demand simulation. */
    uint32_t lost_count; /* unfinished tasks placed on machines that are gone */
};

/* Returns the job with this id. Creates it without a submission if the cache does not have it. The
 * cache owns the job. */
rr_job *rr_job_get(rr_core *core, const char *job_id, double now);
/* Frees a job and its ledger records. Has the signature of GDestroyNotify. */
void rr_job_free(gpointer data);
/* Adds the job to the open jobs and allocates its per-task tables. */
void rr_job_open(rr_core *core, rr_job *job);
/* Closes a final job that has no placement left: frees its per-task tables, and lists its remaining
 * ledger records for deletion from the store. */
void rr_job_close_if_final(rr_core *core, rr_job *job);
/* Returns whether the task, or the whole job, is done. */
bool rr_job_task_done(const rr_job *job, uint32_t task);
/* Records the arrival of a job, from which the autoscaler derives headroom. Ignored during the
 * first load of the cache, because jobs loaded then may have arrived at any time. */
void rr_arrivals_add(rr_core *core, rr_job *job);
/* Removes arrivals older than RR_ARRIVAL_WINDOW_S. wall: time of day, seconds. */
void rr_arrivals_trim(rr_core *core, double wall);
/* Returns the configured objective of this kind for the job class, or NULL if there is none. */
const struct rr_objective *rr_objective_for(const rr_core *core, const char *kind,
                                            const char *job_class);

#endif
