/* Fair admission: under overload, every controller reaches the same verdict on a submission, so
 * that each team, job class and size band keeps its share. See docs/admission.md for the design.
 *
 * This module does no I/O, reads no clock, and uses no threads or locks: callers serialize all
 * calls (rr_app_admission.lock). Times are in seconds; `wall` is wall-clock time and `now` is time
 * of the steady clock. */
#ifndef RR_ADMISSION_ADMISSION_H
#define RR_ADMISSION_ADMISSION_H

#include "admission/demand_total.h"
#include "admission/table_records.h"
#include "admission/verdict.h"
#include "admission/writer.h"
#include "core/state/transaction.h"

typedef struct rr_admission rr_admission;

/* Creates the admission state of one controller. Borrows both arguments, which must outlive it. */
rr_admission *rr_admission_create(const struct rr_config *config,
                                  const rr_admission_settings *settings);
/* Frees the admission state. NULL is allowed. */
void rr_admission_destroy(rr_admission *admission);

/* ---- admission tables from the key-value store ---- */

/* Applies a stored record to the table of its slot. key_suffix: the record's key after
 * RR_ADMISSION_KEY_PREFIX, "SLOT/PART". An unreadable record is counted in unreadable_records. */
void rr_admission_apply_record(rr_admission *admission, const char *key_suffix,
                               const msgpack_object *value, uint64_t version);

/* Returns the newest complete table, with sequence 0 if there is none. Valid until the next
 * rr_admission_apply_record(). */
const rr_admission_table *rr_admission_get_newest_table(const rr_admission *admission);
/* Returns the table in force at `wall`, or NULL if there is none. Valid until the next
 * rr_admission_apply_record(). */
const rr_admission_table *rr_admission_get_table_at(const rr_admission *admission, double wall);

/* Adds the table's records to the transaction, with guards against a concurrent write by another
 * autoscaler. The caller adds the guard of the term. Returns false if the table does not fit. */
bool rr_admission_add_table_writes(const rr_admission *admission, const rr_admission_table *table,
                                   rr_transaction *transaction);

/* ---- submissions ---- */

/* The state of the controller that a verdict depends on. */
typedef struct {
    bool lease_valid; /* the controller's session is valid and it is a member of the term */
    bool all_support_admission; /* every controller of the term supports admission */
    double cache_age_s;         /* time since the store cache was known to hold every change */
    unsigned controllers;       /* number of controllers in the last known term */
} rr_admission_context;

/* Returns the verdict on a submission that is valid and whose job is not yet known. Records a
 * refused job as demand. Every submission is admitted unless context->all_support_admission. */
rr_admission_verdict rr_admission_check(rr_admission *admission, const rr_submission *submission,
                                        const rr_admission_context *context, double wall,
                                        double now);

/* Records a submission that was admitted and whose acceptance was committed. */
void rr_admission_record_accepted(rr_admission *admission, const rr_submission *submission);

/* ---- demand at this controller and at its peers ---- */

/* Starts a new counting interval if `wall` lies in a different interval than at the last call.
 * Intervals begin at multiples of the interval_s setting, the same on every controller. */
void rr_admission_update_interval(rr_admission *admission, double wall, double now);

/* Removes from the demand the jobs that this controller refused and that any controller has
 * accepted since. */
void rr_admission_remove_accepted(rr_admission *admission, rr_job_accepted_fn is_accepted,
                                  void *user);

/* Appends this controller's encoded demand view to *out, for its peers. fencing_token: that of the
 * current term. Returns false if there is nothing to announce, because the newest table does not
 * limit admission. */
bool rr_admission_encode_demand_view(const rr_admission *admission, uint64_t fencing_token,
                                     GByteArray *out);

/* Replaces the demand view of a peer. peer: index in rr_config.peers. fencing_token: that of the
 * current term. Returns 0, -EBADMSG if the view is malformed or the index out of range, or -ESTALE
 * if the view is from an earlier term. After an error the previous view stays and the new one is
 * counted in frames_dropped. */
int rr_admission_receive_demand_view(rr_admission *admission, size_t peer, uint64_t fencing_token,
                                     const void *data, size_t length, double now);

/* Appends the combined demand of this controller and its peers, for the table writer. */
void rr_admission_append_total_demand(const rr_admission *admission, double now,
                                      GArray *out /* rr_demand_total */);

/* Counters since rr_admission_create(). */
typedef struct {
    uint64_t admitted;              /* submissions whose acceptance was committed */
    uint64_t refused;               /* refused submissions; each retry counts */
    uint64_t refused_without_table; /* those of `refused` that were decided without a valid table */
    uint64_t frames_dropped;        /* demand views that were malformed or from an earlier term */
    uint64_t unreadable_records;    /* table records with an unknown key or format */
} rr_admission_stats;

/* Copies the counters. */
void rr_admission_get_stats(const rr_admission *admission, rr_admission_stats *out);

#endif
