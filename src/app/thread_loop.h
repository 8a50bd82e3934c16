/* What the threads, one long-lived thread each, have in common. All block with a bound and look at
 * the process's stop flag after each wait. */
#ifndef RR_APP_THREAD_LOOP_H
#define RR_APP_THREAD_LOOP_H

#include "app/app.h"

bool rr_app_stopping(const struct rr_app *app);
/* Waits, in slices so that a stop is seen. A pause that ends late shows that there is more work
 * than processor time: the core is told. */
void rr_app_pause(struct rr_app *app, double seconds);
/* A client of the calling thread's own; rr_store_destroy() ends it. */
rr_store *rr_app_open_store(struct rr_app *app);

#endif
