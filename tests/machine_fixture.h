/* Builders for tests about machines: fleets, heartbeats, plans with chosen outcomes, and steps of
 * the autoscaler. */
#ifndef RR_TESTS_MACHINE_FIXTURE_H
#define RR_TESTS_MACHINE_FIXTURE_H

#include "core_fixture.h"

/* core_fixture with the recorded machines vm-1 in zone a and vm-2 in zone b, rented or owned by the
 * operators. Torn down with core_fixture_teardown(). */
int two_rented_machines_setup(void **state);
int two_own_machines_setup(void **state);

/* The zone of vm-1 and vm-2 there. */
const char *machine_zone(const char *id);

/* A heartbeat of vm-1 or vm-2 with the present token; task: as in test_controller_heartbeat(),
 * NULL: none. */
void send_heartbeat(test_controller *node, const char *id, uint64_t sequence, const char *task);

/* A task of a heartbeat: task 0 of the job. The caller's to free. */
char *task_text(const char *job_id, uint64_t attempt, const char *state);

/* The machine, vm-1 or vm-2, on which task 0 of the job is placed, NULL: neither. attempt may be
 * NULL. */
const char *placed_on(const fake_store *store, const char *job_id, uint64_t *attempt);

/* Submits the job to a fleet of vm-1 and vm-2, both heard, and plans until it has started. Returns
 * its machine. */
const char *run_job(core_fixture *fixture, const struct test_job *job, uint64_t *attempt);

/* A new process under the fixture controller's name, with a full read of the store, in a term of
 * its own. test_controller_clear() after. */
void restart_controller(core_fixture *fixture, test_controller *restarted);

/* Plans once, with this outcome of every command. 1: a transaction was committed. */
int plan_with_outcome(test_controller *node, enum rr_command_outcome outcome);
/* Plans once; the commands to this machine (NULL: none) get no answer, the others do. */
void plan_unanswered_by(test_controller *node, const char *id);
/* Plans once; commands to this machine (NULL: none) are answered, the others are not sent. Returns
 * the number of probes. */
unsigned plan_reaching(test_controller *node, const char *id);
unsigned plan_unreachable(test_controller *node);

/* Records and lists machines vm-1 to vm-`count` in zone a as the operators' own. */
void put_fleet(core_fixture *fixture, int count, GArray *listed);
/* Heartbeats of vm-`first` to vm-`last` in zone a. */
void send_fleet_heartbeats(test_controller *node, int first, int last, uint64_t sequence);

/* Takes steps until one of this kind; transactions are committed, lists answered with `listed` (may
 * be NULL) and the catalogue with nothing. False: none came. rr_autoscaler_step_clear() after. */
bool step_until(core_fixture *fixture, enum rr_autoscaler_step_kind kind, const GArray *listed,
                rr_autoscaler_step *out);
/* One step while vm-1 and vm-2 are listed. True: it releases the machine `id`. */
bool step_releases(core_fixture *fixture, const char *id);

#endif
