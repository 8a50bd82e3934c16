/* Announces confirmed cancellations to the other controllers. */
#ifndef RR_APP_CANCELLATIONS_H
#define RR_APP_CANCELLATIONS_H

#include "app/app.h"

/* Tells the other controllers to stop the job's tasks in their answers to workers from now on. This
 * also reaches a controller whose requests the key-value store refuses, and whose store cache
 * therefore never shows the cancellation. Does nothing while some controller's version can't read
 * the message. Takes rr_app.lock; the caller must hold no lock. */
void rr_app_announce_cancellation(struct rr_app *app, const char *job_id);

#endif
