#include "app/usage.h"

#include <glib.h>
#include <pthread.h>
#include <time.h>

#define THREADS_MAX 192 /* more are not told apart from the door's */

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
static double told[RR_USAGE_KINDS + 1];

static double read_ms(clockid_t id) {
    struct timespec ts;
    return clock_gettime(id, &ts) == 0 ? (double)ts.tv_sec * 1e3 + (double)ts.tv_nsec / 1e6 : 0;
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
static void sum_up(double ms[RR_USAGE_KINDS + 1]) {
    clockid_t id;
    pthread_mutex_lock(&lock);
    for (int u = 0; u < RR_USAGE_KINDS; u++) {
        ms[u] = ended[u];
    }
    for (size_t i = 0; i < nthreads; i++) {
        if (pthread_getcpuclockid(threads[i].thread, &id) == 0) {
            ms[threads[i].use] += read_ms(id);
        }
    }
    pthread_mutex_unlock(&lock);
    ms[RR_USAGE_KINDS] = read_ms(CLOCK_PROCESS_CPUTIME_ID);
}

void rr_usage_line(char *out, size_t size) {
    double ms[RR_USAGE_KINDS + 1], sum = 0;
    sum_up(ms);
    GString *s = g_string_new(NULL);
    for (int u = 0; u < RR_USAGE_KINDS; u++) {
        g_string_append_printf(s, "%s%s %.0f", u ? ", " : "", names[u], ms[u] - told[u]);
        sum += ms[u] - told[u];
        told[u] = ms[u];
    }
    double all = ms[RR_USAGE_KINDS] - told[RR_USAGE_KINDS];
    told[RR_USAGE_KINDS] = ms[RR_USAGE_KINDS];
    g_string_append_printf(s, ", the rest %.0f ms", all > sum ? all - sum : 0);
    /* Some systems answer these clocks with other times: then nothing is said. */
    g_strlcpy(out, all > 0 && sum <= all * 1.01 + 1 ? s->str : "not known", size);
    g_string_free(s, TRUE);
}
