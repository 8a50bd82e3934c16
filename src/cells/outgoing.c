/* This cell's jobs at others: offered when they wait too long, granted while they are there, and
 * taken back when their guest is not heard. */
#include "cells/transfers_internal.h"
#include "core/extensions.h"
#include "core/leadership.h"

#include <math.h>
#include <string.h>

#define OFFERS_AT_ONCE 8u  /* in one look, to one neighbour */
#define ROOM_KNOWN_S 1.0   /* what a neighbour told of its room counts for so long */
#define CLAIMS_MAX 3u      /* a job that came back so often stays */
#define NOT_TAKEN_S 4.0    /* an offer without an answer is taken back after */
#define NOT_HEARD_LEASES 2 /* and a job whose guest asks for no grant */

static const rr_transfer_message no_message = {.kind = RR_TRANSFER_NOTHING};

/* ---- records ---- */

rr_outgoing *rr_outgoing_get(rr_transfers *transfers, const char *job_id) {
    rr_outgoing *entry = g_hash_table_lookup(transfers->outgoing, job_id);
    if (!entry) {
        entry = g_new0(rr_outgoing, 1);
        g_strlcpy(entry->job_id, job_id, sizeof entry->job_id);
        entry->neighbour = -1;
        g_hash_table_insert(transfers->outgoing, entry->job_id, entry);
    }
    return entry;
}

static void forget(rr_transfers *transfers, const char *job_id) {
    rr_core_unhold_job(transfers->core, job_id);
    g_hash_table_remove(transfers->outgoing, job_id);
}

/* As the record says. */
static void hold(rr_transfers *transfers, const rr_outgoing *entry) {
    rr_core_hold_job(transfers->core, entry->job_id,
                     entry->record.state == RR_HOME_OFFERED ? RR_HOLD_TRANSFERRED
                                                            : RR_HOLD_RETURNED);
}

static rr_home_record home_record(const rr_outgoing *entry) {
    return (rr_home_record){entry->record.state, entry->record.claim,
                            entry->neighbour < 0 ? UINT32_MAX : (uint32_t)entry->neighbour,
                            RR_ANSWER_NONE};
}

/* Somebody else has written the record, such as a controller that takes a user's cancellation. */
static bool written_by_another(const rr_outgoing *entry) {
    return !entry->home.writes && (entry->home.record.state != entry->record.state ||
                                   entry->home.record.claim != entry->record.claim);
}

void rr_outgoing_put(rr_transfers *transfers, const char *job_id, const msgpack_object *value,
                     uint64_t version) {
    rr_out_record record;
    rr_outgoing *entry = g_hash_table_lookup(transfers->outgoing, job_id);
    if (entry && version < entry->version) {
        return;
    }
    if (!value) {
        if (entry && !entry->home.writes) {
            forget(transfers, job_id);
        }
        return;
    }
    if (!rr_job_id_valid(job_id) || rr_cells_out_decode(value, &record) != 0) {
        transfers->stats.records_unread++;
        return;
    }
    entry = rr_outgoing_get(transfers, job_id);
    entry->record = record;
    entry->version = version;
    entry->neighbour = rr_cells_neighbour(transfers->settings, record.guest);
    hold(transfers, entry);
    if (written_by_another(entry)) {
        entry->token = 0;
    }
}

/* ---- writes ---- */

static rr_out_record next_record(const rr_transfers *transfers, const rr_outgoing *entry,
                                 double wall) {
    const rr_home_record *next = &entry->home.writing;
    if (next->state == RR_HOME_LOCAL) {
        return rr_cells_out_withdrawn(&entry->record, wall);
    }
    rr_out_record record = entry->record;
    record.state = next->state;
    record.claim = next->claim;
    record.withdrawn_at = 0;
    g_strlcpy(record.guest, transfers->settings->neighbours[next->guest].name, sizeof record.guest);
    return record;
}

/* What the machine wants written. The final record of the job goes with its transfer's end. */
static bool make_write(rr_transfers *transfers, rr_outgoing *entry, double wall,
                       rr_transfer_write *write) {
    const rr_home_record *next = &entry->home.writing;
    bool good = true;
    memset(write, 0, sizeof *write);
    write->outgoing = true;
    g_strlcpy(write->id, entry->job_id, sizeof write->id);
    rr_transaction_init(&write->transaction);
    rr_core_guard_term(transfers->core, &write->transaction);
    if (next->state == RR_HOME_FINAL) {
        good = next->answer != RR_ANSWER_DONE ||
               rr_core_finish_job(transfers->core, entry->job_id, false, &write->transaction);
        rr_cells_out_write(&write->transaction, entry->job_id, entry->version, NULL);
    } else {
        rr_out_record record = next_record(transfers, entry, wall);
        /* Its user may have cancelled it, and this store cache not know. */
        good = next->state != RR_HOME_OFFERED ||
               rr_core_guard_job(transfers->core, entry->job_id, &write->transaction);
        rr_cells_out_write(&write->transaction, entry->job_id, entry->version, &record);
    }
    if (!good) {
        rr_home_written(&entry->home, false);
        rr_transfer_write_clear(write);
    }
    return good;
}

/* False: there was nothing to write after all. */
static bool add_write(rr_transfers *transfers, rr_outgoing *entry, double wall,
                      rr_transfers_plan *plan) {
    rr_transfer_write write;
    bool writes = make_write(transfers, entry, wall, &write);
    if (writes) {
        g_ptr_array_add(plan->writes, g_memdup2(&write, sizeof write));
    }
    return writes;
}

rr_transfer_message rr_outgoing_written(rr_transfers *transfers, const rr_transfer_write *write,
                                        bool committed) {
    rr_outgoing *entry = g_hash_table_lookup(transfers->outgoing, write->id);
    if (!entry) {
        return no_message;
    }
    enum rr_home_state before = entry->home.record.state;
    rr_home_step step = rr_home_written(&entry->home, committed);
    if (!committed) {
        entry->token = 0; /* read again first */
        if (entry->version == 0) {
            forget(transfers, write->id); /* never offered */
        } else {
            hold(transfers, entry);
        }
        return no_message;
    }
    enum rr_home_state state = entry->home.record.state;
    transfers->stats.offered += state == RR_HOME_OFFERED;
    transfers->stats.withdrawn += before == RR_HOME_OFFERED && state == RR_HOME_LOCAL;
    if (state == RR_HOME_FINAL) {
        transfers->stats.finished += before == RR_HOME_OFFERED;
        forget(transfers, write->id);
    }
    return step.message;
}

/* ---- driving ---- */

static bool load(rr_transfers *transfers, rr_outgoing *entry, double now) {
    rr_core_job job;
    uint64_t token = rr_core_fencing_token(transfers->core);
    if (entry->token == token) {
        return true;
    }
    if (entry->home.writes) {
        return false;
    }
    bool running = rr_core_find_job(transfers->core, entry->job_id, &job) && job.placed > 0;
    rr_home_record record = home_record(entry);
    rr_home_load(&entry->home, &record, running, now, &transfers->settings->times);
    entry->token = token;
    entry->last_message_at = now;
    entry->taken = true; /* it may have been */
    return true;
}

/* Final here: its transfer is over. NONE: it is not. */
static enum rr_job_answer final_answer(const rr_transfers *transfers, const rr_outgoing *entry,
                                       double now) {
    rr_core_job job;
    bool open =
        rr_core_find_job(transfers->core, entry->job_id, &job) && !job.done && !job.cancelled;
    if (open || !rr_core_job_known(transfers->core, entry->job_id)) {
        return RR_ANSWER_NONE;
    }
    return rr_core_job_cancelled(transfers->core, entry->job_id, now) ? RR_ANSWER_CANCELLED
                                                                      : RR_ANSWER_DONE;
}

static void repeat_offer(rr_transfers *transfers, rr_outgoing *entry, size_t neighbour, double now,
                         rr_transfers_plan *plan) {
    rr_core_job job;
    rr_home_step step = rr_home_repeat(&entry->home);
    if (entry->taken || now - entry->said_at < RR_CELLS_REPEAT_S ||
        step.message.kind != RR_TRANSFER_OFFER ||
        !rr_core_find_job(transfers->core, entry->job_id, &job)) {
        return;
    }
    entry->said_at = now;
    rr_cells_request *request = rr_plan_request(transfers, plan, neighbour, entry->record.team);
    rr_cells_add_offer(request->items, &step.message, job.submission, job.at);
}

static bool guest_is_lost(const rr_transfers *transfers, const rr_outgoing *entry, double now) {
    double patience = entry->taken ? NOT_HEARD_LEASES * transfers->settings->lease_s : NOT_TAKEN_S;
    return entry->neighbour < 0 || now - entry->last_message_at > patience;
}

static void drive(rr_transfers *transfers, rr_outgoing *entry, size_t neighbour, double now,
                  double wall, rr_transfers_plan *plan) {
    if (!rr_transfers_owns(transfers, entry->record.team, now) || !load(transfers, entry, now) ||
        entry->home.writes) {
        return;
    }
    enum rr_job_answer answer = final_answer(transfers, entry, now);
    rr_home_step step = {.action = RR_HOME_NOTHING};
    if (answer != RR_ANSWER_NONE) {
        step = rr_home_end(&entry->home, RR_ANSWER_CANCELLED);
    } else if (entry->home.record.state == RR_HOME_OFFERED &&
               guest_is_lost(transfers, entry, now)) {
        step = rr_home_withdraw(&entry->home);
    } else if (rr_home_may_run(&entry->home, now)) {
        rr_core_release_job(transfers->core, entry->job_id, INFINITY);
    } else {
        repeat_offer(transfers, entry, neighbour, now, plan);
    }
    if (step.action == RR_HOME_WRITE) {
        add_write(transfers, entry, wall, plan);
    }
}

/* ---- choosing what to offer ---- */

struct candidate {
    const rr_submission *submission; /* the core's, which is locked */
    double wait_s;
};

struct choice {
    const rr_transfers *transfers;
    const rr_cell *cell;
    double wall, longest_s;
    guint count;
    struct candidate oldest[OFFERS_AT_ONCE];
};

static bool some_cell_takes(const rr_cells_settings *settings, const rr_submission *submission) {
    for (size_t i = 0; i < settings->neighbour_count; i++) {
        if (rr_cell_takes(&settings->neighbours[i], submission->team, submission->zone)) {
            return true;
        }
    }
    return false;
}

/* A job that has come back too often stays. */
static bool was_away_often(const rr_transfers *transfers, const char *job_id) {
    const rr_outgoing *entry = g_hash_table_lookup(transfers->outgoing, job_id);
    return entry && (entry->record.claim >= CLAIMS_MAX || entry->home.writes);
}

static void consider(void *user, const rr_submission *submission, double when) {
    struct choice *choice = user;
    const rr_cells_settings *settings = choice->transfers->settings;
    double wait_s = choice->wall - when;
    if (!some_cell_takes(settings, submission) ||
        was_away_often(choice->transfers, submission->job_id)) {
        return;
    }
    choice->longest_s = fmax(choice->longest_s, wait_s);
    if (wait_s <= settings->end_wait_s ||
        !rr_cell_takes(choice->cell, submission->team, submission->zone)) {
        return;
    }
    guint place = choice->count;
    while (place > 0 && choice->oldest[place - 1].wait_s < wait_s) {
        place--;
    }
    if (place == OFFERS_AT_ONCE) {
        return;
    }
    guint last = MIN(choice->count, OFFERS_AT_ONCE - 1);
    memmove(&choice->oldest[place + 1], &choice->oldest[place],
            (last - place) * sizeof choice->oldest[0]);
    choice->count = last + 1;
    choice->oldest[place] = (struct candidate){submission, wait_s};
}

/* The job is held from here on, so that no plan made later places it; none made before is under
 * way. */
static void offer(rr_transfers *transfers, const struct candidate *candidate, size_t neighbour,
                  double now, double wall, rr_transfers_plan *plan) {
    rr_outgoing *entry = rr_outgoing_get(transfers, candidate->submission->job_id);
    g_strlcpy(entry->record.team, candidate->submission->team, sizeof entry->record.team);
    if (!load(transfers, entry, now)) {
        return;
    }
    rr_home_step step = rr_home_offer(&entry->home, (uint32_t)neighbour, now);
    bool offered = false;
    if (step.action == RR_HOME_WRITE) {
        entry->taken = false;
        entry->last_message_at = now;
        entry->said_at = 0;
        rr_core_hold_job(transfers->core, entry->job_id, RR_HOLD_TRANSFERRED);
        offered = add_write(transfers, entry, wall, plan);
    }
    if (!offered && entry->version == 0) {
        forget(transfers, entry->job_id);
    }
}

static void choose_offers(rr_transfers *transfers, size_t neighbour, double now, double wall,
                          rr_transfers_plan *plan) {
    struct choice choice = {
        .transfers = transfers, .cell = &transfers->settings->neighbours[neighbour], .wall = wall};
    rr_core_each_spillable(transfers->core, now, consider, &choice);
    transfers->own_wait_s = choice.longest_s;
    if (!rr_spill_update(&transfers->spill, transfers->settings, choice.longest_s) ||
        !rr_spill_may_ask(&transfers->pauses[neighbour], now)) {
        return;
    }
    if (choice.count == 0) {
        return;
    }
    if (now - transfers->rooms_at[neighbour] > ROOM_KNOWN_S) {
        /* Asks for nothing but the room that every reply tells. */
        rr_plan_request(transfers, plan, neighbour, choice.oldest[0].submission->team);
        return;
    }
    for (guint i = 0; i < choice.count; i++) {
        if (rr_room_take(&transfers->rooms[neighbour], choice.oldest[i].submission)) {
            offer(transfers, &choice.oldest[i], neighbour, now, wall, plan);
        }
    }
}

void rr_outgoing_look(rr_transfers *transfers, size_t neighbour, bool may_offer, double now,
                      double wall, rr_transfers_plan *plan) {
    GHashTableIter iterator;
    gpointer value;
    g_hash_table_iter_init(&iterator, transfers->outgoing);
    while (g_hash_table_iter_next(&iterator, NULL, &value)) {
        rr_outgoing *entry = value;
        /* The first neighbour's looks take those of which the settings know nothing more. */
        if (entry->neighbour == (int)neighbour || (entry->neighbour < 0 && neighbour == 0)) {
            drive(transfers, entry, neighbour, now, wall, plan);
        }
    }
    if (may_offer && rr_core_all_hold_capable(transfers->core)) {
        choose_offers(transfers, neighbour, now, wall, plan);
    }
}

/* ---- what guests say ---- */

/* A claim of which there is no record here is over. */
static rr_transfer_message terminated(const rr_transfers *transfers, const rr_cells_item *item,
                                      double now) {
    bool done = item->message.kind == RR_TRANSFER_ENDED && item->message.answer == RR_ANSWER_DONE &&
                rr_core_job_known(transfers->core, item->job_id) &&
                !rr_core_job_cancelled(transfers->core, item->job_id, now);
    return (rr_transfer_message){.kind = done ? RR_TRANSFER_ACK : RR_TRANSFER_VOID,
                                 .claim = item->message.claim};
}

bool rr_outgoing_receive(rr_transfers *transfers, size_t neighbour, const rr_cells_item *item,
                         double now, double wall, rr_transfer_message *reply,
                         rr_transfer_write *write) {
    rr_outgoing *entry = g_hash_table_lookup(transfers->outgoing, item->job_id);
    if (!entry) {
        *reply = terminated(transfers, item, now);
        return false;
    }
    if (!load(transfers, entry, now)) {
        return false;
    }
    bool renews = item->message.kind == RR_TRANSFER_RENEW;
    if (renews && rr_core_job_cancelled(transfers->core, item->job_id, now)) {
        *reply = (rr_transfer_message){.kind = RR_TRANSFER_VOID, .claim = item->message.claim};
        return false;
    }
    bool current = entry->home.record.state == RR_HOME_OFFERED &&
                   entry->home.record.guest == neighbour &&
                   entry->home.record.claim == item->message.claim;
    if (current) {
        transfers->stats.taken += renews && !entry->taken;
        entry->taken = true;
        entry->last_message_at = now;
    }
    rr_home_step step = rr_home_receive(&entry->home, (uint32_t)neighbour, &item->message, now,
                                        &transfers->settings->times);
    transfers->stats.granted += step.message.kind == RR_TRANSFER_GRANT;
    *reply = step.message;
    return step.action == RR_HOME_WRITE && make_write(transfers, entry, wall, write);
}

bool rr_outgoing_refused(rr_transfers *transfers, size_t neighbour, const char *job_id,
                         const rr_transfer_message *message, double now, double wall,
                         rr_transfer_write *write) {
    rr_outgoing *entry = g_hash_table_lookup(transfers->outgoing, job_id);
    if (!entry || entry->token != rr_core_fencing_token(transfers->core)) {
        return false;
    }
    transfers->stats.refused++;
    rr_home_step step = rr_home_receive(&entry->home, (uint32_t)neighbour, message, now,
                                        &transfers->settings->times);
    return step.action == RR_HOME_WRITE && make_write(transfers, entry, wall, write);
}

/* ---- users' requests ---- */

bool rr_transfers_transferred(const rr_transfers *transfers, const char *job_id, size_t *neighbour,
                              char *local_id, size_t size) {
    const rr_outgoing *entry = g_hash_table_lookup(transfers->outgoing, job_id);
    if (!entry || entry->version == 0 || entry->record.state != RR_HOME_OFFERED ||
        entry->neighbour < 0) {
        return false;
    }
    *neighbour = (size_t)entry->neighbour;
    rr_cells_local_id(transfers->settings->name, job_id, entry->record.claim, local_id, size);
    return true;
}

/* How long after a job was taken back a grant may last: one given by a controller that did not know
 * yet, by the clocks of two machines. */
static double grants_last_s(const rr_transfers *transfers) {
    const rr_transfer_times *times = &transfers->settings->times;
    return RR_CELLS_FRESH_S + times->lease_s * (1 + 2 * times->drift) +
           2 * transfers->config->clock_off_s;
}

static enum rr_cancel_first cancel_state(const rr_transfers *transfers, const rr_outgoing *entry,
                                         double wall, double *wait_s) {
    double lasts = grants_last_s(transfers);
    *wait_s = 0;
    if (!entry) {
        return RR_CANCEL_FREE;
    }
    if (entry->version > 0 && entry->record.state != RR_HOME_OFFERED) {
        *wait_s = fmin(entry->record.withdrawn_at + lasts - wall, lasts);
        return *wait_s > 0 ? RR_CANCEL_WAIT : RR_CANCEL_FREE;
    }
    *wait_s = lasts;
    return entry->version == 0 ? RR_CANCEL_WAIT : RR_CANCEL_WITHDRAW; /* 0: it is being offered */
}

bool rr_transfers_may_cancel(const rr_transfers *transfers, const char *job_id, double wall,
                             uint64_t *version) {
    const rr_outgoing *entry = g_hash_table_lookup(transfers->outgoing, job_id);
    double wait_s;
    *version = entry ? entry->version : 0;
    return cancel_state(transfers, entry, wall, &wait_s) == RR_CANCEL_FREE;
}

enum rr_cancel_first rr_transfers_cancel(const rr_transfers *transfers, const char *job_id,
                                         double wall, double *wait_s, rr_out_record *withdrawn,
                                         uint64_t *version) {
    const rr_outgoing *entry = g_hash_table_lookup(transfers->outgoing, job_id);
    enum rr_cancel_first first = cancel_state(transfers, entry, wall, wait_s);
    if (first == RR_CANCEL_WITHDRAW) {
        *withdrawn = rr_cells_out_withdrawn(&entry->record, wall);
        *version = entry->version;
    }
    return first;
}
