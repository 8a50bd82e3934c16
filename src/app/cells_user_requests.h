/* Users' requests about jobs that other cells may have accepted, or may hold by a transfer. */
#ifndef RR_APP_CELLS_USER_REQUESTS_H
#define RR_APP_CELLS_USER_REQUESTS_H

#include "app/app.h"
#include "app/user_commit.h"
#include "cells/messages.h"
#include "cells/transfers.h"
#include "core/submissions.h"

/* Relays a user's request about a job that is not known here to the other cells. kind:
 * RR_CELLS_POLL or RR_CELLS_CANCEL. Returns false if none of them knows the job; *response then
 * still answers 404. Returns true with another answer in *response if one knows it, or if a cell
 * that may know it is not reachable. Takes rr_app.lock; the caller must hold no lock. */
bool rr_app_cells_relay_request(struct rr_app *app, enum rr_cells_request_kind kind,
                                const char *job_id, struct rr_http_response *response);
/* If one of this cell's jobs is transferred, asks the neighbour that has it and updates *view with
 * its running tasks. Returns false if that neighbour is unreachable or gave no usable answer. Takes
 * rr_app.lock; the caller must hold no lock. */
bool rr_app_cells_update_transferred_view(struct rr_app *app, const char *job_id,
                                          rr_job_view *view);
/* Returns what must happen before a job's cancellation may be recorded. With
 * RR_CANCEL_NEEDS_WITHDRAWAL, *commit is filled in, and committing it withdraws the transfer.
 * Unless RR_CANCEL_ALLOWED is returned, the user should retry after *retry_after_s. Takes
 * rr_app.lock; the caller must hold no lock. */
enum rr_cancel_precondition rr_app_cells_prepare_cancellation(struct rr_app *app,
                                                              const char *job_id,
                                                              struct rr_user_commit *commit,
                                                              int *retry_after_s);
/* Returns whether no other cell has the job or may still have it, so that its cancellation may be
 * committed. Adds a guard on the record of the job's transfer to that commit. The caller holds
 * rr_app.lock. */
bool rr_app_cells_may_cancel_with_guard(const struct rr_app *app, const char *job_id,
                                        struct rr_user_commit *commit);

#endif
