/* Carries out the autoscaler's steps: lists, records, rentals, returns. */
#include "app/thread_loop.h"
#include "common/clock.h"
#include "common/log.h"
#include "common/usage.h"
#include "cloud/cloud.h"
#include "core/scaling.h"

#include <errno.h>
#include <string.h>

static void machine_type_clear(gpointer batch) {
    rr_machine_type_clear(batch);
}

static int run_catalog(struct rr_app *app, rr_cloud *cloud) {
    GArray *machine_types = g_array_new(FALSE, TRUE, sizeof(rr_machine_type));
    g_array_set_clear_func(machine_types, machine_type_clear);
    int rc = rr_cloud_catalog(cloud, machine_types);
    if (rc == 0) {
        pthread_mutex_lock(&app->lock);
        rr_core_catalog_read(app->core, rr_steady_clock_s(), machine_types);
        pthread_mutex_unlock(&app->lock);
    }
    g_array_free(machine_types, TRUE);
    return rc;
}

static int run_list(struct rr_app *app, rr_cloud *cloud) {
    GArray *machines = g_array_new(FALSE, TRUE, sizeof(rr_listed_machine));
    double asked = rr_steady_clock_s();
    int rc = rr_cloud_list(cloud, machines);
    if (rc == 0) {
        pthread_mutex_lock(&app->lock);
        rr_core_machines_listed(app->core, asked, rr_steady_clock_s(), rr_wall_clock_s(), machines);
        pthread_mutex_unlock(&app->lock);
    }
    g_array_free(machines, TRUE);
    return rc;
}

static int run_scale_out(struct rr_app *app, rr_cloud *cloud, const rr_autoscaler_step *step) {
    GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
    int status;
    int rc = rr_cloud_rental(cloud, step->rental, step->machine_type, step->zone, step->spot,
                             step->count, &status, ids);
    pthread_mutex_lock(&app->lock);
    rr_core_scale_out_result(app->core, rr_steady_clock_s(), step, status, ids);
    pthread_mutex_unlock(&app->lock);
    g_ptr_array_free(ids, TRUE);
    return status == 503 ? 0 : rc;
}

static int run_scale_in(struct rr_app *app, rr_cloud *cloud, const rr_autoscaler_step *step) {
    int rc = rr_cloud_release(cloud, step->machines);
    if (rc == 0) {
        pthread_mutex_lock(&app->lock);
        rr_core_scale_in_result(app->core, rr_steady_clock_s(), step->machines);
        pthread_mutex_unlock(&app->lock);
    }
    return rc;
}

static int run_step(struct rr_app *app, rr_store *store, rr_cloud *cloud,
                    const rr_autoscaler_step *step, uint64_t *need) {
    uint64_t revision;
    enum rr_commit_status rc;
    switch (step->kind) {
    case RR_AUTOSCALER_CATALOG:
        return run_catalog(app, cloud);
    case RR_AUTOSCALER_LIST:
        return run_list(app, cloud);
    case RR_AUTOSCALER_SCALE_OUT:
        return run_scale_out(app, cloud, step);
    case RR_AUTOSCALER_SCALE_IN:
        return run_scale_in(app, cloud, step);
    case RR_AUTOSCALER_COMMIT:
        rc = rr_app_commit(app, store, RR_REQUEST_AUTOSCALER, &step->transaction, &revision);
        if (rc != RR_COMMIT_DONE && rc != RR_COMMIT_CONFLICT) {
            return -EAGAIN;
        }
        rr_log(RR_DEBUG_LEVEL, "provisioner: %u records %s", step->transaction.changes->len,
               rc == RR_COMMIT_DONE ? "written" : "in conflict");
        *need = revision;
        return 0;
    default:
        return 0;
    }
}

void *rr_autoscaler_thread(void *argument) {
    struct rr_app *app = argument;
    rr_usage_enter(RR_USAGE_AUTOSCALER);
    rr_store *store = rr_app_open_store(app);
    rr_cloud *cloud = rr_cloud_create(&app->config.cloud, app->config.cloud_rps, &app->stop);
    uint64_t need = 0;
    while (!rr_app_stopping(app)) {
        rr_autoscaler_step step;
        rr_autoscaler_step_init(&step);
        pthread_mutex_lock(&app->lock);
        if (rr_app_wait_revision(app, need, rr_steady_clock_s() + 1)) {
            rr_core_autoscaler_step(app->core, rr_steady_clock_s(), rr_wall_clock_s(), &step);
        }
        if (step.kind == RR_AUTOSCALER_NONE) {
            rr_app_wait(app, &app->cache_advanced, &app->lock, 0.3);
        }
        pthread_mutex_unlock(&app->lock);
        int rc = run_step(app, store, cloud, &step, &need);
        if (rc != 0) {
            rr_log(RR_DEBUG_LEVEL, "provisioner step %d: %s", (int)step.kind, strerror(-rc));
            /* Jitter keeps two nodes from knocking in step. */
            rr_app_pause(app, 0.3 + g_random_double_range(0, 0.4));
        }
        rr_autoscaler_step_clear(&step);
    }
    rr_cloud_destroy(cloud);
    rr_store_destroy(store);
    rr_usage_leave();
    return NULL;
}
