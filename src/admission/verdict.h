/* The verdict on one submission: a pure function of the tables, the time of day and the job, so
 * that every controller with the same tables gives the same one without asking the others.
 *
 * Jobs stand on a circle by the hash of their ids. A key's window is as wide as its admitted share
 * and moves on by its width each interval: who stands in it is admitted, and everybody's turn comes
 * within 1/share intervals. */
#ifndef RR_ADMISSION_VERDICT_H
#define RR_ADMISSION_VERDICT_H

#include "admission/key.h"
#include "admission/table.h"

#define RR_ADMISSION_STALE_INTERVALS 3 /* a table is used so long after its interval */
/* How long a table counts, from its beginning. */
static inline double rr_admission_counts_s(double interval_s) {
    return (1 + RR_ADMISSION_STALE_INTERVALS) * interval_s;
}
#define RR_RETRY_AFTER_MAX_S 30 /* PROTOCOL's bound */

enum rr_admission_kind {
    RR_ADMISSION_ADMIT,
    RR_ADMISSION_WAIT, /* its turn has not come */
    RR_ADMISSION_STALE /* the tables are too old to tell */
};

typedef struct {
    enum rr_admission_kind kind;
    int retry_after_s; /* with WAIT: until its turn, within PROTOCOL's bound */
} rr_admission_verdict;

/* The tables known to a controller; either may be empty (sequence 0). */
typedef struct {
    const rr_admission_table *newest, *previous;
} rr_admission_tables;

/* clock_error_s: how far the time of day may be off. Nearer to an interval's edge than that, a job
 * is admitted only if both intervals admit it, so that no two controllers use different windows. */
rr_admission_verdict rr_admission_decide(const rr_admission_tables *tables, double wall,
                                         double clock_error_s, const rr_admission_key *key,
                                         const char *job_id);
/* The table in force at this time; NULL: none yet. */
const rr_admission_table *rr_admission_in_force(const rr_admission_tables *tables, double wall);

#endif
