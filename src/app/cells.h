/* Starts and stops this process's part in job transfers between cells: its threads, and its
 * connections to neighbour cells. Every function does nothing if cells are switched off. */
#ifndef RR_APP_CELLS_H
#define RR_APP_CELLS_H

#include "app/app.h"

/* Creates app->cells and starts its threads. Must be called before the threads that read records
 * start. Returns 0, or -errno after logging it. */
int rr_app_cells_start(struct rr_app *app);
/* Joins the threads and closes the connections. Must be called after rr_app.stop is set. */
void rr_app_cells_join(struct rr_app *app);
/* Frees app->cells and clears app->cells_settings. Must be called after the core is destroyed. */
void rr_app_cells_destroy(struct rr_app *app);
/* Logs the state and the counters of the transfers; called once a minute. Takes rr_app.lock; the
 * caller must hold no lock. */
void rr_app_cells_log_stats(struct rr_app *app);

#endif
