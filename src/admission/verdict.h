/* The verdict on one submission. It is a pure function of the tables, the time of day and the job,
 * so that all controllers with the same tables reach the same verdict without coordination.
 *
 * The hash of its id gives each job a position on a hash ring, a circle of 2^32 positions. Each key
 * has a window on the ring, as wide as its admitted share, and the jobs in the window are admitted.
 * The window advances by its own width each interval, so that it reaches every job within 1/share
 * intervals. */
#ifndef RR_ADMISSION_VERDICT_H
#define RR_ADMISSION_VERDICT_H

#include "admission/key.h"
#include "admission/table.h"

/* A table stays valid for its own interval and this many more. */
#define RR_ADMISSION_STALE_INTERVALS 3
/* Returns how long a table is valid, in seconds from the start of its interval. */
static inline double rr_admission_table_validity_s(double interval_s) {
    return (1 + RR_ADMISSION_STALE_INTERVALS) * interval_s;
}
/* The protocol's limit on the Retry-After of a refusal. */
#define RR_RETRY_AFTER_MAX_S 30

enum rr_admission_verdict_kind {
    RR_ADMISSION_ADMIT,
    RR_ADMISSION_RETRY_LATER, /* refused: the window has not reached the job yet */
    /* The table in force is no longer valid: rr_admission_decide() leaves the decision to its
     * caller, and rr_admission_check() refuses the job. */
    RR_ADMISSION_NO_VALID_TABLE
};

typedef struct {
    enum rr_admission_verdict_kind kind;
    int retry_after_s; /* seconds after which the user should retry, RR_RETRY_AFTER_MAX_S at
                          most; 0: admitted, or undecided */
} rr_admission_verdict;

/* The tables known to a controller, ordered by sequence. Either may be empty (sequence 0). */
typedef struct {
    const rr_admission_table *newest, *previous;
} rr_admission_tables;

/* Decides on a job. Returns RR_ADMISSION_NO_VALID_TABLE, with retry_after_s 0, if the table in
 * force limits admission and is no longer valid. clock_error_s: largest error of the wall clock.
 * Within this time of the boundary between two intervals, a job is admitted only if the windows of
 * both intervals admit it: controllers whose clocks differ may use different windows then. */
rr_admission_verdict rr_admission_decide(const rr_admission_tables *tables, double wall,
                                         double clock_error_s, const rr_admission_key *key,
                                         const char *job_id);

/* Returns the table in force at `wall`, or NULL if none has started yet. */
const rr_admission_table *rr_admission_find_table_in_force(const rr_admission_tables *tables,
                                                           double wall);

#endif
