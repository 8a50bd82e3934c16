/* Two cells of three controllers each, with a link between them that can be cut. */
#ifndef REVIEW_TWO_CELLS_H
#define REVIEW_TWO_CELLS_H

#include "world.h"

#define CELLS_CONTROLLERS 3

struct cells_settings {
    double lease_s, begin_wait_s; /* of the cells' files */
    double worker_lease_s, cancel_s;
    bool claims; /* the cells may read each other's state service */
};

extern const char *const cell_names[2]; /* cell 0 is the home of the jobs that move */
extern struct world *cells[2];

/* Starts both cells and waits until all controllers are ready. Ends the program with 2 otherwise.
 */
void cells_start(const struct cells_settings *settings, const char *folder);
void cells_stop(void);
void cells_cut_link(bool cut);
/* Ends the program with 2: the case can't run. */
void cells_fail(const char *what);

/* Returns a job of one task, of library-crew. run_s 0: a service. */
struct job *cells_new_job(const char *id, double vcpus, double run_s);
/* Makes the job known to the workers of both cells, also under the ids that the other cell gives to
 * its copies. */
void cells_upload_job(int home, struct job *job);
/* Submits the job until it is accepted. */
void cells_submit(int cell, struct job *job);
/* Returns whether a task of the job is on a machine of the cell. */
bool cells_is_present(int cell, const struct job *job);
bool cells_wait_present(int cell, const struct job *job, double seconds);

#endif
