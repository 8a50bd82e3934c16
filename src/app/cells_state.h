/* State of cells in this process, and the steps that its threads share. */
#ifndef RR_APP_CELLS_STATE_H
#define RR_APP_CELLS_STATE_H

#include "app/app.h"
#include "cells/links.h"
#include "cells/transfers.h"

/* A thread that drives the transfers with one neighbour. */
struct rr_neighbour_thread {
    struct rr_app *app;
    size_t neighbour; /* index in the settings */
    pthread_t thread;
    bool started;
};

struct rr_app_cells {
    rr_transfers *transfers; /* under rr_app.lock */
    /* Steady: until then the neighbour counts as unreachable for users' requests. Under
     * rr_app.lock. */
    double unreachable_until[RR_CELLS_MAX];
    rr_cells_links *links;
    struct rr_neighbour_thread neighbour_threads[RR_CELLS_MAX];
    /* For the neighbours' key-value stores; NULL: the settings name none. */
    rr_budget *neighbour_budgets[RR_CELLS_MAX];
};

/* Commits a transfer's change and hands the outcome to the transfers. Returns the message that the
 * neighbour is to get, if any. Takes `lock`; caller holds no lock. */
rr_transfer_message rr_app_cells_commit(struct rr_app *app, rr_store *store,
                                        const rr_transfer_write *write);
/* Records whether a neighbour has answered. Takes `lock`; caller holds no lock. */
void rr_app_cells_record_answer(struct rr_app *app, size_t neighbour, bool answered);
/* Creates a client for the key-value store of a claimable neighbour; rr_store_destroy() ends it. */
rr_store *rr_app_cells_open_neighbour_store(struct rr_app *app, size_t neighbour);

#endif
