/* State of one controller process, shared by the threads of src/app/.
 *
 * Each group of fields below names the lock that protects it. Lock order: `lock`, then the lock
 * inside `admission`. `user_lock` is never held together with another lock. No I/O under any lock.
 */
#ifndef RR_APP_APP_H
#define RR_APP_APP_H

#include "admission/settings.h"
#include "app/read_barrier.h"
#include "app/stats.h"
#include "cells/settings.h"
#include "core/core.h"
#include "http/server.h"
#include "peer/peer.h"
#include "store/store.h"

#include <pthread.h>

/* Threads that process.c starts and joins: those of its table, the command threads, admission. */
#define RR_APP_THREADS_MAX 160

struct rr_app {
    /* Read-only while threads run. */
    struct rr_config config;
    rr_admission_settings admission_settings; /* cleared by rr_app_stop() */
    rr_cells_settings cells_settings;         /* cleared by rr_app_stop() */

    /* Atomic. */
    atomic_bool stop;
    atomic_int timer_lag_ms; /* smoothed lateness of recent pauses; near 0 with processor time left
                              */

    /* The core: under `lock`. */
    pthread_mutex_t lock;
    pthread_cond_t cache_advanced; /* the store cache has a newer revision */
    pthread_cond_t work;           /* wake_count has changed */
    rr_core *core;
    uint64_t wake_count; /* number of calls of rr_app_wake_planner() */
    bool planning;       /* a plan's transaction has no known outcome yet */

    /* Reachability of the key-value store: under `lock`. */
    bool store_down;    /* the last transaction of users' changes failed */
    double store_ok_at; /* steady: when the store last answered */

    /* Commands for workers: under `lock`. Batches that may time out have a queue of their own, so
     * that they do not delay the others. */
    GQueue command_queue, slow_command_queue; /* rr_command_batch*, owned */
    pthread_cond_t command_wake, slow_command_wake;

    /* Users' changes: under `user_lock`. */
    pthread_mutex_t user_lock;
    pthread_cond_t commit_wake; /* `commits` is not empty any more */
    GQueue commits;     /* struct rr_user_commit*, owned by the threads that wait for them */
    double commit_rate; /* changes per second in the last transaction; 0: none yet */
    uint64_t lease_id;  /* of this process's session; part of the keys of job batches */

    /* Polls that wait for the store cache to catch up: under `user_lock`. Group n waits in
     * read_barriers[n % 2]: one group is served while the next gathers. */
    pthread_cond_t barrier_wake; /* the gathering group is not empty any more */
    struct rr_read_barrier read_barriers[2];
    uint64_t gathering_group;

    /* The commit thread's own. */
    uint64_t batch_count; /* job batches written by this process so far */

    /* Parts with locks of their own; set before the threads start. */
    struct rr_app_admission *admission; /* NULL: switched off */
    struct rr_app_cells *cells;         /* NULL: switched off */
    rr_budget *budget;
    rr_stats *stats;
    rr_peers *peers;
    rr_http_server *http_server;

    /* The main thread's own. */
    pthread_t threads[RR_APP_THREADS_MAX];
    int thread_count;
    pthread_t startup_thread; /* opens the HTTP server, and ends */
    bool startup_running;
};

#endif
