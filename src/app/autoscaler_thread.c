/* The autoscaler thread: executes the steps that the core decides on. It reads the cloud's
 * catalogue and list of machines, commits records, rents machines and releases them. */
#include "app/thread_helpers.h"
#include "app/threads.h"
#include "cloud/cloud.h"
#include "common/clock.h"
#include "common/log.h"
#include "common/usage.h"
#include "core/scaling.h"

#include <errno.h>
#include <string.h>

#define NO_CAPACITY_STATUS 503 /* HTTP status of the cloud: the type is not available */
#define REVISION_WAIT_S 1.0    /* longest wait for the store cache to show the last commit */
#define IDLE_WAIT_S 0.3        /* longest wait before the core is asked for a step again */
/* Pause after a failed step. The jitter keeps controllers from retrying at the same time. */
#define RETRY_PAUSE_S 0.3
#define RETRY_JITTER_MAX_S 0.4

/* Reads the cloud's machine types into the core. Returns 0 or -errno. */
static int read_catalog(struct rr_app *app, rr_cloud *cloud) {
    GArray *machine_types = g_array_new(FALSE, TRUE, sizeof(rr_machine_type));
    g_array_set_clear_func(machine_types, rr_machine_type_clear);
    int rc = rr_cloud_get_catalog(cloud, machine_types);
    if (rc == 0) {
        pthread_mutex_lock(&app->lock);
        rr_core_apply_catalog(app->core, rr_steady_clock_s(), machine_types);
        pthread_mutex_unlock(&app->lock);
    }
    g_array_free(machine_types, TRUE);
    return rc;
}

/* Reads the cloud's list of machines into the core. Returns 0 or -errno. */
static int list_machines(struct rr_app *app, rr_cloud *cloud) {
    GArray *machines = g_array_new(FALSE, TRUE, sizeof(rr_listed_machine));
    double requested_at = rr_steady_clock_s();
    int rc = rr_cloud_list_machines(cloud, machines);
    if (rc == 0) {
        pthread_mutex_lock(&app->lock);
        rr_core_apply_machine_list(app->core, requested_at, rr_steady_clock_s(), rr_wall_clock_s(),
                                   machines);
        pthread_mutex_unlock(&app->lock);
    }
    g_array_free(machines, TRUE);
    return rc;
}

/* Rents machines and passes the result to the core. Returns 0 or -errno; missing capacity of the
 * cloud is a result, not an error. */
static int rent_machines(struct rr_app *app, rr_cloud *cloud, const rr_autoscaler_step *step) {
    GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
    int status;
    int rc = rr_cloud_rent_machines(cloud, step->rental, step->machine_type, step->zone, step->spot,
                                    step->count, &status, ids);
    pthread_mutex_lock(&app->lock);
    rr_core_record_scale_out_result(app->core, rr_steady_clock_s(), step, status, ids);
    pthread_mutex_unlock(&app->lock);
    g_ptr_array_free(ids, TRUE);
    return status == NO_CAPACITY_STATUS ? 0 : rc;
}

/* Returns rented machines to the cloud. Returns 0 or -errno. */
static int release_machines(struct rr_app *app, rr_cloud *cloud, const rr_autoscaler_step *step) {
    int rc = rr_cloud_release_machines(cloud, step->machines);
    if (rc == 0) {
        pthread_mutex_lock(&app->lock);
        rr_core_record_scale_in_result(app->core, rr_steady_clock_s(), step->machines);
        pthread_mutex_unlock(&app->lock);
    }
    return rc;
}

/* Commits the step's records. Returns 0 once the outcome is known, committed or conflict, and sets
 * *needed_revision to the store revision that the cache must reach before the next step; returns
 * -EAGAIN otherwise. */
static int commit_step_records(struct rr_app *app, rr_store *store, const rr_autoscaler_step *step,
                               uint64_t *needed_revision) {
    uint64_t revision;
    enum rr_commit_status outcome =
        rr_app_commit_with_retry(app, store, RR_REQUEST_AUTOSCALER, &step->transaction, &revision);
    if (outcome != RR_COMMIT_DONE && outcome != RR_COMMIT_CONFLICT) {
        return -EAGAIN;
    }
    rr_log(RR_DEBUG_LEVEL, "autoscaler: transaction with %u records %s",
           step->transaction.changes->len,
           outcome == RR_COMMIT_DONE ? "committed" : "met a conflict");
    *needed_revision = revision;
    return 0;
}

/* Executes the step. Returns 0, or -errno: then the caller pauses before the next step. */
static int execute_step(struct rr_app *app, rr_store *store, rr_cloud *cloud,
                        const rr_autoscaler_step *step, uint64_t *needed_revision) {
    switch (step->kind) {
    case RR_AUTOSCALER_READ_CATALOG:
        return read_catalog(app, cloud);
    case RR_AUTOSCALER_LIST_MACHINES:
        return list_machines(app, cloud);
    case RR_AUTOSCALER_SCALE_OUT:
        return rent_machines(app, cloud, step);
    case RR_AUTOSCALER_SCALE_IN:
        return release_machines(app, cloud, step);
    case RR_AUTOSCALER_COMMIT:
        return commit_step_records(app, store, step, needed_revision);
    default:
        return 0;
    }
}

/* Sets *step to the core's next step, once the store cache has reached needed_revision. If there is
 * none, waits up to IDLE_WAIT_S for a change of the store cache. */
static void wait_for_step(struct rr_app *app, uint64_t needed_revision, rr_autoscaler_step *step) {
    pthread_mutex_lock(&app->lock);
    if (rr_app_wait_for_revision(app, needed_revision, rr_steady_clock_s() + REVISION_WAIT_S)) {
        rr_core_autoscaler_step(app->core, rr_steady_clock_s(), rr_wall_clock_s(), step);
    }
    if (step->kind == RR_AUTOSCALER_NONE) {
        rr_app_cond_timedwait(&app->cache_advanced, &app->lock, IDLE_WAIT_S);
    }
    pthread_mutex_unlock(&app->lock);
}

void *rr_autoscaler_thread(void *argument) {
    struct rr_app *app = argument;
    rr_usage_register_thread(RR_USAGE_AUTOSCALER);
    rr_store *store = rr_app_create_store_client(app);
    rr_cloud *cloud = rr_cloud_create(&app->config.cloud, app->config.cloud_rps, &app->stop);
    uint64_t needed_revision = 0;
    while (!rr_app_is_stopping(app)) {
        rr_autoscaler_step step;
        rr_autoscaler_step_init(&step);
        wait_for_step(app, needed_revision, &step);
        int rc = execute_step(app, store, cloud, &step, &needed_revision);
        if (rc != 0) {
            rr_log(RR_DEBUG_LEVEL, "autoscaler: step of kind %d failed: %s", (int)step.kind,
                   strerror(-rc));
            rr_app_pause(app, RETRY_PAUSE_S + g_random_double_range(0, RETRY_JITTER_MAX_S));
        }
        rr_autoscaler_step_clear(&step);
    }
    rr_cloud_destroy(cloud);
    rr_store_destroy(store);
    rr_usage_unregister_thread();
    return NULL;
}
