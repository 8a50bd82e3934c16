/* When to offer work to neighbours, and to which. Pure: times and waits in, decisions out. */
#ifndef RR_CELLS_SPILL_H
#define RR_CELLS_SPILL_H

#include "cells/settings.h"

/* Whether this cell offers work: from begin_wait_s on until nothing waits longer than end_wait_s,
 * so that it does not swing. */
typedef struct {
    bool spilling;
} rr_spill;

/* longest_wait_s: of the jobs that could run elsewhere. */
bool rr_spill_update(rr_spill *spill, const rr_cells_settings *settings, double longest_wait_s);

/* A neighbour that refuses, or does not answer, is asked less and less often. */
typedef struct {
    double until; /* steady: not before */
    double pause_s;
} rr_spill_pause;

bool rr_spill_may_ask(const rr_spill_pause *pause, double now);
void rr_spill_refused(rr_spill_pause *pause, double now);
void rr_spill_taken(rr_spill_pause *pause);

#endif
