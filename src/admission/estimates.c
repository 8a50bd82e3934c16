/* The correction of runtime estimates, as an exponentially weighted ratio for each team. */
#include "admission/estimates.h"

/* Largest factor by which an estimate is corrected, up or down. */
#define CORRECTION_MAX 8.0
/* Factor on earlier work for each table, so that about the last ten tables count. */
#define TABLE_DECAY 0.9
/* Weight of the previous correction, in seconds of the whole fleet's work. */
#define PRIOR_WEIGHT_S 1.0
/* Smaller amounts of work count as zero. */
#define EPSILON 1e-9

/* Returns the team's previous correction: its own one, else the one in the newest table, else 1. */
static double get_previous_correction(const rr_admission_estimates *estimates, size_t team,
                                      const char *name, const rr_admission_table *newest) {
    if (estimates->correction[team] > 0) {
        return estimates->correction[team];
    }
    const rr_admission_team *recorded =
        newest->sequence ? rr_admission_table_find_team(newest, name) : NULL;
    return recorded && recorded->correction > 0 ? recorded->correction : 1;
}

void rr_admission_estimates_update(rr_admission_estimates *estimates,
                                   const struct rr_config *config, const rr_offered_load *load,
                                   const rr_admission_table *newest, double elapsed_s) {
    rr_resource_amount capacity = rr_offered_load_capacity(load);
    for (size_t i = 0; i < config->team_count; i++) {
        const rr_load_team *team = &load->teams[i];
        double correction = get_previous_correction(estimates, i, config->teams[i].name, newest);
        estimates->actual_work[i] = estimates->actual_work[i] * TABLE_DECAY +
                                    rr_dominant_share(team->batch_used, capacity) * elapsed_s;
        if (elapsed_s > 0) {
            estimates->estimated_work[i] =
                estimates->estimated_work[i] * TABLE_DECAY +
                rr_dominant_share_seconds(team->completed_work, capacity);
        }
        /* Until tasks have ended there is no estimate to compare the actual work with. */
        if (estimates->estimated_work[i] > EPSILON) {
            correction = (estimates->actual_work[i] + PRIOR_WEIGHT_S * correction) /
                         (estimates->estimated_work[i] + PRIOR_WEIGHT_S);
        }
        estimates->correction[i] = CLAMP(correction, 1 / CORRECTION_MAX, CORRECTION_MAX);
    }
}
