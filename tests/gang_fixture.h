/* One controller with three machines in each of two zones, and gangs on them. */
#ifndef RR_TESTS_GANG_FIXTURE_H
#define RR_TESTS_GANG_FIXTURE_H

#include "core/scheduling/gang_phase.h"
#include "core_fixture.h"

#define GANG_MACHINES 6
#define GANG_MACHINES_IN_A 3 /* vm-1 to vm-3 */

/* Three tasks of ten CPUs in one zone, with checkpoints, of high priority. */
extern const struct test_job gang_job;

/* Fixture set-up: vm-1 to vm-6. */
int gang_setup(void **state);

/* Submits a job and shows it to the controller. */
void submit_gang_job(core_fixture *fixture, const struct test_job *job);

/* A heartbeat of the machine, with its tasks of the job in this state; NULL: no task. */
void gang_show(test_controller *node, int machine, const char *job_id, const char *state,
               uint64_t worker_epoch, double spot_notice_s);
/* The same for all machines, without a notice. */
void gang_show_all(test_controller *node, const char *job_id, const char *state);
/* A heartbeat of every machine, with its tasks of these jobs, up to so many of each. */
void gang_show_jobs(test_controller *node, const char *const *job_ids, int jobs, uint32_t tasks,
                    shown_task_state_fn state);
/* States for gang_show_jobs(). */
const char *gang_task_runs(int machine, const char *job_id, uint32_t task, int shown,
                           uint64_t sequence);
const char *gang_task_is_done(int machine, const char *job_id, uint32_t task, int shown,
                              uint64_t sequence);

/* Plans once, and answers the commands. Returns how many commands of this kind went out for the
 * job; *grace_s, which may be NULL: the least grace among them. */
unsigned gang_plan(test_controller *node, enum rr_command_kind command_kind, const char *job_id,
                   double *grace_s);
/* Submits the gang, reserves and starts it. */
void gang_start(core_fixture *fixture, const struct test_job *job);

enum rr_gang_phase gang_phase(const test_controller *node, const char *job_id);
/* The machine of a task of req-1 and its attempt; 0: not placed. */
int gang_machine_of(const core_fixture *fixture, uint32_t task, uint64_t *attempt);
/* The attempt of req-1, which all of these tasks have to share. */
uint64_t gang_shared_attempt(const core_fixture *fixture, uint32_t tasks);

#endif
