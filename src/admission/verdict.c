#include "admission/verdict.h"

#include <math.h>

const rr_admission_table *rr_admission_in_force(const rr_admission_tables *tables, double wall) {
    if (tables->newest->sequence && wall >= tables->newest->starts_at) {
        return tables->newest;
    }
    if (tables->previous->sequence && wall >= tables->previous->starts_at) {
        return tables->previous;
    }
    return NULL;
}

static uint32_t position_of(const char *job_id) {
    return (uint32_t)(rr_admission_job_hash(job_id) >> 32);
}

/* The key's row, else that of its team's other jobs of its band; NULL: not limited. */
static const rr_admission_row *row_of(const rr_admission_table *table,
                                      const rr_admission_key *key) {
    const rr_admission_row *row = rr_admission_table_row(table, key->id);
    return row ? row : rr_admission_table_row(table, rr_admission_rest_id(key->team, key->band));
}

/* How far past the window's beginning the job stands, `intervals` after the table's own. */
static uint32_t distance(const rr_admission_row *row, uint32_t position, double intervals) {
    uint64_t moved = (uint64_t)intervals * row->share;
    return position - row->phase - (uint32_t)moved;
}

#define SPREAD 0.5 /* of an interval, in which those come back whose turn it is */

/* Intervals until the window is there. Not all come back at an interval's edge at once: who stands
 * later in the window comes later. Of a key that is admitted nothing everybody comes back in the
 * next interval, when there may be room. */
static double turns_until(const rr_admission_row *row, uint32_t ahead) {
    if (row->share == 0) {
        return 1 + SPREAD * (double)ahead / (double)RR_ADMISSION_FULL;
    }
    double turns = (double)ahead / (double)row->share;
    return floor(turns) + SPREAD * (turns - floor(turns));
}

struct verdict_at {
    bool admit;
    double wait_s; /* from that time on until its window comes */
};

static struct verdict_at decide_at(const rr_admission_table *table, double wall,
                                   const rr_admission_key *key, uint32_t position) {
    struct verdict_at verdict = {true, 0};
    const rr_admission_row *row = table && table->active ? row_of(table, key) : NULL;
    if (!row || row->share >= RR_ADMISSION_FULL) {
        return verdict;
    }
    double intervals = floor((wall - table->starts_at) / table->length_s);
    uint32_t ahead = distance(row, position, intervals);
    verdict.admit = ahead < row->share;
    if (!verdict.admit) {
        double turn = table->starts_at + (intervals + turns_until(row, ahead)) * table->length_s;
        verdict.wait_s = turn - wall;
    }
    return verdict;
}

rr_admission_verdict rr_admission_decide(const rr_admission_tables *tables, double wall,
                                         double clock_error_s, const rr_admission_key *key,
                                         const char *job_id) {
    rr_admission_verdict verdict = {RR_ADMISSION_ADMIT, 0};
    const rr_admission_table *table = rr_admission_in_force(tables, wall);
    if (table && table->active &&
        wall > table->starts_at + rr_admission_counts_s(table->length_s)) {
        verdict.kind = RR_ADMISSION_STALE;
        return verdict;
    }
    uint32_t position = position_of(job_id);
    struct verdict_at now = decide_at(table, wall, key, position);
    double before = wall - clock_error_s, after = wall + clock_error_s;
    bool admit = now.admit &&
                 decide_at(rr_admission_in_force(tables, before), before, key, position).admit &&
                 decide_at(rr_admission_in_force(tables, after), after, key, position).admit;
    if (!admit) {
        /* Past the edge by the clocks' error: a second more than the wait rounded up is enough. */
        double wait = ceil(now.wait_s + 2 * clock_error_s);
        verdict.kind = RR_ADMISSION_WAIT;
        verdict.retry_after_s = (int)fmax(1, fmin(wait, RR_RETRY_AFTER_MAX_S));
    }
    return verdict;
}
