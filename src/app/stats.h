/* Counts and times of submissions since the last log line. Has a lock of its own. */
#ifndef RR_APP_STATS_H
#define RR_APP_STATS_H

#include <stddef.h>

typedef struct rr_stats rr_stats;
/* Never NULL. */
rr_stats *rr_stats_create(void);
/* NULL is allowed. */
void rr_stats_destroy(rr_stats *stats);
/* Records that a submission was answered with this HTTP status after so many seconds. */
void rr_stats_submission(rr_stats *stats, int status, double seconds);
/* Writes the figures since the last call and resets them. */
void rr_stats_line(rr_stats *stats, char *out, size_t size);

#endif
