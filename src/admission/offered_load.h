/* The load that the autoscaler knows of when it writes an admission table: the capacity of the
 * machines, the accepted work that waits, by key, and the resources that teams use. It is gathered
 * from the store cache in one snapshot for each table. */
#ifndef RR_ADMISSION_OFFERED_LOAD_H
#define RR_ADMISSION_OFFERED_LOAD_H

#include "admission/key.h"
#include "admission/settings.h"
#include "admission/work.h"

/* An amount of each resource. */
typedef struct {
    double cpus, gpus, mem_gb;
} rr_resource_amount;

/* All machines of one type in one zone. */
typedef struct {
    char type[RR_ID_SIZE], zone[RR_TEXT_SIZE];
    rr_resource_amount amount; /* capacity of these machines */
} rr_load_pool;

/* The accepted work of one key. */
typedef struct {
    rr_admission_key key;
    rr_work waiting_work; /* estimated work of tasks that are not placed yet */
} rr_load_key;

/* The resources and work of one team. */
typedef struct {
    rr_resource_amount used;       /* requested by placed tasks */
    rr_resource_amount batch_used; /* the part of `used` for tasks that end by themselves */
    rr_resource_amount waiting;    /* requested by waiting tasks */
    rr_work completed_work;        /* estimated work of tasks that ended since the last snapshot */
} rr_load_team;

/* The latest snapshot of the load. */
typedef struct {
    const rr_admission_settings *settings;
    GArray *pools;                    /* rr_load_pool */
    GHashTable *keys;                 /* key id -> rr_load_key */
    rr_load_team teams[RR_TEAMS_MAX]; /* by index in rr_config.teams */
    GHashTable *done_counts;          /* job hash -> number of its tasks done */
    GHashTable *previous_done_counts; /* the same in the last snapshot; NULL: there is none */
    unsigned snapshot_count;          /* snapshots begun, this one included */
} rr_offered_load;

/* Initializes a load without a snapshot, which the caller clears. Borrows the settings, which must
 * outlive it. */
void rr_offered_load_init(rr_offered_load *load, const rr_admission_settings *settings);
/* Frees what the load owns. */
void rr_offered_load_clear(rr_offered_load *load);

/* Begins a new snapshot. The numbers of done tasks in the previous snapshot are kept, for
 * comparison. */
void rr_offered_load_begin_snapshot(rr_offered_load *load);
/* Adds a machine to the pool of its type and zone. amount: its capacity. */
void rr_offered_load_add_machine(rr_offered_load *load, const char *type, const char *zone,
                                 rr_resource_amount amount);
/* Adds a job that is neither cancelled nor forgotten. waiting, placed, done: the numbers of its
 * tasks in these states. team: index in rr_config.teams; a job of an unknown team (-1) is ignored.
 */
void rr_offered_load_add_job(rr_offered_load *load, const rr_submission *submission, int team,
                             uint32_t waiting, uint32_t placed, uint32_t done);

/* Returns the capacity of all machines. */
rr_resource_amount rr_offered_load_capacity(const rr_offered_load *load);
/* Returns the amount's dominant share: the fraction that it takes of the capacity, for the resource
 * of which it takes the largest fraction. Resources without capacity are left out. */
double rr_dominant_share(rr_resource_amount amount, rr_resource_amount capacity);
/* Returns the dominant share of work, in seconds of the whole capacity. */
double rr_dominant_share_seconds(rr_work work, rr_resource_amount capacity);

#endif
