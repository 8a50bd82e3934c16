/* A simulation of a cluster under fair admission, with a fake clock. The controllers run the real
 * admission package, users retry as the protocol says, and the machines are one pool of CPUs. A
 * test can inject failures. A perfectly fair cluster of the same size gets the same submissions,
 * for comparison. Times are in seconds of the fake clock, from 0. */
#ifndef RR_TESTS_ADMISSION_MODEL_H
#define RR_TESTS_ADMISSION_MODEL_H

#include "admission/admission.h"
#include "fair_cluster.h"

#define MODEL_CONTROLLERS 3
#define MODEL_STREAMS_MAX FAIR_STREAMS_MAX

/* A stream of jobs of one team and class, which arrive at random. */
struct model_stream {
    const char *team, *job_class;
    double jobs_per_s;      /* mean arrival rate */
    double runtime_s;       /* of each task */
    double estimate_factor; /* the users' runtime estimate as a multiple of the runtime */
    double from_s, to_s;    /* period in which jobs arrive; to_s 0: until the end of the run */
    uint32_t tasks;         /* per job, of one CPU each */
    int controller;         /* index of the only one that its users submit to; -1: any */
};

/* Totals of one stream. A wait lasts from a job's first submission to the start of its first
 * task. */
struct model_result {
    unsigned offered;        /* jobs that arrived */
    unsigned accepted;       /* jobs that a controller admitted */
    unsigned abandoned;      /* jobs whose users stopped retrying */
    unsigned started;        /* jobs of which a task started */
    double time_to_accept_s; /* sum over accepted jobs, from the first submission */
    double wait_s;           /* sum over started jobs */
    double wait_max_s;       /* longest wait of a started job */
    double served_cpu_s;     /* CPU seconds of the tasks that started */
    struct fair_result fair; /* the same jobs in the fair cluster */
    /* Started jobs by wait: under 1, 5, 15, 30, 60, 120 and 240 s, and longer. */
    unsigned wait_histogram[8];
};

struct model {
    /* Parameters: the test sets them between model_init() and model_run(). */
    unsigned seed;
    double duration_s; /* length of the run */
    double cpus;       /* of all machines */
    bool admission;    /* false: every job is accepted and placed in order of arrival */
    struct model_stream streams[MODEL_STREAMS_MAX];
    unsigned stream_count;
    void (*each_second)(struct model *model, double now); /* NULL: none */

    /* Failures, which each_second() switches on and off. */
    bool cache_frozen[MODEL_CONTROLLERS];     /* this controller's store cache gets no changes */
    double clock_offset_s[MODEL_CONTROLLERS]; /* added to this controller's wall clock */
    int autoscaler; /* index of the controller that is the autoscaler and writes tables; -1: none */
    bool commit_replies_lost; /* commits succeed, but the writer gets no reply */
    bool demand_views_lost;   /* no controller's view of the demand reaches its peers */

    /* Defaults of model_init(), which the test may change. */
    struct rr_config config; /* of all controllers */
    rr_admission_settings settings[MODEL_CONTROLLERS];

    /* State and results, valid from model_run() to model_clear(). */
    struct rr_admission *controllers[MODEL_CONTROLLERS];
    struct model_result results[MODEL_STREAMS_MAX];
    unsigned running[MODEL_STREAMS_MAX]; /* tasks that run at present */
    unsigned conflicts;                  /* commits of tables that the guards refused */
    unsigned lost_replies;               /* commits whose reply was lost */
    unsigned tables_written;             /* successful commits */
    unsigned verdict_mismatches; /* verdicts in which controllers with equal state differed */
    unsigned admitted_jobs_by_controller[MODEL_CONTROLLERS];
    double admitted_cpu_s_by_controller[MODEL_CONTROLLERS]; /* by the users' estimates */
    double peak_backlog_cpu_s; /* most CPU seconds accepted and not started at a time */
    struct model_state *state; /* private to the model */
};

/* Sets the defaults: three controllers, 100 CPUs, one hour, seed 1, admission on, every team of
 * weight 1, and no stream. teams: names, ended by NULL. */
void model_init(struct model *model, const char *const *teams);
/* Frees what model_run() allocated. Call it once after each run. */
void model_clear(struct model *model);
/* Simulates the whole run. Call it once after model_init(). */
void model_run(struct model *model);
/* Restarts a controller, which then knows only what the key-value store holds. For use in
 * each_second(). */
void model_restart(struct model *model, int controller);
/* Returns the mean wait of a stream's jobs divided by the mean wait of the same jobs in the fair
 * cluster. A mean shorter than one admission interval counts as one interval, because admission
 * cannot distinguish shorter waits. */
double model_wait_ratio(const struct model *model, unsigned stream);
/* Returns the ratio of model_wait_ratio() for all jobs of a team. */
double model_team_wait_ratio(const struct model *model, const char *team);
/* Prints the results of each stream to stdout. */
void model_print(const struct model *model, const char *title);

#endif
