/* Drives other cells' jobs here: asks their homes for grants, reports what they came to, and gives
 * them back when a grant lapses or they can't start. */
#include "cells/incoming.h"
#include "core/extensions.h"
#include "core/leadership.h"

#include <math.h>

#define RENEWALS_PER_LEASE 4.0

/* Makes sure that the state machine is loaded for the present term. False: a write of an earlier
 * one is under way. */
static bool load(rr_transfers *transfers, rr_incoming *entry, bool running, double now) {
    uint64_t token = rr_core_fencing_token(transfers->core);
    if (entry->token != token && !entry->guest.writes) {
        rr_guest_record record = {entry->record.state, entry->record.claim, entry->record.answer};
        rr_guest_load(&entry->guest, &record, running, transfers->process);
        entry->token = token;
        entry->loaded_at = now;
        entry->sent_at = 0;
        entry->started = entry->started || running;
    }
    return entry->token == token;
}

/* Whether the grant ran out. A new owner, which knows of none, waits as long as one would last. */
static bool has_lapsed(const rr_transfers *transfers, const rr_incoming *entry, double now) {
    double first_grant_until = entry->loaded_at + transfers->settings->lease_s;
    return now >= fmax(entry->guest.granted_until, first_grant_until);
}

static bool cannot_start(const rr_transfers *transfers, const rr_incoming *entry, double now) {
    return !entry->started && now - entry->loaded_at > transfers->settings->give_back_s;
}

/* Adds the message to a request to the home, unless it is empty or the home is unknown. */
static void send_message(rr_transfers *transfers, rr_incoming *entry,
                         const rr_transfer_message *message, double now, rr_transfers_plan *plan) {
    if (entry->neighbour == RR_CELLS_NO_NEIGHBOUR || message->kind == RR_TRANSFER_NOTHING) {
        return;
    }
    rr_cells_request *request =
        rr_transfers_plan_request(transfers, plan, (size_t)entry->neighbour, entry->record.team);
    rr_cells_add_item(request->items, entry->record.job_id, message);
    entry->sent_at = now;
}

static void plan_step(rr_transfers *transfers, const rr_incoming *entry, rr_guest_step step,
                      rr_transfers_plan *plan) {
    if (step.action == RR_GUEST_WRITE) {
        rr_incoming_plan_write(transfers, entry, plan);
    }
}

/* The claim has ended or is given back. The copy ends first, then its tasks; then the record goes,
 * as soon as the home knows. */
static void drive_end(rr_transfers *transfers, rr_incoming *entry, bool copy_open, double now,
                      rr_transfers_plan *plan) {
    if (copy_open) {
        rr_incoming_plan_end_of_copy(transfers, entry, plan);
        return;
    }
    if (entry->guest.running) {
        return;
    }
    if (entry->neighbour == RR_CELLS_NO_NEIGHBOUR) {
        entry->guest.terminated = true; /* there is no home to notify */
    }
    if (entry->guest.terminated) {
        plan_step(transfers, entry, rr_guest_repeat(&entry->guest, now), plan);
    } else if (now - entry->sent_at >= RR_CELLS_REPEAT_S) {
        rr_transfer_message refuse = {.kind = RR_TRANSFER_REFUSE,
                                      .claim = entry->guest.record.claim};
        send_message(transfers, entry, &refuse, now, plan);
    }
}

/* Seconds between two requests for a grant; an unanswered one is repeated sooner. */
static double renewal_pause_s(const rr_transfers *transfers, const rr_incoming *entry) {
    const rr_cells_settings *settings = transfers->settings;
    double granted_s = settings->lease_s * (1 - settings->drift);
    bool answered = entry->guest.granted_until > entry->sent_at + granted_s - RR_CELLS_REPEAT_S;
    double pause_s = settings->lease_s / RENEWALS_PER_LEASE;
    return answered ? pause_s : fmin(pause_s, RR_CELLS_REPEAT_S);
}

static void drive_held(rr_transfers *transfers, rr_incoming *entry, double now,
                       rr_transfers_plan *plan) {
    double pause_s = renewal_pause_s(transfers, entry);
    if (rr_guest_may_run(&entry->guest, now)) {
        rr_core_release_job(transfers->core, entry->local_id, entry->guest.granted_until);
    }
    if (now - entry->sent_at >= pause_s) {
        rr_guest_step step = rr_guest_repeat(&entry->guest, now);
        send_message(transfers, entry, &step.message, now, plan);
    }
}

static void drive_ended(rr_transfers *transfers, rr_incoming *entry, double now,
                        rr_transfers_plan *plan) {
    if (now - entry->sent_at >= RR_CELLS_REPEAT_S) {
        rr_guest_step step = rr_guest_repeat(&entry->guest, now);
        send_message(transfers, entry, &step.message, now, plan);
    }
}

/* Decides whether a held job that is not done goes back. A lapsed copy gets no second chance. */
static void check_return(rr_transfers *transfers, rr_incoming *entry, bool cancelled, double now) {
    bool lapsed = has_lapsed(transfers, entry, now);
    entry->returning = cancelled || lapsed || cannot_start(transfers, entry, now);
    transfers->stats.lapsed += lapsed;
    transfers->stats.given_back += entry->returning;
}

/* What the core knows of the copy. */
struct copy_state {
    bool known; /* not final: the core has the job itself */
    bool cancelled, done, open;
    bool running; /* tasks of it are placed */
    bool started; /* tasks of it are placed or done */
};

/* False: the core knows nothing of the copy yet. */
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

static void drive(rr_transfers *transfers, rr_incoming *entry, double now,
                  rr_transfers_plan *plan) {
    struct copy_state copy;
    if (!get_copy_state(transfers, entry, now, &copy) ||
        !rr_transfers_owns(transfers, entry->record.team, now) ||
        !load(transfers, entry, copy.running, now) || entry->guest.writes) {
        return;
    }
    bool held = entry->guest.record.state == RR_GUEST_HELD;
    entry->guest.running = copy.running;
    entry->started = entry->started || copy.started;
    if (held && copy.done && !entry->guest.terminated) {
        plan_step(transfers, entry, rr_guest_end(&entry->guest, RR_ANSWER_DONE), plan);
        return;
    }
    if (held && !entry->returning && !copy.done) {
        check_return(transfers, entry, copy.cancelled, now);
    }
    if (entry->guest.terminated || entry->returning || entry->neighbour == RR_CELLS_NO_NEIGHBOUR) {
        drive_end(transfers, entry, copy.open, now, plan);
    } else if (held) {
        drive_held(transfers, entry, now, plan);
    } else {
        drive_ended(transfers, entry, now, plan);
    }
}

bool rr_incoming_ready(rr_transfers *transfers, const rr_incoming *entry, double now) {
    return rr_transfers_owns(transfers, entry->record.team, now) &&
           entry->token == rr_core_fencing_token(transfers->core) && !entry->guest.writes;
}

void rr_incoming_look(rr_transfers *transfers, size_t neighbour, double now,
                      rr_transfers_plan *plan) {
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, transfers->incoming);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        rr_incoming *entry = value;
        if (rr_transfers_concerns(entry->neighbour, neighbour)) {
            drive(transfers, entry, now, plan);
        }
    }
}

void rr_incoming_replied(rr_transfers *transfers, size_t neighbour, const rr_cells_item *asked,
                         const rr_transfer_message *reply) {
    char local_id[RR_ID_SIZE];
    rr_cells_local_id(transfers->settings->neighbours[neighbour].name, asked->job_id,
                      asked->message.claim, local_id, sizeof local_id);
    rr_incoming *entry = g_hash_table_lookup(transfers->incoming, local_id);
    if (entry && entry->token == rr_core_fencing_token(transfers->core)) {
        rr_guest_receive(&entry->guest, reply, false, &transfers->settings->times);
    }
}
