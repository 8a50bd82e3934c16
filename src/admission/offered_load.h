/* What the autoscaler knows of the work there is when it writes a table: room, accepted work that
 * waits, and what runs, by key and team. Gathered from the store cache in one visit. */
#ifndef RR_ADMISSION_OFFERED_LOAD_H
#define RR_ADMISSION_OFFERED_LOAD_H

#include "admission/demand.h"
#include "admission/settings.h"

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
    rr_amount used;    /* by what runs */
    rr_amount batch;   /* of that, by what ends by itself */
    rr_amount waiting; /* what waits would take at once */
    rr_work done;      /* estimated work of tasks that have ended since the last visit */
} rr_load_team;

typedef struct {
    const rr_admission_settings *settings;
    GArray *pools;    /* rr_load_pool */
    GHashTable *keys; /* id -> rr_load_key */
    rr_load_team teams[RR_TEAMS_MAX];
    GHashTable *done, *done_before; /* job hash -> tasks done, at this visit and the last one */
    unsigned visits;
} rr_offered_load;

void rr_offered_load_init(rr_offered_load *load, const rr_admission_settings *settings);
void rr_offered_load_clear(rr_offered_load *load);
/* Begins a new visit; what the last one saw is kept for comparison. */
void rr_offered_load_begin(rr_offered_load *load);
void rr_offered_load_add_machine(rr_offered_load *load, const char *type, const char *zone,
                                 rr_amount amount);
/* A job that is neither cancelled nor forgotten, by its tasks. */
void rr_offered_load_add_job(rr_offered_load *load, const rr_submission *submission, int team,
                             uint32_t waiting, uint32_t placed, uint32_t done);
rr_amount rr_load_capacity(const rr_offered_load *load);
/* The part of the capacity that is taken of the scarcest resource. */
double rr_dominant_amount(rr_amount amount, rr_amount capacity);
double rr_dominant_work(rr_work work, rr_amount capacity); /* times time */

#endif
