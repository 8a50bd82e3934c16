/* The demand for admission that one controller has seen: for each key, which jobs wait after a
 * refusal, how many were admitted, and what one of them takes. */
#ifndef RR_ADMISSION_DEMAND_H
#define RR_ADMISSION_DEMAND_H

#include "admission/key.h"
#include "admission/work.h"

typedef struct rr_demand rr_demand;

/* patience_s: a user who was refused is taken to ask again for this long. */
rr_demand *rr_demand_create(double patience_s);
/* NULL is allowed. */
void rr_demand_destroy(rr_demand *demand);

/* Records a refused job, which waits until it is admitted or its user's patience ends. A job that
 * already waits counts once; beyond fixed limits jobs are not counted. */
void rr_demand_refused(rr_demand *demand, const rr_admission_key *key, const char *job_id,
                       rr_work work, double now);

/* Records a job that was accepted by this controller. */
void rr_demand_admitted(rr_demand *demand, const rr_admission_key *key, const char *job_id,
                        rr_work work);

/* True: the job has been accepted, by any controller. */
typedef bool (*rr_job_known_fn)(void *user, const char *job_id);

/* Removes waiting jobs that another controller has accepted. */
void rr_demand_forget_accepted(rr_demand *demand, rr_job_known_fn known, void *user);

/* Begins a new interval: removes waiting jobs whose patience has ended, and starts to count
 * admissions from 0. */
void rr_demand_next_interval(rr_demand *demand, double now);

/* The number of waiting jobs, of all keys. */
guint rr_demand_waiting(const rr_demand *demand);

/* Jobs of one key, for views of the demand. */
typedef struct {
    const rr_admission_key *key;
    uint64_t admitted; /* in the last whole interval */
    rr_work mean;      /* of one job */
} rr_demand_of_key;

typedef void (*rr_demand_key_fn)(void *user, const rr_demand_of_key *of_key);
typedef void (*rr_demand_waiting_fn)(void *user, uint64_t key_id, uint64_t job_hash);

/* Calls back for each key, in no order. */
void rr_demand_each_key(const rr_demand *demand, rr_demand_key_fn callback, void *user);
/* Calls back for each waiting job, in no order. */
void rr_demand_each_waiting(const rr_demand *demand, rr_demand_waiting_fn callback, void *user);

#endif
