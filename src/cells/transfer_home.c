/* The home of a job: its side of the transfer. */
#include "cells/transfer.h"

static rr_home_step nothing(void) {
    return (rr_home_step){.action = RR_HOME_NOTHING, .message = {.kind = RR_TRANSFER_NOTHING}};
}

static rr_home_step send_message(enum rr_transfer_kind kind, uint32_t claim) {
    rr_home_step step = nothing();
    step.message = (rr_transfer_message){.kind = kind, .claim = claim};
    return step;
}

static rr_home_step write_record(rr_home *home, const rr_home_record *record) {
    rr_home_step step = nothing();
    home->writing = *record;
    home->writes = true;
    step.action = RR_HOME_WRITE;
    return step;
}

/* When nothing of the job is left at the guest after a grant that is sent now. The guest counts
 * from when it asked, which was earlier. */
static double free_after_grant(double now, const rr_transfer_times *times) {
    return now + (times->lease_s + times->rest_s) * (1 + 2 * times->drift);
}

void rr_home_load(rr_home *home, const rr_home_record *record, bool running, double now,
                  const rr_transfer_times *times) {
    *home = (rr_home){.record = *record, .running = running};
    /* Claim 0 was never offered; for any other a grant may have been sent just before. */
    home->free_at = record->claim > 0 ? free_after_grant(now, times) : 0;
}

bool rr_home_may_run(const rr_home *home, double now) {
    return home->record.state == RR_HOME_LOCAL && !home->writes && now >= home->free_at;
}

/* Waits until an earlier guest has certainly ended: otherwise both would be granted a lease. */
rr_home_step rr_home_offer(rr_home *home, uint32_t guest, double now) {
    if (!rr_home_may_run(home, now) || home->running) {
        return nothing();
    }
    rr_home_record record = {RR_HOME_OFFERED, home->record.claim + 1, guest, RR_ANSWER_NONE};
    return write_record(home, &record);
}

rr_home_step rr_home_withdraw(rr_home *home) {
    if (home->record.state != RR_HOME_OFFERED || home->writes) {
        return nothing();
    }
    rr_home_record record = home->record;
    record.state = RR_HOME_LOCAL;
    return write_record(home, &record);
}

rr_home_step rr_home_end(rr_home *home, enum rr_job_answer answer) {
    if (home->record.state == RR_HOME_FINAL || home->writes) {
        return nothing();
    }
    rr_home_record record = home->record;
    record.state = RR_HOME_FINAL;
    record.answer = answer;
    return write_record(home, &record);
}

rr_home_step rr_home_written(rr_home *home, bool done) {
    if (!home->writes || !done) {
        home->writes = false;
        return nothing();
    }
    enum rr_home_state before = home->record.state;
    home->writes = false;
    home->record = home->writing;
    if (home->record.state == RR_HOME_OFFERED) {
        return rr_home_repeat(home);
    }
    if (before != RR_HOME_OFFERED) {
        return nothing();
    }
    bool finished_by_guest =
        home->record.state == RR_HOME_FINAL && home->record.answer == RR_ANSWER_DONE;
    return send_message(finished_by_guest ? RR_TRANSFER_ACK : RR_TRANSFER_VOID, home->record.claim);
}

rr_home_step rr_home_repeat(const rr_home *home) {
    bool offers = home->record.state == RR_HOME_OFFERED && !home->writes;
    return offers ? send_message(RR_TRANSFER_OFFER, home->record.claim) : nothing();
}

/* A claim is in force from the outcome of its record's write until the next write begins, so that a
 * job that is being withdrawn is not granted any more. */
static bool in_force(const rr_home *home, uint32_t from, uint32_t claim) {
    return home->record.state == RR_HOME_OFFERED && !home->writes && home->record.guest == from &&
           home->record.claim == claim;
}

static rr_home_step answer_renewal(rr_home *home, uint32_t from, const rr_transfer_message *message,
                                   double now, const rr_transfer_times *times) {
    if (in_force(home, from, message->claim)) {
        home->free_at = free_after_grant(now, times);
        rr_home_step step = send_message(RR_TRANSFER_GRANT, message->claim);
        step.message.sent_at = message->sent_at;
        step.message.asker = message->asker;
        return step;
    }
    /* While a write is under way it is unknown whether the claim has ended. */
    return home->writes ? nothing() : send_message(RR_TRANSFER_VOID, message->claim);
}

static rr_home_step take_refusal(rr_home *home, uint32_t from, const rr_transfer_message *message) {
    if (in_force(home, from, message->claim)) {
        return rr_home_withdraw(home);
    }
    return home->writes ? nothing() : send_message(RR_TRANSFER_VOID, message->claim);
}

static rr_home_step take_answer(rr_home *home, uint32_t from, const rr_transfer_message *message) {
    if (in_force(home, from, message->claim)) {
        return rr_home_end(home, message->answer);
    }
    if (home->writes) {
        return nothing();
    }
    bool recorded = home->record.state == RR_HOME_FINAL && home->record.guest == from &&
                    home->record.claim == message->claim && home->record.answer == message->answer;
    return send_message(recorded ? RR_TRANSFER_ACK : RR_TRANSFER_VOID, message->claim);
}

rr_home_step rr_home_receive(rr_home *home, uint32_t from, const rr_transfer_message *message,
                             double now, const rr_transfer_times *times) {
    switch (message->kind) {
    case RR_TRANSFER_RENEW:
        return answer_renewal(home, from, message, now, times);
    case RR_TRANSFER_ENDED:
        return take_answer(home, from, message);
    case RR_TRANSFER_REFUSE:
        return take_refusal(home, from, message);
    default:
        return nothing();
    }
}
