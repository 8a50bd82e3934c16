/* Cells in this process: start and end of its threads and links. Every function does nothing where
 * cells are switched off. */
#ifndef RR_APP_CELLS_H
#define RR_APP_CELLS_H

#include "app/app.h"

/* Creates app->cells and starts its threads; before the threads that read records. 0, or -errno,
 * which is logged. */
int rr_app_cells_start(struct rr_app *app);
/* Joins the threads; after rr_app.stop is set. */
void rr_app_cells_join(struct rr_app *app);
/* Frees app->cells and its settings; after the core is destroyed. */
void rr_app_cells_stop(struct rr_app *app);
/* Logs the state of the transfers, once a minute. */
void rr_app_cells_log(struct rr_app *app);

#endif
