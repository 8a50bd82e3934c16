/* Records of packages beside the core, handed on as the store cache takes them. */
#ifndef RR_CORE_VIEWS_RECORD_WATCHES_H
#define RR_CORE_VIEWS_RECORD_WATCHES_H

#include "core/core_internal.h"

/* Hands a record (value NULL: its deletion) to the package that watches its prefix. False: no
 * package does. */
bool rr_watched_record(const rr_core *core, const char *key, const msgpack_object *value,
                       uint64_t version);
/* Frees what rr_core_watch_records() allocated. */
void rr_record_watches_clear(struct rr_extensions *extensions);

#endif
