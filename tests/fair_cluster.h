/* What a perfectly fair cluster would give: every stream of jobs that has work is served at once,
 * teams evenly and the streams of a team evenly, and nobody is refused. Waits and service of real
 * runs are held against it. */
#ifndef RR_TESTS_FAIR_CLUSTER_H
#define RR_TESTS_FAIR_CLUSTER_H

#define FAIR_STREAMS_MAX 8

typedef struct fair_cluster fair_cluster;

struct fair_result {
    double wait_s; /* of the jobs that began, sum */
    double served; /* processor seconds */
    unsigned begun;
};

/* teams: of each stream. */
fair_cluster *fair_cluster_create(double processors, const char *const *teams, unsigned streams);
void fair_cluster_destroy(fair_cluster *cluster);
void fair_cluster_submit(fair_cluster *cluster, unsigned stream, double work, double now);
void fair_cluster_step(fair_cluster *cluster, double now, double seconds);
struct fair_result fair_cluster_result(const fair_cluster *cluster, unsigned stream);
/* Mean wait over the fair one, both no less than `least`. */
double fair_wait_ratio(double wait_s, unsigned begun, const struct fair_result *fair, double least);

#endif
