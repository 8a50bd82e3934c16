/* Handlers of users' requests: submission, poll and cancellation of jobs. */
#ifndef RR_APP_USER_REQUESTS_H
#define RR_APP_USER_REQUESTS_H

#include "app/app.h"

/* Every function runs on a connection's thread, blocks for a few seconds at most, and takes
 * rr_app.lock and rr_app.user_lock; the caller must hold neither. job_id may be malformed. */

/* POST /submissions. Answers 201 once the job is in the key-value store, or 200 if it already
 * was. */
void rr_app_submit_job(struct rr_app *app, const struct rr_http_request *request,
                       struct rr_http_response *response);
/* GET /submissions/JOB_ID. Asks the other cells for a job that this cell does not know. */
void rr_app_poll_job(struct rr_app *app, const char *job_id, struct rr_http_response *response);
/* POST /submissions/JOB_ID/cancel. Answers 200 once the cancellation is in the key-value store.
 * Asks the other cells to cancel a job that this cell does not know. */
void rr_app_cancel_job(struct rr_app *app, const char *job_id, struct rr_http_response *response);

/* Like rr_app_poll_job(), but never asks other cells for an unknown job. Serves polls that a
 * neighbour cell relays. */
void rr_app_poll_local_job(struct rr_app *app, const char *job_id,
                           struct rr_http_response *response);
/* Like rr_app_cancel_job(), but never asks other cells to cancel an unknown job. Serves
 * cancellations that a neighbour cell relays. */
void rr_app_cancel_local_job(struct rr_app *app, const char *job_id,
                             struct rr_http_response *response);

#endif
