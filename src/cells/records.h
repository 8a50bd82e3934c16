/* The transfer records in a cell's key-value store: one for each of its jobs that was offered to
 * another cell ("out/"), and one for each claim that it holds on another cell's job ("in/"). */
#ifndef RR_CELLS_RECORDS_H
#define RR_CELLS_RECORDS_H

#include "cells/settings.h"
#include "cells/transfer.h"
#include "core/state/transaction.h"
#include "wire/wire.h"

#define RR_CELLS_KEY_PREFIX "rr/cells/" /* of the keys of all transfer records */
#define RR_CELLS_OUTGOING_PREFIX                                                                   \
    "out/" /* follows RR_CELLS_KEY_PREFIX in the keys of rr_outgoing_record */
#define RR_CELLS_INCOMING_PREFIX                                                                   \
    "in/" /* follows RR_CELLS_KEY_PREFIX in the keys of rr_incoming_record */
#define RR_CELLS_KEY_SIZE (RR_ID_SIZE + 64)

/* The home's record of a job that was offered to another cell. */
typedef struct {
    char team[RR_TEXT_SIZE];
    char guest[RR_CELL_NAME_SIZE]; /* name of the cell to which the last offer went */
    enum rr_home_state state;
    uint32_t claim;      /* number of the last offer */
    double withdrawn_at; /* time of day when it was withdrawn, 0 while it is offered; the guest's
                            grants end a lease later */
} rr_outgoing_record;

/* The guest's record of a claim on another cell's job. */
typedef struct {
    char team[RR_TEXT_SIZE];
    char home[RR_CELL_NAME_SIZE];
    char job_id[RR_ID_SIZE]; /* id in the home cell; its id here is rr_cells_make_local_id() */
    enum rr_guest_state state;
    uint32_t claim;            /* number of the offer that was accepted */
    enum rr_job_answer answer; /* how the job ended; RR_ANSWER_NONE: it is open */
} rr_incoming_record;

/* Writes the complete key of the home's record of a job; RR_CELLS_KEY_SIZE bytes are enough. */
void rr_cells_outgoing_key(const char *job_id, char *out, size_t size);
/* As rr_cells_outgoing_key(), for the guest's record of a claim. */
void rr_cells_incoming_key(const char *local_id, char *out, size_t size);
/* Appends a record's encoded value. */
void rr_cells_outgoing_encode(const rr_outgoing_record *record, rr_encoder *out);
/* As rr_cells_outgoing_encode(). */
void rr_cells_incoming_encode(const rr_incoming_record *record, rr_encoder *out);
/* Adds to the transaction a write of the home's record, guarded by its present version (0: it does
 * not exist). record NULL: deletes it. */
void rr_cells_outgoing_add_write(rr_transaction *transaction, const char *job_id, uint64_t version,
                                 const rr_outgoing_record *record);
/* Returns a copy of the record, marked as withdrawn from the guest. wall: time of day. */
rr_outgoing_record rr_cells_outgoing_withdraw(const rr_outgoing_record *record, double wall);
/* Decodes a record's value. Returns 0, or -EBADMSG. */
int rr_cells_outgoing_decode(const msgpack_object *value, rr_outgoing_record *out);
/* As rr_cells_outgoing_decode(). */
int rr_cells_incoming_decode(const msgpack_object *value, rr_incoming_record *out);

/* Writes the id that a guest gives to the job of a claim. It differs for each claim, so that a
 * final copy left from an earlier claim is not mistaken for the job of this one. It has the form of
 * every job id. */
void rr_cells_make_local_id(const char *home, const char *job_id, uint32_t claim, char *out,
                            size_t size);

#endif
