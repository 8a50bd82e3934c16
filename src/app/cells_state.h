/* This process's state of job transfers between cells, and the operations that its threads
 * share. */
#ifndef RR_APP_CELLS_STATE_H
#define RR_APP_CELLS_STATE_H

#include "app/app.h"
#include "cells/links.h"
#include "cells/transfers.h"

/* The thread that handles the transfers with one neighbour. */
struct rr_neighbour_thread {
    struct rr_app *app;
    size_t neighbour; /* index into the settings' neighbours */
    pthread_t thread;
    bool started; /* must be joined */
};

/* Arrays are indexed by neighbour, as in the settings. */
struct rr_app_cells {
    rr_transfers *transfers; /* protected by rr_app.lock */
    /* Steady clock: users' requests are not sent to the neighbour before this time; 0: it is not
     * known to be unreachable. Protected by rr_app.lock. */
    double unreachable_until[RR_CELLS_NEIGHBOURS_MAX];
    rr_cells_server *server;
    struct rr_neighbour_thread neighbour_threads[RR_CELLS_NEIGHBOURS_MAX];
    /* Limit the requests to the neighbours' key-value stores; NULL: the settings name no store. */
    rr_budget *neighbour_budgets[RR_CELLS_NEIGHBOURS_MAX];
};

/* Commits a transfer's write to this cell's key-value store and reports the outcome to the
 * transfers. Returns the message for the neighbour; its kind is RR_TRANSFER_NOTHING if there is
 * none. Takes rr_app.lock; the caller must hold no lock. */
rr_transfer_message rr_app_cells_commit_write(struct rr_app *app, rr_store *store,
                                              const rr_transfer_write *write);
/* Records whether a neighbour has answered a request. Takes rr_app.lock; the caller must hold no
 * lock. */
void rr_app_cells_record_reachability(struct rr_app *app, size_t neighbour, bool answered);
/* Creates a client for the key-value store of a claimable neighbour; the caller destroys it with
 * rr_store_destroy(). */
rr_store *rr_app_cells_open_neighbour_store(struct rr_app *app, size_t neighbour);

#endif
