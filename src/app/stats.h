/* What the last minute was like, for one line in the log. Locks itself. */
#ifndef RR_APP_STATS_H
#define RR_APP_STATS_H

#include <stddef.h>

typedef struct rr_stats rr_stats;
rr_stats *rr_stats_create(void);
void rr_stats_destroy(rr_stats *stats);
/* A submission was answered with this status after this long. */
void rr_stats_submission(rr_stats *stats, int status, double seconds);
/* Writes the figures since the last call and starts anew. */
void rr_stats_line(rr_stats *stats, char *out, size_t size);

#endif
