/* Two cells in one process for the tests of transfers: a core and a scripted key-value store each,
 * the package's transfers over them, and a link that can be cut or lose replies. Time is a number
 * that the test advances. */
#ifndef RR_TESTS_CELL_PAIR_H
#define RR_TESTS_CELL_PAIR_H

#include "core/extensions.h"
#include "core_fixture.h"

#include "cells/transfers.h"

struct test_cell {
    fake_store *store;
    test_controller node;
    rr_cells_settings settings;
    rr_transfers *transfers;
    uint64_t process, session;
    int machines;      /* vm-1 and so on, which send a heartbeat with each plan */
    uint64_t sequence; /* of their heartbeats */
    /* If set, these are called with the output of the cell's package: writes, requests as they go
     * over the wire, and its replies to requests. */
    void (*on_write)(void *watcher, const rr_transfer_write *write);
    void (*on_request)(void *watcher, const GByteArray *frame);
    void (*on_reply)(void *watcher, const rr_transfer_message *reply);
    void *watcher;
};

typedef struct {
    struct test_cell home, guest;
    bool home_dead;      /* it has no controllers */
    bool cut;            /* the link delivers nothing */
    bool lose_replies;   /* requests arrive, replies do not */
    bool refuse_commit;  /* changes at the guest are not made */
    bool plan_under_way; /* at the home */
    unsigned offers;     /* delivered so far */
} cell_pair;

/* ---- for test programs ---- */

/* Fixtures of a test whose state is a cell_pair. */
int cell_pair_setup(void **state);
int cell_pair_teardown(void **state);
#define CELL_PAIR_TEST(name)                                                                       \
    cmocka_unit_test_setup_teardown(name, cell_pair_setup, cell_pair_teardown)

/* A job of two tasks. */
#define CELL_PAIR_JOB "req-1"
extern const struct test_job cell_pair_job;

/* The home has no machine and the guest two; the job waits for longer than begin_wait_s. */
void cell_pair_wait_at_home(cell_pair *pair, const struct test_job *job);
/* cell_pair_job is offered, taken, granted, and runs at the guest; its name there. */
const char *cell_pair_spill(cell_pair *pair);
/* All its tasks end there as done. */
void cell_pair_end_at_guest(cell_pair *pair, const char *local);
/* Number of tasks of the job that the cell's ledger has placed. */
unsigned cell_placed(const struct test_cell *cell, const char *job_id);

/* ---- the two cells ---- */

cell_pair *cell_pair_create(void);
void cell_pair_destroy(cell_pair *pair);
void cell_pair_advance(cell_pair *pair, double seconds);
/* Each side looks at its transfers once, and all that follows is carried out. */
void cell_pair_step(cell_pair *pair);
/* So many seconds, in steps of half a one. */
void cell_pair_play(cell_pair *pair, double seconds);
/* The home's controllers are gone: their session has ended, and the link delivers nothing. */
void cell_pair_home_dies(cell_pair *pair);
/* The guest reads the home's key-value store, looks at its jobs, and makes the changes at both, or,
 * with hold_back, leaves those at the home to the caller. */
void cell_pair_read_home(cell_pair *pair, rr_absent_cell *absent, GPtrArray *hold_back);
/* Commits the guest's changes to the home's store, and adds to *made how many succeed. */
void cell_pair_commit_there(cell_pair *pair, GPtrArray *writes, unsigned *made);
/* The cell's controller restarts: another session and term; new_process: with an empty memory. */
void cell_restart(struct test_cell *cell, bool new_process);
void cell_fleet(struct test_cell *cell, int machines);
/* All machines send heartbeats with the job's tasks, as the ledger has them, in this state; one
 * plan follows and its commands are executed. Returns how many tasks of the job it stops. */
unsigned cell_plan_with(struct test_cell *cell, const char *job_id, const char *task_state);
void cell_plan(struct test_cell *cell, const char *job_id); /* with running tasks */
void cell_submit(struct test_cell *cell, const struct test_job *job);
bool cell_job(const struct test_cell *cell, const char *job_id, rr_core_job *out);
/* The guest's name for the job under this claim. */
const char *cell_pair_local(const cell_pair *pair, const char *job_id, uint32_t claim);

#endif
