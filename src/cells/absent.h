/* A neighbour cell without controllers, as read from its key-value store by a cell that holds
 * the neighbour's jobs or may claim some. An object belongs to one thread and does no I/O itself.
 *
 * A read counts only if a check before it and a check after it both found no controller session.
 * Then no controller of the term that was read has a valid lease, and a change that is guarded by
 * that term's record is committed before any other controller makes one (docs/cells.md). */
#ifndef RR_CELLS_ABSENT_H
#define RR_CELLS_ABSENT_H

#include "cells/records.h"
#include "core/state/transaction.h"

typedef struct rr_absent_cell rr_absent_cell;

/* own_cell: name of the cell that reads. Both arguments are borrowed and outlive the object. */
rr_absent_cell *rr_absent_create(const struct rr_config *config, const char *own_cell);
/* Frees the object. NULL is allowed. */
void rr_absent_destroy(rr_absent_cell *absent);

/* ---- reading: begin, put for each record, end, confirm; now is the steady clock in seconds ----
 */

/* Starts a read and discards the records of the previous one. */
void rr_absent_begin_read(rr_absent_cell *absent);
/* Adds one record. key and value are borrowed for the call. */
void rr_absent_add_record(rr_absent_cell *absent, const char *key, const msgpack_object *value,
                          uint64_t version, double now);
/* Completes the read. Later changes are guarded by the controller term that was read. */
void rr_absent_end_read(rr_absent_cell *absent, double now);
/* Takes the result of the session checks before and after the read. no_sessions: both checks
 * were made and found no controller session. */
void rr_absent_record_session_check(rr_absent_cell *absent, bool no_sessions, double now);

/* ---- queries ---- */

/* Returns for how many seconds the cell has had no controllers within one term; 0: the cell may
 * have controllers. */
double rr_absent_duration_s(const rr_absent_cell *absent, double now);

/* The record that the absent cell keeps of the transfer of one of its jobs. */
typedef struct {
    rr_outgoing_record record;
    uint64_t version; /* of the record in the absent cell's store */
} rr_absent_transfer;

/* Returns the job's transfer, borrowed until the next read. NULL: the job was never offered, or its
 * transfer has ended. */
const rr_absent_transfer *rr_absent_find_transfer(const rr_absent_cell *absent, const char *job_id);
/* Returns whether the absent cell's record assigns the job to the reading cell under this claim. */
bool rr_absent_has_claim(const rr_absent_cell *absent, const char *job_id, uint32_t claim);

/* accepted_at: time of day. transfer is NULL as in rr_absent_find_transfer(). All pointers are
 * borrowed for the call. */
typedef void (*rr_absent_job_fn)(void *user, const rr_submission *submission, double accepted_at,
                                 const rr_absent_transfer *transfer);
/* Calls `callback` for every job of the absent cell that is neither done nor cancelled. */
void rr_absent_each_open_job(const rr_absent_cell *absent, rr_absent_job_fn callback, void *user);

/* ---- changes to the absent cell's store ----
 *
 * The changes are guarded by that cell's term and by the records that were read. False: the change
 * is not possible, and the transaction must not be committed. */

/* Claims an open job for this cell. A cancellation by the job's user makes the commit fail.
 */
bool rr_absent_claim_job(const rr_absent_cell *absent, const char *job_id, const char *team,
                         rr_transaction *transaction);
/* Records a claimed job as done. Its tasks that are placed in the absent cell according to that
 * cell's ledger count as gone, since their workers have had no controllers. */
bool rr_absent_finish_job(const rr_absent_cell *absent, const char *job_id,
                          rr_transaction *transaction);
/* Gives back a job that this cell claimed: records in the absent cell that the job is withdrawn.
 * wall: time of day of the withdrawal. */
bool rr_absent_give_back_job(const rr_absent_cell *absent, const char *job_id, double wall,
                             rr_transaction *transaction);

#endif
