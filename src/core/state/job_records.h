/* Applies the store's job records to the store cache: records of a single job, and batch records
 * of jobs that were accepted together. */
#ifndef RR_CORE_STATE_JOB_RECORDS_H
#define RR_CORE_STATE_JOB_RECORDS_H

#include "core/state/jobs.h"
#include "core/state/transaction.h"

/* A batch record: jobs that one transaction accepted. */
typedef struct {
    uint64_t version; /* of the record */
    GPtrArray *jobs;  /* rr_job*, owned by the store cache */
} rr_job_batch;

/* Frees a batch but not its jobs. Has the signature of GDestroyNotify. */
void rr_job_batch_free(gpointer data);
/* Applies a job's own record. A version older than the cached one is ignored. */
void rr_job_put(rr_core *core, const char *job_id, const msgpack_object *value, uint64_t version,
                double now);
/* Applies a batch record. A job's own record, written when the job is cancelled or ends, takes
 * precedence over a batch in whichever order they arrive. If two batches contain a job, which
 * happens when a user resubmits it to another controller, the batch of the lower version takes
 * precedence. */
void rr_job_batch_put(rr_core *core, const char *key, const msgpack_object *value, uint64_t version,
                      double now);
/* Applies the deletion of a batch record. Its jobs stay in the cache. */
void rr_job_batch_delete(rr_core *core, const char *key);
/* Begins a full reload of the store cache: forgets all batches, which the reload brings again. */
void rr_job_batches_begin_reload(rr_core *core);
/* Adds the final record of a completed job to the transaction, guarded by the version of the job's
 * own record. */
void rr_job_add_final_record(const rr_job *job, rr_transaction *transaction);

#endif
