/* Two cells in one process for the tests of transfers: a core and a scripted key-value store each,
 * the package's transfers over them, and a link that can be cut or lose replies. Time is a number
 * that the test advances. */
#ifndef RR_TESTS_CELL_PAIR_H
#define RR_TESTS_CELL_PAIR_H

#include "core_fixture.h"
#include "core/extensions.h"

#include "cells/transfers.h"

struct test_cell {
    fake_store *store;
    test_controller node;
    rr_cells_settings settings;
    rr_transfers *transfers;
    uint64_t process, session;
    int machines;      /* vm-1 and so on, which report with each plan */
    uint64_t sequence; /* of their reports */
    /* If set, these see what the cell's package gives out: writes, requests as they go over the
     * wire, and its replies to requests. */
    void (*on_write)(void *watcher, const rr_transfer_write *write);
    void (*on_request)(void *watcher, const GByteArray *frame);
    void (*on_reply)(void *watcher, const rr_transfer_message *reply);
    void *watcher;
};

typedef struct {
    struct test_cell home, guest;
    bool home_dead;      /* it does nothing */
    bool cut;            /* nothing passes */
    bool lose_replies;   /* requests arrive, replies do not */
    bool refuse_commit;  /* changes at the guest are not made */
    bool plan_under_way; /* at the home */
    unsigned offers;     /* carried so far */
} cell_pair;

cell_pair *cell_pair_create(void);
void cell_pair_destroy(cell_pair *pair);
void cell_pair_advance(cell_pair *pair, double seconds);
/* One look of each at the other, with all that follows. */
void cell_pair_step(cell_pair *pair);
/* So many seconds, in steps of half a one. */
void cell_pair_play(cell_pair *pair, double seconds);
/* The home's controllers are gone: their session is, and nothing passes. */
void cell_pair_home_dies(cell_pair *pair);
/* The guest reads the home's key-value store, looks at its jobs, and makes the changes at both, or,
 * with hold_back, leaves those at the home to the caller. */
void cell_pair_read_home(cell_pair *pair, rr_absent *absent, GPtrArray *hold_back);
void cell_pair_commit_there(cell_pair *pair, GPtrArray *writes, unsigned *made);
/* The cell's controller begins anew: another session, another term, nothing remembered. */
void cell_restart(struct test_cell *cell, bool new_process);
void cell_fleet(struct test_cell *cell, int machines);
/* All machines report the job's tasks, as the ledger has them, in this state; one plan follows and
 * its commands are carried out. How many tasks of the job it stops. */
unsigned cell_plan_with(struct test_cell *cell, const char *job_id, const char *task_state);
void cell_plan(struct test_cell *cell, const char *job_id); /* the same: they run */
void cell_submit(struct test_cell *cell, const struct test_job *job);
bool cell_job(const struct test_cell *cell, const char *job_id, rr_core_job *out);
/* The guest's name for the job under this claim. */
const char *cell_pair_local(const cell_pair *pair, const char *job_id, uint32_t claim);

#endif
