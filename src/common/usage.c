#include "common/usage.h"

#include <glib.h>
#include <pthread.h>
#include <time.h>

#define THREADS_MAX 192 /* further ones count as connections */

static const char *const kind_names[RR_USAGE_KINDS] = {"session", "store cache", "users",
                                                       "planner", "autoscaler",  "commands",
                                                       "peers",   "admission",   "cells"};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct {
    pthread_t thread;
    enum rr_usage_kind kind;
} threads[THREADS_MAX];
static size_t thread_count;
static double ended_ms[RR_USAGE_KINDS]; /* of threads that have left */
/* Totals at the last rr_usage_line(); the last entry is the whole process's. */
static double reported_ms[RR_USAGE_KINDS + 1];

static double read_ms(clockid_t id) {
    struct timespec time;
    return clock_gettime(id, &time) == 0 ? (double)time.tv_sec * 1e3 + (double)time.tv_nsec / 1e6
                                         : 0;
}

void rr_usage_enter(enum rr_usage_kind kind) {
    pthread_setname_np(pthread_self(), kind_names[kind]);
    pthread_mutex_lock(&lock);
    if (thread_count < THREADS_MAX) {
        threads[thread_count].thread = pthread_self();
        threads[thread_count++].kind = kind;
    }
    pthread_mutex_unlock(&lock);
}

void rr_usage_leave(void) {
    pthread_mutex_lock(&lock);
    for (size_t i = 0; i < thread_count; i++) {
        if (pthread_equal(threads[i].thread, pthread_self())) {
            ended_ms[threads[i].kind] += read_ms(CLOCK_THREAD_CPUTIME_ID);
            threads[i] = threads[--thread_count];
            break;
        }
    }
    pthread_mutex_unlock(&lock);
}

/* The lock keeps threads from leaving, so that their clocks can be read. */
static void sum_by_kind(double milliseconds[RR_USAGE_KINDS + 1]) {
    clockid_t id;
    pthread_mutex_lock(&lock);
    for (int kind = 0; kind < RR_USAGE_KINDS; kind++) {
        milliseconds[kind] = ended_ms[kind];
    }
    for (size_t i = 0; i < thread_count; i++) {
        if (pthread_getcpuclockid(threads[i].thread, &id) == 0) {
            milliseconds[threads[i].kind] += read_ms(id);
        }
    }
    pthread_mutex_unlock(&lock);
    milliseconds[RR_USAGE_KINDS] = read_ms(CLOCK_PROCESS_CPUTIME_ID);
}

void rr_usage_line(char *out, size_t size) {
    double milliseconds[RR_USAGE_KINDS + 1], sum = 0;
    sum_by_kind(milliseconds);
    GString *text = g_string_new(NULL);
    for (int kind = 0; kind < RR_USAGE_KINDS; kind++) {
        g_string_append_printf(text, "%s%s %.0f", kind ? ", " : "", kind_names[kind],
                               milliseconds[kind] - reported_ms[kind]);
        sum += milliseconds[kind] - reported_ms[kind];
        reported_ms[kind] = milliseconds[kind];
    }
    double all = milliseconds[RR_USAGE_KINDS] - reported_ms[RR_USAGE_KINDS];
    reported_ms[RR_USAGE_KINDS] = milliseconds[RR_USAGE_KINDS];
    g_string_append_printf(text, ", the rest %.0f ms", all > sum ? all - sum : 0);
    /* Some systems' thread clocks do not add up to the process's. */
    g_strlcpy(out, all > 0 && sum <= all * 1.01 + 1 ? text->str : "not known", size);
    g_string_free(text, TRUE);
}
