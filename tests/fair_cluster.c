#include "fair_cluster.h"

#include "admission/shares.h"

#include <math.h>
#include <string.h>

#define WORK_EPSILON 1e-9

struct fair_job {
    double arrived_at, work_left; /* the work in CPU seconds */
    bool begun;
};

struct fair_cluster {
    double cpus;
    unsigned streams;
    const char *teams[FAIR_STREAMS_MAX];
    GQueue jobs[FAIR_STREAMS_MAX]; /* struct fair_job* */
    struct fair_result results[FAIR_STREAMS_MAX];
};

fair_cluster *fair_cluster_create(double cpus, const char *const *teams, unsigned streams) {
    fair_cluster *cluster = g_new0(fair_cluster, 1);
    cluster->cpus = cpus;
    cluster->streams = streams;
    for (unsigned i = 0; i < streams; i++) {
        cluster->teams[i] = teams[i];
        g_queue_init(&cluster->jobs[i]);
    }
    return cluster;
}

void fair_cluster_destroy(fair_cluster *cluster) {
    for (unsigned i = 0; i < cluster->streams; i++) {
        g_queue_clear_full(&cluster->jobs[i], g_free);
    }
    g_free(cluster);
}

void fair_cluster_submit(fair_cluster *cluster, unsigned stream, double work, double now) {
    struct fair_job *job = g_new0(struct fair_job, 1);
    job->arrived_at = now;
    job->work_left = work;
    g_queue_push_tail(&cluster->jobs[stream], job);
}

struct fair_result fair_cluster_result(const fair_cluster *cluster, unsigned stream) {
    return cluster->results[stream];
}

double fair_wait_ratio(double wait_s, unsigned begun, const struct fair_result *fair,
                       double wait_min_s) {
    double mean = begun ? wait_s / begun : INFINITY;
    double fair_mean = fair->started ? fair->wait_s / fair->started : 0;
    return fmax(mean, wait_min_s) / fmax(fair_mean, wait_min_s);
}

static void serve(fair_cluster *cluster, unsigned stream, double amount, double now) {
    struct fair_result *result = &cluster->results[stream];
    struct fair_job *job;
    result->served += amount;
    while (amount > WORK_EPSILON && (job = g_queue_peek_head(&cluster->jobs[stream]))) {
        result->wait_s += job->begun ? 0 : now - job->arrived_at;
        result->started += !job->begun;
        job->begun = true;
        double part = fmin(amount, job->work_left);
        job->work_left -= part;
        amount -= part;
        if (job->work_left <= WORK_EPSILON) {
            g_free(g_queue_pop_head(&cluster->jobs[stream]));
        }
    }
}

/* CPUs that a stream could use in this step, counted until there are more than exist. */
static double demand_of(fair_cluster *cluster, unsigned stream, double seconds) {
    double demand = 0;
    for (GList *link = cluster->jobs[stream].head; link && demand < cluster->cpus;
         link = link->next) {
        demand += ((struct fair_job *)link->data)->work_left / seconds;
    }
    return demand;
}

void fair_cluster_step(fair_cluster *cluster, double now, double seconds) {
    double demands[FAIR_STREAMS_MAX], weights[FAIR_STREAMS_MAX], out[FAIR_STREAMS_MAX];
    for (unsigned i = 0; i < cluster->streams; i++) {
        unsigned team_streams = 0;
        for (unsigned k = 0; k < cluster->streams; k++) {
            team_streams += strcmp(cluster->teams[i], cluster->teams[k]) == 0 &&
                            !g_queue_is_empty(&cluster->jobs[k]);
        }
        demands[i] = demand_of(cluster, i, seconds);
        weights[i] = 1.0 / MAX(team_streams, 1);
    }
    rr_share_water_fill(demands, weights, cluster->streams, cluster->cpus, out);
    for (unsigned i = 0; i < cluster->streams; i++) {
        serve(cluster, i, out[i] * seconds, now);
    }
}
