/* Fair admission in this process: passes submissions from request handlers and messages from peers
 * to the admission package (src/admission/). If admission is switched off, every submission is
 * admitted and the other functions do nothing. */
#ifndef RR_APP_ADMISSION_H
#define RR_APP_ADMISSION_H

#include "app/app.h"

/* Creates app->admission if admission is switched on; to be called before any thread starts.
 * Returns 0 or -errno. */
int rr_app_admission_create(struct rr_app *app);
/* Frees app->admission and clears its settings; to be called after all threads have ended. */
void rr_app_admission_destroy(struct rr_app *app);

/* Returns whether a valid submission of a job that is not known yet is admitted. If it is not,
 * *retry_after_s is set to the number of seconds after which the user is to retry. Takes `lock`;
 * caller holds no lock. */
bool rr_app_admission_check(struct rr_app *app, const rr_submission *submission,
                            int *retry_after_s);
/* Records that an admitted job has been written to the key-value store. Caller does not hold the
 * lock of admission. */
void rr_app_admission_record_accepted(struct rr_app *app, const rr_submission *submission);
/* Stores a peer's view of the demand; drops a malformed one. peer: index in the configuration.
 * Takes `lock`; caller holds no lock. */
void rr_app_admission_receive_demand(struct rr_app *app, int peer, const void *data, size_t length);
/* Logs the state of admission; called once a minute. */
void rr_app_admission_log(struct rr_app *app);

#endif
