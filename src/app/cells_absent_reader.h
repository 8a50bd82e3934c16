/* Reads the key-value store of a neighbour cell while no controller answers there, and writes what
 * claims its jobs. */
#ifndef RR_APP_CELLS_ABSENT_READER_H
#define RR_APP_CELLS_ABSENT_READER_H

#include "app/app.h"
#include "cells/absent.h"

/* Reads and heartbeats of a neighbour in each lease. */
#define RR_CELLS_READS_PER_LEASE 6.0

/* Belongs to the neighbour's thread. Times are steady. */
struct rr_absent_reader {
    rr_store *store; /* the neighbour's; NULL: the settings name none */
    rr_absent *absent;
    double unanswered_since; /* 0: the neighbour's controllers answer */
    double request_sent_at;  /* the last one to its controllers */
    double read_started_at;
    double read_at;
};

/* Opens the neighbour's store, if the settings name one. */
void rr_absent_reader_init(struct rr_app *app, size_t neighbour, struct rr_absent_reader *reader);
/* Frees what rr_absent_reader_init() created. */
void rr_absent_reader_clear(struct rr_absent_reader *reader);
/* Reads the neighbour's records, if no controller there has answered for half a lease and a read is
 * due, and commits what follows from them to both key-value stores. own_store: this cell's. Takes
 * `lock`; caller holds no lock. */
void rr_absent_reader_run(struct rr_app *app, rr_store *own_store, struct rr_absent_reader *reader,
                          size_t neighbour);

#endif
