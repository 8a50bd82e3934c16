#include "common/usage.h"

#include <glib.h>
#include <pthread.h>
#include <time.h>

/* CPU time of threads beyond this number is reported as that of connections. */
#define REGISTERED_THREADS_MAX 192
/* Some systems' thread clocks do not add up to the process's clock. A larger excess than this makes
 * the figures unusable. */
#define CLOCK_EXCESS_FACTOR_MAX 1.01
#define CLOCK_EXCESS_MAX_MS 1

/* Thread names, also used in the log. */
static const char *const kind_names[RR_USAGE_KIND_COUNT] = {"session", "store cache", "users",
                                                            "planner", "autoscaler",  "commands",
                                                            "peers",   "admission",   "cells"};

/* Guards registered_threads, registered_count and ended_threads_ms. */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct {
    pthread_t thread;
    enum rr_usage_kind kind;
} registered_threads[REGISTERED_THREADS_MAX];
static size_t registered_count;
static double ended_threads_ms[RR_USAGE_KIND_COUNT]; /* of threads that have unregistered */
/* Totals at the last rr_usage_format(); the last entry is that of the whole process. */
static double reported_ms[RR_USAGE_KIND_COUNT + 1];

static double read_clock_ms(clockid_t id) {
    struct timespec time;
    return clock_gettime(id, &time) == 0 ? (double)time.tv_sec * 1e3 + (double)time.tv_nsec / 1e6
                                         : 0;
}

void rr_usage_register_thread(enum rr_usage_kind kind) {
    pthread_setname_np(pthread_self(), kind_names[kind]);
    pthread_mutex_lock(&lock);
    if (registered_count < REGISTERED_THREADS_MAX) {
        registered_threads[registered_count].thread = pthread_self();
        registered_threads[registered_count++].kind = kind;
    }
    pthread_mutex_unlock(&lock);
}

void rr_usage_unregister_thread(void) {
    pthread_mutex_lock(&lock);
    for (size_t i = 0; i < registered_count; i++) {
        if (pthread_equal(registered_threads[i].thread, pthread_self())) {
            ended_threads_ms[registered_threads[i].kind] += read_clock_ms(CLOCK_THREAD_CPUTIME_ID);
            registered_threads[i] = registered_threads[--registered_count];
            break;
        }
    }
    pthread_mutex_unlock(&lock);
}

/* Reads the CPU time of each kind of thread and, as the last entry, of the process. Holding the
 * lock keeps registered threads from exiting, so that their clocks stay valid. */
static void read_usage(double usage_ms[RR_USAGE_KIND_COUNT + 1]) {
    clockid_t id;
    pthread_mutex_lock(&lock);
    for (int kind = 0; kind < RR_USAGE_KIND_COUNT; kind++) {
        usage_ms[kind] = ended_threads_ms[kind];
    }
    for (size_t i = 0; i < registered_count; i++) {
        if (pthread_getcpuclockid(registered_threads[i].thread, &id) == 0) {
            usage_ms[registered_threads[i].kind] += read_clock_ms(id);
        }
    }
    pthread_mutex_unlock(&lock);
    usage_ms[RR_USAGE_KIND_COUNT] = read_clock_ms(CLOCK_PROCESS_CPUTIME_ID);
}

void rr_usage_format(char *out, size_t size) {
    double usage_ms[RR_USAGE_KIND_COUNT + 1], registered_ms = 0;
    read_usage(usage_ms);
    GString *text = g_string_new(NULL);
    for (int kind = 0; kind < RR_USAGE_KIND_COUNT; kind++) {
        g_string_append_printf(text, "%s%s %.0f", kind ? ", " : "", kind_names[kind],
                               usage_ms[kind] - reported_ms[kind]);
        registered_ms += usage_ms[kind] - reported_ms[kind];
        reported_ms[kind] = usage_ms[kind];
    }
    double process_ms = usage_ms[RR_USAGE_KIND_COUNT] - reported_ms[RR_USAGE_KIND_COUNT];
    reported_ms[RR_USAGE_KIND_COUNT] = usage_ms[RR_USAGE_KIND_COUNT];
    g_string_append_printf(text, ", the rest %.0f ms",
                           process_ms > registered_ms ? process_ms - registered_ms : 0);
    g_strlcpy(out,
              process_ms > 0 &&
                      registered_ms <= process_ms * CLOCK_EXCESS_FACTOR_MAX + CLOCK_EXCESS_MAX_MS
                  ? text->str
                  : "not known",
              size);
    g_string_free(text, TRUE);
}
