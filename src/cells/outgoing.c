/* Advances this cell's jobs at other cells: sends offers again, grants guests the right to run
 * jobs, withdraws jobs from guests that do not respond, and records how jobs ended. */
#include "cells/outgoing.h"
#include "core/extensions.h"
#include "core/leadership.h"

#include <math.h>

/* An offer that the guest has not answered within this time is withdrawn. */
#define OFFER_TIMEOUT_S 4.0
/* An accepted job is withdrawn after this many lease_s without a message from its guest. */
#define GUEST_TIMEOUT_LEASES 2

/* Returns how the job ended according to its own record, whatever the transfer's record says; NONE:
 * it is open or unknown. */
static enum rr_job_answer get_final_answer(const rr_transfers *transfers, const rr_outgoing *entry,
                                           double now) {
    rr_core_job job;
    bool open =
        rr_core_find_job(transfers->core, entry->job_id, &job) && !job.done && !job.cancelled;
    if (open || !rr_core_job_known(transfers->core, entry->job_id)) {
        return RR_ANSWER_NONE;
    }
    bool cancelled = rr_core_job_cancelled(transfers->core, entry->job_id, now);
    return cancelled ? RR_ANSWER_CANCELLED : RR_ANSWER_DONE;
}

/* Sends the offer again at intervals, until the guest has answered. */
static void resend_offer(rr_transfers *transfers, rr_outgoing *entry, size_t neighbour, double now,
                         rr_transfers_plan *plan) {
    rr_core_job job;
    rr_home_step step = rr_home_resend_offer(&entry->home);
    if (entry->guest_answered || now - entry->offered_at < RR_CELLS_RESEND_INTERVAL_S ||
        step.message.kind != RR_TRANSFER_OFFER ||
        !rr_core_find_job(transfers->core, entry->job_id, &job)) {
        return;
    }
    entry->offered_at = now;
    rr_cells_request *request =
        rr_transfers_plan_get_request(transfers, plan, neighbour, entry->record.team);
    rr_cells_add_offer(request->items, &step.message, job.submission, job.accepted_at);
}

/* Returns whether the guest has not responded for too long, or is no longer in the settings. */
static bool guest_has_timed_out(const rr_transfers *transfers, const rr_outgoing *entry,
                                double now) {
    double timeout_s = entry->guest_answered ? GUEST_TIMEOUT_LEASES * transfers->settings->lease_s
                                             : OFFER_TIMEOUT_S;
    return entry->neighbour == RR_CELLS_NO_NEIGHBOUR || now - entry->last_received_at > timeout_s;
}

/* Takes the next step that is due for one offered job, if this controller owns it and no write is
 * pending. */
static void advance_entry(rr_transfers *transfers, rr_outgoing *entry, size_t neighbour, double now,
                          double wall, rr_transfers_plan *plan) {
    if (!rr_transfers_owns_team(transfers, entry->record.team, now) ||
        !rr_outgoing_load(transfers, entry, now) || entry->home.write_pending) {
        return;
    }
    rr_home_step step = {.action = RR_HOME_NOTHING};
    if (get_final_answer(transfers, entry, now) != RR_ANSWER_NONE) {
        /* The job's own record is final already, so that only the transfer's has to be deleted.
         * With the answer DONE the write would finish the job as well. */
        step = rr_home_end(&entry->home, RR_ANSWER_CANCELLED);
    } else if (entry->home.record.state == RR_HOME_OFFERED &&
               guest_has_timed_out(transfers, entry, now)) {
        step = rr_home_withdraw(&entry->home);
    } else if (rr_home_may_run(&entry->home, now)) {
        rr_core_release_job(transfers->core, entry->job_id, INFINITY);
    } else {
        resend_offer(transfers, entry, neighbour, now, plan);
    }
    if (step.action == RR_HOME_WRITE) {
        rr_outgoing_plan_write(transfers, entry, wall, plan);
    }
}

void rr_outgoing_advance(rr_transfers *transfers, size_t neighbour, double now, double wall,
                         rr_transfers_plan *plan) {
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, transfers->outgoing);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        rr_outgoing *entry = value;
        if (rr_transfers_entry_advances_with(entry->neighbour, neighbour)) {
            advance_entry(transfers, entry, neighbour, now, wall, plan);
        }
    }
}

/* ---- messages from guests ---- */

static rr_transfer_message make_void_reply(const rr_cells_item *item) {
    return (rr_transfer_message){.kind = RR_TRANSFER_VOID, .claim = item->message.claim};
}

/* Returns the reply to a message about a claim without a record here: the claim has ended. A
 * guest's report that the job is done is acknowledged if the job's own record says so, too. */
static rr_transfer_message make_reply_without_record(const rr_transfers *transfers,
                                                     const rr_cells_item *item, double now) {
    rr_transfer_message reply = make_void_reply(item);
    if (item->message.kind == RR_TRANSFER_ENDED && item->message.answer == RR_ANSWER_DONE &&
        rr_core_job_known(transfers->core, item->job_id) &&
        !rr_core_job_cancelled(transfers->core, item->job_id, now)) {
        reply.kind = RR_TRANSFER_ACK;
    }
    return reply;
}

/* Returns whether the neighbour holds the job under this claim. */
static bool is_current_claim(const rr_outgoing *entry, size_t neighbour, uint32_t claim) {
    const rr_home_record *record = &entry->home.record;
    return record->state == RR_HOME_OFFERED && record->guest == neighbour && record->claim == claim;
}

bool rr_outgoing_receive_message(rr_transfers *transfers, size_t neighbour,
                                 const rr_cells_item *item, double now, double wall,
                                 rr_transfer_message *reply, rr_transfer_write *write) {
    rr_outgoing *entry = g_hash_table_lookup(transfers->outgoing, item->job_id);
    if (!entry) {
        *reply = make_reply_without_record(transfers, item, now);
        return false;
    }
    if (!rr_outgoing_load(transfers, entry, now)) {
        return false;
    }
    bool is_renewal = item->message.kind == RR_TRANSFER_RENEW;
    if (is_renewal && rr_core_job_cancelled(transfers->core, item->job_id, now)) {
        *reply = make_void_reply(item);
        return false;
    }
    if (is_current_claim(entry, neighbour, item->message.claim)) {
        transfers->stats.taken += is_renewal && !entry->guest_answered;
        entry->guest_answered = true;
        entry->last_received_at = now;
    }
    rr_home_step step = rr_home_receive(&entry->home, (uint32_t)neighbour, &item->message, now,
                                        &transfers->settings->times);
    transfers->stats.granted += step.message.kind == RR_TRANSFER_GRANT;
    *reply = step.message;
    return step.action == RR_HOME_WRITE && rr_outgoing_make_write(transfers, entry, wall, write);
}

bool rr_outgoing_receive_refusal(rr_transfers *transfers, size_t neighbour, const char *job_id,
                                 const rr_transfer_message *message, double now, double wall,
                                 rr_transfer_write *write) {
    rr_outgoing *entry = g_hash_table_lookup(transfers->outgoing, job_id);
    if (!entry || entry->loaded_token != rr_core_fencing_token(transfers->core)) {
        return false;
    }
    transfers->stats.refused++;
    rr_home_step step = rr_home_receive(&entry->home, (uint32_t)neighbour, message, now,
                                        &transfers->settings->times);
    return step.action == RR_HOME_WRITE && rr_outgoing_make_write(transfers, entry, wall, write);
}
