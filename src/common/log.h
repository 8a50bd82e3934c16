/* Log lines with a level, on standard error. Levels are set before threads start; rr_log() may be
 * called from any thread. */
#ifndef RR_COMMON_LOG_H
#define RR_COMMON_LOG_H

#include <glib.h>

enum rr_level { RR_ERROR_LEVEL, RR_INFO_LEVEL, RR_DEBUG_LEVEL };

/* The most verbose level that is written. */
int rr_log_level(void);
/* name: "error", "info" or "debug"; NULL: unchanged, info at first. 0 or -EINVAL. */
int rr_log_set_level(const char *name);
/* Sets the name that every line carries. */
void rr_log_node(const char *node_name);
/* Writes one line with time, node name and level. */
void rr_log(int level, const char *fmt, ...) G_GNUC_PRINTF(2, 3);
/* The same for a finished line; an rr_core_log_fn. */
void rr_log_line(int level, const char *line);

#endif
