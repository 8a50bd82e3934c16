/* Jobs of a neighbour that has no controllers. Those that this cell holds are granted by their
 * records in the neighbour's key-value store, and their answers are written there; open ones are
 * claimed. */
#include "cells/incoming.h"
#include "core/cache_feed.h"
#include "core/state/transaction.h"
#include "core/submissions.h"

#include <string.h>

#define CLAIMS_AT_ONCE_MAX 16u /* in one look */

struct look {
    rr_transfers *transfers;
    size_t neighbour;
    const rr_absent *absent;
    double asked; /* when the reading began, on the steady clock */
    double now, wall;
    rr_transfers_plan *here;
    GPtrArray *there; /* rr_transfer_write* */
    guint claims;     /* planned in this look */
};

/* Moves the transaction into a write there if the change is possible, and clears it otherwise.
 * Returns whether it is possible. */
static bool add_there(struct look *look, bool possible, const char *id, bool ends_claim,
                      rr_transaction *transaction) {
    if (!possible) {
        rr_transaction_clear(transaction);
        return false;
    }
    rr_transfer_write *write = g_new0(rr_transfer_write, 1);
    write->ends_claim = ends_claim;
    write->transaction = *transaction;
    g_strlcpy(write->id, id, sizeof write->id);
    g_ptr_array_add(look->there, write);
    return true;
}

/* ---- jobs that this cell holds ---- */

/* As if the home had sent the message, in reply to one from when the reading began. */
static void receive(const struct look *look, rr_incoming *entry, enum rr_transfer_kind kind) {
    rr_transfer_message message = {.kind = kind,
                                   .claim = entry->guest.record.claim,
                                   .sent_at = look->asked,
                                   .asker = look->transfers->process};
    rr_guest_receive(&entry->guest, &message, false, &look->transfers->settings->times);
}

static void write_answer(struct look *look, const rr_incoming *entry) {
    rr_transaction transaction;
    rr_transaction_init(&transaction);
    bool possible = rr_absent_finish(look->absent, entry->record.job_id, &transaction);
    add_there(look, possible, entry->local_id, true, &transaction);
}

static void give_back(struct look *look, const rr_incoming *entry) {
    rr_transaction transaction;
    rr_transaction_init(&transaction);
    bool possible =
        rr_absent_give_back(look->absent, entry->record.job_id, look->wall, &transaction);
    add_there(look, possible, entry->local_id, true, &transaction);
}

static void look_at_held(struct look *look, rr_incoming *entry) {
    if (!rr_incoming_ready(look->transfers, entry, look->now)) {
        return;
    }
    if (!rr_absent_holds(look->absent, entry->record.job_id, entry->guest.record.claim)) {
        receive(look, entry, RR_TRANSFER_VOID);
    } else if (entry->guest.record.state == RR_GUEST_ENDED) {
        write_answer(look, entry);
    } else if (entry->returning && !entry->guest.running) {
        give_back(look, entry);
    } else if (!entry->returning) {
        receive(look, entry, RR_TRANSFER_GRANT);
        entry->sent_at = look->now;
    }
}

void rr_transfers_absent_written(rr_transfers *transfers, const rr_transfer_write *write) {
    rr_incoming *entry = g_hash_table_lookup(transfers->incoming, write->id);
    if (entry && write->ends_claim) {
        entry->guest.terminated = true;
    }
    transfers->stats.claimed += !write->ends_claim;
}

/* ---- jobs that it may claim ---- */

/* The record says that the job is offered to this cell: taken as if the offer had come by a link.
 */
static void take_offered(struct look *look, const rr_submission *submission, double accepted_at,
                         const rr_absent_out *out) {
    rr_cells_request request;
    rr_transfer_message reply, offer = {.kind = RR_TRANSFER_OFFER, .claim = out->record.claim};
    rr_transfer_write write;
    rr_cells_request_init(&request, RR_CELLS_TRANSFERS);
    g_strlcpy(request.team, submission->team, sizeof request.team);
    request.lease_s = look->transfers->settings->times.lease_s;
    request.rest_s = look->transfers->settings->times.rest_s;
    rr_cells_add_offer(request.items, &offer, submission, accepted_at);
    const rr_cells_item *item = &g_array_index(request.items, rr_cells_item, 0);
    if (rr_transfers_receive(look->transfers, look->neighbour, &request, item, look->now,
                             look->wall, &reply, &write)) {
        rr_transfers_plan_add(look->here, &write);
    }
    rr_cells_request_clear(&request);
}

/* After rest_s without controllers everything that ran there has ended. */
static bool may_claim(const struct look *look, const rr_submission *submission) {
    const rr_transfers *transfers = look->transfers;
    rr_cells_room room = rr_transfers_room(look->transfers, look->now);
    const char *reason;
    return look->claims < CLAIMS_AT_ONCE_MAX &&
           rr_absent_for(look->absent, look->now) > transfers->settings->times.rest_s &&
           rr_cells_room_take(&room, submission) &&
           rr_core_check_submission(transfers->core, submission, &reason) == RR_SUBMISSION_NEW;
}

static void look_at_job(void *user, const rr_submission *submission, double accepted_at,
                        const rr_absent_out *out) {
    struct look *look = user;
    rr_transaction transaction;
    if (!rr_transfers_owns(look->transfers, submission->team, look->now)) {
        return;
    }
    if (out && rr_absent_holds(look->absent, submission->job_id, out->record.claim)) {
        take_offered(look, submission, accepted_at, out);
        return;
    }
    if (!may_claim(look, submission)) {
        return;
    }
    rr_transaction_init(&transaction);
    bool possible =
        rr_absent_claim(look->absent, submission->job_id, submission->team, &transaction);
    if (add_there(look, possible, submission->job_id, false, &transaction)) {
        rr_cells_room_take(&look->transfers->room, submission);
        look->claims++;
    }
}

void rr_transfers_advance_absent(rr_transfers *transfers, size_t neighbour, const rr_absent *absent,
                                 double asked, double now, double wall, rr_transfers_plan *here,
                                 GPtrArray *there) {
    struct look look = {.transfers = transfers,
                        .neighbour = neighbour,
                        .absent = absent,
                        .asked = asked,
                        .now = now,
                        .wall = wall,
                        .here = here,
                        .there = there};
    GHashTableIter iterator;
    gpointer value;
    g_ptr_array_set_free_func(there, rr_transfer_write_free);
    if (rr_absent_for(absent, now) <= 0 || !rr_core_cache_consistent(transfers->core)) {
        return;
    }
    g_hash_table_iter_init(&iterator, transfers->incoming);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        rr_incoming *entry = value;
        if (entry->neighbour == (int)neighbour) {
            look_at_held(&look, entry);
        }
    }
    rr_absent_each_open(absent, look_at_job, &look);
}
