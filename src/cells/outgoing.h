/* Package-internal: jobs of this cell at other cells. outgoing_records.c has their entries, records
 * and writes; outgoing_offers.c chooses the jobs to offer; outgoing.c advances those that were
 * offered. */
#ifndef RR_CELLS_OUTGOING_H
#define RR_CELLS_OUTGOING_H

#include "cells/transfer_table.h"

/* ---- outgoing_records.c ---- */

/* Returns the job's entry; creates it if there is none. The table owns it. */
rr_outgoing *rr_outgoing_get_or_create(rr_transfers *transfers, const char *job_id);
/* Removes the entry, and the hold that keeps the job from being placed here. */
void rr_outgoing_remove(rr_transfers *transfers, const char *job_id);
/* Takes a record from the store cache; value NULL: it was deleted. */
void rr_outgoing_apply_record(rr_transfers *transfers, const char *job_id,
                              const msgpack_object *value, uint64_t version);
/* Loads the entry's state machine for the present term unless it is loaded already. Returns false
 * if it can't be, since a write of an earlier term is pending. */
bool rr_outgoing_load(rr_transfers *transfers, rr_outgoing *entry, double now);
/* Makes the write that the entry's state machine has requested; the caller owns *write. Returns
 * false if the write is not possible any more: the state machine has then been told that it failed,
 * and *write is cleared. */
bool rr_outgoing_make_write(rr_transfers *transfers, rr_outgoing *entry, double wall,
                            rr_transfer_write *write);
/* Adds the write that the entry's state machine has requested to the plan. Returns as
 * rr_outgoing_make_write(). */
bool rr_outgoing_plan_write(rr_transfers *transfers, rr_outgoing *entry, double wall,
                            rr_transfers_plan *plan);
/* As rr_transfers_complete_write(), for a write of an outgoing job. */
rr_transfer_message rr_outgoing_complete_write(rr_transfers *transfers,
                                               const rr_transfer_write *write,
                                               const rr_write_outcome *outcome, double now);
/* Completes the writes whose unknown outcome the store cache shows by now. */
void rr_outgoing_resolve_writes(rr_transfers *transfers, double now);

/* ---- outgoing_offers.c ---- */

/* Offers jobs to the neighbour if this cell's own jobs wait too long. Not to be called while a
 * change that places tasks is incomplete. */
void rr_outgoing_offer_jobs(rr_transfers *transfers, size_t neighbour, double now, double wall,
                            rr_transfers_plan *plan);

/* ---- outgoing.c ---- */

/* As rr_transfers_advance(), for jobs of this cell at the neighbour. */
void rr_outgoing_advance(rr_transfers *transfers, size_t neighbour, double now, double wall,
                         rr_transfers_plan *plan);
/* As rr_transfers_receive_message(), for a guest's message about a job of this cell. */
bool rr_outgoing_receive_message(rr_transfers *transfers, size_t neighbour,
                                 const rr_cells_item *item, double now, double wall,
                                 rr_transfer_message *reply, rr_transfer_write *write);
/* As rr_transfers_receive_reply(), for the neighbour's refusal of an offer. */
bool rr_outgoing_receive_refusal(rr_transfers *transfers, size_t neighbour, const char *job_id,
                                 const rr_transfer_message *message, double now, double wall,
                                 rr_transfer_write *write);

#endif
