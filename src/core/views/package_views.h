/* What packages beside the core see of it. */
#ifndef RR_CORE_VIEWS_PACKAGE_VIEWS_H
#define RR_CORE_VIEWS_PACKAGE_VIEWS_H

#include "core/core.h"

bool rr_watched_record(const rr_core *core, const char *key, const msgpack_object *value,
                       uint64_t version);

#endif
