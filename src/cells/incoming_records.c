/* Entries of other cells' jobs that this cell holds: their records in the key-value store, and the
 * writes that change these. */
#include "cells/incoming.h"
#include "core/extensions.h"

#include <string.h>

/* ---- entries and their records ---- */

static const rr_transfer_message no_message = {.kind = RR_TRANSFER_NOTHING};

rr_incoming *rr_incoming_get(rr_transfers *transfers, const char *local_id) {
    rr_incoming *entry = g_hash_table_lookup(transfers->incoming, local_id);
    if (!entry) {
        entry = g_new0(rr_incoming, 1);
        g_strlcpy(entry->local_id, local_id, sizeof entry->local_id);
        entry->neighbour = RR_CELLS_NO_NEIGHBOUR;
        g_hash_table_insert(transfers->incoming, entry->local_id, entry);
    }
    return entry;
}

/* Removes the entry and the hold on its job. */
static void remove_entry(rr_transfers *transfers, const char *local_id) {
    rr_core_unhold_job(transfers->core, local_id);
    g_hash_table_remove(transfers->incoming, local_id);
}

void rr_incoming_apply_record(rr_transfers *transfers, const char *local_id,
                              const msgpack_object *value, uint64_t version) {
    rr_incoming_record record;
    rr_incoming *entry = g_hash_table_lookup(transfers->incoming, local_id);
    if (entry && version < entry->version) {
        return;
    }
    if (!value) {
        if (entry && !entry->guest.write_pending) {
            remove_entry(transfers, local_id);
        }
        return;
    }
    if (!rr_job_id_valid(local_id) || rr_cells_incoming_decode(value, &record) != 0) {
        transfers->stats.unreadable_records++;
        return;
    }
    entry = rr_incoming_get(transfers, local_id);
    entry->record = record;
    entry->version = version;
    entry->neighbour = rr_cells_find_neighbour(transfers->settings, record.home);
    rr_core_hold_job(transfers->core, local_id, RR_HOLD_GUEST);
    if (!entry->guest.write_pending && entry->guest.record.state != record.state) {
        entry->loaded_token = 0;
    }
}

/* ---- writes ---- */

/* Initialises a write that is guarded by the term and by the version of the entry's record. */
static void init_guarded_write(rr_transfers *transfers, const rr_incoming *entry,
                               rr_transfer_write *write) {
    char key[RR_CELLS_KEY_SIZE];
    memset(write, 0, sizeof *write);
    g_strlcpy(write->id, entry->local_id, sizeof write->id);
    rr_transaction_init(&write->transaction);
    rr_core_guard_term(transfers->core, &write->transaction);
    rr_cells_incoming_key(entry->local_id, key, sizeof key);
    rr_transaction_guard(&write->transaction, key, entry->version);
}

void rr_incoming_make_write(rr_transfers *transfers, const rr_incoming *entry,
                            rr_transfer_write *write) {
    const rr_guest_record *next = &entry->guest.pending_record;
    char key[RR_CELLS_KEY_SIZE];
    init_guarded_write(transfers, entry, write);
    rr_cells_incoming_key(entry->local_id, key, sizeof key);
    if (next->state == RR_GUEST_NONE) {
        rr_transaction_delete(&write->transaction, key);
        return;
    }
    rr_incoming_record record = entry->record;
    rr_encoder encoder;
    record.state = next->state;
    record.claim = next->claim;
    record.answer = next->answer;
    rr_encoder_init(&encoder);
    rr_cells_incoming_encode(&record, &encoder);
    rr_transaction_put(&write->transaction, key, &encoder, 0);
}

void rr_incoming_plan_write(rr_transfers *transfers, const rr_incoming *entry,
                            rr_transfers_plan *plan) {
    rr_transfer_write write;
    rr_incoming_make_write(transfers, entry, &write);
    rr_transfers_plan_add_write(plan, &write);
}

void rr_incoming_plan_copy_cancellation(rr_transfers *transfers, const rr_incoming *entry,
                                        rr_transfers_plan *plan) {
    rr_transfer_write write;
    rr_core_revoke_job_release(transfers->core, entry->local_id);
    init_guarded_write(transfers, entry, &write);
    write.cancels_copy = true;
    if (rr_core_add_cancelled_job_record(transfers->core, entry->local_id, &write.transaction)) {
        rr_transfers_plan_add_write(plan, &write);
    } else {
        rr_transfer_write_clear(&write);
    }
}

rr_transfer_message rr_incoming_complete_write(rr_transfers *transfers,
                                               const rr_transfer_write *write, bool committed) {
    rr_incoming *entry = g_hash_table_lookup(transfers->incoming, write->id);
    if (!entry || write->cancels_copy) {
        return no_message;
    }
    bool accepts_offer = entry->guest.pending_record.state == RR_GUEST_HELD;
    rr_guest_complete_write(&entry->guest, committed);
    if (!committed) {
        entry->loaded_token = 0;
        if (entry->version == 0) {
            /* The acceptance was not written, so that there is no record. */
            remove_entry(transfers, write->id);
        }
        return no_message;
    }
    transfers->stats.accepted += accepts_offer;
    if (entry->guest.record.state == RR_GUEST_NONE) {
        remove_entry(transfers, write->id);
    }
    return no_message;
}
