#include "common/log.h"
#include "common/clock.h"

#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

/* Buffer sizes in bytes, with the NUL. */
#define NODE_NAME_SIZE 64
#define MESSAGE_SIZE 640
#define LINE_SIZE 768

static int max_level = RR_INFO_LEVEL;
static char logged_node_name[NODE_NAME_SIZE] = "ringrock";
/* Indexed by enum rr_log_severity. */
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

int rr_log_max_level(void) {
    return max_level;
}

void rr_log_set_node_name(const char *node_name) {
    g_strlcpy(logged_node_name, node_name, sizeof logged_node_name);
}

void rr_log(int level, const char *fmt, ...) {
    if (level > max_level) {
        return;
    }
    char message[MESSAGE_SIZE];
    va_list args;
    va_start(args, fmt);
    vsnprintf(message, sizeof message, fmt, args);
    va_end(args);
    double wall_s = rr_wall_clock_s();
    time_t seconds = (time_t)wall_s;
    struct tm utc_time;
    gmtime_r(&seconds, &utc_time);
    char line[LINE_SIZE];
    int length =
        snprintf(line, sizeof line, "%02d:%02d:%02d.%03d %s %s %s\n", utc_time.tm_hour,
                 utc_time.tm_min, utc_time.tm_sec, (int)((wall_s - (double)seconds) * 1000),
                 logged_node_name, level_names[level], message);
    size_t written_length = length < (int)sizeof line ? (size_t)length : sizeof line - 1;
    /* A single write() per line keeps lines of different threads from mixing. A failed write is
     * ignored, since there is nowhere else to report it. */
    if (write(STDERR_FILENO, line, written_length) < 0) {
        return;
    }
}

void rr_log_line(int level, const char *line) {
    rr_log(level, "%s", line);
}
