/* Entries of this cell's jobs at others, their records in the key-value store, and writes. */
#include "cells/outgoing.h"
#include "core/extensions.h"
#include "core/leadership.h"

#include <string.h>

static const rr_transfer_message no_message = {.kind = RR_TRANSFER_NOTHING};

rr_outgoing *rr_outgoing_get(rr_transfers *transfers, const char *job_id) {
    rr_outgoing *entry = g_hash_table_lookup(transfers->outgoing, job_id);
    if (!entry) {
        entry = g_new0(rr_outgoing, 1);
        g_strlcpy(entry->job_id, job_id, sizeof entry->job_id);
        entry->neighbour = RR_CELLS_NO_NEIGHBOUR;
        g_hash_table_insert(transfers->outgoing, entry->job_id, entry);
    }
    return entry;
}

void rr_outgoing_forget(rr_transfers *transfers, const char *job_id) {
    rr_core_unhold_job(transfers->core, job_id);
    g_hash_table_remove(transfers->outgoing, job_id);
}

/* ---- records ---- */

/* Keeps the job from being placed here, as its record says. */
static void hold_by_record(rr_transfers *transfers, const rr_outgoing *entry) {
    bool offered = entry->record.state == RR_HOME_OFFERED;
    rr_core_hold_job(transfers->core, entry->job_id,
                     offered ? RR_HOLD_TRANSFERRED : RR_HOLD_RETURNED);
}

/* Whether the record differs from what the state machine knows: another controller has written it,
 * such as one that takes a user's cancellation. */
static bool written_by_another(const rr_outgoing *entry) {
    return !entry->home.writes && (entry->home.record.state != entry->record.state ||
                                   entry->home.record.claim != entry->record.claim);
}

void rr_outgoing_put(rr_transfers *transfers, const char *job_id, const msgpack_object *value,
                     uint64_t version) {
    rr_out_record record;
    rr_outgoing *entry = g_hash_table_lookup(transfers->outgoing, job_id);
    if (entry && version < entry->version) {
        return;
    }
    if (!value) {
        if (entry && !entry->home.writes) {
            rr_outgoing_forget(transfers, job_id);
        }
        return;
    }
    if (!rr_job_id_valid(job_id) || rr_cells_out_decode(value, &record) != 0) {
        transfers->stats.records_unread++;
        return;
    }
    entry = rr_outgoing_get(transfers, job_id);
    entry->record = record;
    entry->version = version;
    entry->neighbour = rr_cells_neighbour(transfers->settings, record.guest);
    hold_by_record(transfers, entry);
    if (written_by_another(entry)) {
        entry->token = 0;
    }
}

/* ---- loading ---- */

static rr_home_record home_record(const rr_outgoing *entry) {
    bool known = entry->neighbour != RR_CELLS_NO_NEIGHBOUR;
    return (rr_home_record){.state = entry->record.state,
                            .claim = entry->record.claim,
                            .guest = known ? (uint32_t)entry->neighbour : UINT32_MAX,
                            .answer = RR_ANSWER_NONE};
}

bool rr_outgoing_load(rr_transfers *transfers, rr_outgoing *entry, double now) {
    uint64_t token = rr_core_fencing_token(transfers->core);
    if (entry->token == token) {
        return true;
    }
    if (entry->home.writes) {
        return false;
    }
    rr_core_job job;
    bool running = rr_core_find_job(transfers->core, entry->job_id, &job) && job.placed > 0;
    rr_home_record record = home_record(entry);
    rr_home_load(&entry->home, &record, running, now, &transfers->settings->times);
    entry->token = token;
    entry->last_message_at = now;
    entry->taken = true; /* unknown; taken jobs get more time */
    return true;
}

/* ---- writes ---- */

static rr_out_record next_record(const rr_transfers *transfers, const rr_outgoing *entry,
                                 double wall) {
    const rr_home_record *next = &entry->home.writing;
    if (next->state == RR_HOME_LOCAL) {
        return rr_cells_out_withdrawn(&entry->record, wall);
    }
    rr_out_record record = entry->record;
    record.state = next->state;
    record.claim = next->claim;
    record.withdrawn_at = 0;
    g_strlcpy(record.guest, transfers->settings->neighbours[next->guest].name, sizeof record.guest);
    return record;
}

/* The transfer's end: its record goes, and the job's final record comes with it. */
static bool add_end(rr_transfers *transfers, const rr_outgoing *entry,
                    rr_transaction *transaction) {
    bool done = entry->home.writing.answer == RR_ANSWER_DONE;
    bool possible = !done || rr_core_add_finished_job_record(transfers->core, entry->job_id, false,
                                                             transaction);
    rr_cells_out_write(transaction, entry->job_id, entry->version, NULL);
    return possible;
}

/* An offer is guarded by the job's own record: its user may have cancelled it, unknown to this
 * store cache. */
static bool add_next_record(rr_transfers *transfers, const rr_outgoing *entry, double wall,
                            rr_transaction *transaction) {
    bool offers = entry->home.writing.state == RR_HOME_OFFERED;
    rr_out_record record = next_record(transfers, entry, wall);
    bool possible = !offers || rr_core_guard_open_job(transfers->core, entry->job_id, transaction);
    rr_cells_out_write(transaction, entry->job_id, entry->version, &record);
    return possible;
}

bool rr_outgoing_make_write(rr_transfers *transfers, rr_outgoing *entry, double wall,
                            rr_transfer_write *write) {
    memset(write, 0, sizeof *write);
    write->outgoing = true;
    g_strlcpy(write->id, entry->job_id, sizeof write->id);
    rr_transaction_init(&write->transaction);
    rr_core_guard_term(transfers->core, &write->transaction);
    bool ends = entry->home.writing.state == RR_HOME_FINAL;
    bool possible = ends ? add_end(transfers, entry, &write->transaction)
                         : add_next_record(transfers, entry, wall, &write->transaction);
    if (!possible) {
        rr_home_written(&entry->home, false);
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
    rr_transfers_plan_add(plan, &write);
    return true;
}

/* The record may have been changed by another: it is read again before anything else. */
static void write_failed(rr_transfers *transfers, rr_outgoing *entry) {
    entry->token = 0;
    if (entry->version == 0) {
        rr_outgoing_forget(transfers, entry->job_id); /* its first offer was not made */
    } else {
        hold_by_record(transfers, entry);
    }
}

rr_transfer_message rr_outgoing_written(rr_transfers *transfers, const rr_transfer_write *write,
                                        bool committed) {
    rr_outgoing *entry = g_hash_table_lookup(transfers->outgoing, write->id);
    if (!entry) {
        return no_message;
    }
    enum rr_home_state before = entry->home.record.state;
    rr_home_step step = rr_home_written(&entry->home, committed);
    if (!committed) {
        write_failed(transfers, entry);
        return no_message;
    }
    enum rr_home_state state = entry->home.record.state;
    bool was_offered = before == RR_HOME_OFFERED;
    transfers->stats.offered += state == RR_HOME_OFFERED;
    transfers->stats.withdrawn += was_offered && state == RR_HOME_LOCAL;
    transfers->stats.finished += was_offered && state == RR_HOME_FINAL;
    if (state == RR_HOME_FINAL) {
        rr_outgoing_forget(transfers, write->id);
    }
    return step.message;
}
