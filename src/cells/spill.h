/* Spilling over: when a cell offers jobs to its neighbours, and how long it backs off from one that
 * refuses them. The functions read no clock: they take times and waits, and return decisions. */
#ifndef RR_CELLS_SPILL_H
#define RR_CELLS_SPILL_H

#include "cells/settings.h"

/* Whether this cell offers jobs. It begins when a job has waited longer than begin_wait_s and stops
 * when none has waited longer than end_wait_s: two limits keep it from switching back and forth. */
typedef struct {
    bool spilling;
} rr_spill;

/* Updates and returns whether this cell offers jobs. longest_wait_s: the longest wait of a job that
 * could run elsewhere. */
bool rr_spill_update(rr_spill *spill, const rr_cells_settings *settings, double longest_wait_s);

/* Exponential backoff before a neighbour that refused or did not answer is asked again. */
typedef struct {
    double retry_at; /* steady clock, in seconds; 0: at once */
    double delay_s;  /* the last delay; 0: the next one is the shortest */
} rr_spill_backoff;

/* Returns whether the backoff is over and the neighbour may be asked. */
bool rr_spill_backoff_is_over(const rr_spill_backoff *backoff, double now);
/* Starts a backoff twice as long as the last one, up to a limit, after a refusal or a request
 * without an answer. */
void rr_spill_backoff_increase(rr_spill_backoff *backoff, double now);
/* Ends the backoff, after the neighbour has taken a job. */
void rr_spill_backoff_reset(rr_spill_backoff *backoff);

#endif
