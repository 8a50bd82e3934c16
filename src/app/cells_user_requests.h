/* Users' requests for jobs that may be in other cells. */
#ifndef RR_APP_CELLS_USER_REQUESTS_H
#define RR_APP_CELLS_USER_REQUESTS_H

#include "app/app.h"
#include "app/user_commit.h"
#include "cells/messages.h"
#include "cells/transfers.h"
#include "core/submissions.h"

/* Asks the other cells for a job that is not known here: kind is RR_CELLS_POLL or RR_CELLS_CANCEL.
 * False: none of them knows it, and *response is unchanged. Takes `lock`; caller holds no lock. */
bool rr_app_cells_relay(struct rr_app *app, enum rr_cells_request_kind kind, const char *job_id,
                        struct rr_http_response *response);
/* Adds to the view of one of this cell's jobs what the neighbour says that has it now. False: the
 * neighbour can't be asked. Takes `lock`; caller holds no lock. */
bool rr_app_cells_view_transferred(struct rr_app *app, const char *job_id, rr_job_view *view);
/* What must happen before a job's cancellation may be recorded. With RR_CANCEL_WITHDRAW, *commit is
 * to be committed, which withdraws the transfer; unless RR_CANCEL_FREE, the user is to come back
 * after *retry_after_s. Takes `lock`; caller holds no lock. */
enum rr_cancel_precondition rr_app_cells_cancel(struct rr_app *app, const char *job_id,
                                                struct rr_user_commit *commit, int *retry_after_s);
/* Guards a cancellation by the record of the job's transfer. False: another cell has the job, or
 * had a moment ago. Caller holds `lock`. */
bool rr_app_cells_guard_cancel(const struct rr_app *app, const char *job_id,
                               struct rr_user_commit *commit);

#endif
