/* Errors of the settings files' loaders. The message is one line: file, line where the parser knows
 * it, field, and what is wrong. */
#ifndef RR_CONF_SETTINGS_ERROR_H
#define RR_CONF_SETTINGS_ERROR_H

#include <glib.h>

#ifdef __cplusplus
extern "C" {
#endif

#define RR_SETTINGS_ERROR rr_settings_error_quark()

enum rr_settings_error {
    RR_SETTINGS_ERROR_UNREADABLE,   /* the file can't be read */
    RR_SETTINGS_ERROR_SYNTAX,       /* it can't be parsed */
    RR_SETTINGS_ERROR_UNKNOWN_NAME, /* a setting, or something that a setting refers to */
    RR_SETTINGS_ERROR_MISSING,      /* a setting that has no default */
    RR_SETTINGS_ERROR_WRONG_TYPE,   /* a value of another type or form */
    RR_SETTINGS_ERROR_OUT_OF_RANGE, /* a value beyond its bounds */
    RR_SETTINGS_ERROR_CONFLICT      /* values that exclude each other */
};

GQuark rr_settings_error_quark(void);

#ifdef __cplusplus
}
#endif

#endif
