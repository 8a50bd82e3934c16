/* Controllers under test: each has its own core, on a fake store that controllers may share, and a
 * clock that the test sets. */
#ifndef RR_TESTS_CONTROLLER_FIXTURE_H
#define RR_TESTS_CONTROLLER_FIXTURE_H

#include "fake_store.h"

#include "core/planning.h"
#include "core/scaling.h"

typedef struct {
    struct rr_config config;
    fake_store *store; /* not owned */
    rr_core *core;
    double now;           /* seconds; both the steady clock and the time of day, 1000 at first */
    double spot_notice_s; /* spot notice in the heartbeats to come; below 0: none, as at first */
} test_controller;

/* Fills the settings of a controller named n0, n1 or n2, with the other two as its peers, the teams
 * red and blue, and zone a. */
void test_config_init(struct rr_config *config, const char *name);
/* Creates the controller's core; test_controller_clear() frees it. */
void test_controller_init(test_controller *controller, fake_store *store, const char *name);
void test_controller_clear(test_controller *controller);

/* ---- membership ---- */

/* Commits the next term if one is due, and updates the controller's store cache. */
void test_controller_begin_next_term(test_controller *controller);
/* Registers a session with this lease and commits the next term. */
void test_controller_join(test_controller *controller, uint64_t lease_id);
/* Deletes the controller's session; the term stays as it is until the next
 * test_controller_begin_next_term(). */
void test_controller_delete_session(test_controller *controller);
/* Adds or removes the session of another controller, n1, whose version announces no capabilities.
 * `controller` commits the term that follows. */
void test_controller_join_old_version(test_controller *controller);
void test_controller_delete_old_version_session(test_controller *controller);

/* ---- heartbeats ---- */

/* Passes a heartbeat of machine `id` to the core. The variable arguments are the machine's tasks as
 * strings "job-id task attempt state[:exit-reason]", ended by NULL. */
void test_controller_heartbeat(test_controller *controller, const char *id, const char *zone,
                               bool spot, uint64_t worker_epoch, uint64_t sequence,
                               uint64_t fencing_token, ...);
/* Returns the state, "state[:exit-reason]", that machine vm-<machine> reports for a task.
 * `position` is the task's index in the heartbeat. */
typedef const char *(*reported_task_state_fn)(int machine, const char *job_id, uint32_t task,
                                              int position, uint64_t sequence);
/* Machines that report the tasks which the ledger has placed on them. */
struct reporting_machines {
    int first, last;            /* vm-<first> to vm-<last> */
    int last_in_zone_a;         /* those after it are in zone b */
    const char *const *job_ids; /* the jobs whose tasks are reported */
    int job_count;              /* length of job_ids */
    uint32_t tasks_per_job;     /* the first tasks of each job, looked up in the ledger */
    int heartbeat_tasks_max;    /* most tasks in one heartbeat, at most HEARTBEAT_TASKS_MAX */
    uint64_t worker_epoch, sequence;
    reported_task_state_fn state; /* called for each reported task */
};
#define HEARTBEAT_TASKS_MAX 16
/* Passes one heartbeat of each of these machines to the core. */
void test_controller_send_heartbeats(test_controller *controller,
                                     const struct reporting_machines *reporting);
/* Records `count` operator-owned machines from vm-<first> on, and passes a heartbeat without tasks
 * of each to the core. */
void test_controller_add_machines(test_controller *controller, int first, int count,
                                  const char *zone);

/* ---- users ---- */

/* Records the cancellation of the job and updates the controller's store cache. */
void test_controller_cancel(test_controller *controller, const char *job_id);

/* ---- plans ---- */

/* Plans once, commits the plan's transaction and updates the store cache. Returns 1 if a
 * transaction was committed, 0 if there was none or it was refused. The caller clears *plan with
 * rr_plan_clear(). */
int test_controller_plan(test_controller *controller, rr_plan *plan);
/* Returns the commands for machine `id`, owned by the plan; NULL: none. */
rr_command_batch *plan_find_batch(const rr_plan *plan, const char *id);
/* Returns the first command of this kind for the task on machine `id`, owned by the plan; NULL:
 * none. */
const rr_command *plan_find_command(const rr_plan *plan, const char *id,
                                    enum rr_command_kind command_kind, const char *job_id,
                                    uint32_t task);

/* ---- autoscaler ---- */

/* Takes one step of the autoscaler. A transaction is committed, and a request for the machine list
 * is answered with `machines` (rr_listed_machine); the caller answers any other request. The caller
 * clears *out with rr_autoscaler_step_clear(). */
void test_controller_autoscaler_step(test_controller *controller, const GArray *machines,
                                     rr_autoscaler_step *out);
/* Appends a machine of type m1 to an array of rr_listed_machine. */
void append_listed_machine(GArray *machines, const char *id, const char *zone,
                           enum rr_listed_state state, double age_s);

#endif
