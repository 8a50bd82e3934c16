/* What packages beside the core see and set: records, machines, jobs, fair shares, and holds of
 * jobs that another cell has a say in. */
#ifndef RR_CORE_EXTENSIONS_H
#define RR_CORE_EXTENSIONS_H

#include "core/core.h"
#include "core/state/transaction.h"
#include "wire/wire.h"

/* Hands every record under this prefix to fn, with the rest of its key, whenever the store cache
 * takes it; value NULL: it is deleted. At most RR_RECORD_WATCHES prefixes, before the first record
 * comes.
 */
#define RR_RECORD_WATCHES 2
typedef void (*rr_core_record_fn)(void *user, const char *rest, const msgpack_object *value,
                                  uint64_t version);
void rr_core_watch_records(rr_core *core, const char *prefix, rr_core_record_fn callback,
                           void *user);
/* Recorded machines that are neither returned nor gone. */
typedef void (*rr_core_machine_fn)(void *user, const char *type, const char *zone, double cpu,
                                   double gpu, double mem);
void rr_core_each_machine(const rr_core *core, rr_core_machine_fn callback, void *user);
/* Jobs kept as more than a line; of a final one nothing waits. team: of the settings. */
typedef void (*rr_core_job_fn)(void *user, const rr_submission *submission, int team,
                               uint32_t waiting, uint32_t placed, uint32_t done);
void rr_core_each_job(const rr_core *core, rr_core_job_fn callback, void *user);
bool rr_core_job_known(const rr_core *core, const char *job_id);
/* A change that only this term's autoscaler may make. */
void rr_core_guard_term(const rr_core *core, rr_transaction *transaction);
/* Every controller of the term takes part in fair admission. */
bool rr_core_all_admission_capable(const rr_core *core);
double rr_core_cache_age(const rr_core *core, double now); /* it surely had every change before */
/* Under overload no team fills more than its part of all room (rooms, by team of the settings)
 * while others wait; NULL: no overload. The rooms are copied. */
void rr_core_set_fair_room(rr_core *core, const double *rooms, double cpu, double gpu, double mem);

/* One job, as far as another cell is concerned. */
typedef struct {
    const rr_submission *submission; /* valid while the core is locked */
    double at;                       /* wall, when accepted */
    bool known;                      /* its record is */
    bool done, cancelled;
    uint32_t placed, done_count;
} rr_core_job;
/* False: not known as more than a line; a final one may still be. */
bool rr_core_find_job(const rr_core *core, const char *job_id, rr_core_job *out);
/* Who plans the team's jobs in this term: a controller's name, NULL: nobody. */
const char *rr_core_team_owner(const rr_core *core, const char *team);
/* Adds the job's final record, done. False: no such job is open, or tasks of it are placed here
 * (unless those are surely gone). */
bool rr_core_finish_job(const rr_core *core, const char *job_id, bool placed_are_gone,
                        rr_transaction *transaction);
/* Guards the record of a job that is open. False: it is not. */
bool rr_core_guard_job(const rr_core *core, const char *job_id, rr_transaction *transaction);
/* Adds a record of the job that versions it cancelled. False: it is not known or final. */
bool rr_core_abandon_job(const rr_core *core, const char *job_id, rr_transaction *transaction);
/* Jobs that this controller plans, of which nothing has begun; none of another cell. at: wall, when
 * accepted. */
typedef void (*rr_core_spillable_fn)(void *user, const rr_submission *submission, double when);
void rr_core_each_spillable(const rr_core *core, double now, rr_core_spillable_fn callback,
                            void *user);
/* Every controller of the term keeps the holds below. */
bool rr_core_all_hold_capable(const rr_core *core);
/* The job's cancellation is confirmed, by its record or a peer's word. */
bool rr_core_job_cancelled(const rr_core *core, const char *job_id, double now);

enum rr_hold_kind {
    RR_HOLD_TRANSFERRED, /* offered to another cell: not placed here */
    RR_HOLD_RETURNED,    /* it was: placed only in a term whose owner knows that it is over there */
    RR_HOLD_GUEST,       /* another cell's: placed, and left running, while that one grants it */
};
/* The job's owner places none of its tasks until it is released, in every term anew. */
void rr_core_hold_job(rr_core *core, const char *job_id, enum rr_hold_kind kind);
void rr_core_unhold_job(rr_core *core, const char *job_id);
/* In the present term, until then. */
void rr_core_release_job(rr_core *core, const char *job_id, double until);
/* Takes the release back: what runs is stopped. */
void rr_core_revoke_job(rr_core *core, const char *job_id);

#endif
