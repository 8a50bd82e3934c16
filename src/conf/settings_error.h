/* Errors of the loaders of settings files. A message is a single line with the file, the line
 * number where the parser knows it, the setting, and what is wrong with it. */
#ifndef RR_CONF_SETTINGS_ERROR_H
#define RR_CONF_SETTINGS_ERROR_H

#include <glib.h>

#ifdef __cplusplus
extern "C" {
#endif

#define RR_SETTINGS_ERROR rr_settings_error_quark()

enum rr_settings_error {
    RR_SETTINGS_ERROR_UNREADABLE,   /* the file cannot be read */
    RR_SETTINGS_ERROR_SYNTAX,       /* the file cannot be parsed */
    RR_SETTINGS_ERROR_UNKNOWN_NAME, /* an unknown setting, or a reference to an unknown name */
    RR_SETTINGS_ERROR_MISSING,      /* a setting without a default is not given */
    RR_SETTINGS_ERROR_WRONG_TYPE,   /* a value has another type or form */
    RR_SETTINGS_ERROR_OUT_OF_RANGE, /* a value is outside its allowed range */
    RR_SETTINGS_ERROR_CONFLICT      /* two values contradict each other */
};

/* Returns the GError domain of these errors; use RR_SETTINGS_ERROR. */
GQuark rr_settings_error_quark(void);

#ifdef __cplusplus
}
#endif

#endif
