/* All transfers that a controller knows of from the records of its cell: those of its own jobs
 * (outgoing) and those of jobs that it holds for other cells (incoming). Each has a state machine
 * (transfer.h), which only the controller that plans the job's team advances.
 *
 * The functions do no I/O and read no clock. All of them are called under the lock that guards the
 * core; they read jobs from the core and tell it which ones it may place. Writes are returned as
 * transactions for the caller to commit, and the caller reports their outcome.
 *
 * now is the steady clock and wall the time of day, both in seconds; neighbour is an index into
 * settings->neighbours. */
#ifndef RR_CELLS_TRANSFERS_H
#define RR_CELLS_TRANSFERS_H

#include "cells/absent.h"
#include "cells/messages.h"
#include "cells/records.h"
#include "core/core.h"
#include "core/state/transaction.h"

typedef struct rr_transfers rr_transfers;

/* Returns an object without transfers, for rr_transfers_destroy(). process: unique for this
 * process, so that grants to it differ from those to an earlier one. settings, config and core are
 * borrowed and outlive the object. */
rr_transfers *rr_transfers_create(const rr_cells_settings *settings, const struct rr_config *config,
                                  rr_core *core, uint64_t process);
/* NULL is allowed. */
void rr_transfers_destroy(rr_transfers *transfers);

/* Takes a record of a transfer from the core's store cache. key_suffix: its key after
 * RR_CELLS_KEY_PREFIX. value NULL: the record was deleted. Returns false if it can't be read. */
bool rr_transfers_apply_record(rr_transfers *transfers, const char *key_suffix,
                               const msgpack_object *value, uint64_t version);

/* ---- writes and plans ---- */

/* A transaction to be committed for one transfer. */
typedef struct {
    bool outgoing;       /* the transfer is of a job of this cell */
    char id[RR_ID_SIZE]; /* the job's id in this cell */
    bool cancels_copy;   /* cancels the copy of another cell's job: peers need an announcement */
    bool ends_claim;     /* at a cell without controllers: its record no longer has the claim */
    rr_transaction transaction;
} rr_transfer_write;

/* Frees what a write (rr_transfer_write *) owns. */
void rr_transfer_write_clear(gpointer write);
/* Clears and frees a write on the heap; a GDestroyNotify. */
void rr_transfer_write_free(gpointer write);

/* What is due in one pass over the transfers with one neighbour. */
typedef struct {
    GPtrArray *writes;   /* rr_transfer_write *, owned */
    GPtrArray *requests; /* rr_cells_request *, owned: each for one team, and with
                            RR_CELLS_ITEMS_MAX items at most */
} rr_transfers_plan;

/* Makes an empty plan, for rr_transfers_plan_clear(). */
void rr_transfers_plan_init(rr_transfers_plan *plan);
/* Frees the plan's writes and requests. */
void rr_transfers_plan_clear(rr_transfers_plan *plan);

/* Advances the transfers with this neighbour and adds to the plan what is due. may_offer: whether
 * jobs may be offered; false while the commit of a plan that places tasks has no outcome yet. */
void rr_transfers_advance(rr_transfers *transfers, size_t neighbour, bool may_offer, double now,
                          double wall, rr_transfers_plan *plan);

/* What is known of a write when its commit has ended. */
enum rr_write_status {
    RR_WRITE_COMMITTED,      /* the core has taken its changes */
    RR_WRITE_NOT_COMMITTED,  /* it was not sent, or refused before it was executed */
    RR_WRITE_OUTCOME_UNKNOWN /* it may have been executed */
};

typedef struct {
    enum rr_write_status status;
    /* With RR_WRITE_OUTCOME_UNKNOWN: the store's revision when it answered with a conflict, which
     * an earlier attempt of the same write may have caused; 0: there was no conflict. */
    uint64_t revision;
} rr_write_outcome;

/* Takes a write's outcome. An unknown one leaves the write pending until the store cache shows what
 * was executed; then a later call of rr_transfers_advance() completes it. Returns the message that
 * follows; NOTHING: none. If a message caused the write, the returned one goes into the reply to
 * it; otherwise it may be dropped, as the next pass sends it again. */
rr_transfer_message rr_transfers_complete_write(rr_transfers *transfers,
                                                const rr_transfer_write *write,
                                                const rr_write_outcome *outcome, double now);

/* ---- messages ---- */

/* Takes a message about a job of a team that this controller plans. Returns true if *write is to be
 * committed first: the message that rr_transfers_complete_write() returns is then the reply.
 * Returns false if *reply is the reply; its kind may be NOTHING. */
bool rr_transfers_receive_message(rr_transfers *transfers, size_t neighbour,
                                  const rr_cells_request *request, const rr_cells_item *item,
                                  double now, double wall, rr_transfer_message *reply,
                                  rr_transfer_write *write);
/* Takes the neighbour's reply to the message in sent_item; its kind may be NOTHING. Returns whether
 * *write is to be committed. */
bool rr_transfers_receive_reply(rr_transfers *transfers, size_t neighbour,
                                const rr_cells_item *sent_item, const rr_transfer_message *reply,
                                double now, double wall, rr_transfer_write *write);
/* Records that the neighbour did not answer: no job is offered to it for a while. */
void rr_transfers_record_no_reply(rr_transfers *transfers, size_t neighbour, double now);

/* Takes the free room that the neighbour announced in a reply. */
void rr_transfers_set_neighbour_room(rr_transfers *transfers, size_t neighbour,
                                     const rr_cells_room *room, double now);
/* Returns the free room that this cell announces; zero while it takes no jobs of other cells. */
rr_cells_room rr_transfers_get_free_room(rr_transfers *transfers, double now);

/* Returns whether messages about the team's jobs may be answered here: this controller plans the
 * team, under a lease that is certainly still valid, and its store cache is recent. */
bool rr_transfers_may_answer_for(const rr_transfers *transfers, const char *team, double now);

/* ---- neighbours without controllers ---- */

/* As rr_transfers_advance(), for a neighbour of which only the key-value store can be reached.
 * Writes to this cell's store go into local_plan; those to the neighbour's store are added to
 * neighbour_writes (rr_transfer_write *), whose free function is set. read_started_at: steady time
 * at which reading the neighbour's store began. */
void rr_transfers_advance_absent(rr_transfers *transfers, size_t neighbour,
                                 const rr_absent_cell *absent, double read_started_at, double now,
                                 double wall, rr_transfers_plan *local_plan,
                                 GPtrArray *neighbour_writes);
/* Takes a write to the neighbour's store that has been committed. */
void rr_transfers_complete_absent_write(rr_transfers *transfers, const rr_transfer_write *write);

/* ---- users' requests ---- */

/* Returns whether a job of this cell is at a neighbour. If so, sets *neighbour and the job's id
 * there, local_id, which has `size` bytes. */
bool rr_transfers_locate_job(const rr_transfers *transfers, const char *job_id, size_t *neighbour,
                             char *local_id, size_t size);

/* What has to happen before a user's cancellation may be recorded. */
enum rr_cancel_precondition {
    RR_CANCEL_ALLOWED,          /* nothing */
    RR_CANCEL_NEEDS_WITHDRAWAL, /* the transfer's record of *version has to become *withdrawn */
    RR_CANCEL_NEEDS_WAIT        /* *wait_s have to pass, as grants may last so long */
};
/* Returns what has to happen before the job may be cancelled, according to the store cache, which
 * may lag: rr_transfers_may_cancel() guards against that. Sets *wait_s to the seconds for which a
 * grant may still last (0 or less: none does), and *withdrawn and *version with
 * RR_CANCEL_NEEDS_WITHDRAWAL only. */
enum rr_cancel_precondition rr_transfers_get_cancel_precondition(const rr_transfers *transfers,
                                                                 const char *job_id, double wall,
                                                                 double *wait_s,
                                                                 rr_outgoing_record *withdrawn,
                                                                 uint64_t *version);
/* Returns whether a cancellation may be recorded now. The transaction that records it has to be
 * guarded by *version of the transfer's record (0: there is none), as the store cache may not show
 * an offer yet. */
bool rr_transfers_may_cancel(const rr_transfers *transfers, const char *job_id, double wall,
                             uint64_t *version);

/* ---- statistics ---- */

typedef struct {
    /* Transfers that exist now. */
    unsigned outgoing, incoming;
    /* Counters of this cell's jobs at other cells. */
    uint64_t offered, taken, refused;
    uint64_t finished;  /* ended while offered to another cell */
    uint64_t withdrawn; /* taken back from another cell */
    /* Counters of other cells' jobs here. */
    uint64_t accepted, given_back;
    /* Other counters. */
    uint64_t granted;            /* grants given to other cells */
    uint64_t lapsed;             /* jobs given back because their grant had run out */
    uint64_t claimed;            /* jobs claimed from cells without controllers */
    uint64_t unreadable_records; /* records that could not be read */
    uint64_t unknown_outcomes;   /* writes whose outcome only the store cache could show */
    bool spilling;               /* this cell offers jobs now */
} rr_transfers_stats;
/* Copies the counters and the present state to *out. */
void rr_transfers_get_stats(const rr_transfers *transfers, rr_transfers_stats *out);

#endif
