/* The load that the autoscaler knows of when it writes a table: room, accepted work that waits, and
 * what runs, by key and team. Gathered from the store cache in one visit for each table. */
#ifndef RR_ADMISSION_OFFERED_LOAD_H
#define RR_ADMISSION_OFFERED_LOAD_H

#include "admission/key.h"
#include "admission/settings.h"
#include "admission/work.h"

typedef struct {
    double cpus, gpus, mem_gb;
} rr_amount;

/* Machines of one type in one zone, together. */
typedef struct {
    char type[RR_ID_SIZE], zone[RR_TEXT_SIZE];
    rr_amount amount;
} rr_load_pool;

/* Accepted work of one key that waits for room. */
typedef struct {
    rr_admission_key key;
    rr_work waiting;
} rr_load_key;

typedef struct {
    rr_amount used;    /* by placed tasks */
    rr_amount batch;   /* of that, by tasks that end by themselves */
    rr_amount waiting; /* by waiting tasks, if all were placed */
    rr_work done;      /* estimated work of tasks that have ended since the last visit */
} rr_load_team;

typedef struct {
    const rr_admission_settings *settings;
    GArray *pools;    /* rr_load_pool */
    GHashTable *keys; /* id -> rr_load_key */
    rr_load_team teams[RR_TEAMS_MAX];
    GHashTable *done;        /* job hash -> tasks done, at this visit */
    GHashTable *done_before; /* the same at the last visit, NULL: none */
    unsigned visits;
} rr_offered_load;

/* settings must outlive the load. */
void rr_offered_load_init(rr_offered_load *load, const rr_admission_settings *settings);
/* Frees what was gathered. */
void rr_offered_load_clear(rr_offered_load *load);

/* Begins a new visit; the last one is kept for comparison. */
void rr_offered_load_begin(rr_offered_load *load);
/* Adds a machine to the pool of its type and zone. */
void rr_offered_load_add_machine(rr_offered_load *load, const char *type, const char *zone,
                                 rr_amount amount);
/* Adds a job that is neither cancelled nor forgotten, by the numbers of its tasks. team: by the
 * settings' list; others are ignored. */
void rr_offered_load_add_job(rr_offered_load *load, const rr_submission *submission, int team,
                             uint32_t waiting, uint32_t placed, uint32_t done);

/* The room of all machines. */
rr_amount rr_load_capacity(const rr_offered_load *load);
/* The part that the amount takes of the capacity, of the resource of which it takes most. */
double rr_dominant_amount(rr_amount amount, rr_amount capacity);
/* The same for work, in parts of the capacity times seconds. */
double rr_dominant_work(rr_work work, rr_amount capacity);

#endif
