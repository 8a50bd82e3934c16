/* Inside the package only: other cells' jobs here. incoming_records.c has entries, their records
 * and writes; incoming_offers.c takes or refuses offers; incoming.c drives what is held. */
#ifndef RR_CELLS_INCOMING_H
#define RR_CELLS_INCOMING_H

#include "cells/transfer_table.h"

/* ---- incoming_records.c ---- */

/* The entry of the job of this local name; made if there is none. */
rr_incoming *rr_incoming_get(rr_transfers *transfers, const char *local_id);
/* Takes a record from the store cache; value NULL: it is deleted. */
void rr_incoming_put(rr_transfers *transfers, const char *local_id, const msgpack_object *value,
                     uint64_t version);
/* What the entry's state machine wants written. */
void rr_incoming_make_write(rr_transfers *transfers, const rr_incoming *entry,
                            rr_transfer_write *write);
/* The same, added to the plan. */
void rr_incoming_plan_write(rr_transfers *transfers, const rr_incoming *entry,
                            rr_transfers_plan *plan);
/* Ends the copy of the job: its leases here at once, its tasks as any cancellation does, by a write
 * that is added to the plan. */
void rr_incoming_plan_end_of_copy(rr_transfers *transfers, const rr_incoming *entry,
                                  rr_transfers_plan *plan);
/* As rr_transfers_written(). */
rr_transfer_message rr_incoming_written(rr_transfers *transfers, const rr_transfer_write *write,
                                        bool committed);

/* ---- incoming_offers.c ---- */

/* As rr_transfers_receive(), for an offer. */
bool rr_incoming_offered(rr_transfers *transfers, size_t neighbour, const rr_cells_request *request,
                         const rr_cells_item *item, double now, double wall,
                         rr_transfer_message *reply, rr_transfer_write *write);

/* ---- incoming.c ---- */

/* Whether the entry is loaded for the present term, this controller is its owner, and no write is
 * under way. */
bool rr_incoming_ready(rr_transfers *transfers, const rr_incoming *entry, double now);
/* As rr_transfers_advance(), for the jobs of this neighbour here. */
void rr_incoming_look(rr_transfers *transfers, size_t neighbour, double now,
                      rr_transfers_plan *plan);
/* The home's reply to a message about a job that is held here. */
void rr_incoming_replied(rr_transfers *transfers, size_t neighbour, const rr_cells_item *asked,
                         const rr_transfer_message *reply);

#endif
