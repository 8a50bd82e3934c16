/* Outcomes of evicted jobs: whether they are done, their number of done tasks, and the fencing
 * token of the term in which they were evicted, packed into one word. */
#include "core/state/job_outcomes.h"
#include "core/core_internal.h"

#define DONE_BIT ((uint64_t)1)
#define DONE_COUNT_SHIFT 1
#define DONE_COUNT_MASK 0xfffff /* a job has at most 100,000 tasks */
#define TOKEN_SHIFT 21

/* Returns whether the job has been evicted, with its packed outcome in *packed. */
static bool find_outcome(const rr_core *core, const char *job_id, uint64_t *packed) {
    gpointer value;
    bool found = g_hash_table_lookup_extended(core->stored.job_outcomes, job_id, NULL, &value);
    *packed = found ? GPOINTER_TO_SIZE(value) : 0;
    return found;
}

void rr_job_outcome_add(rr_core *core, const rr_job *job) {
    uint64_t packed = (job->done ? DONE_BIT : 0) | (uint64_t)job->done_count << DONE_COUNT_SHIFT |
                      core->membership.term.token << TOKEN_SHIFT;
    g_hash_table_replace(core->stored.job_outcomes, g_strdup(job->submission.job_id),
                         GSIZE_TO_POINTER(packed));
}

bool rr_job_outcome(const rr_core *core, const char *job_id, bool *done, uint32_t *done_count) {
    uint64_t packed;
    if (!find_outcome(core, job_id, &packed)) {
        return false;
    }
    if (done) {
        *done = packed & DONE_BIT;
    }
    if (done_count) {
        *done_count = packed >> DONE_COUNT_SHIFT & DONE_COUNT_MASK;
    }
    return true;
}

bool rr_job_evicted_in_earlier_term(const rr_core *core, const char *job_id) {
    uint64_t packed;
    return find_outcome(core, job_id, &packed) &&
           packed >> TOKEN_SHIFT < core->membership.term.token;
}
