/* The thread that handles the job transfers with one neighbour cell. Each neighbour has its own. */
#ifndef RR_APP_CELLS_NEIGHBOUR_THREAD_H
#define RR_APP_CELLS_NEIGHBOUR_THREAD_H

/* Entry point. argument: the struct rr_neighbour_thread *. Returns NULL soon after rr_app.stop is
 * set. */
void *rr_cells_neighbour_thread(void *argument);

#endif
