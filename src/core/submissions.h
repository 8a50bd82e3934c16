/* What users ask of jobs: submission, state, cancellation. */
#ifndef RR_CORE_SUBMISSIONS_H
#define RR_CORE_SUBMISSIONS_H

#include "core/core.h"
#include "wire/wire.h"

enum rr_submission_check {
    RR_SUBMISSION_NEW,
    RR_SUBMISSION_KNOWN,
    RR_SUBMISSION_UNSATISFIABLE,
    RR_SUBMISSION_UNDECIDED
};
enum rr_submission_check rr_core_check_submission(const rr_core *core,
                                                  const rr_submission *submission,
                                                  const char **why);
typedef struct {
    bool known, done, cancelled;
    const char *state;
    uint32_t done_count, running_count;
    uint64_t version;
} rr_job_view;
void rr_core_job_view(const rr_core *core, const char *job_id, double now, rr_job_view *out);
void rr_core_job_key(const char *job_id, char *out, size_t size);
/* Several jobs accepted with one change: n encoded jobs follow. lease and n make the key unique.
 */
void rr_core_batch_begin(rr_encoder *encoder, size_t count);
void rr_core_batch_key(uint64_t lease_id, uint64_t number, char *out, size_t size);
void rr_core_job_encode(rr_encoder *encoder, const rr_submission *submission, double when,
                        bool cancelled);
/* The record of a known job, marked cancelled. False if it is unknown or final. */
bool rr_core_cancel_record(const rr_core *core, const char *job_id, rr_encoder *encoder,
                           uint64_t *version);
bool rr_core_ready(const rr_core *core, double now);

#endif
