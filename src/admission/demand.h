/* The demand for admission that one controller has seen: for each admission key, the jobs that wait
 * after a refusal, the number of admitted jobs, and the mean work of a job. Times (`now`) are in
 * seconds of the steady clock. */
#ifndef RR_ADMISSION_DEMAND_H
#define RR_ADMISSION_DEMAND_H

#include "admission/key.h"
#include "admission/work.h"

typedef struct rr_demand rr_demand;

/* Creates an empty demand. patience_s: how long a user is assumed to retry after a refusal. */
rr_demand *rr_demand_create(double patience_s);
/* Frees the demand. NULL is allowed. */
void rr_demand_destroy(rr_demand *demand);

/* Records a refused job, which waits until it is admitted or patience_s has passed. A job that
 * already waits is counted once and keeps its deadline. Jobs beyond fixed limits on keys and
 * waiting jobs are not counted. */
void rr_demand_record_refusal(rr_demand *demand, const rr_admission_key *key, const char *job_id,
                              rr_work work, double now);

/* Records a job that this controller accepted; it no longer waits. */
void rr_demand_record_admission(rr_demand *demand, const rr_admission_key *key, const char *job_id,
                                rr_work work);

/* Returns true if the job has been accepted, by any controller. */
typedef bool (*rr_job_accepted_fn)(void *user, const char *job_id);

/* Removes the waiting jobs for which is_accepted(user, job_id) returns true. */
void rr_demand_remove_accepted(rr_demand *demand, rr_job_accepted_fn is_accepted, void *user);

/* Starts a new interval: removes the waiting jobs whose deadline has passed and counts admissions
 * from 0 again. */
void rr_demand_start_interval(rr_demand *demand, double now);

/* Returns the number of waiting jobs of all keys. */
guint rr_demand_count_waiting_jobs(const rr_demand *demand);

/* The demand for one key, except for its waiting jobs. */
typedef struct {
    const rr_admission_key *key; /* borrowed from the demand */
    uint64_t admitted;           /* jobs admitted in the last complete interval */
    rr_work mean_work;           /* of one job */
} rr_demand_key_summary;

typedef void (*rr_demand_key_fn)(void *user, const rr_demand_key_summary *summary);
typedef void (*rr_demand_waiting_fn)(void *user, uint64_t key_id, uint64_t job_hash);

/* Calls callback(user, ...) for each key, in no particular order. */
void rr_demand_foreach_key(const rr_demand *demand, rr_demand_key_fn callback, void *user);
/* Calls callback(user, ...) for each waiting job, in no particular order. */
void rr_demand_foreach_waiting_job(const rr_demand *demand, rr_demand_waiting_fn callback,
                                   void *user);

#endif
