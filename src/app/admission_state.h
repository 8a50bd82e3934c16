/* State of fair admission in this process, shared by admission.c and the admission thread. */
#ifndef RR_APP_ADMISSION_STATE_H
#define RR_APP_ADMISSION_STATE_H

#include "admission/admission.h"

#include <pthread.h>

/* Lock order: rr_app.lock, then this one. */
struct rr_app_admission {
    pthread_mutex_t lock;
    rr_admission *admission;                /* under lock */
    rr_admission_writer_stats writer_stats; /* under lock */
    /* The admission thread's own. */
    rr_admission_writer *writer;
    rr_offered_load load;
    double announced_interval; /* wall: start of the interval whose demand was announced */
    double settled_interval;   /* wall: of the one whose table is written or not needed */
    uint64_t room_table;       /* sequence of the table whose rooms the core has; 0: none */
};

#endif
