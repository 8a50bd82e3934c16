/* Levelled log lines on standard error; LOG_LEVEL is error, info or debug. */
#ifndef RR_COMMON_LOG_H
#define RR_COMMON_LOG_H

#include <glib.h>

enum rr_level { RR_ERROR_LEVEL, RR_INFO_LEVEL, RR_DEBUG_LEVEL };

/* name: "error", "info" or "debug"; NULL: info. 0 or -EINVAL. */
int rr_log_level(void);
int rr_log_set_level(const char *name);
void rr_log_node(const char *node_name);
void rr_log(int level, const char *fmt, ...) G_GNUC_PRINTF(2, 3);
void rr_log_line(int level, const char *line); /* fits rr_core_log_fn */

#endif
