/* Settings of fair admission, from the operators' file that switches it on. */
#ifndef RR_ADMISSION_SETTINGS_H
#define RR_ADMISSION_SETTINGS_H

#include "conf/config.h"
#include "conf/settings_error.h"

#include <glib.h>

#define RR_ADMISSION_TASKS_MAX 100000 /* upper bound of the size bands */

typedef struct {
    double weight;             /* of the team's share among the teams */
    double least_share;        /* part of all room that the team gets if it asks for it */
    GHashTable *class_weights; /* job class -> double *; classes without an entry weigh 1 */
} rr_admission_team_settings;

typedef struct {
    bool on;
    double interval_s;         /* between two tables */
    double enter_backlog_s;    /* overload begins when the waiting work takes the fleet so long */
    double leave_backlog_s;    /* overload ends below this */
    double target_backlog_s;   /* accepted work that waits under overload */
    double service_estimate_s; /* runtime that a service is counted with */
    double patience_s;         /* how long users keep asking */
    double solver_s;           /* bound on the linear programs of one interval */
    uint32_t band_limits[2];   /* task counts at which the second and third size band begin */
    rr_admission_team_settings teams[RR_TEAMS_MAX]; /* in the order of rr_config.teams */
} rr_admission_settings;

/* Sets every setting to its default, with admission switched off. */
void rr_admission_settings_init(rr_admission_settings *settings);
/* Frees what the settings own and zeroes them. */
void rr_admission_settings_clear(rr_admission_settings *settings);
/* Loads the file for the teams and classes of *config. False: *error is set. *out is to be cleared
 * in any case. */
bool rr_admission_settings_load(const char *file, const struct rr_config *config,
                                rr_admission_settings *out, GError **error);
/* The weight of a job class in its team; 1 without a setting. */
double rr_admission_class_weight(const rr_admission_team_settings *team, const char *job_class);

#endif
