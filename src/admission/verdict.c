/* The verdict on one submission. */
#include "admission/verdict.h"

#include <math.h>

/* The part of an interval in which the jobs come back whose turn it is: those later in the window
 * later, so that they do not all come at the interval's edge. */
#define RETRY_SPREAD 0.5

const rr_admission_table *rr_admission_in_force(const rr_admission_tables *tables, double wall) {
    if (tables->newest->sequence && wall >= tables->newest->starts_at) {
        return tables->newest;
    }
    if (tables->previous->sequence && wall >= tables->previous->starts_at) {
        return tables->previous;
    }
    return NULL;
}

static uint32_t position_on_circle(const char *job_id) {
    return (uint32_t)(rr_admission_job_hash(job_id) >> 32);
}

/* The key's row, else that of its team's other jobs of its band; NULL: not limited. */
static const rr_admission_row *find_row(const rr_admission_table *table,
                                        const rr_admission_key *key) {
    const rr_admission_row *row = rr_admission_table_row(table, key->id);
    return row ? row : rr_admission_table_row(table, rr_admission_rest_id(key->team, key->band));
}

/* How far past the window's beginning the job stands, `intervals` after the table's own. */
static uint32_t distance_past_window(const rr_admission_row *row, uint32_t position,
                                     double intervals) {
    uint64_t moved = (uint64_t)intervals * row->share;
    return position - row->phase - (uint32_t)moved;
}

/* Intervals until the job comes back. Jobs of a key with no share come back in the next interval,
 * when there may be room. */
static double intervals_until_retry(const rr_admission_row *row, uint32_t distance) {
    if (row->share == 0) {
        return 1 + RETRY_SPREAD * (double)distance / (double)RR_ADMISSION_FULL;
    }
    double windows = (double)distance / (double)row->share;
    return floor(windows) + RETRY_SPREAD * (windows - floor(windows));
}

struct table_verdict {
    bool admit;
    double wait_s; /* until the job's turn, if not */
};

/* table: in force at `wall`, or NULL. */
static struct table_verdict decide_by_table(const rr_admission_table *table, double wall,
                                            const rr_admission_key *key, uint32_t position) {
    struct table_verdict verdict = {true, 0};
    const rr_admission_row *row = table && table->active ? find_row(table, key) : NULL;
    if (!row || row->share >= RR_ADMISSION_FULL) {
        return verdict;
    }
    double intervals = floor((wall - table->starts_at) / table->length_s);
    uint32_t distance = distance_past_window(row, position, intervals);
    verdict.admit = distance < row->share;
    if (!verdict.admit) {
        double retry_at =
            table->starts_at + (intervals + intervals_until_retry(row, distance)) * table->length_s;
        verdict.wait_s = retry_at - wall;
    }
    return verdict;
}

rr_admission_verdict rr_admission_decide(const rr_admission_tables *tables, double wall,
                                         double clock_error_s, const rr_admission_key *key,
                                         const char *job_id) {
    rr_admission_verdict verdict = {RR_ADMISSION_ADMIT, 0};
    const rr_admission_table *table = rr_admission_in_force(tables, wall);
    if (table && table->active && wall > table->starts_at + rr_admission_valid_s(table->length_s)) {
        verdict.kind = RR_ADMISSION_STALE;
        return verdict;
    }
    uint32_t position = position_on_circle(job_id);
    double earliest = wall - clock_error_s, latest = wall + clock_error_s;
    struct table_verdict now = decide_by_table(table, wall, key, position);
    bool admit =
        now.admit &&
        decide_by_table(rr_admission_in_force(tables, earliest), earliest, key, position).admit &&
        decide_by_table(rr_admission_in_force(tables, latest), latest, key, position).admit;
    if (!admit) {
        /* Past the interval's edge by the error of both clocks. */
        double wait_s = ceil(now.wait_s + 2 * clock_error_s);
        verdict.kind = RR_ADMISSION_WAIT;
        verdict.retry_after_s = (int)fmax(1, fmin(wait_s, RR_RETRY_AFTER_MAX_S));
    }
    return verdict;
}
