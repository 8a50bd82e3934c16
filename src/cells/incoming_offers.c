/* Accepts or refuses other cells' offers, according to the free room in this cell. */
#include "cells/incoming.h"
#include "core/extensions.h"
#include "core/leadership.h"
#include "core/state/record_words.h"
#include "core/submissions.h"

#include <string.h>

#define ROOM_AGE_MAX_S 1.0     /* age at which the sum of the free room is recomputed */
#define TIMES_TOLERANCE_S 1e-3 /* allowed between a duration here and in an offer */

/* ---- free room ---- */

static void add_machine_room(void *user, const char *type, const char *zone, double cpus,
                             double gpus, double mem_gb) {
    rr_cells_room *sum = user;
    (void)type;
    (void)zone;
    sum->cpus += cpus;
    sum->gpus += gpus;
    sum->mem_gb += mem_gb;
}

static void subtract_job_demand(void *user, const rr_submission *submission, int team,
                                uint32_t waiting, uint32_t placed, uint32_t done) {
    rr_cells_room *sum = user;
    double tasks = (double)waiting + placed;
    (void)team;
    (void)done;
    sum->cpus -= tasks * submission->cpus;
    sum->gpus -= tasks * submission->gpus;
    sum->mem_gb -= tasks * submission->mem_gb;
}

/* Recomputes the free room if it is older than ROOM_AGE_MAX_S: guest_share of the capacity that all
 * machines have beyond the demand of all tasks that wait or are placed. */
static void update_free_room(rr_transfers *transfers, double now) {
    if (transfers->room_updated_at > 0 && now - transfers->room_updated_at < ROOM_AGE_MAX_S) {
        return;
    }
    rr_cells_room sum = {0};
    rr_core_foreach_machine(transfers->core, add_machine_room, &sum);
    rr_core_foreach_job(transfers->core, subtract_job_demand, &sum);
    double share = transfers->settings->guest_share;
    transfers->room = (rr_cells_room){share * sum.cpus, share * sum.gpus, share * sum.mem_gb};
    transfers->room_updated_at = now;
}

/* Returns whether this cell accepts jobs of other cells: not while its own jobs wait, or while a
 * controller of the term does not keep transfer holds. */
static bool can_accept_incoming_jobs(const rr_transfers *transfers) {
    return !transfers->spill.spilling &&
           transfers->longest_wait_s <= transfers->settings->end_wait_s &&
           rr_core_all_members_support_holds(transfers->core);
}

rr_cells_room rr_transfers_get_free_room(rr_transfers *transfers, double now) {
    update_free_room(transfers, now);
    return can_accept_incoming_jobs(transfers) ? transfers->room : (rr_cells_room){0, 0, 0};
}

/* ---- offers ---- */

/* Returns whether the home's lease_s and teardown_s are not shorter than this cell's: otherwise
 * tasks here might run for longer than the home waits for them to end. */
static bool are_home_times_long_enough(const rr_transfers *transfers,
                                       const rr_cells_request *request) {
    const rr_transfer_times *own = &transfers->settings->times;
    return own->lease_s <= request->lease_s + TIMES_TOLERANCE_S &&
           own->teardown_s <= request->teardown_s + TIMES_TOLERANCE_S;
}

/* Returns whether the offered job may be accepted, and if so subtracts its demand from the free
 * room. The room may be split among machines that are each too small for the job's tasks: then the
 * job does not start, and is given back. */
static bool reserve_room(rr_transfers *transfers, const rr_cells_request *request,
                         const rr_submission *submission, double now) {
    const char *reason;
    update_free_room(transfers, now);
    return are_home_times_long_enough(transfers, request) && can_accept_incoming_jobs(transfers) &&
           strcmp(submission->team, request->team) == 0 &&
           rr_core_check_submission(transfers->core, submission, &reason) == RR_SUBMISSION_NEW &&
           rr_cells_room_reserve(&transfers->room, submission);
}

/* Makes the write that stores the claim's record and the copy of the job in one transaction. */
static void make_acceptance_write(rr_transfers *transfers, const rr_incoming *entry,
                                  const rr_submission *submission, double accepted_at,
                                  rr_transfer_write *write) {
    char key[RR_CELLS_KEY_SIZE];
    rr_encoder encoder;
    rr_incoming_make_write(transfers, entry, write);
    rr_encoder_init(&encoder);
    rr_core_encode_job(&encoder, submission, accepted_at, false);
    rr_core_job_key(entry->local_id, key, sizeof key);
    rr_transaction_guard(&write->transaction, key, 0);
    rr_transaction_put(&write->transaction, key, &encoder, 0);
}

/* Adds an entry for an offer that is being accepted. The table owns it. */
static rr_incoming *add_entry(rr_transfers *transfers, size_t neighbour, const rr_cells_item *item,
                              const char *team, const char *local_id, const rr_guest *guest,
                              double now) {
    rr_incoming *entry = rr_incoming_get_or_create(transfers, local_id);
    entry->guest = *guest;
    entry->neighbour = (int)neighbour;
    entry->loaded_token = rr_core_fencing_token(transfers->core);
    entry->loaded_at = now;
    g_strlcpy(entry->record.team, team, sizeof entry->record.team);
    g_strlcpy(entry->record.home, transfers->settings->neighbours[neighbour].name,
              sizeof entry->record.home);
    g_strlcpy(entry->record.job_id, item->job_id, sizeof entry->record.job_id);
    return entry;
}

/* Reads the offered job into *submission, with its local id; the caller frees the contents with
 * rr_submission_clear(). Sets *accepted_at to the time of day at which the home accepted the job,
 * or leaves it unchanged if the offer has none. Returns false if the offer can't be read. */
static bool read_offer(const rr_cells_item *item, const char *local_id, rr_submission *submission,
                       double *accepted_at) {
    rr_document document;
    const char *field;
    if (!item->submission) {
        return false;
    }
    bool readable =
        rr_document_parse(&document, item->submission->data, item->submission->len) == 0 &&
        rr_submission_decode(document.root, submission, &field) == 0;
    rr_map_get_number(document.root, RR_RECORD_ACCEPTED_AT, accepted_at);
    rr_document_clear(&document);
    if (readable) {
        g_strlcpy(submission->job_id, local_id, sizeof submission->job_id);
    }
    return readable;
}

bool rr_incoming_receive_offer(rr_transfers *transfers, size_t neighbour,
                               const rr_cells_request *request, const rr_cells_item *item,
                               double now, double wall, rr_transfer_message *reply,
                               rr_transfer_write *write) {
    char local_id[RR_ID_SIZE];
    rr_cells_make_local_id(transfers->settings->neighbours[neighbour].name, item->job_id,
                           item->message.claim, local_id, sizeof local_id);
    if (g_hash_table_contains(transfers->incoming, local_id)) {
        return false; /* an offer sent again: the job is held already, or being accepted */
    }
    /* A delayed duplicate of an offer may have a claim that has ended. The copy of its job is still
     * known here, so that the submission is not new and the offer is refused. */
    rr_submission submission = {0};
    double accepted_at = wall;
    rr_guest guest = {.process = transfers->process};
    bool can_accept = read_offer(item, local_id, &submission, &accepted_at) &&
                      reserve_room(transfers, request, &submission, now);
    rr_guest_step step =
        rr_guest_receive(&guest, &item->message, can_accept, &transfers->settings->times);
    *reply = step.message;
    bool accepted = step.action == RR_GUEST_WRITE;
    if (accepted) {
        const rr_incoming *entry =
            add_entry(transfers, neighbour, item, request->team, local_id, &guest, now);
        make_acceptance_write(transfers, entry, &submission, accepted_at, write);
    }
    rr_submission_clear(&submission);
    return accepted;
}
