/* Controllers under test, each a core on a fake store with a clock that the test sets. */
#ifndef RR_TESTS_CONTROLLER_FIXTURE_H
#define RR_TESTS_CONTROLLER_FIXTURE_H

#include "fake_store.h"

#include "core/planning.h"
#include "core/scaling.h"

typedef struct {
    struct rr_config config;
    fake_store *store;
    rr_core *core;
    double now;
    double spot_notice_s; /* the notice that the next heartbeats show, below 0: none */
} test_controller;

/* Settings of a controller named n0, n1 or n2 with the other two as peers, teams red and blue, and
 * zones a and b. */
void test_config(struct rr_config *config, const char *name);
void test_controller_init(test_controller *node, fake_store *store, const char *name);
void test_controller_clear(test_controller *node);

/* ---- membership ---- */

/* Commits the next term if one is due, and syncs. */
void test_controller_next_term(test_controller *node);
/* Registers a session with this lease and commits the next term. */
void test_controller_join(test_controller *node, uint64_t lease_id);
/* Deletes the session. */
void test_controller_leave(test_controller *node);
/* Another controller, n1, whose version has no capabilities, joins and leaves; `node` commits the
 * terms. */
void test_controller_join_old_version(test_controller *node);
void test_controller_leave_old_version(test_controller *node);

/* ---- heartbeats ---- */

/* Takes a heartbeat of machine id with these tasks, each "job-id task attempt state[:exit-reason]",
 * ended by NULL. */
void test_controller_heartbeat(test_controller *node, const char *id, const char *zone, bool spot,
                               uint64_t worker_epoch, uint64_t sequence, uint64_t fencing_token,
                               ...);
/* Returns the state in which a machine shows a task, the `shown`-th of its heartbeat. */
typedef const char *(*shown_task_state_fn)(int machine, const char *job_id, uint32_t task,
                                           int shown, uint64_t sequence);
/* Machines that show what the ledger has there of some jobs. */
struct shown_machines {
    int first, last, last_in_a; /* vm-<first> to vm-<last>; those after last_in_a are in zone b */
    const char *const *job_ids; /* the jobs' ids */
    int jobs;
    uint32_t tasks; /* looked for, of each job */
    int task_max;   /* in a heartbeat, SHOWN_TASKS_MAX at most */
    uint64_t worker_epoch, sequence;
    shown_task_state_fn state;
};
#define SHOWN_TASKS_MAX 16
void test_controller_show_machines(test_controller *node, const struct shown_machines *show);
/* Records `many` operator-owned machines from vm-<first> on, all of which send an empty heartbeat.
 */
void test_controller_add_machines(test_controller *node, int first, int many, const char *zone);

/* ---- users ---- */

void test_controller_cancel(test_controller *node, const char *job_id);

/* ---- plans ---- */

/* Plans, commits and syncs once. Returns 1 if a transaction was committed. The commands are in
 * *plan until rr_plan_clear(). */
int test_controller_plan(test_controller *node, rr_plan *plan);
/* Returns the commands for machine id in the plan, or NULL. */
rr_command_batch *plan_find_batch(const rr_plan *plan, const char *id);
/* Returns the first command of this kind for the task, or NULL. */
const rr_command *plan_find_command(const rr_plan *plan, const char *id,
                                    enum rr_command_kind command_kind, const char *job_id,
                                    uint32_t task);

/* ---- autoscaler ---- */

/* Takes one step of the autoscaler: records are committed and a list is answered with `machines`
 * (rr_listed_machine); any other request is in *out, for the caller to answer and to clear. */
void test_controller_autoscaler_step(test_controller *node, const GArray *machines,
                                     rr_autoscaler_step *out);
/* Adds a machine of type m1 to a list of rr_listed_machine. */
void list_machine(GArray *machines, const char *id, const char *zone, enum rr_listed_state state,
                  double age_s);

#endif
