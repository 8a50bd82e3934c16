/* The entries for jobs that this cell has offered to other cells: their records in the key-value
 * store, and the writes that change the records. */
#include "cells/outgoing.h"
#include "core/extensions.h"
#include "core/leadership.h"

#include <string.h>

/* ---- entries ---- */

static const rr_transfer_message no_message = {.kind = RR_TRANSFER_NOTHING};

rr_outgoing *rr_outgoing_get_or_create(rr_transfers *transfers, const char *job_id) {
    rr_outgoing *entry = g_hash_table_lookup(transfers->outgoing, job_id);
    if (!entry) {
        entry = g_new0(rr_outgoing, 1);
        g_strlcpy(entry->job_id, job_id, sizeof entry->job_id);
        entry->neighbour = RR_CELLS_NO_NEIGHBOUR;
        g_hash_table_insert(transfers->outgoing, entry->job_id, entry);
    }
    return entry;
}

void rr_outgoing_remove(rr_transfers *transfers, const char *job_id) {
    rr_core_unhold_job(transfers->core, job_id);
    g_hash_table_remove(transfers->outgoing, job_id);
}

/* ---- reading records ---- */

/* Holds the job, so that none of its tasks is placed here; its record decides which kind of hold
 * applies. */
static void set_hold_from_record(rr_transfers *transfers, const rr_outgoing *entry) {
    bool offered = entry->record.state == RR_HOME_OFFERED;
    rr_core_hold_job(transfers->core, entry->job_id,
                     offered ? RR_HOLD_TRANSFERRED : RR_HOLD_RETURNED);
}

/* Returns whether the record differs from the state machine's: another controller has written it,
 * such as one that has received a user's cancellation. */
static bool record_differs_from_state_machine(const rr_outgoing *entry) {
    return !entry->home.write_pending && (entry->home.record.state != entry->record.state ||
                                          entry->home.record.claim != entry->record.claim);
}

/* Takes the deletion of the entry's record. While a write is pending, its completion removes the
 * entry. */
static void apply_deletion(rr_transfers *transfers, rr_outgoing *entry, uint64_t version) {
    if (entry->home.write_pending) {
        entry->deleted = true;
        entry->version = version;
    } else {
        rr_outgoing_remove(transfers, entry->job_id);
    }
}

void rr_outgoing_apply_record(rr_transfers *transfers, const char *job_id,
                              const msgpack_object *value, uint64_t version) {
    rr_outgoing_record record;
    rr_outgoing *entry = g_hash_table_lookup(transfers->outgoing, job_id);
    if (entry && version < entry->version) {
        return;
    }
    if (!value) {
        if (entry) {
            apply_deletion(transfers, entry, version);
        }
        return;
    }
    if (!rr_job_id_valid(job_id) || rr_cells_outgoing_decode(value, &record) != 0) {
        transfers->stats.unreadable_records++;
        return;
    }
    entry = rr_outgoing_get_or_create(transfers, job_id);
    entry->record = record;
    entry->version = version;
    entry->deleted = false;
    entry->neighbour = rr_cells_find_neighbour(transfers->settings, record.guest);
    set_hold_from_record(transfers, entry);
    if (record_differs_from_state_machine(entry)) {
        entry->loaded_token = 0;
    }
}

/* ---- loading the state machine ---- */

/* Returns the state machine's form of the entry's record. guest UINT32_MAX: no known neighbour. */
static rr_home_record make_home_record(const rr_outgoing *entry) {
    bool known = entry->neighbour != RR_CELLS_NO_NEIGHBOUR;
    return (rr_home_record){.state = entry->record.state,
                            .claim = entry->record.claim,
                            .guest = known ? (uint32_t)entry->neighbour : UINT32_MAX,
                            .answer = RR_ANSWER_NONE};
}

bool rr_outgoing_load(rr_transfers *transfers, rr_outgoing *entry, double now) {
    uint64_t token = rr_core_fencing_token(transfers->core);
    if (entry->loaded_token == token) {
        return true;
    }
    if (entry->home.write_pending) {
        return false;
    }
    rr_core_job job;
    bool running = rr_core_find_job(transfers->core, entry->job_id, &job) && job.placed > 0;
    rr_home_record record = make_home_record(entry);
    rr_home_load(&entry->home, &record, running, now, &transfers->settings->times);
    entry->loaded_token = token;
    entry->last_received_at = now;
    entry->guest_answered = true; /* unknown; true gives the guest the longer timeout */
    return true;
}

/* ---- writes ---- */

/* Returns the record for the write that the state machine has requested. */
static rr_outgoing_record make_next_record(const rr_transfers *transfers, const rr_outgoing *entry,
                                           double wall) {
    const rr_home_record *next = &entry->home.pending_record;
    if (next->state == RR_HOME_LOCAL) {
        return rr_cells_outgoing_withdraw(&entry->record, wall);
    }
    rr_outgoing_record record = entry->record;
    record.state = next->state;
    record.claim = next->claim;
    record.withdrawn_at = 0;
    g_strlcpy(record.guest, transfers->settings->neighbours[next->guest].name, sizeof record.guest);
    return record;
}

/* Ends the transfer: deletes its record and, if the guest has finished the job, adds the job's
 * final record. False: the job is not open, or tasks of it are placed here. */
static bool add_transfer_end_changes(rr_transfers *transfers, const rr_outgoing *entry,
                                     rr_transaction *transaction) {
    bool done = entry->home.pending_record.answer == RR_ANSWER_DONE;
    bool possible = !done || rr_core_add_finished_job_record(transfers->core, entry->job_id, false,
                                                             transaction);
    rr_cells_outgoing_add_write(transaction, entry->job_id, entry->version, NULL);
    return possible;
}

/* Adds a write of the transfer's next record. An offer is also guarded by the job's own record, as
 * the job's user may have cancelled it without this store cache showing it yet. False: the job is
 * not open. */
static bool add_record_change(rr_transfers *transfers, const rr_outgoing *entry, double wall,
                              rr_transaction *transaction) {
    bool offers = entry->home.pending_record.state == RR_HOME_OFFERED;
    rr_outgoing_record record = make_next_record(transfers, entry, wall);
    bool possible = !offers || rr_core_guard_open_job(transfers->core, entry->job_id, transaction);
    rr_cells_outgoing_add_write(transaction, entry->job_id, entry->version, &record);
    return possible;
}

bool rr_outgoing_make_write(rr_transfers *transfers, rr_outgoing *entry, double wall,
                            rr_transfer_write *write) {
    memset(write, 0, sizeof *write);
    write->outgoing = true;
    g_strlcpy(write->id, entry->job_id, sizeof write->id);
    rr_transaction_init(&write->transaction);
    rr_core_guard_term(transfers->core, &write->transaction);
    bool ends = entry->home.pending_record.state == RR_HOME_FINAL;
    bool possible = ends ? add_transfer_end_changes(transfers, entry, &write->transaction)
                         : add_record_change(transfers, entry, wall, &write->transaction);
    if (!possible) {
        rr_home_complete_write(&entry->home, false);
        rr_transfer_write_clear(write);
    }
    return possible;
}

bool rr_outgoing_plan_write(rr_transfers *transfers, rr_outgoing *entry, double wall,
                            rr_transfers_plan *plan) {
    rr_transfer_write write;
    if (!rr_outgoing_make_write(transfers, entry, wall, &write)) {
        return false;
    }
    rr_transfers_plan_add_write(plan, &write);
    return true;
}

/* Marks the state machine to be loaded again before its next step, as another controller may have
 * changed the record. */
static void handle_failed_write(rr_transfers *transfers, rr_outgoing *entry) {
    entry->loaded_token = 0;
    if (entry->version == 0 || entry->deleted) {
        /* There is no record: none was written, or another controller has ended the transfer. */
        rr_outgoing_remove(transfers, entry->job_id);
    } else {
        set_hold_from_record(transfers, entry);
    }
}

static void count_committed_write(rr_transfers_stats *stats, enum rr_home_state before,
                                  enum rr_home_state after) {
    bool was_offered = before == RR_HOME_OFFERED;
    stats->offered += after == RR_HOME_OFFERED;
    stats->withdrawn += was_offered && after == RR_HOME_LOCAL;
    stats->finished += was_offered && after == RR_HOME_FINAL;
}

/* Ends the entry's pending write. Returns the message that follows. */
static rr_transfer_message finish_write(rr_transfers *transfers, rr_outgoing *entry, bool committed,
                                        double now) {
    enum rr_home_state before = entry->home.record.state;
    rr_home_step step = rr_home_complete_write(&entry->home, committed);
    if (!committed) {
        handle_failed_write(transfers, entry);
        return no_message;
    }
    enum rr_home_state after = entry->home.record.state;
    count_committed_write(&transfers->stats, before, after);
    if (after == RR_HOME_OFFERED) {
        entry->last_received_at = now; /* the guest's time to answer begins with the offer */
    }
    if (after == RR_HOME_FINAL) {
        rr_outgoing_remove(transfers, entry->job_id);
    }
    return step.message;
}

/* Returns whether the store cache shows the record that the pending write stores. In the term for
 * which the state machine was loaded, no other controller writes such a record. */
static bool pending_record_is_cached(const rr_outgoing *entry) {
    const rr_home_record *pending = &entry->home.pending_record;
    if (pending->state == RR_HOME_FINAL || entry->deleted || entry->version == 0) {
        return pending->state == RR_HOME_FINAL && entry->deleted;
    }
    rr_home_record cached = make_home_record(entry);
    return cached.state == pending->state && cached.claim == pending->claim &&
           cached.guest == pending->guest;
}

/* Completes the write as the store cache shows it, or leaves it pending while the cache can't show
 * it yet. After a change of the term the record is loaded again. */
static rr_transfer_message resolve_write(rr_transfers *transfers, rr_outgoing *entry, double now) {
    if (!rr_transfers_end_wait_if_shown(transfers, &entry->unresolved)) {
        return no_message;
    }
    bool same_term = entry->loaded_token == rr_core_fencing_token(transfers->core);
    return finish_write(transfers, entry, same_term && pending_record_is_cached(entry), now);
}

rr_transfer_message rr_outgoing_complete_write(rr_transfers *transfers,
                                               const rr_transfer_write *write,
                                               const rr_write_outcome *outcome, double now) {
    rr_outgoing *entry = g_hash_table_lookup(transfers->outgoing, write->id);
    if (!entry) {
        return no_message;
    }
    if (outcome->status != RR_WRITE_OUTCOME_UNKNOWN) {
        return finish_write(transfers, entry, outcome->status == RR_WRITE_COMMITTED, now);
    }
    rr_transfers_await_outcome(transfers, &entry->unresolved, outcome->revision,
                               entry->loaded_token);
    return resolve_write(transfers, entry, now);
}

/* resolve_write() as a callback; the message that follows is sent by the next pass. */
static void resolve_entry(rr_transfers *transfers, void *entry, double now) {
    resolve_write(transfers, entry, now);
}

void rr_outgoing_resolve_writes(rr_transfers *transfers, double now) {
    rr_transfers_foreach_if_unresolved(transfers, transfers->outgoing, resolve_entry, now);
}
