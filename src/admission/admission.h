/* Fair admission: under overload every controller reaches the same verdict on a submission, so that
 * each team, class and size of job keeps its share. docs/admission.md has the reasons.
 *
 * No I/O, clock, thread or lock: the caller (app/admission_thread.c) holds a lock of its own. Times
 * are in seconds: `wall` of the wall clock, `now` of the steady clock. */
#ifndef RR_ADMISSION_ADMISSION_H
#define RR_ADMISSION_ADMISSION_H

#include "admission/demand_total.h"
#include "admission/table_records.h"
#include "admission/verdict.h"
#include "admission/writer.h"
#include "core/state/transaction.h"

typedef struct rr_admission rr_admission;

/* Both arguments must outlive the object. */
rr_admission *rr_admission_create(const struct rr_config *config,
                                  const rr_admission_settings *settings);
/* NULL is allowed. */
void rr_admission_destroy(rr_admission *admission);

/* ---- tables, as the key-value store has them ---- */

/* Takes a record under RR_ADMISSION_PREFIX. rest: its key after the prefix. */
void rr_admission_put_record(rr_admission *admission, const char *rest, const msgpack_object *value,
                             uint64_t version);

/* The newest whole table; sequence 0: none. Valid until the next record. */
const rr_admission_table *rr_admission_newest(const rr_admission *admission);
/* The table in force; NULL: none. Valid until the next record. */
const rr_admission_table *rr_admission_table_at(const rr_admission *admission, double wall);

/* Adds the table's records to the transaction, guarded against another autoscaler's; the term's
 * guard is the caller's. False: the table does not fit. */
bool rr_admission_put_table(const rr_admission *admission, const rr_admission_table *table,
                            rr_transaction *out);

/* ---- submissions ---- */

/* What a controller knows of its own state. */
typedef struct {
    bool lease_valid;     /* its session is valid, and the term has it as a member */
    bool all_capable;     /* every controller of the term takes part in admission */
    double cache_age_s;   /* since the store cache surely had every change */
    unsigned controllers; /* of the last known term */
} rr_admission_context;

/* The verdict on a submission that is valid and not yet known. A refused job counts as demand. */
rr_admission_verdict rr_admission_check(rr_admission *admission, const rr_submission *submission,
                                        const rr_admission_context *context, double wall,
                                        double now);

/* Records that the submission was admitted and its acceptance committed. */
void rr_admission_accepted(rr_admission *admission, const rr_submission *submission);

/* ---- demand of all controllers ---- */

/* Begins a new interval of counting when it is time. */
void rr_admission_update_interval(rr_admission *admission, double wall, double now);

/* Removes jobs from the demand that were refused here and accepted by another controller since. */
void rr_admission_forget_accepted(rr_admission *admission, rr_job_known_fn known, void *user);

/* Packs this controller's view for its peers. False: nothing is to be announced. */
bool rr_admission_announce(const rr_admission *admission, uint64_t fencing_token, GByteArray *out);

/* Takes a peer's view. -EBADMSG: it is malformed; -ESTALE: it is of an earlier term than
 * fencing_token. Either is ignored and counted. */
int rr_admission_take_demand(rr_admission *admission, size_t peer, uint64_t fencing_token,
                             const void *data, size_t length, double now);

/* Appends the demand of all controllers, for the writer. */
void rr_admission_demand(const rr_admission *admission, double now,
                         GArray *out /* rr_demand_total */);

/* Counts since the start. */
typedef struct {
    uint64_t admitted, refused;
    uint64_t refused_stale; /* of those refused, without a valid table */
    uint64_t frames_dropped, unreadable_records;
} rr_admission_stats;

/* Copies the counts. */
void rr_admission_get_stats(const rr_admission *admission, rr_admission_stats *out);

#endif
