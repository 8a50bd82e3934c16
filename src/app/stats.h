/* Counts submissions and the times to answer them, for the log. Functions may be called from any
 * thread; the object has its own lock. */
#ifndef RR_APP_STATS_H
#define RR_APP_STATS_H

#include <stddef.h>

typedef struct rr_stats rr_stats;

/* Never returns NULL. */
rr_stats *rr_stats_create(void);
/* NULL is allowed. */
void rr_stats_destroy(rr_stats *stats);
/* Records that a submission was answered with this HTTP status after this many seconds. */
void rr_stats_record_submission(rr_stats *stats, int status, double seconds);
/* Writes a summary of the submissions since the last call to out, and resets the counts. */
void rr_stats_format_summary(rr_stats *stats, char *out, size_t size);

#endif
