/* Both settings files: the platform's TOML and the operators' own. */
#ifndef RR_APP_SETTINGS_H
#define RR_APP_SETTINGS_H

#include "conf/config.h"

/* 0, or -EINVAL with one line naming file and field in err. own may be NULL: defaults. */
int rr_settings_load(const char *platform, const char *own, struct rr_config *out, char *err,
                     size_t size);
void rr_settings_defaults(struct rr_tuning *tuning);

#endif
