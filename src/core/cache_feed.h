/* Feeding the store cache: records as the watch, a reload or an own transaction brings them. */
#ifndef RR_CORE_CACHE_FEED_H
#define RR_CORE_CACHE_FEED_H

#include "core/core.h"
#include "core/state/transaction.h"

/* A full reload starts: keys not seen again will go. Until it ends nothing is decided. */
void rr_core_cache_begin_reload(rr_core *core);
void rr_core_cache_put(rr_core *core, const char *key, const msgpack_object *value,
                       uint64_t version, double now);
void rr_core_cache_delete(rr_core *core, const char *key, uint64_t version, double now);
/* Ends a full reload whose pages were of the revisions first to last: what came after the first
 * stays, and nothing is decided before the watch has brought the store cache to the last. */
void rr_core_cache_end_reload(rr_core *core, uint64_t first, uint64_t last, double now);
bool rr_core_cache_consistent(const rr_core *core);
/* Our own transaction, committed at this revision: planning goes on without waiting for the watch.
 */
void rr_core_apply(rr_core *core, const rr_transaction *transaction, uint64_t revision, double now);
void rr_core_set_revision(rr_core *core, uint64_t revision);
uint64_t rr_core_revision(const rr_core *core);
bool rr_core_cache_loaded(const rr_core *core);

/* The key-value store has refused a valid transaction: its lower limits hold from here on.
 * in_doubt: an earlier copy of it went unanswered and may be carried out yet. A new term voids it,
 * as every plan is guarded by the term's record. */
void rr_core_lower_limits(rr_core *core, bool in_doubt);

#endif
