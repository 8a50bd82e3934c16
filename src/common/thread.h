/* Threads as this process makes them: with small stacks, since there are many. */
#ifndef RR_COMMON_THREAD_H
#define RR_COMMON_THREAD_H

#include <pthread.h>
#include <stdbool.h>

#define RR_THREAD_STACK_BYTES ((size_t)256 * 1024)

/* 0 or -errno. A detached one needs no *t. */
int rr_thread_start(pthread_t *thread, void *(*entry)(void *), void *arg, bool detached);

#endif
