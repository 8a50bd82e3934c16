/* The verdict on one submission: a pure function of the tables, the time of day and the job, so
 * that every controller with the same tables reaches the same one without asking the others.
 *
 * Jobs stand on a circle by the hash of their ids. A key's window is as wide as its admitted share
 * and moves on by its width each interval: the jobs in it are admitted, and every job's turn comes
 * within 1/share intervals. */
#ifndef RR_ADMISSION_VERDICT_H
#define RR_ADMISSION_VERDICT_H

#include "admission/key.h"
#include "admission/table.h"

#define RR_ADMISSION_STALE_INTERVALS 3 /* a table is valid for so long after its interval */
/* How long a table is valid, from its beginning. */
static inline double rr_admission_valid_s(double interval_s) {
    return (1 + RR_ADMISSION_STALE_INTERVALS) * interval_s;
}
#define RR_RETRY_AFTER_MAX_S 30 /* the protocol's limit */

enum rr_admission_kind {
    RR_ADMISSION_ADMIT,
    RR_ADMISSION_WAIT, /* the job's turn has not come */
    RR_ADMISSION_STALE /* the tables are no longer valid */
};

typedef struct {
    enum rr_admission_kind kind;
    int retry_after_s; /* with RR_ADMISSION_WAIT: until its turn, at most RR_RETRY_AFTER_MAX_S */
} rr_admission_verdict;

/* The tables known to a controller; either may be empty (sequence 0). */
typedef struct {
    const rr_admission_table *newest, *previous;
} rr_admission_tables;

/* Decides on a job. clock_error_s: how far the time of day may be off; nearer to an interval's edge
 * than that, a job is admitted only if both intervals admit it, so that no two controllers use
 * different windows. */
rr_admission_verdict rr_admission_decide(const rr_admission_tables *tables, double wall,
                                         double clock_error_s, const rr_admission_key *key,
                                         const char *job_id);

/* The table in force at this time; NULL: none yet. */
const rr_admission_table *rr_admission_in_force(const rr_admission_tables *tables, double wall);

#endif
