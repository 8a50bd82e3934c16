/* Workers for tests of the core: they execute command batches, report to every controller, and can
 * get late copies of batches that they have already executed and answered. */
#ifndef RR_TESTS_WORKER_MODEL_H
#define RR_TESTS_WORKER_MODEL_H

#include "controller_fixture.h"

#define WORKERS_MAX 4
#define WORKER_CONTROLLERS_MAX 2

/* A worker, which keeps a task until it is reaped or the worker epoch ends. */
typedef struct {
    char id[RR_ID_SIZE];
    uint64_t worker_epoch, sequence, fencing_token;
    double spot_notice_s; /* below 0: none, as at first */
    bool refuses_starts;  /* for lack of resources */
    GArray *tasks;        /* rr_task_status */
} worker_model;

/* Workers vm-1 to vm-<worker_count> in zone a, and the controllers they report to. */
typedef struct {
    worker_model workers[WORKERS_MAX];
    int worker_count;
    test_controller *controllers[WORKER_CONTROLLERS_MAX]; /* not owned */
    int controller_count;
    bool lagging[WORKER_CONTROLLERS_MAX]; /* by controller: its next plan sees an older store cache
                                           */
    GRand *loss_random;                   /* not owned; NULL: no batch or answer is lost */
    GPtrArray *start_batches; /* rr_command_batch*: copies of all with a start command, also
                                   of those that were lost */
} worker_fleet;

/* Records the machines as the operators' own, and sends the first heartbeats. */
void worker_fleet_init(worker_fleet *fleet, test_controller *controller, int worker_count);
void worker_fleet_clear(worker_fleet *fleet);
/* Adds a controller that the workers report to as well. */
void worker_fleet_add_controller(worker_fleet *fleet, test_controller *controller);

/* Advances the controllers' clocks. */
void worker_fleet_advance(worker_fleet *fleet, double seconds);
/* Sends a heartbeat of every worker to every controller. */
void worker_fleet_report(worker_fleet *fleet);
/* Plans once at every controller, after it has begun the next term if one is due. The workers
 * execute and answer the commands. */
void worker_fleet_plan(worker_fleet *fleet);
/* Reports and plans `count` times, half a second apart. */
void worker_fleet_run(worker_fleet *fleet, int count);

/* Delivers every batch with a start command once more, without an answer to anybody. */
void worker_fleet_deliver_copies(worker_fleet *fleet);

/* Delivers each of these batches with this probability. */
void worker_fleet_deliver_some_copies(worker_fleet *fleet, GRand *random, double probability);

/* Returns the worker on which the task has not ended, NULL: there is none. */
worker_model *worker_fleet_find(worker_fleet *fleet, const char *job_id, uint32_t task);
/* Returns the number of workers on which the task has not ended. */
int worker_fleet_count(const worker_fleet *fleet, const char *job_id, uint32_t task);
/* Ends the task on the worker. */
void worker_end_task(worker_model *worker, const char *job_id, uint32_t task,
                     enum rr_exit_reason exit_reason);
/* Ends all tasks on the worker. */
void worker_end_all_tasks(worker_model *worker, enum rr_exit_reason exit_reason);
/* Returns the number of ended tasks that the worker still reports. */
int worker_count_ended(const worker_model *worker);
/* Kills and forgets all tasks and begins the next worker epoch. */
void worker_lose_lease(worker_model *worker);

#endif
