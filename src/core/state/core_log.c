/* Formats the log lines of the core and passes them to the log function. */
#include "core/state/core_log.h"
#include "core/core_internal.h"

#include <stdarg.h>
#include <stdio.h>

#define LINE_SIZE 512 /* bytes with the terminating NUL; longer lines are truncated */

void rr_core_set_log(rr_core *core, rr_core_log_fn log_fn, int level) {
    core->log_fn = log_fn;
    core->log_level = level;
}

void rr_log_line_at(const rr_core *core, int level, const char *fmt, ...) {
    char line[LINE_SIZE];
    va_list args;
    va_start(args, fmt);
    vsnprintf(line, sizeof line, fmt, args);
    va_end(args);
    core->log_fn(level, line);
}
