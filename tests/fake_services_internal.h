/* What the files of the stand-in services share. One lock protects everything; functions here
 * expect the caller to hold it unless they say otherwise. */
#ifndef RR_TESTS_FAKE_SERVICES_INTERNAL_H
#define RR_TESTS_FAKE_SERVICES_INTERNAL_H

#include "fake_services.h"

#include <microhttpd.h>

#define FAKE_MACHINE "vm-000001"
#define FAKE_MACHINE_TYPE "m1"

/* An address of its own for all services, so that one controller can be treated differently. */
struct fake_endpoint {
    fake_services *services;
    struct MHD_Daemon *daemon;
    bool refused; /* the store answers 503 here */
    bool frozen;  /* watches show nothing new here */
};

struct fake_store {
    GTree *records; /* key -> struct record (fake_store.c), sorted */
    GPtrArray *log; /* struct log_entry * (fake_store.c), by revision */
    uint64_t revision, last_lease_id;
    GHashTable *leases; /* lease id -> struct lease (fake_store.c) */
    bool down, watches_frozen, drop_next_answer;
};

struct fake_worker {
    bool rented; /* the machine exists */
    unsigned rental_count;
    char zone[RR_NAME_SIZE];
    GArray *tasks; /* struct task (fake_worker.c) */
    uint64_t fencing_token, sequence;
    double task_s;           /* runtime of a task */
    double lease_s;          /* tasks end without an answer for so long; 0: never */
    double answered_at;      /* steady: last answer to a heartbeat, or command */
    GHashTable *first_start; /* task name -> double *: steady */
    unsigned restart_count;
    GArray *runs; /* fake_services_run */
    pthread_t thread;
    struct rr_endpoint reports_to;
    GArray *controllers;   /* struct rr_endpoint: all that were ever configured */
    guint next_controller; /* index */
};

struct fake_services {
    pthread_mutex_t lock;
    pthread_cond_t changed; /* the store, or a switch */
    bool stopping;
    uint16_t port;        /* of the first endpoint */
    GPtrArray *endpoints; /* struct fake_endpoint *; the first is everybody's */
    struct fake_store store;
    struct fake_worker worker;
};

/* fake_store.c: the key-value store. Functions that answer requests return the HTTP status. */
void fake_store_init(struct fake_store *store);
void fake_store_clear(struct fake_store *store);
/* Ends the leases that have run out. */
void fake_store_expire_leases(fake_services *services);
/* Whether the path is the store's. */
bool fake_store_serves(const char *path);
int fake_store_answer(const struct fake_endpoint *endpoint, struct MHD_Connection *connection,
                      const char *path, const char *method, const msgpack_object *request,
                      rr_encoder *out);

/* fake_cloud.c: catalogue, machines, rentals and returns. */
bool fake_cloud_serves(const char *path);
int fake_cloud_answer(fake_services *services, const char *path, const char *method,
                      rr_encoder *out);

/* fake_worker.c: one worker, which runs tasks and sends heartbeats. */
void fake_worker_init(struct fake_worker *worker);
void fake_worker_clear(struct fake_worker *worker);
bool fake_worker_serves(const char *path);
int fake_worker_answer(fake_services *services, const char *path, const msgpack_object *request,
                       rr_encoder *out);
/* The worker's thread; argument: the fake_services *. Takes the lock. */
void *fake_worker_thread(void *argument);

#endif
