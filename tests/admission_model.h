/* A model of a cluster under fair admission, by a fake clock: controllers with the real package,
 * users who come back as PROTOCOL says, machines as one pool of processors, and failures that a
 * test switches on. Beside it runs what a perfectly fair cluster of the same size would give the
 * same submissions, against which the waits are held. */
#ifndef RR_TESTS_ADMISSION_MODEL_H
#define RR_TESTS_ADMISSION_MODEL_H

#include "admission/admission.h"
#include "fair_cluster.h"

#define MODEL_CONTROLLERS 3
#define MODEL_STREAMS FAIR_STREAMS_MAX

/* Jobs of one team and class that come at random. */
struct model_stream {
    const char *team, *job_class;
    double jobs_per_s;
    double runtime_s;
    double estimate_factor; /* what the owner estimates, as a multiple of the truth */
    double from_s, to_s;    /* while it comes; to_s 0: to the end */
    uint32_t tasks;
    int controller; /* the only one its users ask, -1: any */
};

struct model_result {
    unsigned offered, accepted, given_up, begun;
    double asked_s;           /* until they were accepted, sum */
    double wait_s, longest_s; /* of jobs that began, from the first try: sum and longest */
    double served;            /* processor seconds */
    struct fair_result fair;  /* the same jobs in the fair cluster */
    unsigned waits[8];        /* under 1, 5, 15, 30, 60, 120, 240 s, and longer */
};

struct model {
    /* Set by the test before the run. */
    unsigned seed;
    double seconds, processors;
    bool admission; /* false: whoever comes is accepted, first come first served */
    struct model_stream streams[MODEL_STREAMS];
    unsigned stream_count;
    void (*each_second)(struct model *model, double now);

    /* Failures, switched by each_second. */
    bool cut[MODEL_CONTROLLERS]; /* its store cache gets nothing new */
    double clock_off_s[MODEL_CONTROLLERS];
    int autoscaler;   /* -1: none */
    bool lose_answer; /* tables are written, but their writer does not hear of it */
    bool deaf_peers;  /* no view of the demand comes across */

    /* For the test to look at. */
    struct rr_config config;
    rr_admission_settings settings[MODEL_CONTROLLERS];
    struct rr_admission *controllers[MODEL_CONTROLLERS];
    struct model_result results[MODEL_STREAMS];
    unsigned running[MODEL_STREAMS]; /* tasks now */
    unsigned conflicts, lost_answers;
    unsigned tables_written, disagreements, admitted_at[MODEL_CONTROLLERS];
    double admitted_work_at[MODEL_CONTROLLERS];
    double peak_backlog; /* processor seconds accepted and not begun */
    struct model_state *state;
};

/* Defaults: three controllers, 100 processors, an hour, every team of weight 1. */
void model_init(struct model *model, const char *const *teams);
void model_clear(struct model *model);
void model_run(struct model *model);
/* A controller that has just started: it knows only what the key-value store has. */
void model_restart(struct model *model, int controller);
/* Mean wait over the fair cluster's, of a stream or of all of a team's jobs; both no less than an
 * interval, which is the least that admission can tell apart. */
double model_wait_ratio(const struct model *model, unsigned stream);
double model_team_ratio(const struct model *model, const char *team);
void model_print(const struct model *model, const char *title);

#endif
