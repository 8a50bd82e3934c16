/* Logging of the core's decisions. Lines go to the function set with rr_core_set_log(). */
#ifndef RR_CORE_STATE_CORE_LOG_H
#define RR_CORE_STATE_CORE_LOG_H

#include "core/core.h"

#define RR_LOG_ERROR 0
#define RR_LOG_INFO 1
#define RR_LOG_DEBUG 2

/* Logs a line at the level, with the arguments of printf(). The arguments are evaluated, and the
 * line is formatted, only if a log function is set and the level is enabled. */
#define rr_log_at(core, level, ...)                                                                \
    do {                                                                                           \
        if ((core)->log_fn && (level) <= (core)->log_level) {                                      \
            rr_log_line_at(core, level, __VA_ARGS__);                                              \
        }                                                                                          \
    } while (0)
/* Formats a line and passes it to the log function without checking the level. Call rr_log_at()
 * instead. */
void rr_log_line_at(const rr_core *core, int level, const char *fmt, ...) G_GNUC_PRINTF(3, 4);

#endif
