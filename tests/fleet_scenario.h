/* Scenarios with many machines and jobs: jobs req-000001 and on, machines vm-1 and on. */
#ifndef RR_TESTS_FLEET_SCENARIO_H
#define RR_TESTS_FLEET_SCENARIO_H

#include "core_fixture.h"

#define JOB_ID_SIZE 32
/* Writes the id of the job of this number to out, which has JOB_ID_SIZE bytes. */
void job_id_of(int number, char *out);

/* Submits `many` jobs like this one, numbered from `first` on. */
void submit_many(test_controller *node, int first, int many, const struct test_job *like);
/* Changes in the plan's transaction. */
guint plan_changes(const rr_plan *plan);
/* Plans and answers every command until a plan changes and commands nothing. Returns the number of
 * changes. */
unsigned plan_until_settled(test_controller *node);

/* Machines vm-<first> to vm-<last> send a heartbeat without tasks. */
void heartbeat_without_tasks(test_controller *node, int first, int last, const char *zone,
                             uint64_t worker_epoch, uint64_t sequence);
/* Machines vm-1 to vm-<last> send a heartbeat with the tasks that they have of a job, up to four
 * each and all in one state. Those without any send none. */
void heartbeat_with_job(test_controller *node, int last, const char *job_id, uint32_t task_count,
                        const char *state, uint64_t sequence);

#endif
