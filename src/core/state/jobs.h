/* Jobs as the store cache knows them. */
#ifndef RR_CORE_STATE_JOBS_H
#define RR_CORE_STATE_JOBS_H

#include "core/state/ledger.h"
#include "core/state/transaction.h"

#define RR_ARRIVAL_WINDOW_S 120.0 /* arrivals count for headroom this long */

/* Jobs accepted together, in one record. */
typedef struct {
    uint64_t version;
    GPtrArray *jobs; /* rr_job* */
} rr_job_batch;

struct rr_job {
    rr_submission submission;
    int team, job_class, image;
    rr_resources request;
    uint64_t version;     /* of the record that tells of it */
    uint64_t own_version; /* of its own record, 0 while it is known from a batch only */
    double accepted_at;   /* wall, when accepted */
    bool cancelled, done, open;
    guint8 *done_bits; /* done tasks, one bit each; NULL once final */
    guint8 *placed;    /* placements a task has in the ledger */
    uint32_t done_count, placed_count, next_task_hint;
    uint32_t tasks_per_record; /* tasks in a record of its ledger */
    GPtrArray
        *records; /* rr_ledger_record* by chunk, NULL where there is none; NULL: none at all */
    uint32_t terminated_count,
        completing_count;       /* scratch of one plan: tasks known to be over, to be recorded */
    double failed_at;           /* steady; no room was found for it then */
    bool guarded, ending;       /* scratch of one plan */
    bool idle;                  /* final and out of use since the last look */
    uint32_t replaceable_count; /* likewise: tasks that one change would bring back, 0: no matter */
    double team_fill;           /* likewise, under overload: how full its team's fair room is, */
    double class_fill;          /* and what its class fills of all room */
    uint32_t lost_count;     /* scratch of one simulation: placements on machines that are gone */
    int zone;                /* of completed tasks of a one-zone job, -1 */
    GArray *failed_machines; /* rr_machine ids (int) where a task failed */
    double backoff_until;    /* steady; placed no sooner */
    double first_seen;       /* steady */
};

bool rr_job_task_done(const rr_job *job, uint32_t task);
void rr_arrivals_trim(rr_core *core, double wall); /* those that count no more go */
/* A final job that is kept as a line only; *done and *ndone may be NULL. */
bool rr_job_final(const rr_core *core, const char *job_id, bool *done, uint32_t *ndone);
/* Jobs are known for good, but final ones out of use shrink to a line. */
void rr_jobs_shrink(rr_core *core, double wall);
const struct rr_objective *rr_objective_for(const rr_core *core, const char *kind,
                                            const char *job_class);
/* Adds the final record of a job that is done. */
void rr_job_final_record(const rr_job *job, rr_transaction *transaction);

#endif
