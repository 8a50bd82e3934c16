/* State of fair admission in this process, shared by admission.c and admission_thread.c. */
#ifndef RR_APP_ADMISSION_STATE_H
#define RR_APP_ADMISSION_STATE_H

#include "admission/admission.h"

#include <pthread.h>

struct rr_app_admission {
    pthread_mutex_t lock; /* lock order: rr_app.lock, then this one */

    /* ---- under `lock` ---- */

    rr_admission *admission;
    rr_admission_writer_stats writer_stats; /* copied from `writer` after each table */

    /* ---- used by the admission thread only ---- */

    rr_admission_writer *writer;
    rr_offered_load offered_load;
    /* Wall-clock start of the interval in which demand was last announced, in seconds. */
    double announced_interval_start;
    /* Wall-clock start of the last interval whose table was written or not needed, in seconds. */
    double settled_interval_start;
    /* Sequence of the table whose fair shares the core enforces; 0: none. */
    uint64_t fair_shares_sequence;
};

#endif
