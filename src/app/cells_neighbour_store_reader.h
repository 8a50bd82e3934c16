/* Reads the key-value store of a neighbour cell while none of its controllers answers, and commits
 * the resulting changes, such as claims of its jobs, to both cells' stores. */
#ifndef RR_APP_CELLS_NEIGHBOUR_STORE_READER_H
#define RR_APP_CELLS_NEIGHBOUR_STORE_READER_H

#include "app/app.h"
#include "cells/absent.h"

/* How often a neighbour's store is read, or a heartbeat is sent to it, during one grant lease. */
#define RR_CELLS_CHECKS_PER_LEASE 6.0

/* Belongs to the neighbour's thread. Times are of the steady clock. */
struct rr_neighbour_store_reader {
    rr_store *store;         /* of the neighbour; NULL: the settings name none */
    rr_absent_cell *absent;  /* records of the last read; NULL if `store` is */
    double unanswered_since; /* time of the first unanswered request; 0: controllers answer */
    double request_sent_at;  /* time of the last request to its controllers */
    double read_started_at;  /* start of the last read */
    double read_at;          /* when a read was last due; bounds the rate of reads */
};

/* Initialises the reader, and opens the neighbour's store if the settings name one. */
void rr_neighbour_store_reader_init(struct rr_app *app, size_t neighbour,
                                    struct rr_neighbour_store_reader *reader);
/* Frees what rr_neighbour_store_reader_init() has created. */
void rr_neighbour_store_reader_clear(struct rr_neighbour_store_reader *reader);
/* Reads the neighbour's records if none of its controllers has answered for half a lease and a read
 * is due, and commits the resulting changes to both cells' key-value stores. own_store: client of
 * this cell's store. Takes rr_app.lock; the caller must hold no lock. */
void rr_neighbour_store_reader_run(struct rr_app *app, rr_store *own_store,
                                   struct rr_neighbour_store_reader *reader, size_t neighbour);

#endif
