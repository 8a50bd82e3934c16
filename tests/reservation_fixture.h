/* One controller with a machine in each of two zones, and one job reserved on one of them. */
#ifndef RR_TESTS_RESERVATION_FIXTURE_H
#define RR_TESTS_RESERVATION_FIXTURE_H

#include "core_fixture.h"

/* Fixture set-up: vm-1 in zone a, vm-2 in zone b. */
int reservation_setup(void **state);
const char *zone_of(const char *machine);

/* Submits a job and shows it to the controller. */
void submit_job(core_fixture *fixture, const struct test_job *job);

/* Lets both machines report empty and reserves the job's first task. Returns its machine. */
const char *reserve_one(core_fixture *fixture, const struct test_job *job, uint64_t *attempt);

/* Task 0 of the job as a heartbeat shows it, "running" or "ended:done" for example; the caller
 * frees it. */
char *task_shown(const char *job_id, uint64_t attempt, const char *state);

/* A heartbeat of the machine under the controller's present token, which shows this task; NULL: no
 * task. */
void heartbeat_with(test_controller *node, const char *machine, uint64_t worker_epoch,
                    uint64_t sequence, const char *task);

/* Plans once, commits and discards the commands. 1: committed. */
int plan_and_commit(test_controller *node);

#endif
