/* One record of the placement ledger, and the placements in it. The ledger is kept by job: one
 * change to the store reserves or ends many tasks of a job, which a ledger by machine could not. */
#ifndef RR_CORE_STATE_LEDGER_RECORD_H
#define RR_CORE_STATE_LEDGER_RECORD_H

#include "core/core.h"

typedef struct rr_job rr_job;
typedef struct rr_machine rr_machine;

/* Tasks in one ledger record, within what a value of the store holds. */
#define RR_TASKS_PER_RECORD_MIN 16
#define RR_TASKS_PER_RECORD_MAX 256

/* How a placement makes room for another one, as its ledger record says. */
enum rr_preempt_mode { RR_PREEMPT_NONE, RR_PREEMPT_SAVING, RR_PREEMPT_AT_ONCE };

/* A placement in the table of its machine: what the ledger records, then what only this process
 * remembers. Times are steady seconds. */
typedef struct {
    rr_job *job;
    uint32_t task;
    uint32_t chunk; /* of the record that holds it */
    uint64_t attempt, worker_epoch;
    enum rr_preempt_mode preempt; /* to be stopped for higher priority, or moved away */
    /* observed */
    double seen_at;       /* when the store cache first showed it */
    double start_at;      /* last start command, 0: none */
    double stop_at;       /* last stop command, 0: none */
    double stop_grace_s;  /* the grace that the last stop allowed */
    double terminated_at; /* when it was found terminated, 0: it is not */
    bool leaving;         /* scratch of one plan: that plan stops it */
} rr_placement;

/* The same placement as its record holds it. */
typedef struct {
    rr_machine *machine;
    uint32_t task;
    uint64_t attempt, worker_epoch;
    enum rr_preempt_mode preempt;
} rr_placement_record;

/* The placements of one chunk of a job's tasks, and which of the chunk's tasks are done. Where the
 * store's next limits leave a record less room than its chunk has tasks, overflow records, numbered
 * after the job's chunks, hold placements of any of its tasks. Completions always stand in the
 * chunk's own record, which every version reads. */
typedef struct {
    uint32_t chunk;
    uint64_t version;             /* 0: not in the store */
    uint64_t deleted_at_revision; /* changes up to this revision are out of date */
    GArray *placements;           /* rr_placement_record */
    bool seen_in_reload;          /* by the reload in progress */
    void *edit;                   /* scratch of one plan */
    guint first_terminated;       /* scratch of one plan: 1 + index of the first placement known to
                                     be terminated, 0: none */
} rr_ledger_record;

/* Returns the job's record of this chunk, creating it without placements if there is none. The job
 * owns it. */
rr_ledger_record *rr_job_ledger_record_get(rr_job *job, uint32_t chunk);
/* Returns the job's record of this chunk, or NULL. */
rr_ledger_record *rr_job_ledger_record_find(const rr_job *job, uint32_t chunk);
/* Number of the job's chunks; the first overflow record has this number. */
uint32_t rr_job_chunks(const rr_job *job);
bool rr_job_overflows(const rr_job *job); /* it has overflow records */
/* Frees a record and its placements; takes gpointer, as GLib's containers do. */
void rr_ledger_record_free(gpointer data);

/* Writes the key of a job's ledger record to out. */
void rr_ledger_record_key(const char *job_id, uint32_t chunk, char *out, size_t size);
/* Parses the part of such a key after RR_KEY_LEDGER. */
bool rr_ledger_record_key_parse(const char *key_suffix, char *job_id, size_t size, uint32_t *chunk);
/* Upper estimate of the size of a record with so many placements, in bytes of JSON. */
size_t rr_ledger_record_bytes(guint placement_count);
/* Tasks per record for values of up to value_kb kilobytes: the same on every controller. */
uint32_t rr_tasks_per_record(double value_kb);

/* Lists a record whose job is final, so that a plan deletes it from the store. */
void rr_orphan_record_add(rr_core *core, const char *job_id, uint32_t chunk);
/* Returns the orphan record that the i-th listed key names, or NULL if the store cache does not
 * have it; *job (may be NULL) receives its job or NULL. */
rr_ledger_record *rr_orphan_record_find(const rr_core *core, guint i, rr_job **job);

#endif
