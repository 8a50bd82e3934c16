/* The placement ledger: applies its records to the store cache and encodes them for the store. */
#ifndef RR_CORE_STATE_LEDGER_H
#define RR_CORE_STATE_LEDGER_H

#include "core/state/ledger_record.h"
#include "core/state/resources.h"
#include "wire/wire.h"

/* Applies a ledger record: adds its new placements, removes those that it no longer contains and
 * keeps what this process has observed of the others. A version older than the cached one is
 * ignored. key_suffix: the key after RR_KEY_LEDGER. */
void rr_ledger_record_put(rr_core *core, const char *key_suffix, const msgpack_object *value,
                          uint64_t version, double now);
/* Applies the deletion of a ledger record, which removes all of its placements. */
void rr_ledger_record_delete(rr_core *core, const char *key_suffix, uint64_t version, double now);
/* Begins a full reload of the store cache: marks every ledger record as not seen in it. */
void rr_ledger_begin_reload(rr_core *core);
/* Ends a full reload: removes the ledger records that the reload did not bring, except those
 * written after first_revision, at which the reload began. */
void rr_ledger_end_reload(rr_core *core, uint64_t first_revision, double now);

/* Encodes the ledger record of a chunk. placements: rr_placement_record. done: tasks (uint32_t) to
 * mark as done besides those that the cache knows to be done; may be NULL. zone: index of the zone
 * that the job is bound to, negative if there is none. */
void rr_ledger_record_encode(const rr_core *core, rr_encoder *encoder, const rr_job *job,
                             uint32_t chunk, const GArray *placements, const GArray *done,
                             int zone);

#endif
