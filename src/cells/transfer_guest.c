/* The guest's side of a transfer: the state machine of a cell that may run another cell's job. */
#include "cells/transfer.h"

static rr_guest_step make_empty_step(void) {
    return (rr_guest_step){.action = RR_GUEST_NOTHING, .message = {.kind = RR_TRANSFER_NOTHING}};
}

static rr_guest_step make_message_step(enum rr_transfer_kind kind, uint32_t claim) {
    rr_guest_step step = make_empty_step();
    step.message = (rr_transfer_message){.kind = kind, .claim = claim};
    return step;
}

/* Makes the write of this record pending, and returns the step that asks for it. */
static rr_guest_step request_write(rr_guest *guest, enum rr_guest_state state, uint32_t claim,
                                   enum rr_job_answer answer) {
    rr_guest_step step = make_empty_step();
    guest->pending_record = (rr_guest_record){state, claim, answer};
    guest->write_pending = true;
    step.action = RR_GUEST_WRITE;
    return step;
}

void rr_guest_load(rr_guest *guest, const rr_guest_record *record, bool running, uint64_t process) {
    *guest = (rr_guest){.record = *record, .running = running, .process = process};
}

bool rr_guest_may_run(const rr_guest *guest, double now) {
    return guest->record.state == RR_GUEST_HELD && !guest->write_pending && !guest->claim_ended &&
           now < guest->granted_until;
}

/* Accepts an offer by recording its claim; the job runs only once the home has given a grant. An
 * offer with a later claim is accepted once the earlier one has ended and its record is deleted. */
static rr_guest_step accept_offer(rr_guest *guest, uint32_t claim, bool can_accept) {
    if (guest->write_pending) {
        return make_empty_step();
    }
    if (guest->record.state != RR_GUEST_NONE) {
        /* A claim later than the one held shows that the home has withdrawn the job from it. */
        guest->claim_ended = guest->claim_ended || claim > guest->record.claim;
        return make_empty_step();
    }
    if (claim <= guest->record.claim) {
        return make_empty_step(); /* a delayed duplicate of an offer whose claim has ended */
    }
    return can_accept ? request_write(guest, RR_GUEST_HELD, claim, RR_ANSWER_NONE)
                      : make_message_step(RR_TRANSFER_REFUSE, claim);
}

static void extend_grant(rr_guest *guest, double until) {
    if (until > guest->granted_until) {
        guest->granted_until = until;
    }
}

rr_guest_step rr_guest_receive(rr_guest *guest, const rr_transfer_message *message, bool can_accept,
                               const rr_transfer_times *times) {
    bool is_held_claim =
        guest->record.state != RR_GUEST_NONE && message->claim == guest->record.claim;
    switch (message->kind) {
    case RR_TRANSFER_OFFER:
        return accept_offer(guest, message->claim, can_accept);
    case RR_TRANSFER_GRANT:
        if (is_held_claim && guest->record.state == RR_GUEST_HELD &&
            message->guest_process == guest->process) {
            extend_grant(guest, message->sent_at + times->lease_s * (1 - times->drift));
        }
        return make_empty_step();
    case RR_TRANSFER_VOID:
    case RR_TRANSFER_ACK:
        guest->claim_ended = guest->claim_ended || is_held_claim;
        return make_empty_step();
    default:
        return make_empty_step();
    }
}

rr_guest_step rr_guest_complete_write(rr_guest *guest, bool committed) {
    if (guest->write_pending && committed) {
        guest->record = guest->pending_record;
        guest->claim_ended = guest->claim_ended && guest->record.state != RR_GUEST_NONE;
        guest->granted_until = 0;
    }
    guest->write_pending = false;
    return make_empty_step();
}

rr_guest_step rr_guest_end(rr_guest *guest, enum rr_job_answer answer) {
    bool may_end =
        guest->record.state == RR_GUEST_HELD && !guest->write_pending && !guest->claim_ended;
    return may_end ? request_write(guest, RR_GUEST_ENDED, guest->record.claim, answer)
                   : make_empty_step();
}

rr_guest_step rr_guest_next_step(rr_guest *guest, double now) {
    rr_guest_step step = make_empty_step();
    if (guest->record.state == RR_GUEST_NONE || guest->write_pending) {
        return step;
    }
    if (guest->claim_ended) {
        /* The claim's number is kept, so that a delayed duplicate of its offer is not accepted. */
        return guest->running
                   ? step
                   : request_write(guest, RR_GUEST_NONE, guest->record.claim, RR_ANSWER_NONE);
    }
    bool held = guest->record.state == RR_GUEST_HELD;
    step = make_message_step(held ? RR_TRANSFER_RENEW : RR_TRANSFER_ENDED, guest->record.claim);
    step.message.sent_at = now;
    step.message.guest_process = guest->process;
    step.message.answer = guest->record.answer;
    return step;
}
