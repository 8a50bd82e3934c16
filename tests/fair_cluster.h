/* A perfectly fair cluster: every stream of jobs that has work is served at once, teams evenly and
 * the streams of a team evenly, and no job is refused. Tests compare waits and service with it. */
#ifndef RR_TESTS_FAIR_CLUSTER_H
#define RR_TESTS_FAIR_CLUSTER_H

#define FAIR_STREAMS_MAX 8

typedef struct fair_cluster fair_cluster;

struct fair_result {
    double wait_s; /* sum over the jobs that began */
    double served; /* CPU seconds */
    unsigned started;
};

/* teams: by stream. */
fair_cluster *fair_cluster_create(double cpus, const char *const *teams, unsigned streams);
void fair_cluster_destroy(fair_cluster *cluster);
/* A job of this much work, in CPU seconds. */
void fair_cluster_submit(fair_cluster *cluster, unsigned stream, double work, double now);
/* Serves the streams for the next `seconds`. */
void fair_cluster_step(fair_cluster *cluster, double now, double seconds);
struct fair_result fair_cluster_result(const fair_cluster *cluster, unsigned stream);
/* Mean wait as a multiple of the fair cluster's, each counted as wait_min_s at least. */
double fair_wait_ratio(double wait_s, unsigned begun, const struct fair_result *fair,
                       double wait_min_s);

#endif
