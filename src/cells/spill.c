/* Decides when jobs are offered to neighbours. */
#include "cells/spill.h"

#include <math.h>

#define BACKOFF_MIN_S 1.0
#define BACKOFF_MAX_S 30.0

bool rr_spill_update(rr_spill *spill, const rr_cells_settings *settings, double longest_wait_s) {
    double limit_s = spill->spilling ? settings->end_wait_s : settings->begin_wait_s;
    spill->spilling = longest_wait_s > limit_s;
    return spill->spilling;
}

bool rr_spill_backoff_is_over(const rr_spill_backoff *backoff, double now) {
    return now >= backoff->retry_at;
}

void rr_spill_backoff_increase(rr_spill_backoff *backoff, double now) {
    backoff->delay_s = fmin(fmax(2 * backoff->delay_s, BACKOFF_MIN_S), BACKOFF_MAX_S);
    backoff->retry_at = now + backoff->delay_s;
}

void rr_spill_backoff_reset(rr_spill_backoff *backoff) {
    backoff->delay_s = 0;
    backoff->retry_at = 0;
}
