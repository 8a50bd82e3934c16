#include "conf/settings_error.h"

G_DEFINE_QUARK(rr - settings - error - quark, rr_settings_error)
