/* Settings of fair admission. The operator enables it by naming the settings file. */
#ifndef RR_ADMISSION_SETTINGS_H
#define RR_ADMISSION_SETTINGS_H

#include "conf/config.h"
#include "conf/settings_error.h"

#include <glib.h>

#define RR_ADMISSION_BAND_LIMIT_MAX 100000 /* largest task count at which a size band may begin */

typedef struct {
    double weight;      /* of the team among all teams */
    double least_share; /* fraction of the total capacity granted first, up to the team's demand */
    GHashTable *class_weights; /* job class -> double *; other classes weigh 1; NULL: no classes */
} rr_admission_team_settings;

typedef struct {
    bool enabled;
    double interval_s;      /* between the starts of two tables */
    double enter_backlog_s; /* overload begins when the cluster needs longer for all waiting work */
    double leave_backlog_s; /* overload ends when waiting and requested work take less */
    double target_backlog_s;   /* length of the queue of accepted work under overload */
    double service_estimate_s; /* runtime assumed for the tasks of services */
    double patience_s;         /* how long users are assumed to keep retrying a submission */
    double solver_s;           /* time limit of the linear programs of one table */
    uint32_t band_limits[2];   /* task counts at which the second and third size band begin */
    rr_admission_team_settings teams[RR_TEAMS_MAX]; /* in the order of rr_config.teams */
} rr_admission_settings;

/* Sets every setting to its default, with admission disabled. */
void rr_admission_settings_init(rr_admission_settings *settings);
/* Frees the class weights and zeroes the settings. */
void rr_admission_settings_clear(rr_admission_settings *settings);
/* Loads the file, which may name only teams and job classes of *config, and enables admission.
 * Returns false and sets *error if the file is not valid. The caller clears *out in either case. */
bool rr_admission_settings_load(const char *file, const struct rr_config *config,
                                rr_admission_settings *out, GError **error);
/* Returns the weight of a job class within its team; 1 if it is not set. */
double rr_admission_get_class_weight(const rr_admission_team_settings *team, const char *job_class);

#endif
