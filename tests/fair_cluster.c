#include "fair_cluster.h"

#include "admission/shares.h"

#include <math.h>
#include <string.h>

#define WORK_EPSILON_CPU_S 1e-9 /* less work than this counts as none: rounding errors */

struct fair_job {
    double arrived_at;
    double remaining_cpu_s;
    bool started;
};

struct fair_cluster {
    double cpus;
    unsigned stream_count;
    const char *teams[FAIR_STREAMS_MAX];
    GQueue jobs[FAIR_STREAMS_MAX]; /* struct fair_job*, owned, oldest first */
    struct fair_result results[FAIR_STREAMS_MAX];
};

fair_cluster *fair_cluster_create(double cpus, const char *const *teams, unsigned stream_count) {
    fair_cluster *cluster = g_new0(fair_cluster, 1);
    cluster->cpus = cpus;
    cluster->stream_count = stream_count;
    for (unsigned i = 0; i < stream_count; i++) {
        cluster->teams[i] = teams[i];
        g_queue_init(&cluster->jobs[i]);
    }
    return cluster;
}

void fair_cluster_destroy(fair_cluster *cluster) {
    for (unsigned i = 0; i < cluster->stream_count; i++) {
        g_queue_clear_full(&cluster->jobs[i], g_free);
    }
    g_free(cluster);
}

void fair_cluster_submit(fair_cluster *cluster, unsigned stream, double work_cpu_s, double now) {
    struct fair_job *job = g_new0(struct fair_job, 1);
    job->arrived_at = now;
    job->remaining_cpu_s = work_cpu_s;
    g_queue_push_tail(&cluster->jobs[stream], job);
}

struct fair_result fair_cluster_result(const fair_cluster *cluster, unsigned stream) {
    return cluster->results[stream];
}

double fair_wait_ratio(double wait_s, unsigned started, const struct fair_result *fair,
                       double wait_min_s) {
    double mean = started ? wait_s / started : INFINITY;
    double fair_mean = fair->started ? fair->wait_s / fair->started : 0;
    return fmax(mean, wait_min_s) / fmax(fair_mean, wait_min_s);
}

/* Gives CPU seconds to the stream's jobs, in order of arrival. */
static void serve_stream(fair_cluster *cluster, unsigned stream, double cpu_s, double now) {
    struct fair_result *result = &cluster->results[stream];
    struct fair_job *job;
    result->served_cpu_s += cpu_s;
    while (cpu_s > WORK_EPSILON_CPU_S && (job = g_queue_peek_head(&cluster->jobs[stream]))) {
        result->wait_s += job->started ? 0 : now - job->arrived_at;
        result->started += !job->started;
        job->started = true;
        double used_cpu_s = fmin(cpu_s, job->remaining_cpu_s);
        job->remaining_cpu_s -= used_cpu_s;
        cpu_s -= used_cpu_s;
        if (job->remaining_cpu_s <= WORK_EPSILON_CPU_S) {
            g_free(g_queue_pop_head(&cluster->jobs[stream]));
        }
    }
}

/* Returns the CPUs that the stream could use in a step of this length. The sum stops once it
 * reaches the capacity of the cluster, which no allocation exceeds. */
static double compute_demand(fair_cluster *cluster, unsigned stream, double seconds) {
    double demand = 0;
    for (GList *link = cluster->jobs[stream].head; link && demand < cluster->cpus;
         link = link->next) {
        demand += ((struct fair_job *)link->data)->remaining_cpu_s / seconds;
    }
    return demand;
}

void fair_cluster_step(fair_cluster *cluster, double now, double seconds) {
    double demands[FAIR_STREAMS_MAX], weights[FAIR_STREAMS_MAX], allocations[FAIR_STREAMS_MAX];
    for (unsigned i = 0; i < cluster->stream_count; i++) {
        unsigned busy_team_streams = 0;
        for (unsigned k = 0; k < cluster->stream_count; k++) {
            busy_team_streams += strcmp(cluster->teams[i], cluster->teams[k]) == 0 &&
                                 !g_queue_is_empty(&cluster->jobs[k]);
        }
        demands[i] = compute_demand(cluster, i, seconds);
        weights[i] = 1.0 / MAX(busy_team_streams, 1);
    }
    rr_share_water_fill(demands, weights, cluster->stream_count, cluster->cpus, allocations);
    for (unsigned i = 0; i < cluster->stream_count; i++) {
        serve_stream(cluster, i, allocations[i] * seconds, now);
    }
}
