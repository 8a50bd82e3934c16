/* Starts threads with small stacks, because the process has one thread per HTTP connection and its
 * memory is limited. */
#ifndef RR_COMMON_THREAD_H
#define RR_COMMON_THREAD_H

#include <pthread.h>
#include <stdbool.h>

#define RR_THREAD_STACK_BYTES ((size_t)256 * 1024)

/* Starts a thread that runs entry(argument) and stores its handle in *thread. If detached is true,
 * thread may be NULL; otherwise the caller joins the thread. Returns 0 or -errno. */
int rr_thread_start(pthread_t *thread, void *(*entry)(void *), void *argument, bool detached);

#endif
