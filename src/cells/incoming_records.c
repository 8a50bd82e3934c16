/* Entries of other cells' jobs that this cell holds: their records in the key-value store, and the
 * writes that change these. */
#include "cells/incoming.h"
#include "core/extensions.h"
#include "core/leadership.h"

#include <string.h>

/* ---- entries and their records ---- */

static const rr_transfer_message no_message = {.kind = RR_TRANSFER_NOTHING};

rr_incoming *rr_incoming_get_or_create(rr_transfers *transfers, const char *local_id) {
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

/* Takes the deletion of the entry's record. While a write is pending, its completion removes the
 * entry. */
static void apply_deletion(rr_transfers *transfers, rr_incoming *entry, uint64_t version) {
    if (entry->guest.write_pending) {
        entry->deleted = true;
        entry->version = version;
    } else {
        remove_entry(transfers, entry->local_id);
    }
}

void rr_incoming_apply_record(rr_transfers *transfers, const char *local_id,
                              const msgpack_object *value, uint64_t version) {
    rr_incoming_record record;
    rr_incoming *entry = g_hash_table_lookup(transfers->incoming, local_id);
    if (entry && version < entry->version) {
        return;
    }
    if (!value) {
        if (entry) {
            apply_deletion(transfers, entry, version);
        }
        return;
    }
    if (!rr_job_id_valid(local_id) || rr_cells_incoming_decode(value, &record) != 0) {
        transfers->stats.unreadable_records++;
        return;
    }
    entry = rr_incoming_get_or_create(transfers, local_id);
    entry->record = record;
    entry->version = version;
    entry->deleted = false;
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

/* Marks the state machine to be loaded again, or removes the entry if there is no record: none was
 * written, or it was deleted. */
static void handle_failed_write(rr_transfers *transfers, rr_incoming *entry) {
    entry->loaded_token = 0;
    if (entry->version == 0 || entry->deleted) {
        remove_entry(transfers, entry->local_id);
    }
}

/* Ends the entry's pending write. */
static void finish_write(rr_transfers *transfers, rr_incoming *entry, bool committed, double now) {
    bool accepts_offer = entry->guest.pending_record.state == RR_GUEST_HELD;
    rr_guest_complete_write(&entry->guest, committed);
    if (!committed) {
        handle_failed_write(transfers, entry);
        return;
    }
    if (accepts_offer) {
        transfers->stats.accepted++;
        entry->loaded_at = now; /* the time for the first grant begins with the acceptance */
    }
    if (entry->guest.record.state == RR_GUEST_NONE) {
        remove_entry(transfers, entry->local_id);
    }
}

/* Returns whether the store cache shows the record that the pending write stores. In the term for
 * which the state machine was loaded, no other controller writes such a record. */
static bool pending_record_is_cached(const rr_incoming *entry) {
    const rr_guest_record *pending = &entry->guest.pending_record;
    if (pending->state == RR_GUEST_NONE || entry->deleted || entry->version == 0) {
        return pending->state == RR_GUEST_NONE && entry->deleted;
    }
    return entry->record.state == pending->state && entry->record.claim == pending->claim &&
           entry->record.answer == pending->answer;
}

/* Completes the write as the store cache shows it, or leaves it pending while the cache can't show
 * it yet. After a change of the term the record is loaded again. */
static void resolve_write(rr_transfers *transfers, rr_incoming *entry, double now) {
    if (rr_transfers_end_wait_if_shown(transfers, &entry->unresolved)) {
        bool same_term = entry->loaded_token == rr_core_fencing_token(transfers->core);
        finish_write(transfers, entry, same_term && pending_record_is_cached(entry), now);
    }
}

rr_transfer_message rr_incoming_complete_write(rr_transfers *transfers,
                                               const rr_transfer_write *write,
                                               const rr_write_outcome *outcome, double now) {
    rr_incoming *entry = g_hash_table_lookup(transfers->incoming, write->id);
    if (!entry || write->cancels_copy) {
        return no_message; /* the copy's own record shows whether it was cancelled */
    }
    if (outcome->status == RR_WRITE_OUTCOME_UNKNOWN) {
        rr_transfers_await_outcome(transfers, &entry->unresolved, outcome->revision,
                                   entry->loaded_token);
        resolve_write(transfers, entry, now);
    } else {
        finish_write(transfers, entry, outcome->status == RR_WRITE_COMMITTED, now);
    }
    return no_message;
}

/* resolve_write() as a callback. */
static void resolve_entry(rr_transfers *transfers, void *entry, double now) {
    resolve_write(transfers, entry, now);
}

void rr_incoming_resolve_writes(rr_transfers *transfers, double now) {
    rr_transfers_foreach_if_unresolved(transfers, transfers->incoming, resolve_entry, now);
}
