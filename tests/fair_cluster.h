/* A reference model of a perfectly fair cluster, with which tests compare waits and service.
 * Capacity is divided evenly among the teams that have work, and evenly among each team's streams
 * of jobs that have work. CPUs are divisible, and no job is refused. */
#ifndef RR_TESTS_FAIR_CLUSTER_H
#define RR_TESTS_FAIR_CLUSTER_H

#define FAIR_STREAMS_MAX 8

typedef struct fair_cluster fair_cluster;

/* Totals of one stream. */
struct fair_result {
    double wait_s;       /* sum of the waits of the jobs that started */
    double served_cpu_s; /* CPU seconds given to the stream */
    unsigned started;    /* jobs that started */
};

/* Creates a cluster without jobs, which the caller destroys. teams: the team of each stream, at
 * most FAIR_STREAMS_MAX of them; the names must outlive the cluster. */
fair_cluster *fair_cluster_create(double cpus, const char *const *teams, unsigned stream_count);
void fair_cluster_destroy(fair_cluster *cluster);
/* Adds a job to the end of the stream's queue. work_cpu_s: its CPU seconds. */
void fair_cluster_submit(fair_cluster *cluster, unsigned stream, double work_cpu_s, double now);
/* Serves all streams for the next `seconds`, starting at `now`. */
void fair_cluster_step(fair_cluster *cluster, double now, double seconds);
/* Returns the stream's totals so far. */
struct fair_result fair_cluster_result(const fair_cluster *cluster, unsigned stream);
/* Returns the mean wait as a multiple of the fair cluster's mean wait. wait_s: sum over `started`
 * jobs; with no started job the ratio is infinite. Both means count as wait_min_s at least. */
double fair_wait_ratio(double wait_s, unsigned started, const struct fair_result *fair,
                       double wait_min_s);

#endif
