/* State of one controller process, shared by the threads of src/app/.
 *
 * Each group of fields names the lock that protects it. Lock order: `lock`, then the lock inside
 * `admission`. `user_lock` is never held together with another lock. No I/O is done under any lock.
 */
#ifndef RR_APP_APP_H
#define RR_APP_APP_H

#include "admission/settings.h"
#include "app/plan_outcome.h"
#include "app/read_barrier.h"
#include "app/stats.h"
#include "cells/settings.h"
#include "core/core.h"
#include "http/server.h"
#include "peer/peer.h"
#include "store/store.h"

#include <pthread.h>

/* Most threads that process.c starts and joins through rr_app.threads: one of each single thread,
 * the command threads and the admission thread. */
#define RR_APP_THREADS_MAX 160

struct rr_app {
    /* ---- settings: read-only while threads run ---- */

    struct rr_config config;
    rr_admission_settings admission_settings; /* cleared by rr_app_stop() */
    rr_cells_settings cells_settings;         /* cleared by rr_app_stop() */

    /* ---- atomics: no lock ---- */

    atomic_bool stop; /* set once: all threads are to return */
    /* Moving average of how late the sleeps of rr_app_pause() end, in milliseconds; near 0 while
     * the process gets enough processor time. */
    atomic_int timer_lag_ms;

    /* ---- the core and its planner: under `lock` ---- */

    pthread_mutex_t lock;
    pthread_cond_t cache_advanced; /* the store cache has reached a newer revision */
    pthread_cond_t planner_wake;   /* planner_wake_count has changed */
    rr_core *core;
    uint64_t planner_wake_count;         /* number of calls of rr_app_wake_planner() */
    struct rr_plan_outcome plan_outcome; /* of the planner's last transaction */

    /* ---- reachability of the key-value store: under `lock` ---- */

    bool store_down;          /* the last transaction of users' changes failed */
    double store_answered_at; /* steady time of the store's last answer, in seconds; 0: none yet */

    /* ---- commands for workers: under `lock` ---- */

    /* Batches of commands (rr_command_batch *, owned). Batches that are likely to time out have a
     * queue of their own, so that they do not delay the others. */
    GQueue command_queue, slow_command_queue;
    pthread_cond_t command_wake, slow_command_wake; /* a batch was added to the queue */

    /* ---- users' changes: under `user_lock` ---- */

    pthread_mutex_t user_lock;
    pthread_cond_t commit_wake; /* commit_queue is not empty any more */
    GQueue commit_queue;        /* struct rr_user_commit *, owned by the threads that wait */
    double commit_rate; /* changes per second in the last transaction; 0: no transaction yet */
    /* Lease of this process's session, part of the keys of job batches; 0: no session. */
    uint64_t lease_id;

    /* ---- polls that wait for the store cache to catch up: under `user_lock` ---- */

    pthread_cond_t barrier_wake; /* the gathering group is not empty any more */
    /* Group n waits in read_barriers[n % 2]: one group is served while the next one gathers. */
    struct rr_read_barrier read_barriers[2];
    uint64_t gathering_group; /* number of the group that new polls join */

    /* ---- used by the commit thread only ---- */

    uint64_t batch_count; /* job batches written since the process started */

    /* ---- components with locks of their own: pointers set before the threads start ---- */

    struct rr_app_admission *admission; /* NULL: fair admission is switched off */
    struct rr_app_cells *cells;         /* NULL: cells are switched off */
    rr_budget *budget;
    rr_stats *stats;
    rr_peers *peers;
    rr_http_server *http_server;

    /* ---- used by the main thread only ---- */

    pthread_t threads[RR_APP_THREADS_MAX];
    int thread_count;         /* entries of `threads` in use */
    pthread_t startup_thread; /* opens the HTTP server, then ends */
    bool startup_running;     /* startup_thread was started and has to be joined */
};

#endif
