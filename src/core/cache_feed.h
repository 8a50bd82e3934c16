/* Feeds the store cache: records as the watch, a full reload or an own transaction brings them. */
#ifndef RR_CORE_CACHE_FEED_H
#define RR_CORE_CACHE_FEED_H

#include "core/core.h"
#include "core/state/transaction.h"

/* Begins a full reload: records that it does not bring will be removed. Nothing is decided until it
 * has ended. */
void rr_core_cache_begin_reload(rr_core *core);
/* Ends a full reload whose pages were read at revisions first to last. Records newer than first are
 * kept even if no page had them. Nothing is decided until the watch has reached revision last. */
void rr_core_cache_end_reload(rr_core *core, uint64_t first, uint64_t last, double now);
/* Takes over a record. A version older than the one known is ignored. */
void rr_core_cache_put(rr_core *core, const char *key, const msgpack_object *value,
                       uint64_t version, double now);
/* Takes over the deletion of a record at this version. */
void rr_core_cache_delete(rr_core *core, const char *key, uint64_t version, double now);
/* Takes over an own transaction committed at this revision, so that planning need not wait for the
 * watch. */
void rr_core_apply(rr_core *core, const rr_transaction *transaction, uint64_t revision, double now);

/* Whether a full reload has ended since the start. */
bool rr_core_cache_loaded(const rr_core *core);
/* Whether the cache is one consistent state of the store, on which decisions may rely. */
bool rr_core_cache_consistent(const rr_core *core);
/* The watch has brought every change up to this revision; lower values are ignored. */
void rr_core_set_revision(rr_core *core, uint64_t revision);
/* Returns the revision that the watch has reached. */
uint64_t rr_core_revision(const rr_core *core);

/* The store has refused a transaction that is valid under the present limits: the next limits are
 * in force from here on. in_doubt: an earlier copy of it went unanswered and may still be
 * committed; a new term is made then, which voids it, as every plan is guarded by the term's
 * record. */
void rr_core_next_limits_in_force(rr_core *core, bool in_doubt);

#endif
