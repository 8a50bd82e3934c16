/* Dispatch of records that belong to packages beside the core, not to the store cache. */
#ifndef RR_CORE_VIEWS_RECORD_WATCHES_H
#define RR_CORE_VIEWS_RECORD_WATCHES_H

#include "core/core_internal.h"

/* Passes a record, or with value NULL its deletion, to the callback that watches its prefix.
 * Returns false if there is none. */
bool rr_dispatch_watched_record(const rr_core *core, const char *key, const msgpack_object *value,
                                uint64_t version);
/* Frees the prefixes that rr_core_watch_records() copied. */
void rr_record_watches_clear(struct rr_extensions *extensions);

#endif
