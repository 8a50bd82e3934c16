/* The records of transfers in a cell's key-value store: one for each of its jobs that was offered
 * to another cell, one for each claim that it holds for another. */
#ifndef RR_CELLS_RECORDS_H
#define RR_CELLS_RECORDS_H

#include "cells/settings.h"
#include "cells/transfer.h"
#include "core/state/transaction.h"
#include "wire/wire.h"

#define RR_CELLS_PREFIX "rr/cells/"
#define RR_CELLS_OUT "out/"
#define RR_CELLS_IN "in/"
#define RR_CELLS_KEY_SIZE (RR_ID_SIZE + 64)

/* A job of this cell at another. */
typedef struct {
    char team[RR_TEXT_SIZE];
    char guest[RR_CELL_NAME];
    enum rr_home_state state;
    uint32_t claim;
    double withdrawn_at; /* time of day: grants end a lease later; 0 while it is offered */
} rr_out_record;

/* A job of another cell here. */
typedef struct {
    char team[RR_TEXT_SIZE];
    char home[RR_CELL_NAME];
    char job_id[RR_ID_SIZE]; /* as its home calls it; here it is called rr_cells_local_id() */
    enum rr_guest_state state;
    uint32_t claim;
    enum rr_job_answer answer;
} rr_in_record;

/* Keys of the records, whole; RR_CELLS_KEY_SIZE is enough. */
void rr_cells_out_key(const char *job_id, char *out, size_t size);
/* As rr_cells_out_key(), for a job that is held here. */
void rr_cells_in_key(const char *local_id, char *out, size_t size);
/* Append a record's value. */
void rr_cells_out_encode(const rr_out_record *record, rr_encoder *out);
/* As rr_cells_out_encode(). */
void rr_cells_in_encode(const rr_in_record *record, rr_encoder *out);
/* Adds a change of the record that has this version (0: there is none); record NULL: deletes it. */
void rr_cells_out_write(rr_transaction *transaction, const char *job_id, uint64_t version,
                        const rr_out_record *record);
/* What the record becomes when the job is withdrawn from its guest. */
rr_out_record rr_cells_out_withdrawn(const rr_out_record *record, double wall);
/* 0, or -EBADMSG. */
int rr_cells_out_decode(const msgpack_object *value, rr_out_record *out);
/* As rr_cells_out_decode(). */
int rr_cells_in_decode(const msgpack_object *value, rr_in_record *out);

/* What a guest calls the job that it holds under this claim: another name for each claim, so that a
 * final copy under an earlier one is not mistaken for this one. It has the form of all job ids. */
void rr_cells_local_id(const char *home, const char *job_id, uint32_t claim, char *out,
                       size_t size);

#endif
