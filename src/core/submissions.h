/* Users' requests about jobs: submission, state and cancellation. */
#ifndef RR_CORE_SUBMISSIONS_H
#define RR_CORE_SUBMISSIONS_H

#include "core/core.h"
#include "wire/wire.h"

enum rr_submission_check {
    RR_SUBMISSION_NEW,           /* not known yet and can run: to be accepted */
    RR_SUBMISSION_KNOWN,         /* accepted before: the request is a retry */
    RR_SUBMISSION_UNSATISFIABLE, /* can never run: to be rejected */
    RR_SUBMISSION_UNDECIDED      /* cannot be decided yet: the user is to retry later */
};
/* Checks a submission against the known jobs, the settings and the catalogue. If it is
 * unsatisfiable or undecided, *why receives the reason as a static text; otherwise *why is left
 * unchanged. */
enum rr_submission_check rr_core_check_submission(const rr_core *core,
                                                  const rr_submission *submission,
                                                  const char **why);

/* A job's state as reported to users. */
typedef struct {
    bool known, done, cancelled;
    const char *state;                  /* text for users, static */
    uint32_t done_count, running_count; /* tasks */
    uint64_t version; /* of the record it is known from; 0: unknown, or only its outcome is kept */
} rr_job_view;
/* Fills *out with the job's state. For an unknown job known is false and the state that of a queued
 * job. */
void rr_core_get_job_view(const rr_core *core, const char *job_id, double now, rr_job_view *out);

/* Writes the key of the job's own record to out, which holds size bytes. */
void rr_core_job_key(const char *job_id, char *out, size_t size);
/* Appends a job's own record to the encoder. accepted_at: wall seconds. */
void rr_core_encode_job(rr_encoder *encoder, const rr_submission *submission, double accepted_at,
                        bool cancelled);
/* Begins the record of a batch of jobs, which are accepted with one change. The caller completes it
 * with `count` calls of rr_core_encode_job(). */
void rr_core_begin_job_batch(rr_encoder *encoder, size_t count);
/* Writes the key of a job batch to out. The lease and the number of the batch together make it
 * unique. */
void rr_core_job_batch_key(uint64_t lease_id, uint64_t number, char *out, size_t size);
/* Appends the job's own record, as cancelled, to the encoder; *version receives the version to
 * guard it with. Returns false without appending it if the job is unknown, done or cancelled. */
bool rr_core_encode_cancelled_job(const rr_core *core, const char *job_id, rr_encoder *encoder,
                                  uint64_t *version);
/* Whether this controller can serve users: its lease is valid and the catalogue known. */
bool rr_core_is_ready(const rr_core *core, double now);

#endif
