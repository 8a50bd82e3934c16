/* Writes log lines with a level to standard error. The level and the node name are set before any
 * other thread starts; rr_log() and rr_log_line() may be called from any thread. */
#ifndef RR_COMMON_LOG_H
#define RR_COMMON_LOG_H

#include <glib.h>

/* Severities, the most severe first. The values equal the core's RR_LOG_ERROR to RR_LOG_DEBUG. */
enum rr_log_severity { RR_ERROR_LEVEL, RR_INFO_LEVEL, RR_DEBUG_LEVEL };

/* Returns the most verbose level that is written; RR_INFO_LEVEL by default. */
int rr_log_max_level(void);
/* Sets the most verbose level that is written. name: "error", "info" or "debug"; NULL leaves it
 * unchanged. Returns 0, or -EINVAL for another name. */
int rr_log_set_level(const char *name);
/* Sets the node name in every line; "ringrock" by default. Longer names are truncated. */
void rr_log_set_node_name(const char *node_name);
/* Writes one line with the time of day (UTC), the node name and the level, unless the level is more
 * verbose than the set one. Long lines are truncated. */
void rr_log(int level, const char *fmt, ...) G_GNUC_PRINTF(2, 3);
/* Writes a formatted line as rr_log() does. An rr_core_log_fn, for the core's log lines. */
void rr_log_line(int level, const char *line);

#endif
