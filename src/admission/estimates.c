/* The correction of runtime estimates. */
#include "admission/estimates.h"

#define CORRECTION_MAX 8.0
/* For each table: the last ten or so count. */
#define DECAY 0.9
/* The weight of the earlier correction, in time of the whole fleet. */
#define PRIOR_S 1.0
#define EPSILON 1e-9

static double earlier_correction(const rr_admission_estimates *estimates, size_t team,
                                 const char *name, const rr_admission_table *newest) {
    if (estimates->correction[team] > 0) {
        return estimates->correction[team];
    }
    const rr_admission_team *recorded =
        newest->sequence ? rr_admission_table_team(newest, name) : NULL;
    return recorded && recorded->correction > 0 ? recorded->correction : 1;
}

void rr_admission_estimates_update(rr_admission_estimates *estimates,
                                   const struct rr_config *config, const rr_offered_load *load,
                                   const rr_admission_table *newest, double passed_s) {
    rr_amount capacity = rr_load_capacity(load);
    for (size_t i = 0; i < config->team_count; i++) {
        const rr_load_team *team = &load->teams[i];
        double correction = earlier_correction(estimates, i, config->teams[i].name, newest);
        estimates->used[i] =
            estimates->used[i] * DECAY + rr_dominant_amount(team->batch, capacity) * passed_s;
        if (passed_s > 0) {
            estimates->done[i] =
                estimates->done[i] * DECAY + rr_dominant_work(team->done, capacity);
        }
        /* Until tasks have ended there is nothing to compare with. */
        if (estimates->done[i] > EPSILON) {
            correction =
                (estimates->used[i] + PRIOR_S * correction) / (estimates->done[i] + PRIOR_S);
        }
        estimates->correction[i] = CLAMP(correction, 1 / CORRECTION_MAX, CORRECTION_MAX);
    }
}
