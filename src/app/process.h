/* Life cycle of the controller process: creates the components of struct rr_app, then starts, stops
 * and joins its threads. */
#ifndef RR_APP_PROCESS_H
#define RR_APP_PROCESS_H

#include "app/app.h"

/* Configures malloc for many threads and little memory: few arenas, and freed pages are returned to
 * the system. To be called before any thread starts. */
void rr_app_tune_allocator(void);
/* Returns the number of HTTP connections for which the configured limits on threads, sockets and
 * memory leave room. May be below RR_CONNECTIONS_MIN, or negative. */
int rr_app_compute_connection_limit(const struct rr_config *config);
/* Starts all components and threads. The settings in *app are set by the caller, all other fields
 * are zero. Returns 0, or -errno if a component or thread could not be started; then
 * rr_app_stop() has already been called and nothing runs. */
int rr_app_start(struct rr_app *app);
/* Stops and joins all threads, and frees what rr_app_start() created. *app itself remains the
 * caller's. */
void rr_app_stop(struct rr_app *app);

#endif
