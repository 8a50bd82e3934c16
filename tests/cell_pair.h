/* Two cells in one process for tests of job transfers. The home, cell h, submits jobs; the guest,
 * cell g, may run them. Each has a core, a scripted key-value store and the transfers module under
 * test. The link between them can be cut or drop replies, and the test advances the clock. */
#ifndef RR_TESTS_CELL_PAIR_H
#define RR_TESTS_CELL_PAIR_H

#include "core/extensions.h"
#include "core_fixture.h"

#include "app/plan_outcome.h"
#include "cells/transfers.h"

/* One cell with a single controller. */
struct test_cell {
    fake_store *store;
    test_controller controller;
    rr_cells_settings settings;
    rr_transfers *transfers;
    uint64_t process_id; /* rises with each new process of the controller */
    uint64_t session_id; /* of the controller's session; rises each time a session is opened */
    int machine_count;   /* vm-1 to vm-<machine_count>, which send a heartbeat before each plan */
    uint64_t heartbeat_sequence;
    /* The next commit is executed, but gets no answer; when sent again, it meets a conflict. */
    bool lose_next_answer;
    /* Optional callbacks for what the transfers module puts out: its writes, its requests as packed
     * frames, and its replies to requests. NULL: not called. */
    void (*on_write)(void *watcher, const rr_transfer_write *write);
    void (*on_request)(void *watcher, const GByteArray *frame);
    void (*on_reply)(void *watcher, const rr_transfer_message *reply);
    void *watcher; /* passed to the callbacks */
};

typedef struct {
    struct test_cell home, guest;
    bool home_controllers_down; /* the home has no controllers */
    bool link_down;             /* the link delivers neither requests nor replies */
    bool drop_replies;          /* the link delivers requests, but drops the replies */
    bool fail_guest_commits;    /* the guest's commits fail, except those that follow a reply */
    bool home_plan_in_progress; /* the home is planning, so it must not offer jobs */
    struct rr_plan_outcome home_plan_outcome; /* of the home's last plan: restricts offers, too */
    unsigned offers_delivered;                /* offers that have reached either cell */
} cell_pair;

/* ---- fixtures and common scenarios ---- */

/* Setup and teardown of a test whose state is a cell_pair. */
int cell_pair_setup(void **state);
int cell_pair_teardown(void **state);
#define CELL_PAIR_TEST(name)                                                                       \
    cmocka_unit_test_setup_teardown(name, cell_pair_setup, cell_pair_teardown)

/* A job of two tasks with four CPUs each, submitted at the home. */
#define CELL_PAIR_JOB_ID "req-1"
extern const struct test_job cell_pair_job;

/* Adds two machines to the guest, submits the job at the home, and advances the clock by more than
 * begin_wait_s, so that the job is due to be offered. */
void cell_pair_submit_overdue_job(cell_pair *pair, const struct test_job *job);
/* Submits cell_pair_job at the home, transfers it and starts its tasks at the guest. Returns the
 * guest's id of it, as cell_pair_guest_job_id(). */
const char *cell_pair_transfer_job(cell_pair *pair);
/* Ends all tasks of a transferred job as done. local: the guest's id of the job. */
void cell_pair_finish_at_guest(cell_pair *pair, const char *local);
/* Returns the number of the job's tasks that the cell's ledger has placed. */
unsigned cell_count_placed_tasks(const struct test_cell *cell, const char *job_id);

/* ---- the pair and its link ---- */

/* Returns a pair whose cells have one running controller and no machines each. Owned by the caller,
 * who frees it with cell_pair_destroy(). */
cell_pair *cell_pair_create(void);
void cell_pair_destroy(cell_pair *pair);
/* Advances the clocks of both cells. */
void cell_pair_advance(cell_pair *pair, double seconds);
/* Advances the transfers of each cell once, commits their writes and delivers their requests. The
 * home is left out while it has no controllers. */
void cell_pair_step(cell_pair *pair);
/* Lets time pass in steps of half a second. */
void cell_pair_run_for(cell_pair *pair, double seconds);
/* Ends the session of the home's controller and cuts the link. */
void cell_pair_stop_home_controllers(cell_pair *pair);
/* Reads the home's key-value store from the guest, as while the home has no controllers, and
 * commits the changes that follow at both cells. held_back: if not NULL, changes of the home's
 * store are added to it (rr_transfer_write *) instead of committed. */
void cell_pair_read_home(cell_pair *pair, rr_absent_cell *absent, GPtrArray *held_back);
/* Commits the guest's writes to the home's store. Adds the number that succeeded to *committed. */
void cell_pair_commit_to_home(cell_pair *pair, GPtrArray *writes, unsigned *committed);

/* ---- one cell ---- */

/* Restarts the cell's controller with a new session and term. new_process: its memory is lost, too,
 * and loaded again from the store. */
void cell_restart_controller(struct test_cell *cell, bool new_process);
/* Adds operator-owned machines vm-1 and so on in zone a. */
void cell_add_machines(struct test_cell *cell, int machines);
/* Sends a heartbeat of each machine that shows the job's placed tasks in this state, then plans
 * once and reports all commands as executed. Returns how many tasks of the job the plan stops. */
unsigned cell_plan_with_task_state(struct test_cell *cell, const char *job_id,
                                   const char *task_state);
/* As cell_plan_with_task_state(), with running tasks. */
void cell_plan(struct test_cell *cell, const char *job_id);
/* Lets the cell's watch deliver changes again, or not. */
void cell_set_watch_stuck(struct test_cell *cell, bool stuck);
/* Stores a submission of the job and brings the cell's core up to date. */
void cell_submit_job(struct test_cell *cell, const struct test_job *job);
/* Copies the core's state of the job to *out. Returns false if the core has no such job. */
bool cell_find_job(const struct test_cell *cell, const char *job_id, rr_core_job *out);
/* Returns the guest's id of a job of the home under this claim, in a buffer that the next call
 * overwrites. */
const char *cell_pair_guest_job_id(const cell_pair *pair, const char *job_id, uint32_t claim);

#endif
