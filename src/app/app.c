#include "app/app.h"
#include "common/clock.h"
#include "common/log.h"
#include "common/thread.h"
#include "cells/links.h"
#include "core/cache_feed.h"
#include "core/heartbeats.h"
#include "core/planning.h"

#include <errno.h>
#include <malloc.h>
#include <string.h>
#include <time.h>

#define SPARE 32 /* threads and sockets for what ends just now, and libraries' own */

void rr_app_wait(struct rr_app *app, pthread_cond_t *condition, pthread_mutex_t *mutex,
                 double seconds) {
    double until = rr_steady_clock_s() + seconds;
    struct timespec time = {(time_t)until, (long)((until - (double)(time_t)until) * 1e9)};
    (void)app;
    pthread_cond_timedwait(condition, mutex, &time);
}

void rr_app_wake(struct rr_app *app) {
    app->wake_count++;
    pthread_cond_broadcast(&app->work);
}

bool rr_app_wait_revision(struct rr_app *app, uint64_t revision, double until) {
    while (rr_core_revision(app->core) < revision) {
        double left = until - rr_steady_clock_s();
        if (left <= 0 || atomic_load(&app->stop)) {
            return false;
        }
        rr_app_wait(app, &app->cache_advanced, &app->lock, left);
    }
    return true;
}

static void on_peer_heartbeat(void *user, int peer, unsigned hops, const void *body,
                              size_t length) {
    rr_app_take_heartbeat(user, body, length, peer, hops);
}

/* Where two zones can't reach each other a third may reach both: what is news here is passed on
 * once to those that do not hear its sender, so that nobody takes a machine for dead that a
 * neighbour hears. */
static void on_heard(void *user, int peer, unsigned hops, const rr_heartbeat_digest *list,
                     size_t count) {
    struct rr_app *app = user;
    pthread_mutex_lock(&app->lock);
    double now = rr_steady_clock_s();
    if (hops == 0) {
        rr_core_peer_contacted(app->core, now, peer);
    }
    for (size_t i = 0; i < count; i++) {
        rr_core_take_heartbeat_digest(app->core, now, &list[i], peer);
    }
    pthread_mutex_unlock(&app->lock);
    if (hops == 0) {
        rr_peers_forward_heartbeats(app->peers, peer, list, count, NULL, 0);
    }
}

static void on_suspect(void *user, const char *machine) {
    struct rr_app *app = user;
    pthread_mutex_lock(&app->lock);
    rr_core_suspect(app->core, machine, rr_steady_clock_s());
    pthread_mutex_unlock(&app->lock);
}

static void on_cancelled(void *user, const char *job_id) {
    struct rr_app *app = user;
    pthread_mutex_lock(&app->lock);
    rr_core_add_cancel_hint(app->core, job_id, rr_steady_clock_s());
    pthread_mutex_unlock(&app->lock);
}

#define STORE_FRESH_S 2.0

static void on_demand(void *user, int peer, const void *data, size_t length) {
    rr_app_admission_take_demand(user, peer, data, length);
}

static bool on_resign(void *user, uint64_t lease_id, bool end) {
    struct rr_app *app = user;
    pthread_mutex_lock(&app->lock);
    bool fresh = rr_steady_clock_s() - app->store_ok_at < STORE_FRESH_S;
    pthread_mutex_unlock(&app->lock);
    if (!fresh || !end) {
        return fresh;
    }
    rr_store *store = rr_store_create(&app->config.state, app->budget, &app->stop);
    int rc = store ? rr_store_end_lease(store, lease_id) : -ENOMEM;
    rr_store_destroy(store);
    return rc == 0 || rc == -ENOENT;
}

void rr_app_cond_init(pthread_cond_t *condition) {
    pthread_condattr_t attributes;
    pthread_condattr_init(&attributes);
    pthread_condattr_setclock(&attributes, CLOCK_MONOTONIC);
    pthread_cond_init(condition, &attributes);
    pthread_condattr_destroy(&attributes);
}

static int run(struct rr_app *app, void *(*duty)(void *)) {
    int rc = rr_thread_start(&app->threads[app->thread_count], duty, app, false);
    app->thread_count += rc == 0;
    return rc;
}

static void *(*const duties[])(void *) = {
    rr_session_thread,      rr_watch_thread,   rr_membership_thread, rr_commit_thread,
    rr_read_barrier_thread, rr_planner_thread, rr_autoscaler_thread};

/* Beside the connections': main, the HTTP server's own two and its opener, the threads, the senders
 * and the peers' threads; and two sockets for each that calls out: a client keeps one and opens
 * another. */
static int cells_threads(const struct rr_config *config) {
    return config->cells ? 1 + RR_CELLS_MAX + RR_CELLS_CONNECTIONS : 0;
}

int rr_app_connections(const struct rr_config *config) {
    int threads = 4 + (int)G_N_ELEMENTS(duties) + config->admission + cells_threads(config) +
                  config->tuning.senders + 1 + (int)config->peer_count + RR_PEER_CONNECTIONS_MAX +
                  SPARE;
    return rr_http_server_connections_max(config, threads, 2 * threads);
}

void rr_app_memory(void) {
    mallopt(M_ARENA_MAX, 2);
    mallopt(M_TRIM_THRESHOLD, 1024 * 1024);
}

int rr_app_start(struct rr_app *app) {
    struct rr_peer_events events = {app,          on_peer_heartbeat, on_heard, on_suspect,
                                    on_cancelled, on_resign,         on_demand};
    pthread_mutex_init(&app->lock, NULL);
    pthread_mutex_init(&app->user_lock, NULL);
    rr_app_cond_init(&app->cache_advanced);
    rr_app_cond_init(&app->work);
    rr_app_cond_init(&app->command_wake);
    rr_app_cond_init(&app->slow_command_wake);
    rr_app_cond_init(&app->commit_wake);
    rr_app_cond_init(&app->barrier_wake);
    rr_app_cond_init(&app->barrier[0].done);
    rr_app_cond_init(&app->barrier[1].done);
    app->gathering_group = 1;
    g_queue_init(&app->command_queue);
    g_queue_init(&app->slow_command_queue);
    g_queue_init(&app->commits);
    app->core = rr_core_create(&app->config);
    rr_core_set_log(app->core, rr_log_line, rr_log_level());
    app->stats = rr_stats_create();
    app->budget = rr_budget_create(app->config.state_rps, app->config.state_write_rps);
    rr_budget_set_next_limits(app->budget, app->config.next_rps, app->config.next_write_rps);
    app->peers = rr_peers_create(&app->config, &events, &app->stop);
    int rc = rr_app_admission_start(app);
    rc = rc == 0 ? rr_app_cells_start(app) : rc;
    if (rc != 0) {
        goto fail;
    }
    rc = rr_peers_start(app->peers);
    if (rc != 0) {
        rr_log(RR_ERROR_LEVEL, "peer_listen: %s", strerror(-rc));
        goto fail;
    }
    app->http_server = rr_http_server_create(&app->config, rr_app_connections(&app->config),
                                             rr_app_handle, NULL, app);
    if (!app->http_server) {
        rr_log(RR_ERROR_LEVEL, "bind: can't listen on %s:%u", app->config.bind.host,
               app->config.bind.port);
        rc = -EADDRINUSE;
        goto fail;
    }
    for (size_t i = 0; rc == 0 && i < G_N_ELEMENTS(duties); i++) {
        rc = run(app, duties[i]);
    }
    for (int i = 0; rc == 0 && i < app->config.tuning.senders; i++) {
        rc = run(app, i % 3 == 0 ? rr_command_thread : rr_slow_command_thread);
    }
    if (rc == 0 && app->admission) {
        rc = run(app, rr_admission_thread);
    }
    if (rc == 0) {
        rc = rr_thread_start(&app->startup_thread, rr_startup_thread, app, false);
        app->startup_running = rc == 0;
    }
    if (rc == 0) {
        return 0;
    }
    rr_log(RR_ERROR_LEVEL, "threads: %s", strerror(-rc));
fail:
    rr_app_stop(app);
    return rc;
}

void rr_app_stop(struct rr_app *app) {
    atomic_store(&app->stop, true);
    pthread_mutex_lock(&app->lock);
    pthread_cond_broadcast(&app->cache_advanced);
    pthread_cond_broadcast(&app->work);
    pthread_cond_broadcast(&app->command_wake);
    pthread_cond_broadcast(&app->slow_command_wake);
    pthread_mutex_unlock(&app->lock);
    pthread_mutex_lock(&app->user_lock);
    pthread_cond_broadcast(&app->commit_wake);
    pthread_cond_broadcast(&app->barrier_wake);
    pthread_cond_broadcast(&app->barrier[0].done);
    pthread_cond_broadcast(&app->barrier[1].done);
    pthread_mutex_unlock(&app->user_lock);
    if (app->startup_running) {
        pthread_join(app->startup_thread, NULL); /* it may be about to listen */
    }
    rr_http_server_stop(
        app->http_server); /* joins the connections' threads, which wait on the threads at most */
    for (int i = 0; i < app->thread_count; i++) {
        pthread_join(app->threads[i], NULL);
    }
    rr_app_cells_join(app);
    rr_peers_stop(app->peers);
    rr_peers_destroy(app->peers);
    g_queue_clear_full(&app->command_queue, (GDestroyNotify)rr_command_batch_free);
    g_queue_clear_full(&app->slow_command_queue, (GDestroyNotify)rr_command_batch_free);
    rr_stats_destroy(app->stats);
    rr_budget_destroy(app->budget);
    rr_core_destroy(app->core);
    rr_app_admission_stop(app);
    rr_app_cells_stop(app);
}
