#include "app/app.h"
#include "app/clock.h"
#include "app/log.h"
#include "app/thread.h"
#include "cells/links.h"

#include <errno.h>
#include <malloc.h>
#include <string.h>
#include <time.h>

#define SPARE 32 /* threads and sockets for what ends just now, and libraries' own */

void rr_app_wait(struct rr_app *a, pthread_cond_t *c, pthread_mutex_t *m, double seconds) {
    double until = rr_steady_clock_s() + seconds;
    struct timespec ts = {(time_t)until, (long)((until - (double)(time_t)until) * 1e9)};
    (void)a;
    pthread_cond_timedwait(c, m, &ts);
}

void rr_app_wake(struct rr_app *a) {
    a->wake_count++;
    pthread_cond_broadcast(&a->work);
}

bool rr_app_wait_revision(struct rr_app *a, uint64_t epoch, double until) {
    while (rr_core_revision(a->core) < epoch) {
        double left = until - rr_steady_clock_s();
        if (left <= 0 || atomic_load(&a->stop)) {
            return false;
        }
        rr_app_wait(a, &a->cache_advanced, &a->lock, left);
    }
    return true;
}

static void on_peer_heartbeat(void *user, int peer, unsigned hops, const void *body, size_t len) {
    rr_app_take_heartbeat(user, body, len, peer, hops);
}

/* Where two zones can't reach each other a third may reach both: what is news here is passed on
 * once to those that do not hear its sender, so that nobody takes a machine for dead that a
 * neighbour hears. */
static void on_heard(void *user, int peer, unsigned hops, const rr_heartbeat_digest *list,
                     size_t n) {
    struct rr_app *a = user;
    pthread_mutex_lock(&a->lock);
    double now = rr_steady_clock_s();
    if (hops == 0) {
        rr_core_peer_contacted(a->core, now, peer);
    }
    for (size_t i = 0; i < n; i++) {
        rr_core_take_heartbeat_digest(a->core, now, &list[i], peer);
    }
    pthread_mutex_unlock(&a->lock);
    if (hops == 0) {
        rr_peers_forward_heartbeats(a->peers, peer, list, n, NULL, 0);
    }
}

static void on_suspect(void *user, const char *machine) {
    struct rr_app *a = user;
    pthread_mutex_lock(&a->lock);
    rr_core_suspect(a->core, machine, rr_steady_clock_s());
    pthread_mutex_unlock(&a->lock);
}

static void on_cancelled(void *user, const char *job_id) {
    struct rr_app *a = user;
    pthread_mutex_lock(&a->lock);
    rr_core_add_cancel_hint(a->core, job_id, rr_steady_clock_s());
    pthread_mutex_unlock(&a->lock);
}

#define STORE_FRESH_S 2.0

static void on_demand(void *user, int peer, const void *data, size_t len) {
    rr_app_admission_take_demand(user, peer, data, len);
}

static bool on_resign(void *user, uint64_t tether, bool end) {
    struct rr_app *a = user;
    pthread_mutex_lock(&a->lock);
    bool fresh = rr_steady_clock_s() - a->store_ok_at < STORE_FRESH_S;
    pthread_mutex_unlock(&a->lock);
    if (!fresh || !end) {
        return fresh;
    }
    rr_store *s = rr_store_create(&a->config.state, a->budget, &a->stop);
    int rc = s ? rr_store_end_lease(s, tether) : -ENOMEM;
    rr_store_destroy(s);
    return rc == 0 || rc == -ENOENT;
}

void rr_app_cond_init(pthread_cond_t *c) {
    pthread_condattr_t a;
    pthread_condattr_init(&a);
    pthread_condattr_setclock(&a, CLOCK_MONOTONIC);
    pthread_cond_init(c, &a);
    pthread_condattr_destroy(&a);
}

static int run(struct rr_app *a, void *(*duty)(void *)) {
    int rc = rr_thread_start(&a->threads[a->thread_count], duty, a, false);
    a->thread_count += rc == 0;
    return rc;
}

static void *(*const duties[])(void *) = {
    rr_session_thread,      rr_watch_thread,   rr_membership_thread, rr_commit_thread,
    rr_read_barrier_thread, rr_planner_thread, rr_autoscaler_thread};

/* Beside the connections': main, the door's own two and its opener, the duties, the senders and the
 * peers' threads; and two sockets for each that calls out: a client keeps one and opens another. */
static int cells_threads(const struct rr_config *cfg) {
    return cfg->cells ? 1 + RR_CELLS_MAX + RR_CELLS_CONNECTIONS : 0;
}

int rr_app_connections(const struct rr_config *cfg) {
    int threads = 4 + (int)G_N_ELEMENTS(duties) + cfg->admission + cells_threads(cfg) +
                  cfg->tuning.senders + 1 + (int)cfg->peer_count + RR_PEER_CONNECTIONS_MAX + SPARE;
    return rr_http_server_connections_max(cfg, threads, 2 * threads);
}

void rr_app_memory(void) {
    mallopt(M_ARENA_MAX, 2);
    mallopt(M_TRIM_THRESHOLD, 1024 * 1024);
}

int rr_app_start(struct rr_app *a) {
    struct rr_peer_events ev = {a,         on_peer_heartbeat, on_heard, on_suspect, on_cancelled,
                                on_resign, on_demand};
    pthread_mutex_init(&a->lock, NULL);
    pthread_mutex_init(&a->user_lock, NULL);
    rr_app_cond_init(&a->cache_advanced);
    rr_app_cond_init(&a->work);
    rr_app_cond_init(&a->command_wake);
    rr_app_cond_init(&a->slow_command_wake);
    rr_app_cond_init(&a->commit_wake);
    rr_app_cond_init(&a->barrier_wake);
    rr_app_cond_init(&a->barrier[0].done);
    rr_app_cond_init(&a->barrier[1].done);
    a->gathering_group = 1;
    g_queue_init(&a->command_queue);
    g_queue_init(&a->slow_command_queue);
    g_queue_init(&a->commits);
    a->core = rr_core_create(&a->config);
    rr_core_set_log(a->core, rr_log_line, rr_log_level());
    a->stats = rr_stats_create();
    a->budget = rr_budget_create(a->config.state_rps, a->config.state_write_rps);
    rr_budget_set_next_limits(a->budget, a->config.next_rps, a->config.next_write_rps);
    a->peers = rr_peers_create(&a->config, &ev, &a->stop);
    int rc = rr_app_admission_start(a);
    rc = rc == 0 ? rr_app_cells_start(a) : rc;
    if (rc != 0) {
        goto fail;
    }
    rc = rr_peers_start(a->peers);
    if (rc != 0) {
        rr_log(RR_ERROR_LEVEL, "peer_listen: %s", strerror(-rc));
        goto fail;
    }
    a->http_server =
        rr_http_server_create(&a->config, rr_app_connections(&a->config), rr_app_handle, NULL, a);
    if (!a->http_server) {
        rr_log(RR_ERROR_LEVEL, "bind: can't listen on %s:%u", a->config.bind.host,
               a->config.bind.port);
        rc = -EADDRINUSE;
        goto fail;
    }
    for (size_t i = 0; rc == 0 && i < G_N_ELEMENTS(duties); i++) {
        rc = run(a, duties[i]);
    }
    for (int i = 0; rc == 0 && i < a->config.tuning.senders; i++) {
        rc = run(a, i % 3 == 0 ? rr_command_thread : rr_slow_command_thread);
    }
    if (rc == 0 && a->admission) {
        rc = run(a, rr_admission_thread);
    }
    if (rc == 0) {
        rc = rr_thread_start(&a->startup_thread, rr_startup_thread, a, false);
        a->startup_running = rc == 0;
    }
    if (rc == 0) {
        return 0;
    }
    rr_log(RR_ERROR_LEVEL, "threads: %s", strerror(-rc));
fail:
    rr_app_stop(a);
    return rc;
}

void rr_app_stop(struct rr_app *a) {
    atomic_store(&a->stop, true);
    pthread_mutex_lock(&a->lock);
    pthread_cond_broadcast(&a->cache_advanced);
    pthread_cond_broadcast(&a->work);
    pthread_cond_broadcast(&a->command_wake);
    pthread_cond_broadcast(&a->slow_command_wake);
    pthread_mutex_unlock(&a->lock);
    pthread_mutex_lock(&a->user_lock);
    pthread_cond_broadcast(&a->commit_wake);
    pthread_cond_broadcast(&a->barrier_wake);
    pthread_cond_broadcast(&a->barrier[0].done);
    pthread_cond_broadcast(&a->barrier[1].done);
    pthread_mutex_unlock(&a->user_lock);
    if (a->startup_running) {
        pthread_join(a->startup_thread, NULL); /* it may be about to listen */
    }
    rr_http_server_stop(
        a->http_server); /* joins the connections' threads, which wait on the duties at most */
    for (int i = 0; i < a->thread_count; i++) {
        pthread_join(a->threads[i], NULL);
    }
    rr_app_cells_join(a);
    rr_peers_stop(a->peers);
    rr_peers_destroy(a->peers);
    g_queue_clear_full(&a->command_queue, (GDestroyNotify)rr_command_batch_free);
    g_queue_clear_full(&a->slow_command_queue, (GDestroyNotify)rr_command_batch_free);
    rr_stats_destroy(a->stats);
    rr_budget_destroy(a->budget);
    rr_core_destroy(a->core);
    rr_app_admission_stop(a);
    rr_app_cells_stop(a);
}
