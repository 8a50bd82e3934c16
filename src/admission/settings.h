/* Settings of admission: the operators' file that switches it on. */
#ifndef RR_ADMISSION_SETTINGS_H
#define RR_ADMISSION_SETTINGS_H

#include "conf/config.h"

#include <glib.h>

#define RR_ADMISSION_TASKS_MAX 100000

typedef struct {
    double weight;             /* of its share among the teams */
    double least_share;        /* part of all room that it gets in any case, if it asks for it */
    GHashTable *class_weights; /* job class -> double*; not in it: 1 */
} rr_admission_team_settings;

typedef struct {
    bool on;
    double interval_s;
    double enter_backlog_s;  /* overload begins: all waiting work takes the fleet that long */
    double leave_backlog_s;  /* and ends */
    double target_backlog_s; /* accepted work that waits under overload */
    double service_estimate_s;
    double patience_s; /* how long users go on asking */
    double solver_s;   /* what the linear programs of one interval may take */
    uint32_t band_limits[2];
    rr_admission_team_settings teams[RR_TEAMS_MAX]; /* by the platform's list of teams */
} rr_admission_settings;

void rr_admission_settings_init(rr_admission_settings *settings);
void rr_admission_settings_clear(rr_admission_settings *settings);
/* Reads the file for these teams and classes. 0, or -EINVAL with one line (file, line, reason). */
int rr_admission_settings_load(const char *file, const struct rr_config *config,
                               rr_admission_settings *out, char *error, size_t size);
double rr_admission_class_weight(const rr_admission_team_settings *team, const char *job_class);

#endif
