/* The home's side of a transfer: the state machine of the cell whose users submitted the job. */
#include "cells/transfer.h"

static rr_home_step make_empty_step(void) {
    return (rr_home_step){.action = RR_HOME_NOTHING, .message = {.kind = RR_TRANSFER_NOTHING}};
}

static rr_home_step make_message_step(enum rr_transfer_kind kind, uint32_t claim) {
    rr_home_step step = make_empty_step();
    step.message = (rr_transfer_message){.kind = kind, .claim = claim};
    return step;
}

/* Makes the write of this record pending, and returns the step that asks for it. */
static rr_home_step request_write(rr_home *home, const rr_home_record *record) {
    rr_home_step step = make_empty_step();
    home->pending_record = *record;
    home->write_pending = true;
    step.action = RR_HOME_WRITE;
    return step;
}

/* Returns the time by which no task of the job is left at the guest if a grant is sent now. The
 * guest counts the lease from when it asked, which was earlier. */
static double get_latest_guest_stop_time(double now, const rr_transfer_times *times) {
    return now + (times->lease_s + times->teardown_s) * (1 + 2 * times->drift);
}

void rr_home_load(rr_home *home, const rr_home_record *record, bool running, double now,
                  const rr_transfer_times *times) {
    *home = (rr_home){.record = *record, .running = running};
    /* Claim 0: the job was never offered. Otherwise a grant may have been sent just before. */
    home->guest_stopped_by = record->claim > 0 ? get_latest_guest_stop_time(now, times) : 0;
}

bool rr_home_may_run(const rr_home *home, double now) {
    return home->record.state == RR_HOME_LOCAL && !home->write_pending &&
           now >= home->guest_stopped_by;
}

/* The job is offered only once the tasks of an earlier guest have certainly ended: otherwise two
 * guests could have a grant at the same time. */
rr_home_step rr_home_offer(rr_home *home, uint32_t guest, double now) {
    if (!rr_home_may_run(home, now) || home->running) {
        return make_empty_step();
    }
    rr_home_record record = {RR_HOME_OFFERED, home->record.claim + 1, guest, RR_ANSWER_NONE};
    return request_write(home, &record);
}

rr_home_step rr_home_withdraw(rr_home *home) {
    if (home->record.state != RR_HOME_OFFERED || home->write_pending) {
        return make_empty_step();
    }
    rr_home_record record = home->record;
    record.state = RR_HOME_LOCAL;
    return request_write(home, &record);
}

rr_home_step rr_home_end(rr_home *home, enum rr_job_answer answer) {
    if (home->record.state == RR_HOME_FINAL || home->write_pending) {
        return make_empty_step();
    }
    rr_home_record record = home->record;
    record.state = RR_HOME_FINAL;
    record.answer = answer;
    return request_write(home, &record);
}

rr_home_step rr_home_complete_write(rr_home *home, bool committed) {
    if (!home->write_pending || !committed) {
        home->write_pending = false;
        return make_empty_step();
    }
    enum rr_home_state previous_state = home->record.state;
    home->write_pending = false;
    home->record = home->pending_record;
    if (home->record.state == RR_HOME_OFFERED) {
        return rr_home_resend_offer(home);
    }
    if (previous_state != RR_HOME_OFFERED) {
        return make_empty_step();
    }
    bool finished_by_guest =
        home->record.state == RR_HOME_FINAL && home->record.answer == RR_ANSWER_DONE;
    return make_message_step(finished_by_guest ? RR_TRANSFER_ACK : RR_TRANSFER_VOID,
                             home->record.claim);
}

rr_home_step rr_home_resend_offer(const rr_home *home) {
    bool offer_stands = home->record.state == RR_HOME_OFFERED && !home->write_pending;
    return offer_stands ? make_message_step(RR_TRANSFER_OFFER, home->record.claim)
                        : make_empty_step();
}

/* Returns whether this claim is the guest's and is in force. A claim is in force from the
 * outcome of its record's write until the next write begins, so that no grant is given for a job
 * that is being withdrawn. */
static bool is_claim_in_force(const rr_home *home, uint32_t from, uint32_t claim) {
    return home->record.state == RR_HOME_OFFERED && !home->write_pending &&
           home->record.guest == from && home->record.claim == claim;
}

/* Answers a guest's request for a grant. */
static rr_home_step handle_renewal(rr_home *home, uint32_t from, const rr_transfer_message *message,
                                   double now, const rr_transfer_times *times) {
    if (is_claim_in_force(home, from, message->claim)) {
        home->guest_stopped_by = get_latest_guest_stop_time(now, times);
        rr_home_step step = make_message_step(RR_TRANSFER_GRANT, message->claim);
        step.message.sent_at = message->sent_at;
        step.message.guest_process = message->guest_process;
        return step;
    }
    /* While a write is pending it is unknown whether the claim has ended. */
    return home->write_pending ? make_empty_step()
                               : make_message_step(RR_TRANSFER_VOID, message->claim);
}

/* Withdraws the job from a guest that refuses it or gives it back. */
static rr_home_step handle_refusal(rr_home *home, uint32_t from,
                                   const rr_transfer_message *message) {
    if (is_claim_in_force(home, from, message->claim)) {
        return rr_home_withdraw(home);
    }
    return home->write_pending ? make_empty_step()
                               : make_message_step(RR_TRANSFER_VOID, message->claim);
}

/* Records how the job ended at the guest, and acknowledges what is recorded already. */
static rr_home_step handle_answer(rr_home *home, uint32_t from,
                                  const rr_transfer_message *message) {
    if (is_claim_in_force(home, from, message->claim)) {
        return rr_home_end(home, message->answer);
    }
    if (home->write_pending) {
        return make_empty_step();
    }
    bool recorded = home->record.state == RR_HOME_FINAL && home->record.guest == from &&
                    home->record.claim == message->claim && home->record.answer == message->answer;
    return make_message_step(recorded ? RR_TRANSFER_ACK : RR_TRANSFER_VOID, message->claim);
}

rr_home_step rr_home_receive(rr_home *home, uint32_t from, const rr_transfer_message *message,
                             double now, const rr_transfer_times *times) {
    switch (message->kind) {
    case RR_TRANSFER_RENEW:
        return handle_renewal(home, from, message, now, times);
    case RR_TRANSFER_ENDED:
        return handle_answer(home, from, message);
    case RR_TRANSFER_REFUSE:
        return handle_refusal(home, from, message);
    default:
        return make_empty_step();
    }
}
