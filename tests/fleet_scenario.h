/* Helpers for tests with many jobs, req-000001 and on, and many machines, vm-1 and on. */
#ifndef RR_TESTS_FLEET_SCENARIO_H
#define RR_TESTS_FLEET_SCENARIO_H

#include "core_fixture.h"

#define JOB_ID_SIZE 32 /* bytes */
/* Writes the id of the job of this number to out, which has JOB_ID_SIZE bytes. */
void format_job_id(int number, char *out);

/* Submits `count` jobs like this one, numbered from `first` on, and updates the controller's store
 * cache. */
void submit_jobs(test_controller *controller, int first, int count, const struct test_job *like);
/* Returns the number of changes in the plan's transaction; 0: it has none. */
guint count_plan_changes(const rr_plan *plan);
/* Plans at intervals of 10 ms, with every command executed, until a plan has neither a change nor a
 * command, or 400 times. Returns the total number of changes. */
unsigned plan_until_settled(test_controller *controller);

/* Sends heartbeats without tasks of machines vm-<first> to vm-<last>. */
void send_heartbeats_without_tasks(test_controller *controller, int first, int last,
                                   const char *zone, uint64_t worker_epoch, uint64_t sequence);
/* Sends heartbeats of machines vm-1 to vm-<last> in zone a, with up to four tasks of the job each,
 * all in this state. Machines without a task of the job send none. */
void send_heartbeats_with_job(test_controller *controller, int last, const char *job_id,
                              uint32_t task_count, const char *state, uint64_t sequence);

#endif
