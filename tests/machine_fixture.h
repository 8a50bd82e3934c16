/* Fixture of the tests about machines: two machines or a fleet, their heartbeats, plans whose
 * commands have a chosen outcome, and steps of the autoscaler. */
#ifndef RR_TESTS_MACHINE_FIXTURE_H
#define RR_TESTS_MACHINE_FIXTURE_H

#include "core_fixture.h"

/* cmocka set-up: a core_fixture with machine vm-1 recorded in zone a and vm-2 in zone b, both
 * rented from the cloud or both operator-owned. The teardown is core_fixture_teardown(). */
int two_rented_machines_setup(void **state);
int two_operator_owned_machines_setup(void **state);

/* Returns the zone of vm-1 or vm-2. */
const char *fixture_machine_zone(const char *id);

/* Sends a heartbeat of vm-1 or vm-2 with the present fencing token. task: as in
 * test_controller_heartbeat(); NULL: none. */
void send_heartbeat(test_controller *controller, const char *id, uint64_t sequence,
                    const char *task);

/* Formats task 0 of the job for a heartbeat; state: "running" or "ended:done" for example. The
 * caller frees the string. */
char *format_heartbeat_task(const char *job_id, uint64_t attempt, const char *state);

/* Returns the machine, vm-1 or vm-2, on which task 0 of the job is placed; NULL: neither. *attempt,
 * unless attempt is NULL, receives the task's attempt; 0: not placed. */
const char *find_task_machine(const fake_store *store, const char *job_id, uint64_t *attempt);

/* Sends a heartbeat of vm-1 and of vm-2, submits the job and plans twice: the first plan reserves
 * task 0, the second starts it. Returns as find_task_machine(). */
const char *submit_and_start(core_fixture *fixture, const struct test_job *job, uint64_t *attempt);

/* Initialises `restarted` as a new process of the fixture's controller: it reads the whole store
 * and joins with a new session, in a term of its own. The caller clears it with
 * test_controller_clear(). */
void restart_controller(core_fixture *fixture, test_controller *restarted);

/* Plans once; every command has this outcome. Returns 1 if a transaction was committed, otherwise
 * 0. */
int plan_with_outcome(test_controller *controller, enum rr_command_outcome outcome);
/* Plans once; commands to machine `id` (NULL: none) get no answer, all others are executed. */
void plan_without_answer_from(test_controller *controller, const char *id);
/* Plans once; commands to machine `id` (NULL: none) are executed, all others cannot be sent.
 * Returns the number of probes, which are batches without a command. */
unsigned plan_with_one_reachable(test_controller *controller, const char *id);
/* The same with no machine reachable. */
unsigned plan_with_none_reachable(test_controller *controller);

/* Records the operator-owned machines vm-1 to vm-<count> in zone a, and appends them to `listed`
 * (rr_listed_machine) as running. */
void record_fleet(core_fixture *fixture, int count, GArray *listed);
/* Sends heartbeats without tasks of vm-<first> to vm-<last> in zone a. */
void send_fleet_heartbeats(test_controller *controller, int first, int last, uint64_t sequence);

/* Takes autoscaler steps, at most 60, until one is of this kind. Transactions are committed, a
 * request for the machine list is answered with `listed` (NULL: an empty list) and one for the
 * catalogue with an empty one. When there is nothing to do, the clock advances by 1 s, except in a
 * search for RR_AUTOSCALER_SCALE_IN, which then ends. Returns whether such a step came. The caller
 * clears *out with rr_autoscaler_step_clear(). */
bool step_autoscaler_until(core_fixture *fixture, enum rr_autoscaler_step_kind kind,
                           const GArray *listed, rr_autoscaler_step *out);
/* Takes one autoscaler step, in which the cloud lists vm-1 and vm-2. Returns whether the step
 * releases machine `id`, and if so tells the core that the release succeeded. */
bool autoscaler_step_releases(core_fixture *fixture, const char *id);

#endif
