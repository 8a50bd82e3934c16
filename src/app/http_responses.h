/* Builds the responses that several request handlers share. */
#ifndef RR_APP_HTTP_RESPONSES_H
#define RR_APP_HTTP_RESPONSES_H

#include "http/server.h"

/* Answers with an error status and its reason. With retry_after_s 0 there is no Retry-After
 * header. */
void rr_app_answer_error(struct rr_http_response *response, int status, const char *reason,
                         int retry_after_s);
/* Answers with this HTTP status, the job's id and the name of its state. */
void rr_app_answer_job_state(struct rr_http_response *response, int status, const char *job_id,
                             const char *state);
/* Answers 200 with a job's state and the numbers of its done and running tasks. */
void rr_app_answer_job_view(struct rr_http_response *response, const char *job_id,
                            const char *state, uint64_t done_count, uint64_t running_count);

#endif
