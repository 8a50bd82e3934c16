/* What packages beside the core (fair admission, cells) see of it and set in it. Calls that add to
 * a transaction return whether they did. */
#ifndef RR_CORE_EXTENSIONS_H
#define RR_CORE_EXTENSIONS_H

#include "core/core.h"
#include "core/state/transaction.h"
#include "wire/wire.h"

/* ---- records ---- */

#define RR_RECORD_WATCHES 2 /* most prefixes that can be watched */
/* key_suffix: the key after the prefix. value NULL: the record is deleted. */
typedef void (*rr_core_record_fn)(void *user, const char *key_suffix, const msgpack_object *value,
                                  uint64_t version);
/* Calls back for every record under the prefix as the store cache takes it. To be called before the
 * first record comes. */
void rr_core_watch_records(rr_core *core, const char *prefix, rr_core_record_fn callback,
                           void *user);
/* Guards a change that only this term's autoscaler may make. */
void rr_core_guard_term(const rr_core *core, rr_transaction *transaction);
/* Seconds for which the store cache may lack changes. */
double rr_core_cache_age(const rr_core *core, double now);

/* ---- capabilities: whether every controller of the term has one ---- */

bool rr_core_all_admission_capable(const rr_core *core); /* takes part in fair admission */
bool rr_core_all_hold_capable(const rr_core *core);      /* keeps transfer holds */

/* ---- machines and fair shares ---- */

typedef void (*rr_core_machine_fn)(void *user, const char *type, const char *zone, double cpu,
                                   double gpu, double mem);
/* Calls back for every recorded machine that is neither gone nor being scaled in. */
void rr_core_each_machine(const rr_core *core, rr_core_machine_fn callback, void *user);
/* Under overload, limits each team to its share of the given total while others wait. rooms: shares
 * by team of the settings, copied; NULL: no overload. */
void rr_core_set_fair_shares(rr_core *core, const double *rooms, double cpu, double gpu,
                             double mem);

/* ---- jobs ---- */

/* team: index of the settings. Of a final job no task waits. */
typedef void (*rr_core_job_fn)(void *user, const rr_submission *submission, int team,
                               uint32_t waiting, uint32_t placed, uint32_t done);
/* Calls back for every job that has not shrunk to its outcome. */
void rr_core_each_job(const rr_core *core, rr_core_job_fn callback, void *user);
/* Whether the job's record is known, or its outcome. */
bool rr_core_job_known(const rr_core *core, const char *job_id);
/* Whether the job's cancellation is confirmed, by its record or by a peer's hint. */
bool rr_core_job_cancelled(const rr_core *core, const char *job_id, double now);

/* One job, as far as another cell is concerned. */
typedef struct {
    const rr_submission *submission; /* valid while the core is locked */
    double at;                       /* wall, when accepted */
    bool known;                      /* its record is */
    bool done, cancelled;
    uint32_t placed, done_count;
} rr_core_job;
/* False: unknown, or shrunk to its outcome (rr_core_job_known). */
bool rr_core_find_job(const rr_core *core, const char *job_id, rr_core_job *out);
/* Returns the name of the controller that plans the team's jobs in this term, or NULL. */
const char *rr_core_team_owner(const rr_core *core, const char *team);
/* Adds the job's final record, done. False: no such job is open, or tasks of it are placed here and
 * placed_are_gone is not set. */
bool rr_core_finish_job(const rr_core *core, const char *job_id, bool placed_are_gone,
                        rr_transaction *transaction);
/* Guards the record of an open job. False: it is not open. */
bool rr_core_guard_job(const rr_core *core, const char *job_id, rr_transaction *transaction);
/* Adds the record of an open job as cancelled. False: it is not open. */
bool rr_core_abandon_job(const rr_core *core, const char *job_id, rr_transaction *transaction);
/* when: wall, when the job was accepted. */
typedef void (*rr_core_spillable_fn)(void *user, const rr_submission *submission, double when);
/* Calls back for every job that this controller plans, of which no task has begun and which is not
 * another cell's. */
void rr_core_each_spillable(const rr_core *core, double now, rr_core_spillable_fn callback,
                            void *user);

/* ---- transfer holds: the job's owner places none of its tasks unless it is released, in every
 * term again ---- */

enum rr_hold_kind {
    RR_HOLD_TRANSFERRED, /* offered to another cell: not placed here */
    RR_HOLD_RETURNED,    /* it was: placed only in a term whose owner knows that it ended there */
    RR_HOLD_GUEST,       /* another cell's: placed, and left running, while that cell grants it */
};
/* Holds the job, or changes the kind of its hold, which ends its release. */
void rr_core_hold_job(rr_core *core, const char *job_id, enum rr_hold_kind kind);
/* Removes the job's hold. */
void rr_core_unhold_job(rr_core *core, const char *job_id);
/* Releases a held job in the present term until this steady time. */
void rr_core_release_job(rr_core *core, const char *job_id, double until);
/* Takes a release back: running tasks of the job are stopped. */
void rr_core_revoke_job(rr_core *core, const char *job_id);

#endif
