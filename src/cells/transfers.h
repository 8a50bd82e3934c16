/* All transfers that a controller knows of, from the records of its cell: those of its own jobs
 * (outgoing) and those that it holds for other cells (incoming), each driven by its state machine
 * (transfer.h). Only the controller that plans a job's team drives its transfer.
 *
 * No I/O and no clock. All functions are called under the lock that guards the core, from which
 * they read jobs and which they tell what may be placed. Writes are handed out as transactions, and
 * their outcome is handed back.
 *
 * now is the steady clock and wall the time of day, in seconds; neighbour is an index of the
 * settings. */
#ifndef RR_CELLS_TRANSFERS_H
#define RR_CELLS_TRANSFERS_H

#include "cells/absent.h"
#include "cells/messages.h"
#include "cells/records.h"
#include "core/core.h"
#include "core/state/transaction.h"

typedef struct rr_transfers rr_transfers;

/* process: unique for this process, so that grants to it differ from those to an earlier one.
 * settings, config and core are borrowed and outlive the object. */
rr_transfers *rr_transfers_create(const rr_cells_settings *settings, const struct rr_config *config,
                                  rr_core *core, uint64_t process);
/* NULL is allowed. */
void rr_transfers_destroy(rr_transfers *transfers);

/* Takes a record of the package from the core's store cache; rest: its key after RR_CELLS_PREFIX.
 * value NULL: it is deleted. False: it can't be read. */
bool rr_transfers_put(rr_transfers *transfers, const char *rest, const msgpack_object *value,
                      uint64_t version);

/* ---- writes and plans ---- */

/* What is to be written for one transfer. */
typedef struct {
    bool outgoing;
    char id[RR_ID_SIZE]; /* the job's, as this cell calls it */
    bool ends_copy;      /* cancels the copy of another cell's job: peers need an announcement */
    bool ends_claim;     /* at a cell without controllers: its record holds the claim no longer */
    rr_transaction transaction;
} rr_transfer_write;

/* Clears a write (rr_transfer_write *), or also frees it. */
void rr_transfer_write_clear(gpointer write);
/* As a GDestroyNotify for writes on the heap. */
void rr_transfer_write_free(gpointer write);

/* What a look at the transfers with one neighbour asks for. */
typedef struct {
    GPtrArray *writes;   /* rr_transfer_write*, owned */
    GPtrArray *requests; /* rr_cells_request*, owned: each for one team, not larger than allowed */
} rr_transfers_plan;

/* An empty plan, for rr_transfers_plan_clear(). */
void rr_transfers_plan_init(rr_transfers_plan *plan);
/* Frees its writes and requests. */
void rr_transfers_plan_clear(rr_transfers_plan *plan);

/* Adds to the plan what is due with this neighbour. may_offer: no change that places tasks is under
 * way. */
void rr_transfers_advance(rr_transfers *transfers, size_t neighbour, bool may_offer, double now,
                          double wall, rr_transfers_plan *plan);

/* Takes a write's outcome, after the core has taken its changes. Returns the message that follows;
 * NOTHING: none. It goes into the reply to what caused the write; otherwise it may be dropped, as
 * the next look repeats it. */
rr_transfer_message rr_transfers_written(rr_transfers *transfers, const rr_transfer_write *write,
                                         bool committed);

/* ---- messages ---- */

/* Takes a message about a job of a team that this controller plans. True: *write is to be
 * committed, and the message that follows it is the reply. False: *reply is; its kind may be
 * NOTHING. */
bool rr_transfers_receive(rr_transfers *transfers, size_t neighbour,
                          const rr_cells_request *request, const rr_cells_item *item, double now,
                          double wall, rr_transfer_message *reply, rr_transfer_write *write);
/* Takes the neighbour's reply to a message; its kind may be NOTHING. True: *write is to be
 * committed. */
bool rr_transfers_replied(rr_transfers *transfers, size_t neighbour, const rr_cells_item *asked,
                          const rr_transfer_message *reply, double now, double wall,
                          rr_transfer_write *write);
/* The neighbour did not answer. */
void rr_transfers_unanswered(rr_transfers *transfers, size_t neighbour, double now);

/* Takes the free room that the neighbour announced with a reply. */
void rr_transfers_room_announced(rr_transfers *transfers, size_t neighbour,
                                 const rr_cells_room *room, double now);
/* The free room that this cell announces. */
rr_cells_room rr_transfers_room(rr_transfers *transfers, double now);

/* Whether the team's messages may be answered here: this controller plans it, certainly still, and
 * its store cache is recent. */
bool rr_transfers_speaks_for(const rr_transfers *transfers, const char *team, double now);

/* ---- neighbours without controllers ---- */

/* As rr_transfers_advance(), with a neighbour as its key-value store shows it. Changes to that
 * store are added to `there` (rr_transfer_write*), which gets a function to free them. asked: when
 * the reading began. */
void rr_transfers_advance_absent(rr_transfers *transfers, size_t neighbour, const rr_absent *absent,
                                 double asked, double now, double wall, rr_transfers_plan *here,
                                 GPtrArray *there);
/* A change to that store is committed. */
void rr_transfers_absent_written(rr_transfers *transfers, const rr_transfer_write *write);

/* ---- users' requests ---- */

/* Whether a job of this cell is at a neighbour, which, and what it is called there. */
bool rr_transfers_transferred(const rr_transfers *transfers, const char *job_id, size_t *neighbour,
                              char *local_id, size_t size);

/* What has to happen before a user's cancellation is recorded. */
enum rr_cancel_precondition {
    RR_CANCEL_FREE,     /* nothing */
    RR_CANCEL_WITHDRAW, /* the transfer's record of *version becomes *withdrawn */
    RR_CANCEL_WAIT      /* *wait_s pass: grants may last so long */
};
/* By the store cache; rr_transfers_may_cancel() guards against its lag. */
enum rr_cancel_precondition rr_transfers_cancel(const rr_transfers *transfers, const char *job_id,
                                                double wall, double *wait_s,
                                                rr_out_record *withdrawn, uint64_t *version);
/* Whether a cancellation may be recorded now, if the transfer's record still has *version (0: there
 * is none). The guard is needed because a store cache may lag behind an offer. */
bool rr_transfers_may_cancel(const rr_transfers *transfers, const char *job_id, double wall,
                             uint64_t *version);

/* ---- statistics ---- */

typedef struct {
    unsigned outgoing, incoming;      /* present transfers */
    uint64_t offered, taken, refused; /* counters: this cell's jobs at others, */
    uint64_t finished, withdrawn;     /* finished by other cells, and withdrawn from them; */
    uint64_t accepted, given_back;    /* other cells' jobs here; */
    uint64_t granted, lapsed;         /* grants given, and lapsed here; */
    uint64_t claimed;                 /* jobs claimed of cells without controllers; */
    uint64_t records_unread;          /* records that could not be read */
    bool spilling;
} rr_transfers_stats;
/* Copies the counters and the present state. */
void rr_transfers_get_stats(const rr_transfers *transfers, rr_transfers_stats *out);

#endif
