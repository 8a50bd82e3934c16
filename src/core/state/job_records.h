/* Records of jobs in the store: a job's own, and batches of jobs accepted together. */
#ifndef RR_CORE_STATE_JOB_RECORDS_H
#define RR_CORE_STATE_JOB_RECORDS_H

#include "core/state/jobs.h"
#include "core/state/transaction.h"

/* Jobs accepted together, in one record. */
typedef struct {
    uint64_t version;
    GPtrArray *jobs; /* rr_job*, owned by the store cache */
} rr_job_batch;

/* Frees a batch but not its jobs; takes gpointer, as GLib's containers do. */
void rr_job_batch_free(gpointer data);
/* Takes over a job's own record; a version older than the one known is ignored. */
void rr_job_put(rr_core *core, const char *job_id, const msgpack_object *value, uint64_t version,
                double now);
/* Takes over a batch. A job's own record, written by its cancellation or its end, takes precedence
 * whichever arrives first; of two batches that name a job, as when a user submits it again to
 * another controller, the one of the lower version does. */
void rr_job_batch_put(rr_core *core, const char *key, const msgpack_object *value, uint64_t version,
                      double now);
/* Takes over the deletion of a batch's record. */
void rr_job_batch_delete(rr_core *core, const char *key);
/* A full reload of the store cache begins: batches are those that it brings. */
void rr_job_batches_begin_reload(rr_core *core);
/* Adds the final record of a job that is done to the transaction, guarded by its own record. */
void rr_job_final_record(const rr_job *job, rr_transaction *transaction);

#endif
