/* Updates the store cache with records from the watch, a full reload or an own transaction. */
#ifndef RR_CORE_CACHE_FEED_H
#define RR_CORE_CACHE_FEED_H

#include "core/core.h"
#include "core/state/transaction.h"

/* Begins a full reload. Cached records that it does not contain are removed. No decisions are made
 * until it has ended. */
void rr_core_cache_begin_reload(rr_core *core);
/* Ends a full reload whose pages were read at revisions first_revision to last_revision. Records
 * newer than first_revision are kept even if no page contained them. No decisions are made until
 * the watch has reached last_revision. */
void rr_core_cache_end_reload(rr_core *core, uint64_t first_revision, uint64_t last_revision,
                              double now);
/* Adds or replaces a record. A version older than the cached one is ignored. */
void rr_core_cache_put(rr_core *core, const char *key, const msgpack_object *value,
                       uint64_t version, double now);
/* Applies the deletion of a record at this version. */
void rr_core_cache_delete(rr_core *core, const char *key, uint64_t version, double now);
/* Applies this controller's own transaction, committed at this revision, so that planning need not
 * wait for the watch to deliver it. */
void rr_core_cache_apply_transaction(rr_core *core, const rr_transaction *transaction,
                                     uint64_t revision, double now);

/* Whether at least one full reload has ended since the start. */
bool rr_core_cache_loaded(const rr_core *core);
/* Whether the cache shows one consistent state of the store, as decisions require: no full reload
 * is under way, and the watch has caught up with the last one. */
bool rr_core_cache_consistent(const rr_core *core);
/* Records that the watch has delivered every change up to this revision. A revision lower than the
 * present one is ignored. */
void rr_core_set_revision(rr_core *core, uint64_t revision);
/* Returns the revision that the watch has reached. */
uint64_t rr_core_revision(const rr_core *core);

/* From when on the store cache shows whether a transaction of this controller was executed. The
 * transaction is guarded by the term's record, and its commit has ended, so that it is executed by
 * then or never. */
typedef struct {
    uint64_t revision;      /* the store's, when it answered with a conflict; 0: it did not */
    uint64_t fencing_token; /* of the term that guards the transaction */
} rr_outcome_point;

/* Whether the cache shows every change up to the conflict, or a later term than the transaction's.
 * Before that, a record that the cache lacks may exist. */
bool rr_core_cache_shows_outcome(const rr_core *core, const rr_outcome_point *point);

/* Applies the next limits of the settings from now on. To be called when the store has refused a
 * transaction that is valid under the present limits. outcome_unknown: an earlier copy of the
 * transaction went unanswered and may still be committed. A new term is then requested to void that
 * copy, since every plan is guarded by the term's record. */
void rr_core_activate_next_limits(rr_core *core, bool outcome_unknown);

#endif
