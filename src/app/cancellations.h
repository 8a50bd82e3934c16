/* Announces confirmed cancellations to the other controllers. */
#ifndef RR_APP_CANCELLATIONS_H
#define RR_APP_CANCELLATIONS_H

#include "app/app.h"

/* Has the other controllers stop the job's tasks in their answers to workers from now on. This also
 * reaches a controller that the key-value store refuses, whose store cache will not show the
 * cancellation. Does nothing while some controller can't read the message. Takes `lock`; caller
 * holds no lock. */
void rr_app_announce_cancellation(struct rr_app *app, const char *job_id);

#endif
