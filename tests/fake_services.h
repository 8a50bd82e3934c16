/* Stand-in services on loopback for tests of whole controllers: key-value store, cloud and one
 * worker at one address, with switches for failures. All functions may be called from any thread.
 */
#ifndef RR_TESTS_FAKE_SERVICES_H
#define RR_TESTS_FAKE_SERVICES_H

#include "app/process.h"

#include <stdint.h>

typedef struct fake_services fake_services;

fake_services *fake_services_start(void);
void fake_services_stop(fake_services *services);
uint16_t fake_services_port(const fake_services *services);

/* ---- key-value store ---- */

/* The next commit of a job is carried out, but its answer is lost. */
void fake_services_drop_next_answer(fake_services *services);
/* While frozen, open watches wait and show nothing new. */
void fake_services_freeze_watches(fake_services *services, bool frozen);
/* While down, every request to the store gets 503. */
void fake_services_store_down(fake_services *services, bool down);

/* Opens another address of all services and returns its port. Endpoints are counted from 0, which
 * is the one that fake_services_config() names. */
uint16_t fake_services_add_endpoint(fake_services *services);
/* The store answers 503 at this endpoint. */
void fake_services_refuse(fake_services *services, unsigned endpoint, bool refused);
/* Watches at this endpoint show nothing new. */
void fake_services_freeze_endpoint(fake_services *services, unsigned endpoint, bool frozen);

/* ---- worker and its machine ---- */

/* The runtime of a task; 0.1 s at first. Tasks of services run until they are stopped. */
void fake_services_task_seconds(fake_services *services, double seconds);
/* The worker ends what runs without an answer for so long; 0, as at first: never. */
void fake_services_worker_lease(fake_services *services, double seconds);
/* The zone of the machine; "a" at first. */
void fake_services_zone(fake_services *services, const char *zone);
/* The machine is gone, with all that ran on it. */
void fake_services_lose_worker(fake_services *services);
/* The number of tasks that run. */
unsigned fake_services_running_tasks(fake_services *services);
/* When the task first started, by the steady clock; 0: never. */
double fake_services_started(fake_services *services, const char *task_name);
/* The number of starts beyond the first one of each task. */
unsigned fake_services_restart_count(fake_services *services);
/* The number of rentals. */
unsigned fake_services_rented_count(fake_services *services);

/* One run of a task on the worker. Times are steady. */
typedef struct {
    char task_name[80];          /* task name */
    double started_at, ended_at; /* ended_at 0: it runs */
    bool done;
} fake_services_run;
/* A copy of all runs (fake_services_run) in the order of their starts; the caller frees it. */
GArray *fake_services_runs(fake_services *services);

/* ---- controllers ---- */

/* A port that nobody listens on. */
uint16_t fake_services_free_port(void);
/* Opens a connection, whose reads end after 20 s. The descriptor; -1: refused. */
int fake_services_dial(const struct rr_endpoint *endpoint);
/* Fills the settings of a controller that uses these services; its ports are free ones. */
void fake_services_config(fake_services *services, struct rr_config *config, const char *name);
/* Sends one request to a controller. Its HTTP status; -1: no answer. document may be NULL; it is
 * the caller's to clear if there was an answer. */
int fake_services_call(const struct rr_config *config, const char *method, const char *path,
                       const void *body, size_t length, rr_document *document);
/* Submits a job; returns as fake_services_call(). */
int fake_services_submit(const struct rr_config *config, const rr_submission *submission);

#endif
