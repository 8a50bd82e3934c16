/* A stand-in world on loopback for the shell's tests: state service, cloud and one worker behind
 * one HTTP server, with switches for the failures that the tests script. */
#ifndef RR_TESTS_WORLD_H
#define RR_TESTS_WORLD_H

#include "app/app.h"

#include <stdint.h>

typedef struct world world;

world *world_start(void);
void world_stop(world *w);
uint16_t world_port(const world *w);
/* The next commit is carried out, but its answer never comes. */
void world_drop_next_answer(world *w);
/* While frozen, open watches wait and show nothing new. */
void world_freeze_watches(world *w, bool frozen);
/* Another way in to everything; returns its port. Doors are counted from 1, the first being the one
 * that world_config() names. */
uint16_t world_add_door(world *w);
/* The state service refuses who comes through this door, or shows it nothing new. */
void world_refuse(world *w, unsigned door, bool refused);
void world_freeze_door(world *w, unsigned door, bool frozen);
/* While down, every request to the store gets 503. */
void world_store_down(world *w, bool down);
void world_task_seconds(world *w, double seconds); /* what a task takes; 0.1 at first */
unsigned world_tasks(world *w);                    /* on the worker, not exited */
double world_started(world *w, const char *piece); /* when it first was, 0: never */
unsigned world_restarted(world *w);                /* starts beyond each piece's first */
unsigned world_rented(world *w);

/* Without an answer for so long the worker ends what runs; 0 at first: never. */
void world_worker_lease(world *w, double seconds);
void world_zone(world *w, const char *zone); /* of its machine; "a" at first */
/* The machine is gone, with all that ran. */
void world_lose_worker(world *w);
/* Every run of a task on the worker, in the order of their starts. */
typedef struct {
    char piece[80];
    double started_at, ended_at; /* steady; ended_at 0: it runs */
    bool done;
} world_run;
GArray *world_runs(world *w); /* a copy: world_run */

uint16_t world_free_port(void);
/* A connection of the test's own, whose reads end after 20 s; -1 if it is refused. */
int world_dial(const struct rr_endpoint *to);
/* Settings of a controller in this world; ports are free ones. */
void world_config(world *w, struct rr_config *c, const char *name);
/* One request to a controller; -1 if there was no answer. *doc may be NULL. */
int world_call(const struct rr_config *c, const char *method, const char *path, const void *body,
               size_t len, rr_document *doc);
/* Submits a job; the status as above. */
int world_submit(const struct rr_config *c, const rr_submission *submission);

#endif
