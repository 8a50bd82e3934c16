#include "common/thread.h"

int rr_thread_start(pthread_t *thread, void *(*entry)(void *), void *argument, bool detached) {
    pthread_attr_t attributes;
    pthread_t unused_handle;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, RR_THREAD_STACK_BYTES);
    pthread_attr_setdetachstate(&attributes,
                                detached ? PTHREAD_CREATE_DETACHED : PTHREAD_CREATE_JOINABLE);
    int rc = pthread_create(thread ? thread : &unused_handle, &attributes, entry, argument);
    pthread_attr_destroy(&attributes);
    return -rc;
}
