#include "app/thread.h"

int rr_thread_start(pthread_t *t, void *(*fn)(void *), void *arg, bool detached) {
    pthread_attr_t a;
    pthread_t local;
    pthread_attr_init(&a);
    pthread_attr_setstacksize(&a, RR_THREAD_STACK_BYTES);
    pthread_attr_setdetachstate(&a, detached ? PTHREAD_CREATE_DETACHED : PTHREAD_CREATE_JOINABLE);
    int rc = pthread_create(t ? t : &local, &a, fn, arg);
    pthread_attr_destroy(&a);
    return -rc;
}
