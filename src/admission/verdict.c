/* The verdict on one submission, by the position of its job on the hash ring. */
#include "admission/verdict.h"

#include <math.h>

/* A refused job is told to retry in the interval whose window admits it. The retries of such jobs
 * are spread over this fraction of the interval, in the order of their positions, so that they do
 * not all arrive at its start. */
#define RETRY_SPREAD 0.5

const rr_admission_table *rr_admission_find_table_in_force(const rr_admission_tables *tables,
                                                           double wall) {
    if (tables->newest->sequence && wall >= tables->newest->starts_at) {
        return tables->newest;
    }
    if (tables->previous->sequence && wall >= tables->previous->starts_at) {
        return tables->previous;
    }
    return NULL;
}

/* Returns the job's position on the hash ring. */
static uint32_t get_ring_position(const char *job_id) {
    return (uint32_t)(rr_admission_hash_job_id(job_id) >> 32);
}

/* Returns the key's row, or else the default row of its team and band. NULL: the
 * table does not limit the key. */
static const rr_admission_row *find_row(const rr_admission_table *table,
                                        const rr_admission_key *key) {
    const rr_admission_row *row = rr_admission_table_find_row(table, key->id);
    return row ? row
               : rr_admission_table_find_row(table,
                                             rr_admission_default_row_id(key->team, key->band));
}

/* Returns the distance on the ring from the start of the window to the job. `intervals`: whole
 * intervals since the table's start, in each of which the window advanced by its width. */
static uint32_t compute_window_distance(const rr_admission_row *row, uint32_t position,
                                        double intervals) {
    uint64_t advance = (uint64_t)intervals * row->share;
    return position - row->phase - (uint32_t)advance;
}

/* Returns the number of intervals, from the start of the current one, until the job should retry.
 * Jobs of a key without a share retry in the next interval, when there may be capacity for them. */
static double compute_retry_intervals(const rr_admission_row *row, uint32_t distance) {
    if (row->share == 0) {
        return 1 + RETRY_SPREAD * (double)distance / (double)RR_ADMISSION_SHARE_FULL;
    }
    double windows_ahead = (double)distance / (double)row->share;
    return floor(windows_ahead) + RETRY_SPREAD * (windows_ahead - floor(windows_ahead));
}

/* A verdict by one table at one time. */
struct table_verdict {
    bool admit;
    double wait_s; /* time until the job should retry; 0 if admitted */
};

/* Decides on the job at `position` by the table in force at `wall`; NULL: there is none, and every
 * job is admitted. */
static struct table_verdict decide_by_table(const rr_admission_table *table, double wall,
                                            const rr_admission_key *key, uint32_t position) {
    struct table_verdict verdict = {true, 0};
    const rr_admission_row *row = table && table->active ? find_row(table, key) : NULL;
    if (!row || row->share >= RR_ADMISSION_SHARE_FULL) {
        return verdict;
    }
    double intervals = floor((wall - table->starts_at) / table->length_s);
    uint32_t distance = compute_window_distance(row, position, intervals);
    verdict.admit = distance < row->share;
    if (!verdict.admit) {
        double retry_at = table->starts_at +
                          (intervals + compute_retry_intervals(row, distance)) * table->length_s;
        verdict.wait_s = retry_at - wall;
    }
    return verdict;
}

rr_admission_verdict rr_admission_decide(const rr_admission_tables *tables, double wall,
                                         double clock_error_s, const rr_admission_key *key,
                                         const char *job_id) {
    rr_admission_verdict verdict = {RR_ADMISSION_ADMIT, 0};
    const rr_admission_table *table = rr_admission_find_table_in_force(tables, wall);
    if (table && table->active &&
        wall > table->starts_at + rr_admission_table_validity_s(table->length_s)) {
        verdict.kind = RR_ADMISSION_NO_VALID_TABLE;
        return verdict;
    }
    uint32_t position = get_ring_position(job_id);
    double earliest = wall - clock_error_s, latest = wall + clock_error_s;
    struct table_verdict current = decide_by_table(table, wall, key, position);
    bool admit =
        current.admit &&
        decide_by_table(rr_admission_find_table_in_force(tables, earliest), earliest, key, position)
            .admit &&
        decide_by_table(rr_admission_find_table_in_force(tables, latest), latest, key, position)
            .admit;
    if (!admit) {
        /* Adds the error of both clocks, so that the retry arrives after the interval boundary. */
        double wait_s = ceil(current.wait_s + 2 * clock_error_s);
        verdict.kind = RR_ADMISSION_RETRY_LATER;
        verdict.retry_after_s = (int)fmax(1, fmin(wait_s, RR_RETRY_AFTER_MAX_S));
    }
    return verdict;
}
