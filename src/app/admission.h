/* Fair admission in this process: questions of request handlers and peers to the admission package.
 * Every function does nothing where admission is switched off. */
#ifndef RR_APP_ADMISSION_H
#define RR_APP_ADMISSION_H

#include "app/app.h"

/* Creates app->admission; before any thread starts. 0 or -errno. */
int rr_app_admission_start(struct rr_app *app);
/* Frees app->admission and its settings; after all threads have ended. */
void rr_app_admission_stop(struct rr_app *app);

/* Whether a valid submission of an unknown job is admitted; if not, *retry_after_s is when its user
 * is to come back. Takes `lock`; caller holds no lock. */
bool rr_app_admission_check(struct rr_app *app, const rr_submission *submission,
                            int *retry_after_s);
/* Records that an admitted job is in the key-value store. */
void rr_app_admission_accepted(struct rr_app *app, const rr_submission *submission);
/* Takes a peer's view of the demand; a malformed one is dropped. Takes `lock`; caller holds no
 * lock. */
void rr_app_admission_take_demand(struct rr_app *app, int peer, const void *data, size_t length);
/* Logs the state of admission, once a minute. */
void rr_app_admission_log(struct rr_app *app);

#endif
