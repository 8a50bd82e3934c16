/* Fake services on loopback for tests of whole controllers: a key-value store, a cloud and one
 * worker, all at one address, with injected failures. Functions may be called from any thread; each
 * takes the services' lock as far as it needs it. */
#ifndef RR_TESTS_FAKE_SERVICES_H
#define RR_TESTS_FAKE_SERVICES_H

#include "app/process.h"

#include <stdint.h>

typedef struct fake_services fake_services;

/* Starts the services on a free port. fake_services_stop() stops and frees them. */
fake_services *fake_services_start(void);
void fake_services_stop(fake_services *services);
uint16_t fake_services_port(const fake_services *services);

/* ---- key-value store ---- */

/* The next commit that mentions a job id (req-...) is carried out, but its connection is closed
 * without an answer. */
void fake_services_drop_next_answer(fake_services *services);
/* The next commit with a key of this prefix (a string literal) is carried out, but its connection
 * is closed without an answer. From then on the watches at its endpoint deliver no changes for so
 * many seconds. */
void fake_services_lose_answer(fake_services *services, const char *key_prefix,
                               double watch_freeze_s);
/* Returns whether the answer that was to be lost last has been lost. */
bool fake_services_answer_is_lost(fake_services *services);
/* While frozen, watches at all endpoints deliver no changes. */
void fake_services_freeze_watches(fake_services *services, bool frozen);
/* While down, the store answers 503 to all requests but watches, which deliver no changes, and no
 * lease expires. */
void fake_services_set_store_down(fake_services *services, bool down);

/* Opens another address of all services and returns its port. Endpoints are numbered from 0, which
 * is the one in the settings of fake_services_init_config(). */
uint16_t fake_services_add_endpoint(fake_services *services);
/* While refused, the store answers 503 at this endpoint to all requests but watches, which deliver
 * no changes. Ends a freeze of the endpoint. */
void fake_services_refuse_endpoint(fake_services *services, unsigned endpoint, bool refused);
/* While frozen, watches at this endpoint deliver no changes. Ends a refusal at the endpoint. */
void fake_services_freeze_endpoint(fake_services *services, unsigned endpoint, bool frozen);

/* ---- worker and its machine ---- */

/* Sets the runtime of tasks that start from now on; 0.1 s at first. Tasks of service jobs run until
 * they are stopped. */
void fake_services_set_task_runtime(fake_services *services, double seconds);
/* Sets the lease of the worker, which stops its tasks when it has had no answer from a controller
 * for so long; 0, as at first: never. */
void fake_services_set_worker_lease(fake_services *services, double seconds);
/* Sets the zone of the machine; "a" at first. */
void fake_services_set_zone(fake_services *services, const char *zone);
/* From now on each direct command batch with a start that the worker has executed and answered
 * arrives once more, after a random delay between the two. */
void fake_services_repeat_starts(fake_services *services, unsigned seed, double delay_min_s,
                                 double delay_max_s);
/* Returns how many batches have arrived once more. */
unsigned fake_services_count_late_copies(fake_services *services);
/* The worker refuses one more start of an unknown attempt for lack of resources. */
void fake_services_refuse_next_start(fake_services *services);
/* The job's tasks fail at the end of their runtime. There is one such job at a time. */
void fake_services_set_failing_job(fake_services *services, const char *job_id);
/* Removes the machine and stops all tasks on it. */
void fake_services_remove_machine(fake_services *services);
/* Returns the number of tasks that run. */
unsigned fake_services_count_running_tasks(fake_services *services);
/* Returns when the task first started, in seconds of the steady clock; 0: never. */
double fake_services_find_first_start(fake_services *services, const char *task_name);
/* Returns the number of task starts, not counting the first start of each task. */
unsigned fake_services_restart_count(fake_services *services);
/* Returns how often the machine was rented. */
unsigned fake_services_count_rentals(fake_services *services);

/* One run of a task on the worker. Times are seconds of the steady clock. */
typedef struct {
    char task_name[80];
    uint64_t attempt;
    double started_at, ended_at; /* ended_at 0: still running */
    bool done;                   /* completed; false: running, stopped or failed */
} fake_task_run;
/* Returns a copy of all runs (fake_task_run) in the order of their starts; the caller frees
 * it. */
GArray *fake_services_runs(fake_services *services);

/* ---- controllers ---- */

/* Returns a port on which nobody listens. */
uint16_t fake_services_find_unused_port(void);
/* Opens a connection whose reads time out after 20 s. Returns its descriptor, which the caller
 * closes; -1: refused. */
int fake_services_connect(const struct rr_endpoint *endpoint);
/* Fills the settings of a controller that uses these services and listens on free ports. The worker
 * sends its next heartbeats to this controller. */
void fake_services_init_config(fake_services *services, struct rr_config *config, const char *name);
/* Sends one request to a controller and returns the HTTP status of the answer; -1: no answer.
 * *document receives the answer's body, and the caller clears it, only if there was an answer;
 * document NULL: not wanted. */
int fake_services_request(const struct rr_config *config, const char *method, const char *path,
                          const void *body, size_t length, rr_document *document);
/* Submits a job; returns as fake_services_request(). */
int fake_services_submit(const struct rr_config *config, const rr_submission *submission);

#endif
