/* Loads the settings of a controller: the platform's file (TOML) and the operators' tuning file. */
#ifndef RR_APP_SETTINGS_H
#define RR_APP_SETTINGS_H

#include "conf/config.h"
#include "conf/settings_error.h"

/* Loads both files into *out; without a tuning file (NULL) the tuning has its defaults. Returns
 * false and sets *error on failure; *out may be partly filled then. */
bool rr_settings_load(const char *platform_file, const char *tuning_file, struct rr_config *out,
                      GError **error);
/* Sets all tuning settings to their defaults. */
void rr_tuning_set_defaults(struct rr_tuning *tuning);

#endif
