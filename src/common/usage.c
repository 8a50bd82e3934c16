#include "common/usage.h"

#include <glib.h>
#include <pthread.h>
#include <time.h>

#define THREADS_MAX 192 /* more are not told apart from the HTTP server's */

static const char *const names[RR_USAGE_KINDS] = {"session", "mirror",      "users",
                                                  "planner", "provisioner", "senders",
                                                  "peers",   "admission",   "cells"};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct {
    pthread_t thread;
    enum rr_usage_kind use;
} threads[THREADS_MAX];
static size_t nthreads;
static double ended[RR_USAGE_KINDS]; /* seconds of threads that have left */
static double announced[RR_USAGE_KINDS + 1];

static double read_ms(clockid_t id) {
    struct timespec time;
    return clock_gettime(id, &time) == 0 ? (double)time.tv_sec * 1e3 + (double)time.tv_nsec / 1e6
                                         : 0;
}

void rr_usage_enter(enum rr_usage_kind use) {
    pthread_setname_np(pthread_self(), names[use]); /* for top -H and the like */
    pthread_mutex_lock(&lock);
    if (nthreads < THREADS_MAX) {
        threads[nthreads].thread = pthread_self();
        threads[nthreads++].use = use;
    }
    pthread_mutex_unlock(&lock);
}

void rr_usage_leave(void) {
    pthread_mutex_lock(&lock);
    for (size_t i = 0; i < nthreads; i++) {
        if (pthread_equal(threads[i].thread, pthread_self())) {
            ended[threads[i].use] += read_ms(CLOCK_THREAD_CPUTIME_ID);
            threads[i] = threads[--nthreads];
            break;
        }
    }
    pthread_mutex_unlock(&lock);
}

/* Under the lock no thread leaves, so that each one's clock is there. */
static void sum_up(double milliseconds[RR_USAGE_KINDS + 1]) {
    clockid_t id;
    pthread_mutex_lock(&lock);
    for (int kind = 0; kind < RR_USAGE_KINDS; kind++) {
        milliseconds[kind] = ended[kind];
    }
    for (size_t i = 0; i < nthreads; i++) {
        if (pthread_getcpuclockid(threads[i].thread, &id) == 0) {
            milliseconds[threads[i].use] += read_ms(id);
        }
    }
    pthread_mutex_unlock(&lock);
    milliseconds[RR_USAGE_KINDS] = read_ms(CLOCK_PROCESS_CPUTIME_ID);
}

void rr_usage_line(char *out, size_t size) {
    double milliseconds[RR_USAGE_KINDS + 1], sum = 0;
    sum_up(milliseconds);
    GString *text = g_string_new(NULL);
    for (int kind = 0; kind < RR_USAGE_KINDS; kind++) {
        g_string_append_printf(text, "%s%s %.0f", kind ? ", " : "", names[kind],
                               milliseconds[kind] - announced[kind]);
        sum += milliseconds[kind] - announced[kind];
        announced[kind] = milliseconds[kind];
    }
    double all = milliseconds[RR_USAGE_KINDS] - announced[RR_USAGE_KINDS];
    announced[RR_USAGE_KINDS] = milliseconds[RR_USAGE_KINDS];
    g_string_append_printf(text, ", the rest %.0f ms", all > sum ? all - sum : 0);
    /* Some systems answer these clocks with other times: then nothing is said. */
    g_strlcpy(out, all > 0 && sum <= all * 1.01 + 1 ? text->str : "not known", size);
    g_string_free(text, TRUE);
}
