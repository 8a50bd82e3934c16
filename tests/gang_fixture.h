/* Fixture of the gang tests: one controller, three machines in each of two zones, and helpers that
 * run gangs on them. */
#ifndef RR_TESTS_GANG_FIXTURE_H
#define RR_TESTS_GANG_FIXTURE_H

#include "core/scheduling/gang_phase.h"
#include "core_fixture.h"

#define GANG_MACHINE_COUNT 6
#define GANG_MACHINES_IN_ZONE_A 3 /* vm-1 to vm-3; the others are in zone b */

/* Job req-1: a gang of three tasks of ten CPUs in one zone, with checkpoints and high priority. */
extern const struct test_job gang_job;

/* cmocka set-up: a core_fixture with the operator-owned machines vm-1 to vm-6. Its teardown is
 * core_fixture_teardown(). */
int gang_setup(void **state);

/* Records the job as submitted and updates the controller's store cache. */
void submit_gang_job(core_fixture *fixture, const struct test_job *job);

/* Sends a heartbeat of machine vm-<machine> that reports its tasks of the job in this state, up to
 * four of the job's first eight; state NULL: the heartbeat reports no task. spot_notice_s below 0:
 * no spot notice. */
void gang_send_heartbeat(test_controller *controller, int machine, const char *job_id,
                         const char *state, uint64_t worker_epoch, double spot_notice_s);
/* Sends such a heartbeat of every machine, in worker epoch 1 and without a spot notice. */
void gang_send_heartbeats(test_controller *controller, const char *job_id, const char *state);
/* Sends a heartbeat of every machine with its tasks of these jobs: those of tasks 0 to `tasks` - 1
 * of each job that are placed on it. `state` returns the state of each. */
void gang_report_jobs(test_controller *controller, const char *const *job_ids, int jobs,
                      uint32_t tasks, reported_task_state_fn state);
/* States for gang_report_jobs(): every task runs, or every task is done. */
const char *gang_report_task_running(int machine, const char *job_id, uint32_t task, int position,
                                     uint64_t sequence);
const char *gang_report_task_done(int machine, const char *job_id, uint32_t task, int position,
                                  uint64_t sequence);

/* Plans once and reports every command as executed. Returns the number of commands of this kind for
 * the job. *grace_s, unless grace_s is NULL, receives the shortest grace period among them; 1e9:
 * there were none. */
unsigned gang_plan_and_answer(test_controller *controller, enum rr_command_kind command_kind,
                              const char *job_id, double *grace_s);
/* Submits the gang to empty machines and plans twice: the first plan reserves all tasks, the second
 * starts them. */
void gang_submit_and_start(core_fixture *fixture, const struct test_job *job);

/* Returns the phase of the job's gang at the controller's present time. */
enum rr_gang_phase gang_get_phase(const test_controller *controller, const char *job_id);
/* Returns the number of the machine on which this task of req-1 is placed, and its attempt in
 * *attempt; both 0: not placed. */
int gang_find_machine(const core_fixture *fixture, uint32_t task, uint64_t *attempt);
/* Returns the attempt of task 0 of req-1, and asserts that tasks 1 to `tasks` - 1 have the same. */
uint64_t gang_shared_attempt(const core_fixture *fixture, uint32_t tasks);

#endif
