/* The guest that may run a job of another cell: its side of the transfer. */
#include "cells/transfer.h"

static rr_guest_step nothing(void) {
    return (rr_guest_step){.action = RR_GUEST_NOTHING, .message = {.kind = RR_TRANSFER_NOTHING}};
}

static rr_guest_step send_message(enum rr_transfer_kind kind, uint32_t claim) {
    rr_guest_step step = nothing();
    step.message = (rr_transfer_message){.kind = kind, .claim = claim};
    return step;
}

static rr_guest_step write_record(rr_guest *guest, enum rr_guest_state state, uint32_t claim,
                                  enum rr_job_answer answer) {
    rr_guest_step step = nothing();
    guest->writing = (rr_guest_record){state, claim, answer};
    guest->writes = true;
    step.action = RR_GUEST_WRITE;
    return step;
}

void rr_guest_load(rr_guest *guest, const rr_guest_record *record, bool running, uint64_t process) {
    *guest = (rr_guest){.record = *record, .running = running, .process = process};
}

bool rr_guest_may_run(const rr_guest *guest, double now) {
    return guest->record.state == RR_GUEST_HELD && !guest->writes && !guest->terminated &&
           now < guest->granted_until;
}

/* Takes an offer by recording its claim; the job runs only once the home has granted a lease. An
 * offer of a later claim is taken when the earlier one has ended and its record is gone. */
static rr_guest_step take_offer(rr_guest *guest, uint32_t claim, bool room) {
    if (guest->writes) {
        return nothing();
    }
    if (guest->record.state != RR_GUEST_NONE) {
        /* A later claim than the one held shows that the home has withdrawn that one. */
        guest->terminated = guest->terminated || claim > guest->record.claim;
        return nothing();
    }
    if (claim <= guest->record.claim) {
        return nothing(); /* a late copy of an offer whose claim has ended */
    }
    return room ? write_record(guest, RR_GUEST_HELD, claim, RR_ANSWER_NONE)
                : send_message(RR_TRANSFER_REFUSE, claim);
}

static void extend_grant(rr_guest *guest, double until) {
    if (until > guest->granted_until) {
        guest->granted_until = until;
    }
}

rr_guest_step rr_guest_receive(rr_guest *guest, const rr_transfer_message *message, bool room,
                               const rr_transfer_times *times) {
    bool ours = guest->record.state != RR_GUEST_NONE && message->claim == guest->record.claim;
    switch (message->kind) {
    case RR_TRANSFER_OFFER:
        return take_offer(guest, message->claim, room);
    case RR_TRANSFER_GRANT:
        if (ours && guest->record.state == RR_GUEST_HELD && message->asker == guest->process) {
            extend_grant(guest, message->sent_at + times->lease_s * (1 - times->drift));
        }
        return nothing();
    case RR_TRANSFER_VOID:
    case RR_TRANSFER_ACK:
        guest->terminated = guest->terminated || ours;
        return nothing();
    default:
        return nothing();
    }
}

rr_guest_step rr_guest_written(rr_guest *guest, bool done) {
    if (guest->writes && done) {
        guest->record = guest->writing;
        guest->terminated = guest->terminated && guest->record.state != RR_GUEST_NONE;
        guest->granted_until = 0;
    }
    guest->writes = false;
    return nothing();
}

rr_guest_step rr_guest_end(rr_guest *guest, enum rr_job_answer answer) {
    bool ends = guest->record.state == RR_GUEST_HELD && !guest->writes && !guest->terminated;
    return ends ? write_record(guest, RR_GUEST_ENDED, guest->record.claim, answer) : nothing();
}

rr_guest_step rr_guest_repeat(rr_guest *guest, double now) {
    rr_guest_step step = nothing();
    if (guest->record.state == RR_GUEST_NONE || guest->writes) {
        return step;
    }
    if (guest->terminated) {
        /* The claim's number is kept, so that a late copy of its offer is not taken again. */
        return guest->running
                   ? step
                   : write_record(guest, RR_GUEST_NONE, guest->record.claim, RR_ANSWER_NONE);
    }
    bool held = guest->record.state == RR_GUEST_HELD;
    step = send_message(held ? RR_TRANSFER_RENEW : RR_TRANSFER_ENDED, guest->record.claim);
    step.message.sent_at = now;
    step.message.asker = guest->process;
    step.message.answer = guest->record.answer;
    return step;
}
