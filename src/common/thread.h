/* Starts threads with small stacks, since the process has many. */
#ifndef RR_COMMON_THREAD_H
#define RR_COMMON_THREAD_H

#include <pthread.h>
#include <stdbool.h>

#define RR_THREAD_STACK_BYTES ((size_t)256 * 1024)

/* Starts a thread that runs entry(argument). thread may be NULL if it is detached. 0 or -errno. */
int rr_thread_start(pthread_t *thread, void *(*entry)(void *), void *argument, bool detached);

#endif
