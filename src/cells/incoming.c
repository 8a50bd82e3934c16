/* Advances other cells' jobs that are held here: asks their homes for grants, reports how the
 * jobs ended, and gives jobs back when a grant lapses or they can't start. */
#include "cells/incoming.h"
#include "core/extensions.h"
#include "core/leadership.h"

#include <math.h>

#define RENEWALS_PER_LEASE 4.0 /* requests for the next grant, per lease_s */

/* Loads the entry's state machine for the present term unless it is loaded already. Returns false
 * if it can't be loaded because a write of an earlier term is pending. */
static bool load_entry(rr_transfers *transfers, rr_incoming *entry, bool running, double now) {
    uint64_t token = rr_core_fencing_token(transfers->core);
    if (entry->loaded_token != token && !entry->guest.write_pending) {
        rr_guest_record record = {entry->record.state, entry->record.claim, entry->record.answer};
        rr_guest_load(&entry->guest, &record, running, transfers->process);
        entry->loaded_token = token;
        entry->loaded_at = now;
        entry->last_sent_at = 0;
        entry->started = entry->started || running;
    }
    return entry->loaded_token == token;
}

/* Returns whether the last grant has run out. A controller that has just loaded the entry knows of
 * no grant, and waits for as long as a grant would last. */
static bool grant_has_lapsed(const rr_transfers *transfers, const rr_incoming *entry, double now) {
    double first_grant_until = entry->loaded_at + transfers->settings->lease_s;
    return now >= fmax(entry->guest.granted_until, first_grant_until);
}

/* Returns whether no task of the job has started within give_back_s. */
static bool start_has_timed_out(const rr_transfers *transfers, const rr_incoming *entry,
                                double now) {
    return !entry->started && now - entry->loaded_at > transfers->settings->give_back_s;
}

/* Adds the message to the plan's request to the home, unless there is no message or the home is no
 * longer in the settings. */
static void plan_message(rr_transfers *transfers, rr_incoming *entry,
                         const rr_transfer_message *message, double now, rr_transfers_plan *plan) {
    if (entry->neighbour == RR_CELLS_NO_NEIGHBOUR || message->kind == RR_TRANSFER_NOTHING) {
        return;
    }
    rr_cells_request *request = rr_transfers_plan_get_request(
        transfers, plan, (size_t)entry->neighbour, entry->record.team);
    rr_cells_add_item(request->items, entry->record.job_id, message);
    entry->last_sent_at = now;
}

/* Adds the write to the plan if the step asks for one. */
static void plan_step(rr_transfers *transfers, const rr_incoming *entry, rr_guest_step step,
                      rr_transfers_plan *plan) {
    if (step.action == RR_GUEST_WRITE) {
        rr_incoming_plan_write(transfers, entry, plan);
    }
}

/* Ends a claim that the home has ended, or gives the job back: cancels its copy here, waits
 * until its tasks have stopped, tells the home, and deletes the record once the home knows.
 * copy_open: the copy is not cancelled or done yet. */
static void end_claim(rr_transfers *transfers, rr_incoming *entry, bool copy_open, double now,
                      rr_transfers_plan *plan) {
    if (copy_open) {
        rr_incoming_plan_copy_cancellation(transfers, entry, plan);
        return;
    }
    if (entry->guest.running) {
        return;
    }
    if (entry->neighbour == RR_CELLS_NO_NEIGHBOUR) {
        entry->guest.claim_ended = true; /* the home is no longer in the settings */
    }
    if (entry->guest.claim_ended) {
        plan_step(transfers, entry, rr_guest_next_step(&entry->guest, now), plan);
    } else if (now - entry->last_sent_at >= RR_CELLS_RESEND_INTERVAL_S) {
        rr_transfer_message refuse = {.kind = RR_TRANSFER_REFUSE,
                                      .claim = entry->guest.record.claim};
        plan_message(transfers, entry, &refuse, now, plan);
    }
}

/* Returns the seconds between two requests for a grant. A request without an answer is
 * sent again sooner. */
static double get_renewal_interval_s(const rr_transfers *transfers, const rr_incoming *entry) {
    const rr_cells_settings *settings = transfers->settings;
    double granted_s = settings->lease_s * (1 - settings->drift);
    bool answered =
        entry->guest.granted_until > entry->last_sent_at + granted_s - RR_CELLS_RESEND_INTERVAL_S;
    double interval_s = settings->lease_s / RENEWALS_PER_LEASE;
    return answered ? interval_s : fmin(interval_s, RR_CELLS_RESEND_INTERVAL_S);
}

/* Lets the core place the job's tasks while a grant lasts, and requests the next grant in time. */
static void renew_grant(rr_transfers *transfers, rr_incoming *entry, double now,
                        rr_transfers_plan *plan) {
    double interval_s = get_renewal_interval_s(transfers, entry);
    if (rr_guest_may_run(&entry->guest, now)) {
        rr_core_release_job(transfers->core, entry->local_id, entry->guest.granted_until);
    }
    if (now - entry->last_sent_at >= interval_s) {
        rr_guest_step step = rr_guest_next_step(&entry->guest, now);
        plan_message(transfers, entry, &step.message, now, plan);
    }
}

/* Reports to the home how the job ended, again and again until the home has acknowledged it. */
static void report_answer(rr_transfers *transfers, rr_incoming *entry, double now,
                          rr_transfers_plan *plan) {
    if (now - entry->last_sent_at >= RR_CELLS_RESEND_INTERVAL_S) {
        rr_guest_step step = rr_guest_next_step(&entry->guest, now);
        plan_message(transfers, entry, &step.message, now, plan);
    }
}

/* Marks a held job that is not done to be given back if this is due. The mark is final: a later
 * grant does not revoke it. */
static void mark_for_return_if_due(rr_transfers *transfers, rr_incoming *entry, bool cancelled,
                                   double now) {
    bool lapsed = grant_has_lapsed(transfers, entry, now);
    entry->returning = cancelled || lapsed || start_has_timed_out(transfers, entry, now);
    transfers->stats.lapsed += lapsed;
    transfers->stats.given_back += entry->returning;
}

/* The core's state of the copy of another cell's job in this cell. */
struct copy_state {
    bool known; /* the core has the job itself, not only its outcome */
    bool cancelled, done;
    bool open;    /* known, and neither done nor cancelled */
    bool running; /* tasks of it are placed */
    bool started; /* tasks of it are placed or done */
};

/* Returns false if the core does not know the copy yet. */
static bool get_copy_state(const rr_transfers *transfers, const rr_incoming *entry, double now,
                           struct copy_state *out) {
    rr_core_job job = {0};
    out->known = rr_core_find_job(transfers->core, entry->local_id, &job);
    out->cancelled = rr_core_job_cancelled(transfers->core, entry->local_id, now);
    out->done = !out->cancelled && (!out->known || job.done);
    out->open = out->known && !job.done && !job.cancelled;
    out->running = job.placed > 0;
    out->started = job.placed > 0 || job.done_count > 0;
    return out->known || rr_core_job_known(transfers->core, entry->local_id);
}

/* Takes the next step that is due for one held job, if this controller owns it and no write is
 * pending. */
static void advance_entry(rr_transfers *transfers, rr_incoming *entry, double now,
                          rr_transfers_plan *plan) {
    struct copy_state copy;
    if (!get_copy_state(transfers, entry, now, &copy) ||
        !rr_transfers_owns_team(transfers, entry->record.team, now) ||
        !load_entry(transfers, entry, copy.running, now) || entry->guest.write_pending) {
        return;
    }
    bool held = entry->guest.record.state == RR_GUEST_HELD;
    entry->guest.running = copy.running;
    entry->started = entry->started || copy.started;
    if (held && copy.done && !entry->guest.claim_ended) {
        plan_step(transfers, entry, rr_guest_end(&entry->guest, RR_ANSWER_DONE), plan);
        return;
    }
    if (held && !entry->returning && !copy.done) {
        mark_for_return_if_due(transfers, entry, copy.cancelled, now);
    }
    if (entry->guest.claim_ended || entry->returning || entry->neighbour == RR_CELLS_NO_NEIGHBOUR) {
        end_claim(transfers, entry, copy.open, now, plan);
    } else if (held) {
        renew_grant(transfers, entry, now, plan);
    } else {
        report_answer(transfers, entry, now, plan);
    }
}

bool rr_incoming_is_ready(rr_transfers *transfers, const rr_incoming *entry, double now) {
    return rr_transfers_owns_team(transfers, entry->record.team, now) &&
           entry->loaded_token == rr_core_fencing_token(transfers->core) &&
           !entry->guest.write_pending;
}

void rr_incoming_advance(rr_transfers *transfers, size_t neighbour, double now,
                         rr_transfers_plan *plan) {
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, transfers->incoming);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        rr_incoming *entry = value;
        if (rr_transfers_entry_advances_with(entry->neighbour, neighbour)) {
            advance_entry(transfers, entry, now, plan);
        }
    }
}

void rr_incoming_receive_reply(rr_transfers *transfers, size_t neighbour,
                               const rr_cells_item *sent_item, const rr_transfer_message *reply) {
    char local_id[RR_ID_SIZE];
    rr_cells_make_local_id(transfers->settings->neighbours[neighbour].name, sent_item->job_id,
                           sent_item->message.claim, local_id, sizeof local_id);
    rr_incoming *entry = g_hash_table_lookup(transfers->incoming, local_id);
    if (entry && entry->loaded_token == rr_core_fencing_token(transfers->core)) {
        rr_guest_receive(&entry->guest, reply, false, &transfers->settings->times);
    }
}
