/* When work is offered to neighbours. Pure functions: times and waits in, decisions out. */
#ifndef RR_CELLS_SPILL_H
#define RR_CELLS_SPILL_H

#include "cells/settings.h"

/* Whether this cell offers work: from a wait of begin_wait_s on until nothing waits longer than
 * end_wait_s. Two limits keep it from switching back and forth. */
typedef struct {
    bool spilling;
} rr_spill;

/* longest_wait_s: of the jobs that could run elsewhere. Returns whether the cell offers work now.
 */
bool rr_spill_update(rr_spill *spill, const rr_cells_settings *settings, double longest_wait_s);

/* Pauses before a neighbour that refused or did not answer is asked again: doubled each time. */
typedef struct {
    double until; /* steady clock */
    double pause_s;
} rr_spill_pause;

/* Whether the pause is over. */
bool rr_spill_may_ask(const rr_spill_pause *pause, double now);
/* Also for a request without an answer. */
void rr_spill_refused(rr_spill_pause *pause, double now);
/* Ends the pause: the neighbour has taken a job. */
void rr_spill_taken(rr_spill_pause *pause);

#endif
