/* The demand for admission, as the controllers see it together: for each key how many jobs ask, and
 * what one of them takes.
 *
 * A user who was refused asks again, perhaps at another controller. So that nobody is counted
 * twice, each controller tells a sample of the jobs it knows of by their hashes, the smallest ones
 * of each key; samples taken so agree on which jobs are in them, and their union is a sample of all
 * demand. Keys with few jobs are told whole: a flood of one key does not hide another's single job.
 */
#ifndef RR_ADMISSION_DEMAND_H
#define RR_ADMISSION_DEMAND_H

#include "admission/key.h"

/* What work takes: amounts times seconds. */
typedef struct {
    double cpu_s, gpu_s, mem_s;
} rr_work;

static inline rr_work rr_work_add(rr_work left, rr_work right, double factor) {
    return (rr_work){left.cpu_s + factor * right.cpu_s, left.gpu_s + factor * right.gpu_s,
                     left.mem_s + factor * right.mem_s};
}

static inline rr_work rr_work_scale(rr_work work, double factor) {
    return (rr_work){factor * work.cpu_s, factor * work.gpu_s, factor * work.mem_s};
}

/* Of one task, by its owner's estimate; services count as `service_s` long. */
rr_work rr_work_of_task(const rr_submission *submission, double service_s);

/* ---- what one controller has seen ---- */
typedef struct rr_demand rr_demand;
rr_demand *rr_demand_create(double patience_s);
void rr_demand_destroy(rr_demand *demand);
/* The job asks, and was refused: it is waiting until it is admitted or its user gives up. */
void rr_demand_refused(rr_demand *demand, const rr_admission_key *key, const char *job_id,
                       rr_work work, double now);
/* The job asks, and was accepted here. */
void rr_demand_admitted(rr_demand *demand, const rr_admission_key *key, const char *job_id,
                        rr_work work);
/* Whether a job has been accepted, by whatever controller. */
typedef bool (*rr_job_known_fn)(void *user, const char *job_id);
/* Forgets those that have been accepted elsewhere. */
void rr_demand_settle(rr_demand *demand, rr_job_known_fn known, void *user);
/* Begins a new interval: who gave up goes, and admissions are counted anew. */
void rr_demand_next_interval(rr_demand *demand, double now);
guint rr_demand_waiting(const rr_demand *demand);

/* ---- what is told to other controllers ---- */
#define RR_DEMAND_VERSION 1

/* One key's part of a controller's view. */
typedef struct {
    rr_admission_key key;
    uint64_t admitted; /* in the last whole interval */
    rr_work mean;      /* of one job */
    uint64_t bound;    /* all waiting jobs with smaller hashes are in the sample */
    GArray *sample;    /* uint64_t, sorted */
} rr_demand_entry;

/* A controller's view: what it tells, and what is read from it. */
typedef struct {
    uint64_t fencing_token; /* of the term in which it was told */
    GArray *entries;        /* rr_demand_entry */
} rr_demand_view;

void rr_demand_view_init(rr_demand_view *view);
void rr_demand_view_clear(rr_demand_view *view);
void rr_demand_view_of(const rr_demand *demand, uint64_t fencing_token, rr_demand_view *out);
/* Packs a view into at most max_bytes. What does not fit is left out of all teams in turn. */
void rr_demand_view_pack(const rr_demand_view *view, GByteArray *out, size_t max_bytes);
/* 0, or -EBADMSG: malformed, too long or of an unknown version. */
int rr_demand_view_unpack(const void *data, size_t length, rr_demand_view *out);

/* ---- all views together ---- */
typedef struct {
    rr_admission_key key;
    double count; /* jobs that wait, and those admitted in the last interval */
    rr_work mean;
} rr_demand_total;

/* ages[i]: intervals since views[i] was told. An old one counts for less, not for nothing. */
void rr_demand_merge(const rr_demand_view *const *views, const unsigned *ages, guint count,
                     GArray *out /* rr_demand_total */);

#endif
