/* Handles the jobs of a neighbour that has no controllers. For jobs that this cell holds, the
 * records in the neighbour's key-value store serve as grants, and the jobs' outcomes are written
 * there. Jobs that are open there are claimed. */
#include "cells/incoming.h"
#include "core/cache_feed.h"
#include "core/state/transaction.h"
#include "core/submissions.h"

#include <string.h>

#define CLAIMS_PER_PASS_MAX 16u

/* One pass over the jobs of an absent neighbour. */
struct absent_pass {
    rr_transfers *transfers;
    size_t neighbour; /* index into settings->neighbours */
    const rr_absent_cell *absent;
    double read_started_at;        /* steady clock, seconds */
    double now, wall;              /* steady clock and time of day, seconds */
    rr_transfers_plan *local_plan; /* writes to this cell's store */
    GPtrArray *neighbour_writes;   /* rr_transfer_write *: writes to the neighbour's store */
    guint claims;                  /* claims added to neighbour_writes in this pass */
};

/* Moves the transaction into a write to the neighbour's store if the change is possible, and clears
 * it otherwise. id: the job's id in this cell. Returns `possible`. */
static bool add_neighbour_write(struct absent_pass *pass, bool possible, const char *id,
                                bool ends_claim, rr_transaction *transaction) {
    if (!possible) {
        rr_transaction_clear(transaction);
        return false;
    }
    rr_transfer_write *write = g_new0(rr_transfer_write, 1);
    write->ends_claim = ends_claim;
    write->transaction = *transaction;
    g_strlcpy(write->id, id, sizeof write->id);
    g_ptr_array_add(pass->neighbour_writes, write);
    return true;
}

/* ---- jobs held by this cell ---- */

/* Updates the guest's state machine as if the home had sent this message in reply to a request
 * that the guest sent when the read of the neighbour's store started. */
static void apply_home_message(const struct absent_pass *pass, rr_incoming *entry,
                               enum rr_transfer_kind kind) {
    rr_transfer_message message = {.kind = kind,
                                   .claim = entry->guest.record.claim,
                                   .sent_at = pass->read_started_at,
                                   .guest_process = pass->transfers->process};
    rr_guest_receive(&entry->guest, &message, false, &pass->transfers->settings->times);
}

/* Adds a write that records the job as done in the neighbour's store. */
static void add_job_answer_write(struct absent_pass *pass, const rr_incoming *entry) {
    rr_transaction transaction;
    rr_transaction_init(&transaction);
    bool possible = rr_absent_finish_job(pass->absent, entry->record.job_id, &transaction);
    add_neighbour_write(pass, possible, entry->local_id, true, &transaction);
}

/* Adds a write that withdraws the job from this cell in the neighbour's store. */
static void add_give_back_write(struct absent_pass *pass, const rr_incoming *entry) {
    rr_transaction transaction;
    rr_transaction_init(&transaction);
    bool possible =
        rr_absent_give_back_job(pass->absent, entry->record.job_id, pass->wall, &transaction);
    add_neighbour_write(pass, possible, entry->local_id, true, &transaction);
}

/* Renews or ends a held job's claim, as the job's record in the neighbour's store says. */
static void process_held_job(struct absent_pass *pass, rr_incoming *entry) {
    if (!rr_incoming_is_ready(pass->transfers, entry, pass->now)) {
        return;
    }
    if (!rr_absent_has_claim(pass->absent, entry->record.job_id, entry->guest.record.claim)) {
        apply_home_message(pass, entry, RR_TRANSFER_VOID);
    } else if (entry->guest.record.state == RR_GUEST_ENDED) {
        add_job_answer_write(pass, entry);
    } else if (entry->returning && !entry->guest.running) {
        add_give_back_write(pass, entry);
    } else if (!entry->returning) {
        apply_home_message(pass, entry, RR_TRANSFER_GRANT);
        entry->last_sent_at = pass->now;
    }
}

void rr_transfers_complete_absent_write(rr_transfers *transfers, const rr_transfer_write *write) {
    rr_incoming *entry = g_hash_table_lookup(transfers->incoming, write->id);
    if (entry && write->ends_claim) {
        entry->guest.claim_ended = true;
    }
    transfers->stats.claimed += !write->ends_claim;
}

/* ---- open jobs of the neighbour ---- */

/* Accepts a job whose record says that it is offered to this cell, as if the offer had been
 * received over a connection. */
static void accept_offer(struct absent_pass *pass, const rr_submission *submission,
                         double accepted_at, const rr_absent_transfer *transfer) {
    rr_cells_request request;
    rr_transfer_message reply, offer = {.kind = RR_TRANSFER_OFFER, .claim = transfer->record.claim};
    rr_transfer_write write;
    rr_cells_request_init(&request, RR_CELLS_TRANSFERS);
    g_strlcpy(request.team, submission->team, sizeof request.team);
    request.lease_s = pass->transfers->settings->times.lease_s;
    request.teardown_s = pass->transfers->settings->times.teardown_s;
    rr_cells_add_offer(request.items, &offer, submission, accepted_at);
    const rr_cells_item *item = &g_array_index(request.items, rr_cells_item, 0);
    if (rr_transfers_receive_message(pass->transfers, pass->neighbour, &request, item, pass->now,
                                     pass->wall, &reply, &write)) {
        rr_transfers_plan_add_write(pass->local_plan, &write);
    }
    rr_cells_request_clear(&request);
}

/* Returns whether the job may be claimed: the neighbour has had no controllers for teardown_s,
 * after which everything that ran there has ended, and this cell has capacity for the job. */
static bool may_claim(const struct absent_pass *pass, const rr_submission *submission) {
    const rr_transfers *transfers = pass->transfers;
    rr_cells_room room = rr_transfers_get_free_room(pass->transfers, pass->now);
    const char *reason;
    return pass->claims < CLAIMS_PER_PASS_MAX &&
           rr_absent_duration_s(pass->absent, pass->now) > transfers->settings->times.teardown_s &&
           rr_cells_room_reserve(&room, submission) &&
           rr_core_check_submission(transfers->core, submission, &reason) == RR_SUBMISSION_NEW;
}

/* Accepts the job if it is offered to this cell, or claims it. */
static void process_open_job(void *user, const rr_submission *submission, double accepted_at,
                             const rr_absent_transfer *transfer) {
    struct absent_pass *pass = user;
    rr_transaction transaction;
    if (!rr_transfers_owns_team(pass->transfers, submission->team, pass->now)) {
        return;
    }
    if (transfer && rr_absent_has_claim(pass->absent, submission->job_id, transfer->record.claim)) {
        accept_offer(pass, submission, accepted_at, transfer);
        return;
    }
    if (!may_claim(pass, submission)) {
        return;
    }
    rr_transaction_init(&transaction);
    bool possible =
        rr_absent_claim_job(pass->absent, submission->job_id, submission->team, &transaction);
    if (add_neighbour_write(pass, possible, submission->job_id, false, &transaction)) {
        rr_cells_room_reserve(&pass->transfers->room, submission);
        pass->claims++;
    }
}

void rr_transfers_advance_absent(rr_transfers *transfers, size_t neighbour,
                                 const rr_absent_cell *absent, double read_started_at, double now,
                                 double wall, rr_transfers_plan *local_plan,
                                 GPtrArray *neighbour_writes) {
    struct absent_pass pass = {.transfers = transfers,
                               .neighbour = neighbour,
                               .absent = absent,
                               .read_started_at = read_started_at,
                               .now = now,
                               .wall = wall,
                               .local_plan = local_plan,
                               .neighbour_writes = neighbour_writes};
    GHashTableIter iterator;
    gpointer value;
    g_ptr_array_set_free_func(neighbour_writes, rr_transfer_write_free);
    if (rr_absent_duration_s(absent, now) <= 0 || !rr_core_cache_consistent(transfers->core)) {
        return;
    }
    g_hash_table_iter_init(&iterator, transfers->incoming);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        rr_incoming *entry = value;
        if (entry->neighbour == (int)neighbour) {
            process_held_job(&pass, entry);
        }
    }
    rr_absent_each_open_job(absent, process_open_job, &pass);
}
