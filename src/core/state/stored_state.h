/* The store cache: a copy of the records in the key-value store, with indices over them. Times are
 * steady seconds unless said otherwise. */
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
    uint32_t tasks_per_record; /* tasks in one ledger record */

    rr_name_index teams, zones, machine_type_names, job_classes, images;

    GArray *machine_types;     /* rr_machine_type, by index; empty name: not in the catalog */
    GHashTable *jobs;          /* job id -> rr_job, owned; evicted jobs are not in it */
    GHashTable *job_outcomes;  /* id of an evicted job -> its packed outcome, see job_outcomes.c */
    GPtrArray *open_jobs;      /* rr_job*: not final, or with placements */
    GArray *recent_arrivals;   /* rr_job*: arrived within RR_ARRIVAL_WINDOW_S, oldest first */
    GHashTable *machines;      /* name -> rr_machine, owned */
    GPtrArray *machine_list;   /* rr_machine*: all machines */
    GPtrArray *dirty_machines; /* rr_machine*: to be reconciled */
    GHashTable *gone_machines; /* name -> double*: when the machine's record was removed */
    GHashTable *pages;         /* page id -> rr_machine_page */
    GHashTable *job_batches;   /* key -> rr_job_batch */
    GPtrArray *orphan_record_keys; /* char*: keys of ledger records whose jobs are final */
    GArray *team_usage;            /* rr_resources in use by the placements of each team */
    GHashTable *cancel_hints;      /* job id -> double*: when the hint expires */

    uint64_t revision;            /* revision of the store up to which the cache is complete */
    uint64_t consistent_revision; /* the cache is consistent once revision reaches this one */
    double current_as_of;         /* the cache has every change made before this time */
    uint32_t next_page_id;        /* id for the next new machine page */
    int next_machine_id;
    bool loaded;               /* a full reload has ended since the start */
    bool reloading;            /* a full reload is in progress */
    bool catalog_known;        /* at least one machine type has been received */
    bool next_limits_in_force; /* the store has refused a transaction that only the present limits
                                  allow */
};

/* Initializes an empty cache in zeroed memory. The teams of the settings get the first indices, in
 * the order of the settings. */
void rr_stored_state_init(struct rr_stored_state *stored, const struct rr_config *config);
/* Frees everything in the cache, but not the struct itself. */
void rr_stored_state_clear(struct rr_stored_state *stored);

#endif
