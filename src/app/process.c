#include "app/process.h"
#include "app/admission.h"
#include "app/cells.h"
#include "app/peer_events.h"
#include "app/request_router.h"
#include "app/thread_helpers.h"
#include "app/threads.h"
#include "cells/links.h"
#include "common/log.h"
#include "common/thread.h"
#include "core/planning.h"

#include <errno.h>
#include <malloc.h>
#include <string.h>

#define MALLOC_ARENAS 2
#define MALLOC_TRIM_BYTES (1024 * 1024) /* free bytes at the top of the heap that are returned */
/* Reserve for threads that are just ending and for those of libraries, with their sockets. */
#define SPARE_THREADS 32
/* The main thread, the startup thread, and the HTTP server's listener and watcher. */
#define BASE_THREADS 4
/* A thread's client keeps one connection open and may open another. */
#define SOCKETS_PER_THREAD 2
/* One command thread in this many serves the queue of batches that should be answered promptly. */
#define COMMAND_THREADS_PER_PROMPT_THREAD 3

typedef void *(*thread_entry)(void *argument);

/* Threads of which exactly one runs. */
static const thread_entry single_threads[] = {
    rr_session_thread,      rr_watch_thread,   rr_membership_thread, rr_commit_thread,
    rr_read_barrier_thread, rr_planner_thread, rr_autoscaler_thread};

/* Returns the number of threads that cells take: a listener, one thread for each neighbour, and the
 * incoming connections. */
static int count_cells_threads(const struct rr_config *config) {
    return config->cells ? 1 + RR_CELLS_NEIGHBOURS_MAX + RR_CELLS_CONNECTIONS_MAX : 0;
}

int rr_app_compute_connection_limit(const struct rr_config *config) {
    int threads = BASE_THREADS + (int)G_N_ELEMENTS(single_threads) + config->admission +
                  count_cells_threads(config) + config->tuning.command_thread_count + 1 +
                  (int)config->peer_count + RR_PEER_CONNECTIONS_MAX + SPARE_THREADS;
    return rr_http_server_connections_max(config, threads, SOCKETS_PER_THREAD * threads);
}

void rr_app_tune_allocator(void) {
    mallopt(M_ARENA_MAX, MALLOC_ARENAS);
    mallopt(M_TRIM_THRESHOLD, MALLOC_TRIM_BYTES);
}

static void init_locks_and_queues(struct rr_app *app) {
    pthread_mutex_init(&app->lock, NULL);
    pthread_mutex_init(&app->user_lock, NULL);
    rr_app_cond_init(&app->cache_advanced);
    rr_app_cond_init(&app->planner_wake);
    rr_app_cond_init(&app->command_wake);
    rr_app_cond_init(&app->slow_command_wake);
    rr_app_cond_init(&app->commit_wake);
    rr_read_barriers_init(app);
    g_queue_init(&app->command_queue);
    g_queue_init(&app->slow_command_queue);
    g_queue_init(&app->commit_queue);
}

/* Creates the components that every controller has; starts none of their threads. */
static void create_components(struct rr_app *app) {
    struct rr_peer_events events = rr_app_peer_events(app);
    app->core = rr_core_create(&app->config);
    rr_core_set_log(app->core, rr_log_line, rr_log_max_level());
    app->stats = rr_stats_create();
    app->budget = rr_budget_create(app->config.store_rps, app->config.store_write_rps);
    rr_budget_set_next_limits(app->budget, app->config.next_store_rps,
                              app->config.next_store_write_rps);
    app->peers = rr_peers_create(&app->config, &events, &app->stop);
}

static int start_peers(struct rr_app *app) {
    int rc = rr_peers_start(app->peers);
    if (rc != 0) {
        rr_log(RR_ERROR_LEVEL, "peer_listen: cannot start the links to peers: %s", strerror(-rc));
    }
    return rc;
}

static int create_http_server(struct rr_app *app) {
    app->http_server =
        rr_http_server_create(&app->config, rr_app_compute_connection_limit(&app->config),
                              rr_app_route_request, NULL, app);
    if (!app->http_server) {
        rr_log(RR_ERROR_LEVEL, "bind: cannot bind the HTTP server to %s:%u", app->config.bind.host,
               app->config.bind.port);
        return -EADDRINUSE;
    }
    return 0;
}

/* Starts a thread that join_threads() will join. Returns 0 or -errno. */
static int start_thread(struct rr_app *app, thread_entry entry) {
    int rc = rr_thread_start(&app->threads[app->thread_count], entry, app, false);
    app->thread_count += rc == 0;
    return rc;
}

/* Starts all threads of threads.h. Returns 0, or -errno after logging the error; threads already
 * started keep running until join_threads(). */
static int start_threads(struct rr_app *app) {
    int rc = 0;
    for (size_t i = 0; rc == 0 && i < G_N_ELEMENTS(single_threads); i++) {
        rc = start_thread(app, single_threads[i]);
    }
    for (int i = 0; rc == 0 && i < app->config.tuning.command_thread_count; i++) {
        bool prompt = i % COMMAND_THREADS_PER_PROMPT_THREAD == 0;
        rc = start_thread(app, prompt ? rr_command_thread : rr_slow_command_thread);
    }
    if (rc == 0 && app->admission) {
        rc = start_thread(app, rr_admission_thread);
    }
    if (rc == 0) {
        rc = rr_thread_start(&app->startup_thread, rr_startup_thread, app, false);
        app->startup_running = rc == 0;
    }
    if (rc != 0) {
        rr_log(RR_ERROR_LEVEL, "cannot start the controller's threads: %s", strerror(-rc));
    }
    return rc;
}

int rr_app_start(struct rr_app *app) {
    init_locks_and_queues(app);
    create_components(app);
    int rc = rr_app_admission_create(app);
    rc = rc == 0 ? rr_app_cells_start(app) : rc;
    rc = rc == 0 ? start_peers(app) : rc;
    rc = rc == 0 ? create_http_server(app) : rc;
    rc = rc == 0 ? start_threads(app) : rc;
    if (rc != 0) {
        rr_app_stop(app);
    }
    return rc;
}

/* Wakes all waiting threads, so that they notice rr_app.stop. */
static void wake_all_threads(struct rr_app *app) {
    pthread_mutex_lock(&app->lock);
    pthread_cond_broadcast(&app->cache_advanced);
    pthread_cond_broadcast(&app->planner_wake);
    pthread_cond_broadcast(&app->command_wake);
    pthread_cond_broadcast(&app->slow_command_wake);
    pthread_mutex_unlock(&app->lock);
    pthread_mutex_lock(&app->user_lock);
    pthread_cond_broadcast(&app->commit_wake);
    pthread_cond_broadcast(&app->barrier_wake);
    pthread_cond_broadcast(&app->read_barriers[0].group_served_cond);
    pthread_cond_broadcast(&app->read_barriers[1].group_served_cond);
    pthread_mutex_unlock(&app->user_lock);
}

static void join_threads(struct rr_app *app) {
    /* Joined before the HTTP server is stopped, since this thread may be about to open it. */
    if (app->startup_running) {
        pthread_join(app->startup_thread, NULL);
    }
    /* Joins the threads of the connections first: their requests may wait for the threads that are
     * joined next. */
    rr_http_server_stop(app->http_server);
    for (int i = 0; i < app->thread_count; i++) {
        pthread_join(app->threads[i], NULL);
    }
    rr_app_cells_join(app);
    rr_peers_stop(app->peers);
}

void rr_app_stop(struct rr_app *app) {
    atomic_store(&app->stop, true);
    wake_all_threads(app);
    join_threads(app);
    rr_peers_destroy(app->peers);
    g_queue_clear_full(&app->command_queue, (GDestroyNotify)rr_command_batch_free);
    g_queue_clear_full(&app->slow_command_queue, (GDestroyNotify)rr_command_batch_free);
    rr_stats_destroy(app->stats);
    rr_budget_destroy(app->budget);
    rr_core_destroy(app->core);
    rr_app_admission_destroy(app);
    rr_app_cells_destroy(app);
}
