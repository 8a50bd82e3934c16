/* A model of a cluster under fair admission, with a fake clock: controllers with the real package,
 * users who retry as the protocol says, machines as one pool of CPUs, and failures that a test
 * switches on. A perfectly fair cluster of the same size gets the same submissions, for comparison.
 */
#ifndef RR_TESTS_ADMISSION_MODEL_H
#define RR_TESTS_ADMISSION_MODEL_H

#include "admission/admission.h"
#include "fair_cluster.h"

#define MODEL_CONTROLLERS 3
#define MODEL_STREAMS FAIR_STREAMS_MAX

/* Jobs of one team and class that arrive at random. */
struct model_stream {
    const char *team, *job_class;
    double jobs_per_s;
    double runtime_s;
    double estimate_factor; /* the estimate as a multiple of the runtime */
    double from_s, to_s;    /* while jobs arrive; to_s 0: to the end */
    uint32_t tasks;
    int controller; /* the only one its users submit to, -1: any */
};

struct model_result {
    unsigned offered, accepted, abandoned, begun;
    double asked_s;           /* sum of the times until jobs were accepted */
    double wait_s, longest_s; /* of jobs that began, from the first try: sum and longest */
    double served;            /* CPU seconds */
    struct fair_result fair;  /* the same jobs in the fair cluster */
    unsigned waits[8];        /* under 1, 5, 15, 30, 60, 120, 240 s, and longer */
};

struct model {
    /* Set by the test before the run. */
    unsigned seed;
    double seconds, cpus;
    bool admission; /* false: every job is accepted and placed in order of arrival */
    struct model_stream streams[MODEL_STREAMS];
    unsigned stream_count;
    void (*each_second)(struct model *model, double now);

    /* Failures, switched by each_second. */
    bool cache_frozen[MODEL_CONTROLLERS]; /* its store cache gets no changes */
    double clock_off_s[MODEL_CONTROLLERS];
    int autoscaler;    /* -1: none */
    bool answers_lost; /* tables are written, but the writer gets no answer */
    bool views_lost;   /* no view of the demand reaches a peer */

    /* Results. */
    struct rr_config config;
    rr_admission_settings settings[MODEL_CONTROLLERS];
    struct rr_admission *controllers[MODEL_CONTROLLERS];
    struct model_result results[MODEL_STREAMS];
    unsigned running[MODEL_STREAMS]; /* tasks at present */
    unsigned conflicts, lost_answers;
    unsigned tables_written, disagreements, admitted_at[MODEL_CONTROLLERS];
    double admitted_work_at[MODEL_CONTROLLERS];
    double peak_backlog; /* CPU seconds accepted and not begun */
    struct model_state *state;
};

/* Sets the defaults: three controllers, 100 CPUs, an hour, every team of weight 1. teams: ends with
 * NULL. */
void model_init(struct model *model, const char *const *teams);
void model_clear(struct model *model);
void model_run(struct model *model);
/* Restarts a controller, which then knows only what the key-value store has. */
void model_restart(struct model *model, int controller);
/* Mean wait as a multiple of the fair cluster's, of a stream or of all of a team's jobs. Waits
 * count as an interval at least, the shortest that admission can tell apart. */
double model_wait_ratio(const struct model *model, unsigned stream);
double model_team_ratio(const struct model *model, const char *team);
void model_print(const struct model *model, const char *title);

#endif
