/* Records of the placement ledger and the placements in them. The ledger is divided by job rather
 * than by machine, so that one change to the store can reserve or end many tasks of a job. */
#ifndef RR_CORE_STATE_LEDGER_RECORD_H
#define RR_CORE_STATE_LEDGER_RECORD_H

#include "core/core.h"

typedef struct rr_job rr_job;
typedef struct rr_machine rr_machine;

/* Bounds of the number of tasks in one ledger record; rr_tasks_per_record() chooses a number that
 * fits the store's limit on values. */
#define RR_TASKS_PER_RECORD_MIN 16
#define RR_TASKS_PER_RECORD_MAX 256

/* Whether and how a placement is preempted, as its ledger record says. The numbers are stored. */
enum rr_preempt_mode {
    RR_PREEMPT_NONE,
    RR_PREEMPT_SAVING,  /* the task gets time to save its state before it stops */
    RR_PREEMPT_AT_ONCE, /* the task stops without saving */
};

/* A placement in its machine's list: the fields of the ledger record, then what only this process
 * has observed. Times are steady seconds. */
typedef struct {
    rr_job *job;
    uint32_t task;
    uint32_t chunk; /* number of the ledger record that contains the placement */
    uint64_t attempt, worker_epoch;
    enum rr_preempt_mode preempt; /* whether it is stopped for a higher priority or for a move */
    /* Observed by this process; not stored. */
    double seen_at;         /* when the placement entered the store cache */
    double start_at;        /* when the last start command was sent, 0: never */
    double stop_at;         /* when the last stop command was sent, 0: never */
    double stop_grace_s;    /* time to save that the last stop command allowed, seconds */
    double terminated_at;   /* when the task was found to have terminated, 0: it has not */
    bool preempted_by_plan; /* scratch of one plan: the plan preempts this placement */
} rr_placement;

/* A placement as a ledger record stores it. */
typedef struct {
    rr_machine *machine;
    uint32_t task;
    uint64_t attempt, worker_epoch;
    enum rr_preempt_mode preempt;
} rr_placement_record;

/* The placements of one chunk (a range of a job's tasks), and which tasks of the chunk are done.
 * If the store's next limits leave a record room for fewer placements than its chunk has tasks,
 * overflow records, numbered after the job's chunks, hold placements of any of the job's tasks.
 * Completed tasks are always in the chunk's own record, which every version of the program reads.
 */
typedef struct {
    uint32_t chunk;
    uint64_t version;             /* of the stored record, 0: the store does not have it */
    uint64_t deleted_at_revision; /* versions up to this revision are outdated; 0: never deleted */
    GArray *placements;           /* rr_placement_record */
    bool seen_in_reload;          /* the full reload in progress has brought the record */
    /* Scratch of one plan. */
    void *edit;             /* struct rr_record_edit, NULL: this plan has not edited the record */
    guint first_terminated; /* 1 + index of its first entry in the planner's terminated, 0: none */
} rr_ledger_record;

/* Returns the job's ledger record of this chunk. Creates it without placements if there is none.
 * The job owns the record. */
rr_ledger_record *rr_job_ledger_record_get(rr_job *job, uint32_t chunk);
/* Returns the job's ledger record of this chunk, or NULL if there is none. */
rr_ledger_record *rr_job_ledger_record_find(const rr_job *job, uint32_t chunk);
/* Returns how many chunks the job has. The first overflow record has this as its number. */
uint32_t rr_job_count_chunks(const rr_job *job);
/* Returns whether the job has overflow records. */
bool rr_job_has_overflow_records(const rr_job *job);
/* Frees a ledger record and its placements; ignores NULL. Has the signature of GDestroyNotify. */
void rr_ledger_record_free(gpointer data);

/* Writes the store key of a ledger record to out. */
void rr_ledger_record_key(const char *job_id, uint32_t chunk, char *out, size_t size);
/* Parses a ledger record's key after RR_KEY_LEDGER. Returns false if it is malformed. */
bool rr_ledger_record_key_parse(const char *key_suffix, char *job_id, size_t size, uint32_t *chunk);
/* Returns an upper estimate of the size of a ledger record with this many placements, in bytes of
 * JSON. */
size_t rr_ledger_record_bytes(guint placement_count);
/* Returns the number of tasks per ledger record if the store limits values to value_kb kilobytes.
 * All controllers get the same number. */
uint32_t rr_tasks_per_record(double value_kb);

/* Lists a ledger record of a final job for deletion from the store by a later plan. */
void rr_orphan_record_add(rr_core *core, const char *job_id, uint32_t chunk);
/* Returns the ledger record with the i-th listed key, or NULL if the store cache does not have it.
 * Stores its job, or NULL, in *job unless job is NULL. */
rr_ledger_record *rr_orphan_record_find(const rr_core *core, guint i, rr_job **job);

#endif
