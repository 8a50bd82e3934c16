/* Loads the platform's settings (TOML) and the operators' tuning file. */
#ifndef RR_APP_SETTINGS_H
#define RR_APP_SETTINGS_H

#include "conf/config.h"
#include "conf/settings_error.h"

/* Loads both files into *out. tuning_file may be NULL: defaults. False: *error is set. */
bool rr_settings_load(const char *platform_file, const char *tuning_file, struct rr_config *out,
                      GError **error);
/* Sets every tuning setting to its default. */
void rr_tuning_set_defaults(struct rr_tuning *tuning);

#endif
