/* Another cell as its key-value store alone shows it, while it has no controllers: read in full, by
 * whoever may hold jobs of it or claim some. Belongs to one thread; no I/O of its own.
 *
 * What is read counts only between two looks that both found no session, one before and one after:
 * then nobody of the term that was read is holding a valid lease to anything, and a change that is
 * guarded by that term's record is made before anybody else is (docs/cells.md). */
#ifndef RR_CELLS_ABSENT_H
#define RR_CELLS_ABSENT_H

#include "cells/records.h"
#include "core/state/transaction.h"

typedef struct rr_absent rr_absent;

/* own_cell: the reader's. */
rr_absent *rr_absent_create(const struct rr_config *config, const char *own_cell);
void rr_absent_destroy(rr_absent *absent);

/* One reading: begin, all records, end. */
void rr_absent_begin(rr_absent *absent);
void rr_absent_put(rr_absent *absent, const char *key, const msgpack_object *value,
                   uint64_t version, double now);
void rr_absent_end(rr_absent *absent, double now);

/* No session was seen before and after: since when that is so, in one term. */
void rr_absent_confirm(rr_absent *absent, bool no_sessions, double now);
/* It has had no controllers for so long; 0: it may have some. */
double rr_absent_for(const rr_absent *absent, double now);

typedef struct {
    rr_out_record record;
    uint64_t version;
} rr_absent_out;

/* NULL: the job was never offered, or is final. */
const rr_absent_out *rr_absent_out_of(const rr_absent *absent, const char *job_id);
/* Whether the record says that this cell holds the job under this claim. */
bool rr_absent_holds(const rr_absent *absent, const char *job_id, uint32_t claim);

typedef void (*rr_absent_job_fn)(void *user, const rr_submission *submission, double when,
                                 const rr_absent_out *out);
/* Jobs that are open there. */
void rr_absent_each_open(const rr_absent *absent, rr_absent_job_fn callback, void *user);

/* Changes to its key-value store, guarded by its term and the records that were read. False: there
 * is nothing to change. */
bool rr_absent_claim(const rr_absent *absent, const char *job_id, const char *team,
                     rr_transaction *out);
bool rr_absent_finish(const rr_absent *absent, const char *job_id, rr_transaction *out);
bool rr_absent_give_back(const rr_absent *absent, const char *job_id, double wall,
                         rr_transaction *out);

#endif
