/* Package-internal: jobs of other cells in this one. incoming_records.c has their entries, records
 * and writes; incoming_offers.c accepts or refuses offers; incoming.c advances the jobs that are
 * held. */
#ifndef RR_CELLS_INCOMING_H
#define RR_CELLS_INCOMING_H

#include "cells/transfer_table.h"

/* ---- incoming_records.c ---- */

/* Returns the entry of the job with this local id; creates it if there is none. The table owns it.
 */
rr_incoming *rr_incoming_get_or_create(rr_transfers *transfers, const char *local_id);
/* Takes a record from the store cache; value NULL: it was deleted. */
void rr_incoming_apply_record(rr_transfers *transfers, const char *local_id,
                              const msgpack_object *value, uint64_t version);
/* Makes the write that the entry's state machine has requested. The caller owns *write. */
void rr_incoming_make_write(rr_transfers *transfers, const rr_incoming *entry,
                            rr_transfer_write *write);
/* Adds the write that the entry's state machine has requested to the plan. */
void rr_incoming_plan_write(rr_transfers *transfers, const rr_incoming *entry,
                            rr_transfers_plan *plan);
/* Cancels the copy of the job in this cell: its leases are revoked at once, and a write that is
 * added to the plan ends its tasks as any cancellation does. */
void rr_incoming_plan_copy_cancellation(rr_transfers *transfers, const rr_incoming *entry,
                                        rr_transfers_plan *plan);
/* As rr_transfers_complete_write(), for a write of an incoming job. */
rr_transfer_message rr_incoming_complete_write(rr_transfers *transfers,
                                               const rr_transfer_write *write,
                                               const rr_write_outcome *outcome, double now);
/* Completes the writes whose unknown outcome the store cache shows by now. */
void rr_incoming_resolve_writes(rr_transfers *transfers, double now);

/* ---- incoming_offers.c ---- */

/* As rr_transfers_receive_message(), for an offer. */
bool rr_incoming_receive_offer(rr_transfers *transfers, size_t neighbour,
                               const rr_cells_request *request, const rr_cells_item *item,
                               double now, double wall, rr_transfer_message *reply,
                               rr_transfer_write *write);

/* ---- incoming.c ---- */

/* Returns whether this controller owns the entry, its state machine is loaded for the present term,
 * and no write is pending. */
bool rr_incoming_is_ready(rr_transfers *transfers, const rr_incoming *entry, double now);
/* As rr_transfers_advance(), for the jobs of this neighbour that are held here. */
void rr_incoming_advance(rr_transfers *transfers, size_t neighbour, double now,
                         rr_transfers_plan *plan);
/* Takes the home's reply to a message about a job that is held here. */
void rr_incoming_receive_reply(rr_transfers *transfers, size_t neighbour,
                               const rr_cells_item *sent_item, const rr_transfer_message *reply);

#endif
