/* All transfers that a controller knows of, from the records of its cell: those of its own jobs
 * (outgoing) and those that it holds for other cells (incoming), each driven by its state machine
 * (transfer.h). Only the controller that plans a job's team drives its transfer.
 *
 * No I/O and no clock; called under the lock that guards the core, which it asks about jobs and
 * tells what may be placed. Writes are handed out as transactions, and their outcome handed back.
 */
#ifndef RR_CELLS_TRANSFERS_H
#define RR_CELLS_TRANSFERS_H

#include "cells/absent.h"
#include "cells/messages.h"
#include "cells/records.h"
#include "core/core.h"
#include "core/state/transaction.h"

typedef struct rr_transfers rr_transfers;

/* process: unique for this process, for grants to tell it from an earlier one. */
rr_transfers *rr_transfers_create(const rr_cells_settings *settings, const struct rr_config *config,
                                  rr_core *core, uint64_t process);
void rr_transfers_destroy(rr_transfers *transfers);

/* A record of the package, as the core's store cache takes it; rest: of its key after
 * RR_CELLS_PREFIX. value NULL: it is deleted. False: it can't be read. */
bool rr_transfers_put(rr_transfers *transfers, const char *rest, const msgpack_object *value,
                      uint64_t version);

/* What is to be written for one transfer. */
typedef struct {
    bool outgoing;
    char id[RR_ID_SIZE]; /* the job's, as this cell calls it */
    bool ends_copy;      /* cancels the copy of another cell's job: peers are to be told */
    bool ends_claim; /* at a cell without controllers: its record of the claim is over with it */
    rr_transaction transaction;
} rr_transfer_write;

void rr_transfer_write_clear(gpointer write);

/* What a look at the transfers with one neighbour asks for. */
typedef struct {
    GPtrArray *writes;   /* rr_transfer_write*, owned */
    GPtrArray *requests; /* rr_cells_request*, owned: one for each team and 64 items */
} rr_transfers_plan;

void rr_transfers_plan_init(rr_transfers_plan *plan);
void rr_transfers_plan_clear(rr_transfers_plan *plan);
/* may_offer: no change that places tasks is under way. */
void rr_transfers_look(rr_transfers *transfers, size_t neighbour, bool may_offer, double now,
                       double wall, rr_transfers_plan *out);
/* The write's outcome, after the core has taken its changes. The message, if any, is for the
 * neighbour; in a reply to what caused the write, or dropped, as the next look repeats it. */
rr_transfer_message rr_transfers_written(rr_transfers *transfers, const rr_transfer_write *write,
                                         bool committed);

/* A message from a neighbour about a job of a team that this controller plans. Either *reply is the
 * reply to it, or *write is to be committed first (true) and its message is. */
bool rr_transfers_receive(rr_transfers *transfers, size_t neighbour,
                          const rr_cells_request *request, const rr_cells_item *item, double now,
                          double wall, rr_transfer_message *reply, rr_transfer_write *write);
/* The neighbour's reply to a message; NOTHING: it had none. True: *write is to be committed. */
bool rr_transfers_replied(rr_transfers *transfers, size_t neighbour, const rr_cells_item *asked,
                          const rr_transfer_message *reply, double now, double wall,
                          rr_transfer_write *write);
/* The same with a neighbour that has no controllers, as its key-value store shows it. Changes to
 * that one are added to `there`: rr_transfer_write*, owned by it. asked: before anything of it was
 * read.
 */
void rr_transfers_look_absent(rr_transfers *transfers, size_t neighbour, const rr_absent *absent,
                              double asked, double now, double wall, rr_transfers_plan *here,
                              GPtrArray *there);
/* A change there that ends a claim is made. */
void rr_transfers_absent_written(rr_transfers *transfers, const rr_transfer_write *write);

/* The free room that the neighbour told with a reply. */
void rr_transfers_room_announced(rr_transfers *transfers, size_t neighbour,
                                 const rr_cells_room *room, double now);
/* And what this cell tells. */
rr_cells_room rr_transfers_room(rr_transfers *transfers, double now);
/* The neighbour did not answer. */
void rr_transfers_unanswered(rr_transfers *transfers, size_t neighbour, double now);

/* Whether the team's messages may be answered here: this controller plans it, surely still. */
bool rr_transfers_speaks_for(const rr_transfers *transfers, const char *team, double now);

/* Whether a job of this cell is at a neighbour, which, and what it is called there. */
bool rr_transfers_transferred(const rr_transfers *transfers, const char *job_id, size_t *neighbour,
                              char *local_id, size_t size);

/* What stands between a user's cancellation and its record. */
enum rr_cancel_first {
    RR_CANCEL_FREE,     /* nothing */
    RR_CANCEL_WITHDRAW, /* the record of this version becomes *withdrawn first */
    RR_CANCEL_WAIT      /* grants may last yet for *wait_s */
};
/* Whether a cancellation may be recorded now, if the transfer's record has this version still (0:
 * there is none). A store cache that lags may not know that the job was offered. */
bool rr_transfers_may_cancel(const rr_transfers *transfers, const char *job_id, double wall,
                             uint64_t *version);
enum rr_cancel_first rr_transfers_cancel(const rr_transfers *transfers, const char *job_id,
                                         double wall, double *wait_s, rr_out_record *withdrawn,
                                         uint64_t *version);

typedef struct {
    unsigned outgoing, incoming;      /* now */
    uint64_t offered, taken, refused; /* so far: our jobs */
    uint64_t finished, withdrawn;     /* by other cells; taken back */
    uint64_t accepted, given_back;    /* theirs */
    uint64_t granted, lapsed;
    uint64_t claimed; /* of cells without controllers */
    uint64_t records_unread;
    bool spilling;
} rr_transfers_stats;
void rr_transfers_get_stats(const rr_transfers *transfers, rr_transfers_stats *out);

#endif
