/* Fixture of the reservation tests: one controller, a machine in each of two zones, and one job
 * that is reserved on one of them. */
#ifndef RR_TESTS_RESERVATION_FIXTURE_H
#define RR_TESTS_RESERVATION_FIXTURE_H

#include "core_fixture.h"

/* cmocka set-up: a core_fixture with rented machines vm-1 in zone a and vm-2 in zone b. The
 * teardown is core_fixture_teardown(). */
int reservation_setup(void **state);
/* Returns the zone of vm-1 or vm-2. */
const char *reservation_machine_zone(const char *machine);

/* Records the job as submitted and updates the controller's store cache. */
void submit_job(core_fixture *fixture, const struct test_job *job);

/* Sends a heartbeat without tasks of both machines, submits the job and plans once, which reserves
 * its task 0 and starts nothing. Returns the task's machine, and its attempt in *attempt. */
const char *submit_and_reserve(core_fixture *fixture, const struct test_job *job,
                               uint64_t *attempt);

/* Formats task 0 of the job for a heartbeat; state: "running" or "ended:done" for example. The
 * caller frees the string. */
char *format_reported_task(const char *job_id, uint64_t attempt, const char *state);

/* Sends a heartbeat of vm-1 or vm-2 with the present fencing token, which reports this task; NULL:
 * no task. */
void send_heartbeat_with_task(test_controller *controller, const char *machine,
                              uint64_t worker_epoch, uint64_t sequence, const char *task);

/* Plans once, commits the transaction and discards the commands. Returns 1 if a transaction was
 * committed, otherwise 0. */
int plan_and_commit(test_controller *controller);

#endif
