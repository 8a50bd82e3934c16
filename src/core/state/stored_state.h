/* The store cache: what the key-value store records, and indices over it. Times are steady seconds
 * unless said otherwise. */
#ifndef RR_CORE_STATE_STORED_STATE_H
#define RR_CORE_STATE_STORED_STATE_H

#include "core/state/job_records.h"
#include "core/state/job_retention.h"
#include "core/state/jobs.h"
#include "core/state/ledger.h"
#include "core/state/machine_pages.h"
#include "core/state/machines.h"
#include "core/state/name_index.h"
#include "core/state/placement_accounting.h"

struct rr_stored_state {
    uint32_t tasks_per_record; /* of the ledger */

    rr_name_index teams, zones, machine_type_names, job_classes, images;

    GArray *machine_types;  /* rr_machine_type, by index; name empty: not in the catalogue */
    GHashTable *jobs;       /* job id -> rr_job */
    GHashTable *final_jobs; /* job id -> outcome: tasks done * 2, + 1 if the job is done */
    GPtrArray *open_jobs;   /* rr_job*, not final or with placements */
    GArray *arrivals;       /* rr_job*: within RR_ARRIVAL_WINDOW_S */
    GHashTable *machines;   /* name -> rr_machine */
    GPtrArray *machine_list;
    GPtrArray *dirty_machines;     /* rr_machine*: to be reconciled */
    GHashTable *gone_machines;     /* name -> double*: when its record was removed */
    GHashTable *pages;             /* id -> rr_machine_page */
    GHashTable *batches;           /* key -> rr_job_batch */
    GPtrArray *orphan_record_keys; /* char*: ledger records whose jobs are final */
    GArray *team_used;             /* rr_resources by team: all placements in the ledger */
    GHashTable *cancel_hints;      /* job id -> double*: when the hint expires */

    uint64_t revision;            /* that the cache has reached */
    uint64_t consistent_revision; /* at which the last reload is one consistent state */
    double current_at;            /* the cache has every change made before */
    uint32_t next_page;
    int next_machine_id;
    bool loaded, reloading;
    bool catalog_known;
    bool next_limits_in_force; /* the store has refused what only the present limits allow */
};

/* Initializes an empty cache from zeroed memory. Teams of the settings get the first indices, in
 * the order of the settings. */
void rr_stored_state_init(struct rr_stored_state *stored, const struct rr_config *config);
/* Frees everything in the cache. */
void rr_stored_state_clear(struct rr_stored_state *stored);

#endif
