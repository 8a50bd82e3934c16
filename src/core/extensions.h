/* Interface of the core for the packages beside it, fair admission and cells. */
#ifndef RR_CORE_EXTENSIONS_H
#define RR_CORE_EXTENSIONS_H

#include "core/core.h"
#include "core/state/transaction.h"
#include "wire/wire.h"

/* ---- records ---- */

#define RR_RECORD_WATCHES_MAX 2 /* prefixes that can be watched; further calls are ignored */
/* Receives a record under a watched prefix. key_suffix: the key without the prefix; value: NULL if
 * the record was deleted. */
typedef void (*rr_core_record_fn)(void *user, const char *key_suffix, const msgpack_object *value,
                                  uint64_t version);
/* Calls back for each record under the prefix that the store cache receives. To be called before
 * the first record arrives. The prefix is copied. */
void rr_core_watch_records(rr_core *core, const char *prefix, rr_core_record_fn callback,
                           void *user);
/* Guards the transaction with the version of the term's record, so that it fails once a new term
 * has been committed. Used for changes that only the autoscaler of the present term may make. */
void rr_core_guard_term(const rr_core *core, rr_transaction *transaction);
/* Returns the age of the store cache in seconds: it may lack the changes of this last period. */
double rr_core_cache_age(const rr_core *core, double now);

/* ---- capabilities of the term's members ---- */

/* Whether every member of the term takes part in fair admission. */
bool rr_core_all_members_support_admission(const rr_core *core);
/* Whether every member of the term supports transfer holds. */
bool rr_core_all_members_support_holds(const rr_core *core);

/* ---- machines and fair shares ---- */

/* Receives a machine with its capacity. */
typedef void (*rr_core_machine_fn)(void *user, const char *type, const char *zone, double cpus,
                                   double gpus, double mem_gb);
/* Calls back for each recorded machine that is neither gone nor being scaled in and whose type and
 * zone are known. */
void rr_core_foreach_machine(const rr_core *core, rr_core_machine_fn callback, void *user);
/* Limits each team to its share of the given total resources while other teams wait, as long as the
 * deployment is overloaded. fair_shares: shares by team index of the settings, copied; NULL: no
 * overload, no limit. */
void rr_core_set_fair_shares(rr_core *core, const double *fair_shares, double cpus, double gpus,
                             double mem_gb);

/* ---- jobs ---- */

/* Receives a job. team: index of the core's team names, which begin with the settings' teams;
 * waiting, placed, done: numbers of its tasks. No task of a final job or of one that was
 * transferred to another cell is waiting. */
typedef void (*rr_core_job_fn)(void *user, const rr_submission *submission, int team,
                               uint32_t waiting, uint32_t placed, uint32_t done);
/* Calls back for each job whose record is known. Final jobs of which only the outcome is kept are
 * left out. */
void rr_core_foreach_job(const rr_core *core, rr_core_job_fn callback, void *user);
/* Whether the job's record or its outcome is known. */
bool rr_core_job_known(const rr_core *core, const char *job_id);
/* Whether the job's cancellation is confirmed, by its record, its outcome or a hint from a peer. */
bool rr_core_job_cancelled(const rr_core *core, const char *job_id, double now);

/* The state of a job that a transfer between cells depends on. */
typedef struct {
    const rr_submission *submission; /* the core's; valid while the caller holds the core's lock */
    double accepted_at;              /* wall seconds: when the job was accepted */
    bool known;                      /* its record is known */
    bool done, cancelled;
    uint32_t placed;     /* tasks placed on machines */
    uint32_t done_count; /* tasks completed */
} rr_core_job;
/* Fills *out with the job's state. Returns false and leaves *out unchanged if the job's record is
 * not known; its outcome may still be (rr_core_job_known). */
bool rr_core_find_job(const rr_core *core, const char *job_id, rr_core_job *out);
/* Returns the name of the controller that owns the team in the present term, or NULL. The text is
 * valid until the next term. */
const char *rr_core_team_owner(const rr_core *core, const char *team);
/* Adds the job's final record, as done, to the transaction. Returns false without adding it if the
 * job is not open, or if tasks of it are placed in this cell and placed_tasks_gone does not say
 * that these have ended. */
bool rr_core_add_finished_job_record(const rr_core *core, const char *job_id,
                                     bool placed_tasks_gone, rr_transaction *transaction);
/* Guards the transaction with the version of the job's own record. Returns false without a guard if
 * the job is not open. */
bool rr_core_guard_open_job(const rr_core *core, const char *job_id, rr_transaction *transaction);
/* Adds the job's record, as cancelled, to the transaction. Returns false without adding it if the
 * job is not open. */
bool rr_core_add_cancelled_job_record(const rr_core *core, const char *job_id,
                                      rr_transaction *transaction);
/* Receives a job that may be offered to another cell. accepted_at: wall seconds. */
typedef void (*rr_core_spillable_fn)(void *user, const rr_submission *submission,
                                     double accepted_at);
/* Calls back for each waiting job that this controller plans, that has no task placed or done and
 * that did not come from another cell. */
void rr_core_foreach_spillable_job(const rr_core *core, double now, rr_core_spillable_fn callback,
                                   void *user);

/* ---- transfer holds ---- */

/* While a job is held, its owner places none of its tasks unless the job has been released. A
 * release applies to one term only: the owner of the next term has to release the job again. */
enum rr_hold_kind {
    RR_HOLD_TRANSFERRED, /* offered to another cell: not placed here */
    RR_HOLD_RETURNED,    /* was offered to another cell: released only in a term whose owner knows
                            that the job has ended there */
    RR_HOLD_GUEST,       /* received from another cell: released, with its running tasks kept, only
                            while that cell permits it */
};
/* Holds the job, or changes the kind of its hold. A change of the kind ends the release. */
void rr_core_hold_job(rr_core *core, const char *job_id, enum rr_hold_kind kind);
/* Removes the job's hold. */
void rr_core_unhold_job(rr_core *core, const char *job_id);
/* Releases a held job in the present term until this time, in steady seconds. Does nothing for a
 * job that is not held. */
void rr_core_release_job(rr_core *core, const char *job_id, double until);
/* Ends the job's release and has its running tasks stopped by the next plan. */
void rr_core_revoke_job_release(rr_core *core, const char *job_id);

#endif
