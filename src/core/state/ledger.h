/* The ledger of placements in the store cache: decoding and encoding of its records. */
#ifndef RR_CORE_STATE_LEDGER_H
#define RR_CORE_STATE_LEDGER_H

#include "core/state/ledger_record.h"
#include "core/state/resources.h"
#include "wire/wire.h"

/* Takes over a record of this key (after RR_KEY_LEDGER): adds its new placements, removes those it
 * no longer has, and keeps what this process observed of the others. Ignores records older than the
 * one in the store cache. */
void rr_ledger_record_put(rr_core *core, const char *key_suffix, const msgpack_object *value,
                          uint64_t version, double now);
/* Takes over the deletion of a record and with it of its placements. */
void rr_ledger_record_delete(rr_core *core, const char *key_suffix, uint64_t version, double now);
/* Begins a full reload of the store cache: no record has been seen in it yet. */
void rr_ledger_begin_reload(rr_core *core);
/* Ends a full reload: removes the records that it did not bring, unless they are newer than
 * revision first. */
void rr_ledger_end_reload(rr_core *core, uint64_t first, double now);

/* Encodes the record of a chunk with these placements (rr_placement_record). done: tasks (uint32_t)
 * completed beside those already known, may be NULL. zone: index of the zone that holds the job,
 * below 0: none. */
void rr_ledger_record_encode(const rr_core *core, rr_encoder *encoder, const rr_job *job,
                             uint32_t chunk, const GArray *placements, const GArray *done,
                             int zone);

#endif
