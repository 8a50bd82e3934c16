#include "common/log.h"
#include "common/clock.h"

#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define NODE_NAME_BYTES 64
#define MESSAGE_BYTES 640
#define LINE_BYTES 768

static int max_level = RR_INFO_LEVEL;
static char node[NODE_NAME_BYTES] = "ringrock";
static const char *const level_names[] = {"error", "info", "debug"};

int rr_log_set_level(const char *name) {
    for (size_t i = 0; name && i < G_N_ELEMENTS(level_names); i++) {
        if (strcmp(name, level_names[i]) == 0) {
            max_level = (int)i;
            return 0;
        }
    }
    return name ? -EINVAL : 0;
}

int rr_log_level(void) {
    return max_level;
}

void rr_log_node(const char *node_name) {
    g_strlcpy(node, node_name, sizeof node);
}

void rr_log(int level, const char *fmt, ...) {
    if (level > max_level) {
        return;
    }
    char line[MESSAGE_BYTES];
    va_list args;
    va_start(args, fmt);
    vsnprintf(line, sizeof line, fmt, args);
    va_end(args);
    double wall = rr_wall_clock_s();
    time_t seconds = (time_t)wall;
    struct tm local_time;
    gmtime_r(&seconds, &local_time);
    char out[LINE_BYTES];
    int count = snprintf(out, sizeof out, "%02d:%02d:%02d.%03d %s %s %s\n", local_time.tm_hour,
                         local_time.tm_min, local_time.tm_sec,
                         (int)((wall - (double)seconds) * 1000), node, level_names[level], line);
    /* One write() for each line keeps the lines of different threads apart. */
    size_t length = count < (int)sizeof out ? (size_t)count : sizeof out - 1;
    if (write(STDERR_FILENO, out, length) < 0) {
        return;
    }
}

void rr_log_line(int level, const char *line) {
    rr_log(level, "%s", line);
}
