/* Fair admission: under overload every controller reaches the same verdict on a submission, so that
 * each team, class and size of job keeps its share. docs/admission.md has the reasons.
 *
 * No I/O, clock, thread or lock: the shell (app/admission_duty.c) calls under a lock of its own. */
#ifndef RR_ADMISSION_ADMISSION_H
#define RR_ADMISSION_ADMISSION_H

#include "admission/verdict.h"
#include "admission/writer.h"
#include "core/state/transaction.h"

typedef struct rr_admission rr_admission;
rr_admission *rr_admission_create(const struct rr_config *config,
                                  const rr_admission_settings *settings);
void rr_admission_destroy(rr_admission *admission);

/* ---- tables, as the key-value store has them ---- */
/* A record under RR_ADMISSION_PREFIX; rest: its key after that. */
void rr_admission_put(rr_admission *admission, const char *rest, const msgpack_object *value,
                      uint64_t version);
const rr_admission_table *rr_admission_newest(const rr_admission *admission);
const rr_admission_table *rr_admission_table_at(const rr_admission *admission, double wall);
/* The transaction that writes the table; the term's guard is the caller's. False: it does not fit.
 */
bool rr_admission_write(const rr_admission *admission, const rr_admission_table *table,
                        rr_transaction *out);

/* ---- submissions ---- */
/* What a controller knows of its own standing. */
typedef struct {
    bool lease_valid;     /* its session holds, and the term names it */
    bool all_capable;     /* every controller of the term takes part */
    double cache_age_s;   /* since the store cache surely had every change */
    unsigned controllers; /* of the last known term */
} rr_admission_context;

/* The verdict on a submission that is valid and not known. */
rr_admission_verdict rr_admission_ask(rr_admission *admission, const rr_submission *submission,
                                      const rr_admission_context *state, double wall, double now);
/* It was admitted, and its acceptance has been committed. */
void rr_admission_accepted(rr_admission *admission, const rr_submission *submission);

/* ---- demand of all controllers ---- */
/* Begins a new interval of counting when it is time. */
void rr_admission_tick(rr_admission *admission, double wall, double now);
/* Forgets who was refused here and accepted by another controller since. */
void rr_admission_settle(rr_admission *admission, rr_job_known_fn known, void *user);
/* This controller's view, packed for its peers. False: nothing is to be told. */
bool rr_admission_announce(const rr_admission *admission, uint64_t fencing_token, GByteArray *out);
/* A peer's view. -EBADMSG: dropped and counted. -ESTALE: of an earlier term, likewise. */
int rr_admission_take_demand(rr_admission *admission, size_t peer, uint64_t fencing_token,
                             const void *data, size_t length, double now);
/* The demand of all, for the writer. */
void rr_admission_demand(const rr_admission *admission, double now,
                         GArray *out /* rr_demand_total */);

typedef struct {
    uint64_t admitted, refused, refused_stale, frames_dropped, records_unread;
} rr_admission_stats;
void rr_admission_get_stats(const rr_admission *admission, rr_admission_stats *out);

#endif
