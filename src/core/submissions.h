/* Users' requests about jobs: submission, state, cancellation. */
#ifndef RR_CORE_SUBMISSIONS_H
#define RR_CORE_SUBMISSIONS_H

#include "core/core.h"
#include "wire/wire.h"

enum rr_submission_check {
    RR_SUBMISSION_NEW,           /* to be accepted */
    RR_SUBMISSION_KNOWN,         /* accepted before: the request is a retry */
    RR_SUBMISSION_UNSATISFIABLE, /* can never run */
    RR_SUBMISSION_UNDECIDED      /* not decidable yet: to be retried later */
};
/* Checks a submission against the settings and the catalogue. *why receives a static text where it
 * is unsatisfiable or undecided. */
enum rr_submission_check rr_core_check_submission(const rr_core *core,
                                                  const rr_submission *submission,
                                                  const char **why);

typedef struct {
    bool known, done, cancelled;
    const char *state; /* as users read it; static */
    uint32_t done_count, running_count;
    uint64_t version;
} rr_job_view;
/* Fills *out with the job's state; known is false for an unknown job. */
void rr_core_job_view(const rr_core *core, const char *job_id, double now, rr_job_view *out);

/* Writes the key of a job's own record to out. */
void rr_core_job_key(const char *job_id, char *out, size_t size);
/* Encodes a job's own record. when: wall, when it was accepted. */
void rr_core_job_encode(rr_encoder *encoder, const rr_submission *submission, double when,
                        bool cancelled);
/* Begins the record of a batch of jobs accepted with one change: `count` calls of
 * rr_core_job_encode() follow. */
void rr_core_batch_begin(rr_encoder *encoder, size_t count);
/* Writes a batch's key to out; lease and number make it unique. */
void rr_core_batch_key(uint64_t lease_id, uint64_t number, char *out, size_t size);
/* Encodes the record of a known job as cancelled; *version receives the version to guard. False:
 * the job is unknown or final. */
bool rr_core_cancel_record(const rr_core *core, const char *job_id, rr_encoder *encoder,
                           uint64_t *version);
/* Whether this controller can serve users: a valid lease and a known catalogue. */
bool rr_core_ready(const rr_core *core, double now);

#endif
