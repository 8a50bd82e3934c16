/* Users' requests: submissions, polls and cancellations. */
#ifndef RR_APP_USER_REQUESTS_H
#define RR_APP_USER_REQUESTS_H

#include "app/app.h"

/* Every function runs on a connection's thread, waits for a few seconds at most, and takes `lock`
 * and `user_lock`; the caller holds neither. job_id may be malformed. */

/* POST /submissions. Answers 201 once the job is in the key-value store, 200 if it was before. */
void rr_app_submit_job(struct rr_app *app, const struct rr_http_request *request,
                       struct rr_http_response *response);
/* GET /submissions/JOB_ID. A job that is not known here is asked for in the other cells. */
void rr_app_poll_job(struct rr_app *app, const char *job_id, struct rr_http_response *response);
/* POST /submissions/JOB_ID/cancel. Answers 200 once the cancellation is in the key-value store. */
void rr_app_cancel_job(struct rr_app *app, const char *job_id, struct rr_http_response *response);

/* As rr_app_poll_job() for a neighbour cell: only jobs of this cell are considered. */
void rr_app_poll_local_job(struct rr_app *app, const char *job_id,
                           struct rr_http_response *response);
/* As rr_app_cancel_job() for a neighbour cell: only jobs of this cell are considered. */
void rr_app_cancel_local_job(struct rr_app *app, const char *job_id,
                             struct rr_http_response *response);

#endif
