/* The ledger of placements: its records in the key-value store, and placements as machines hold
 * them. */
#ifndef RR_CORE_STATE_LEDGER_H
#define RR_CORE_STATE_LEDGER_H

#include "core/core.h"
#include "core/state/resources.h"

typedef struct rr_job rr_job;
typedef struct rr_machine rr_machine;

/* Tasks in one ledger record, within what a value of the store holds. */
#define RR_TASKS_PER_RECORD_MIN 16
#define RR_TASKS_PER_RECORD_MAX 256

/* How a placement is to make room, as its ledger record says. */
enum rr_preempt_mode { RR_PREEMPT_NONE, RR_PREEMPT_SAVING, RR_PREEMPT_AT_ONCE };

/* A placement as its machine holds it: the ledger's entry, then what only this process remembers of
 * it. */
typedef struct {
    rr_job *job;
    uint32_t task;
    uint32_t chunk; /* of the record that holds it */
    uint64_t attempt, worker_epoch;
    int preempt; /* enum rr_preempt_mode: to be stopped for work of higher rank, or moved away */
    /* volatile */
    double seen_at;       /* when the store cache first showed it */
    double start_at;      /* last start sent, 0: none */
    double stop_at;       /* last stop sent, 0: none */
    double stop_grace_s;  /* the time it left */
    double terminated_at; /* since when it is known to be over, 0: it is not */
    bool leaving;         /* a plan under construction stops it */
} rr_placement;

/* The same placement as its record holds it. */
typedef struct {
    rr_machine *machine;
    uint32_t task;
    uint64_t attempt, worker_epoch;
    int preempt;
} rr_placement_record;

/* One record of the ledger: the placements of a chunk of a job's tasks, and which are done. One
 * change reserves or ends many tasks of a job, which a ledger by machine can't. Where the key-value
 * store's limits to come leave a record less room than its chunk has tasks, overflow records
 * beyond the job's chunks hold placements of any of its tasks, and no completions: those stay in
 * the chunk's own record, where every version reads them. */
typedef struct {
    uint32_t chunk;
    uint64_t version;             /* 0: not in the store */
    uint64_t deleted_at_revision; /* revision of its end: what is not newer says nothing */
    GArray *placements;           /* rr_placement_record */
    bool seen_in_reload;          /* seen in the reload that is under way */
    void *edit;                   /* scratch of one plan */
    guint first_terminated; /* likewise: 1 + the index of the first placement known to be over, 0:
                               none */
} rr_ledger_record;

rr_ledger_record *rr_job_ledger_record(rr_job *job, uint32_t chunk); /* makes it if need be */
uint32_t rr_job_chunks(const rr_job *job); /* the first overflow record has this number */
bool rr_job_overflows(const rr_job *job);  /* it has overflow records */
void rr_ledger_record_key(const char *job_id, uint32_t chunk, char *out, size_t size);
/* The record of a chunk with these placements; done: tasks (uint32_t) completed beside those known.
 */
void rr_ledger_record_encode(const rr_core *core, rr_encoder *encoder, const rr_job *job,
                             uint32_t chunk, const GArray *items, const GArray *done, int zone);
size_t rr_ledger_record_bytes(guint items);
/* The record that the i-th key of garbage names, and its job; NULL: not in the store cache. */
rr_ledger_record *rr_garbage_record(const rr_core *core, guint i, rr_job **job);

#endif
