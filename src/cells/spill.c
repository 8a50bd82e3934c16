#include "cells/spill.h"

#include <math.h>

#define PAUSE_MIN_S 1.0
#define PAUSE_MAX_S 30.0

bool rr_spill_update(rr_spill *spill, const rr_cells_settings *settings, double longest_wait_s) {
    double limit = spill->spilling ? settings->end_wait_s : settings->begin_wait_s;
    spill->spilling = longest_wait_s > limit;
    return spill->spilling;
}

bool rr_spill_may_ask(const rr_spill_pause *pause, double now) {
    return now >= pause->until;
}

void rr_spill_refused(rr_spill_pause *pause, double now) {
    pause->pause_s = fmin(fmax(2 * pause->pause_s, PAUSE_MIN_S), PAUSE_MAX_S);
    pause->until = now + pause->pause_s;
}

void rr_spill_taken(rr_spill_pause *pause) {
    pause->pause_s = 0;
    pause->until = 0;
}
