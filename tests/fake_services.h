/* A stand-in world on loopback for the shell's tests: key-value store, cloud and one worker behind
 * one HTTP server, with switches for the failures that the tests script. */
#ifndef RR_TESTS_FAKE_SERVICES_H
#define RR_TESTS_FAKE_SERVICES_H

#include "app/process.h"

#include <stdint.h>

typedef struct fake_services fake_services;

fake_services *fake_services_start(void);
void fake_services_stop(fake_services *cluster);
uint16_t fake_services_port(const fake_services *cluster);
/* The next commit is carried out, but its answer never comes. */
void fake_services_drop_next_answer(fake_services *cluster);
/* While frozen, open watches wait and show nothing new. */
void fake_services_freeze_watches(fake_services *cluster, bool frozen);
/* Another way in to everything; returns its port. Doors are counted from 1, the first being the one
 * that world_config() names. */
uint16_t fake_services_add_endpoint(fake_services *cluster);
/* The key-value store refuses who comes through this door, or shows it nothing new. */
void fake_services_refuse(fake_services *cluster, unsigned door, bool refused);
void fake_services_freeze_endpoint(fake_services *cluster, unsigned door, bool frozen);
/* While down, every request to the store gets 503. */
void fake_services_store_down(fake_services *cluster, bool down);
void fake_services_task_seconds(fake_services *cluster,
                                double seconds);              /* what a task takes; 0.1 at first */
unsigned fake_services_running_tasks(fake_services *cluster); /* on the worker, not exited */
double fake_services_started(fake_services *cluster,
                             const char *task_name);          /* when it first was, 0: never */
unsigned fake_services_restart_count(fake_services *cluster); /* starts beyond each piece's first */
unsigned fake_services_rented_count(fake_services *cluster);

/* Without an answer for so long the worker ends what runs; 0 at first: never. */
void fake_services_worker_lease(fake_services *cluster, double seconds);
void fake_services_zone(fake_services *cluster,
                        const char *zone); /* of its machine; "a" at first */
/* The machine is gone, with all that ran. */
void fake_services_lose_worker(fake_services *cluster);
/* Every run of a task on the worker, in the order of their starts. */
typedef struct {
    char piece[80];
    double started_at, ended_at; /* steady; ended_at 0: it runs */
    bool done;
} fake_services_run;
GArray *fake_services_runs(fake_services *cluster); /* a copy: world_run */

uint16_t fake_services_free_port(void);
/* A connection of the test's own, whose reads end after 20 s; -1 if it is refused. */
int fake_services_dial(const struct rr_endpoint *endpoint);
/* Settings of a controller in this world; ports are free ones. */
void fake_services_config(fake_services *cluster, struct rr_config *config, const char *name);
/* One request to a controller; -1 if there was no answer. *doc may be NULL. */
int fake_services_call(const struct rr_config *config, const char *method, const char *path,
                       const void *body, size_t length, rr_document *document);
/* Submits a job; the status as above. */
int fake_services_submit(const struct rr_config *config, const rr_submission *submission);

#endif
