/* Another cell as its key-value store alone shows it, while it has no controllers: read completely
 * by a cell that holds jobs of it or may claim some. Belongs to one thread; no I/O of its own.
 *
 * A reading counts only between two checks that found no session, one before and one after it. Then
 * no controller of the term that was read has a valid lease, and a change that is guarded by that
 * term's record is made before any other controller's (docs/cells.md). */
#ifndef RR_CELLS_ABSENT_H
#define RR_CELLS_ABSENT_H

#include "cells/records.h"
#include "core/state/transaction.h"

typedef struct rr_absent rr_absent;

/* own_cell: the reader's name. Both are borrowed and outlive the object. */
rr_absent *rr_absent_create(const struct rr_config *config, const char *own_cell);
/* NULL is allowed. */
void rr_absent_destroy(rr_absent *absent);

/* One reading: begin, put for all records, end. */
void rr_absent_begin(rr_absent *absent);
/* One record; it is borrowed for the call. */
void rr_absent_put(rr_absent *absent, const char *key, const msgpack_object *value,
                   uint64_t version, double now);
/* The reading is complete: its term is the one that later changes are guarded by. */
void rr_absent_end(rr_absent *absent, double now);

/* Takes the outcome of the two checks; no_sessions: neither found one. */
void rr_absent_confirm(rr_absent *absent, bool no_sessions, double now);
/* For how many seconds it has had no controllers, in one term; 0: it may have some. */
double rr_absent_for(const rr_absent *absent, double now);

typedef struct {
    rr_out_record record;
    uint64_t version;
} rr_absent_out;

/* NULL: the job was never offered, or its transfer has ended. Borrowed until the next reading. */
const rr_absent_out *rr_absent_out_of(const rr_absent *absent, const char *job_id);
/* Whether the record says that this cell holds the job under this claim. */
bool rr_absent_holds(const rr_absent *absent, const char *job_id, uint32_t claim);

/* accepted_at: time of day. All pointers are borrowed for the call. */
typedef void (*rr_absent_job_fn)(void *user, const rr_submission *submission, double accepted_at,
                                 const rr_absent_out *out);
/* Visits the jobs that are open there. */
void rr_absent_each_open(const rr_absent *absent, rr_absent_job_fn callback, void *user);

/* Changes to its key-value store, guarded by its term and the records that were read. False: the
 * change is not possible, and *out is of no use. */

/* Claims an open job for the reader; its user's cancellation makes the commit fail. */
bool rr_absent_claim(const rr_absent *absent, const char *job_id, const char *team,
                     rr_transaction *out);
/* Records a held job as done. Tasks that its ledger has placed there are gone: their workers have
 * had no controllers. */
bool rr_absent_finish(const rr_absent *absent, const char *job_id, rr_transaction *out);
/* Withdraws a held job from the reader. */
bool rr_absent_give_back(const rr_absent *absent, const char *job_id, double wall,
                         rr_transaction *out);

#endif
