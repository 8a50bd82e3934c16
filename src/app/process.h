/* Life of the process: creates the parts of struct rr_app, starts and joins its threads. */
#ifndef RR_APP_PROCESS_H
#define RR_APP_PROCESS_H

#include "app/app.h"

/* Sets malloc up for many threads and little memory: few arenas, and freed pages go back to the
 * system. Before any thread starts. */
void rr_app_tune_allocator(void);
/* The number of HTTP connections that the settings' limits on threads, sockets and memory leave
 * room for. */
int rr_app_connections_max(const struct rr_config *config);
/* Starts everything for the settings in *app, which is otherwise zeroed. 0, or -errno if a part
 * could not be started; then nothing runs and rr_app_stop() has been called. */
int rr_app_start(struct rr_app *app);
/* Ends and joins all threads, and frees what rr_app_start() created. *app stays the caller's. */
void rr_app_stop(struct rr_app *app);

#endif
