/* Inside the package only: this cell's jobs at others. outgoing_records.c has entries, their
 * records and writes; outgoing_offers.c chooses what to offer; outgoing.c drives what is offered.
 */
#ifndef RR_CELLS_OUTGOING_H
#define RR_CELLS_OUTGOING_H

#include "cells/transfer_table.h"

/* ---- outgoing_records.c ---- */

/* The job's entry; made if there is none. */
rr_outgoing *rr_outgoing_get(rr_transfers *transfers, const char *job_id);
/* Removes the entry, and the hold that keeps the job from being placed here. */
void rr_outgoing_forget(rr_transfers *transfers, const char *job_id);
/* Takes a record from the store cache; value NULL: it is deleted. */
void rr_outgoing_put(rr_transfers *transfers, const char *job_id, const msgpack_object *value,
                     uint64_t version);
/* Makes sure that the entry's state machine is loaded for the present term. False: a write of an
 * earlier one is under way. */
bool rr_outgoing_load(rr_transfers *transfers, rr_outgoing *entry, double now);
/* What the state machine wants written. False: there is nothing to write after all, and the state
 * machine knows. */
bool rr_outgoing_make_write(rr_transfers *transfers, rr_outgoing *entry, double wall,
                            rr_transfer_write *write);
/* The same, added to the plan. */
bool rr_outgoing_plan_write(rr_transfers *transfers, rr_outgoing *entry, double wall,
                            rr_transfers_plan *plan);
/* As rr_transfers_written(). */
rr_transfer_message rr_outgoing_written(rr_transfers *transfers, const rr_transfer_write *write,
                                        bool committed);

/* ---- outgoing_offers.c ---- */

/* Offers jobs to the neighbour if this cell's own wait too long. No plan is under way. */
void rr_outgoing_offer(rr_transfers *transfers, size_t neighbour, double now, double wall,
                       rr_transfers_plan *plan);

/* ---- outgoing.c ---- */

/* As rr_transfers_advance(), for this cell's jobs at the neighbour. */
void rr_outgoing_look(rr_transfers *transfers, size_t neighbour, double now, double wall,
                      rr_transfers_plan *plan);
/* As rr_transfers_receive(), for messages of guests. */
bool rr_outgoing_receive(rr_transfers *transfers, size_t neighbour, const rr_cells_item *item,
                         double now, double wall, rr_transfer_message *reply,
                         rr_transfer_write *write);
/* The neighbour refuses an offer. As rr_transfers_replied(). */
bool rr_outgoing_refused(rr_transfers *transfers, size_t neighbour, const char *job_id,
                         const rr_transfer_message *message, double now, double wall,
                         rr_transfer_write *write);

#endif
