/* Structures and functions that the files of the fake services share. The lock of fake_services
 * protects all fields; callers of the functions here hold it unless a function says otherwise. */
#ifndef RR_TESTS_FAKE_SERVICES_INTERNAL_H
#define RR_TESTS_FAKE_SERVICES_INTERNAL_H

#include "fake_services.h"

#include <microhttpd.h>

#define FAKE_MACHINE "vm-000001"
#define FAKE_MACHINE_TYPE "m1"

/* One address of all services. Controllers that use different endpoints can be given different
 * failures. */
struct fake_endpoint {
    fake_services *services;
    struct MHD_Daemon *daemon;
    bool refused;        /* the store answers 503 at this endpoint */
    bool frozen;         /* watches at this endpoint deliver no changes */
    double frozen_until; /* the same until this steady time */
};

struct fake_store_service {
    GTree *records;         /* key -> struct record * (fake_store_service.c), sorted by key */
    GPtrArray *log;         /* struct log_entry * (fake_store_service.c), by ascending revision */
    uint64_t revision;      /* of the last change */
    uint64_t last_lease_id; /* of the last lease that was granted */
    GHashTable *leases;     /* uint64_t *: lease id -> struct lease * (fake_store_service.c) */
    bool down;              /* 503 to all requests but watches, and no lease expires */
    bool watches_frozen;    /* watches deliver no changes */
    bool drop_next_answer;  /* the answer to the next commit of a job gets lost */
    const char *lost_key_prefix; /* so does that to the next commit with such a key; NULL: none */
    double watch_freeze_s;       /* duration of the freeze that then begins */
};

struct fake_late_copies; /* fake_late_copies.c */

struct fake_worker {
    bool rented;           /* the machine exists */
    unsigned rental_count; /* rentals so far */
    char zone[RR_NAME_SIZE];
    GArray *tasks;             /* struct task (fake_worker.c) */
    uint64_t fencing_token;    /* highest one received */
    uint64_t sequence;         /* of the last heartbeat */
    double task_s;             /* runtime of a task, in seconds */
    double lease_s;            /* tasks stop after so many seconds without an answer; 0: never */
    double last_answer_at;     /* steady time of the last commands or answer from a controller */
    GHashTable *first_starts;  /* task name -> double *: steady time */
    unsigned restart_count;    /* task starts beyond the first one of each task */
    GArray *runs;              /* fake_task_run, in the order of their starts */
    unsigned starts_to_refuse; /* the next starts, which are refused for lack of resources */
    char failing_job[80];      /* prefix of the names of tasks that fail; empty: none */
    struct fake_late_copies *late_copies; /* owned */
    pthread_t thread;
    struct rr_endpoint current_controller; /* receives the heartbeats; port 0: none yet */
    GArray *controllers;                   /* struct rr_endpoint, every controller configured */
    guint current_controller_index;        /* in controllers */
};

struct fake_services {
    pthread_mutex_t lock;
    pthread_cond_t changed; /* signalled when the store, an injected failure or stopping changes */
    bool stopping;
    uint16_t port;        /* of endpoint 0 */
    GPtrArray *endpoints; /* struct fake_endpoint *; endpoint 0 is the default of all controllers */
    struct fake_store_service store;
    struct fake_worker worker;
};

/* ---- fake_store_service.c: the key-value store ---- */

void fake_store_service_init(struct fake_store_service *store);
void fake_store_service_clear(struct fake_store_service *store);
/* Deletes the leases that have expired, with their records. */
void fake_store_service_expire_leases(fake_services *services);
/* Whether the store answers requests for this path. */
bool fake_store_service_serves(const char *path);
/* Carries out a request and encodes the answer's body. Returns the HTTP status. A watch releases
 * the lock while it waits. */
int fake_store_service_answer(const struct fake_endpoint *endpoint,
                              struct MHD_Connection *connection, const char *path,
                              const char *method, const msgpack_object *request, rr_encoder *out);

/* ---- fake_cloud.c: the catalogue, and the machine's rental and release ---- */

/* Whether the cloud answers requests for this path. */
bool fake_cloud_serves(const char *path);
/* Carries out a request and encodes the answer's body. Returns the HTTP status. */
int fake_cloud_answer(fake_services *services, const char *path, const char *method,
                      rr_encoder *out);

/* ---- fake_late_copies.c: command batches that arrive at the worker once more ---- */

/* Returns an empty queue, which takes no copies until it is enabled. */
struct fake_late_copies *fake_late_copies_create(void);
void fake_late_copies_destroy(struct fake_late_copies *copies);
/* From now on batches are copied. Each copy is due after a random delay between the two. */
void fake_late_copies_enable(struct fake_late_copies *copies, unsigned seed, double delay_min_s,
                             double delay_max_s);
/* Adds a copy of the batch if it has a start command. */
void fake_late_copies_add(struct fake_late_copies *copies, const msgpack_object *batch);
/* Removes a copy that is due and parses it into *batch, which the caller clears. Returns false, and
 * leaves *batch alone, if none is due. */
bool fake_late_copies_take_due(struct fake_late_copies *copies, rr_document *batch);
/* Removes all copies: the machine is gone. */
void fake_late_copies_drop(struct fake_late_copies *copies);
/* Returns the number of copies that were taken. */
unsigned fake_late_copies_count(const struct fake_late_copies *copies);

/* ---- fake_worker.c: one worker, which runs tasks and sends heartbeats ---- */

void fake_worker_init(struct fake_worker *worker);
void fake_worker_clear(struct fake_worker *worker);
/* Whether the worker answers requests for this path. */
bool fake_worker_serves(const char *path);
/* Carries out a request and encodes a heartbeat as the answer's body. Returns the HTTP status. */
int fake_worker_answer(fake_services *services, const char *path, const msgpack_object *request,
                       rr_encoder *out);
/* Runs the worker until the services stop. argument: the fake_services *. The caller must not hold
 * the lock. */
void *fake_worker_thread(void *argument);

#endif
