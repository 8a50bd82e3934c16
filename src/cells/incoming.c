/* Other cells' jobs here: taken when there is room, run while their home grants it, and given back
 * when it does not, or when they can't begin. */
#include "cells/transfers_internal.h"
#include "core/extensions.h"
#include "core/leadership.h"
#include "core/submissions.h"

#include <math.h>
#include <string.h>

#define RENEWALS 4.0     /* in a lease */
#define ROOM_FRESH_S 1.0 /* free room is worked out anew after */
#define TIMES_SLACK_S 1e-3

static const rr_transfer_message no_message = {.kind = RR_TRANSFER_NOTHING};

/* ---- records ---- */

static rr_incoming *get(rr_transfers *transfers, const char *local_id) {
    rr_incoming *entry = g_hash_table_lookup(transfers->incoming, local_id);
    if (!entry) {
        entry = g_new0(rr_incoming, 1);
        g_strlcpy(entry->local_id, local_id, sizeof entry->local_id);
        entry->neighbour = -1;
        g_hash_table_insert(transfers->incoming, entry->local_id, entry);
    }
    return entry;
}

static void forget(rr_transfers *transfers, const char *local_id) {
    rr_core_unhold_job(transfers->core, local_id);
    g_hash_table_remove(transfers->incoming, local_id);
}

void rr_incoming_put(rr_transfers *transfers, const char *local_id, const msgpack_object *value,
                     uint64_t version) {
    rr_in_record record;
    rr_incoming *entry = g_hash_table_lookup(transfers->incoming, local_id);
    if (entry && version < entry->version) {
        return;
    }
    if (!value) {
        if (entry && !entry->guest.writes) {
            forget(transfers, local_id);
        }
        return;
    }
    if (!rr_job_id_valid(local_id) || rr_cells_in_decode(value, &record) != 0) {
        transfers->stats.records_unread++;
        return;
    }
    entry = get(transfers, local_id);
    entry->record = record;
    entry->version = version;
    entry->neighbour = rr_cells_neighbour(transfers->settings, record.home);
    rr_core_hold_job(transfers->core, local_id, RR_HOLD_GUEST);
    if (!entry->guest.writes && entry->guest.record.state != record.state) {
        entry->token = 0;
    }
}

/* ---- writes ---- */

static void begin_write(rr_transfers *transfers, const rr_incoming *entry,
                        rr_transfer_write *write) {
    char key[RR_ID_SIZE + 64];
    memset(write, 0, sizeof *write);
    g_strlcpy(write->id, entry->local_id, sizeof write->id);
    rr_transaction_init(&write->transaction);
    rr_core_guard_term(transfers->core, &write->transaction);
    rr_cells_in_key(entry->local_id, key, sizeof key);
    rr_transaction_guard(&write->transaction, key, entry->version);
}

/* What the machine wants written. */
static void make_write(rr_transfers *transfers, const rr_incoming *entry,
                       rr_transfer_write *write) {
    const rr_guest_record *next = &entry->guest.writing;
    char key[RR_ID_SIZE + 64];
    begin_write(transfers, entry, write);
    rr_cells_in_key(entry->local_id, key, sizeof key);
    if (next->state == RR_GUEST_NONE) {
        rr_transaction_delete(&write->transaction, key);
        return;
    }
    rr_in_record record = entry->record;
    rr_encoder packed;
    record.state = next->state;
    record.claim = next->claim;
    record.answer = next->answer;
    rr_encoder_init(&packed);
    rr_cells_in_encode(&record, &packed);
    rr_transaction_put(&write->transaction, key, &packed, 0);
}

static void add_write(rr_transfers *transfers, const rr_incoming *entry, rr_transfers_plan *plan) {
    rr_transfer_write write;
    make_write(transfers, entry, &write);
    g_ptr_array_add(plan->writes, g_memdup2(&write, sizeof write));
}

/* The copy is cancelled here, which ends its tasks as any cancellation does. */
static void add_end_of_copy(rr_transfers *transfers, const rr_incoming *entry,
                            rr_transfers_plan *plan) {
    rr_transfer_write write;
    rr_core_revoke_job(transfers->core, entry->local_id);
    begin_write(transfers, entry, &write);
    write.ends_copy = true;
    if (rr_core_abandon_job(transfers->core, entry->local_id, &write.transaction)) {
        g_ptr_array_add(plan->writes, g_memdup2(&write, sizeof write));
    } else {
        rr_transfer_write_clear(&write);
    }
}

rr_transfer_message rr_incoming_written(rr_transfers *transfers, const rr_transfer_write *write,
                                        bool committed) {
    rr_incoming *entry = g_hash_table_lookup(transfers->incoming, write->id);
    if (!entry || write->ends_copy) {
        return no_message;
    }
    bool accepts = entry->guest.writing.state == RR_GUEST_HELD;
    rr_guest_written(&entry->guest, committed);
    if (!committed) {
        entry->token = 0;
        if (entry->version == 0) {
            forget(transfers, write->id); /* never taken */
        }
        return no_message;
    }
    transfers->stats.accepted += accepts;
    if (entry->guest.record.state == RR_GUEST_NONE) {
        forget(transfers, write->id);
    }
    return no_message;
}

/* ---- driving ---- */

static bool load(rr_transfers *transfers, rr_incoming *entry, bool running, double now) {
    uint64_t token = rr_core_fencing_token(transfers->core);
    if (entry->token != token && !entry->guest.writes) {
        rr_guest_record record = {entry->record.state, entry->record.claim, entry->record.answer};
        rr_guest_load(&entry->guest, &record, running, transfers->process);
        entry->token = token;
        entry->loaded_at = now;
        entry->said_at = 0;
        entry->begun = entry->begun || running;
    }
    return entry->token == token;
}

/* A grant that ran out; a new owner, which knows of none, waits for one as long as it would last.
 * Neither gets another chance: the copy ends, and the job goes back. */
static bool has_lapsed(const rr_transfers *transfers, const rr_incoming *entry, double now) {
    double first = entry->loaded_at + transfers->settings->lease_s;
    return now >= fmax(entry->guest.granted_until, first);
}

static bool waits_too_long(const rr_transfers *transfers, const rr_incoming *entry, double now) {
    return !entry->begun && now - entry->loaded_at > transfers->settings->give_back_s;
}

static void say(rr_transfers *transfers, rr_incoming *entry, const rr_transfer_message *message,
                double now, rr_transfers_plan *plan) {
    if (entry->neighbour >= 0 && message->kind != RR_TRANSFER_NOTHING) {
        rr_cells_request *request =
            rr_plan_request(transfers, plan, (size_t)entry->neighbour, entry->record.team);
        rr_cells_add_item(request->items, entry->record.job_id, message);
        entry->said_at = now;
    }
}

/* The claim is over, or is given up: the copy goes first. */
static void drive_end(rr_transfers *transfers, rr_incoming *entry, bool open, double now,
                      rr_transfers_plan *plan) {
    if (open) {
        add_end_of_copy(transfers, entry, plan);
        return;
    }
    if (entry->guest.running) {
        return;
    }
    entry->guest.terminated = entry->guest.terminated || entry->neighbour < 0;
    if (entry->guest.terminated) {
        rr_guest_step step = rr_guest_repeat(&entry->guest, now);
        if (step.action == RR_GUEST_WRITE) {
            add_write(transfers, entry, plan);
        }
    } else if (now - entry->said_at >= RR_CELLS_REPEAT_S) {
        rr_transfer_message refuse = {.kind = RR_TRANSFER_REFUSE,
                                      .claim = entry->guest.record.claim};
        say(transfers, entry, &refuse, now, plan);
    }
}

static void drive_held(rr_transfers *transfers, rr_incoming *entry, double now,
                       rr_transfers_plan *plan) {
    double lease = transfers->settings->lease_s * (1 - transfers->settings->drift);
    bool answered = entry->guest.granted_until > entry->said_at + lease - RR_CELLS_REPEAT_S;
    double pause = transfers->settings->lease_s / RENEWALS;
    if (rr_guest_may_run(&entry->guest, now)) {
        rr_core_release_job(transfers->core, entry->local_id, entry->guest.granted_until);
    }
    /* One that was not answered is repeated soon. */
    if (now - entry->said_at >= (answered ? pause : fmin(pause, RR_CELLS_REPEAT_S))) {
        rr_guest_step step = rr_guest_repeat(&entry->guest, now);
        say(transfers, entry, &step.message, now, plan);
    }
}

static void drive(rr_transfers *transfers, rr_incoming *entry, double now,
                  rr_transfers_plan *plan) {
    rr_core_job job = {0};
    bool known = rr_core_find_job(transfers->core, entry->local_id, &job);
    bool cancelled = rr_core_job_cancelled(transfers->core, entry->local_id, now);
    if (!rr_transfers_owns(transfers, entry->record.team, now) ||
        (!known && !rr_core_job_known(transfers->core, entry->local_id)) ||
        !load(transfers, entry, job.placed > 0, now) || entry->guest.writes) {
        return;
    }
    bool held = entry->guest.record.state == RR_GUEST_HELD;
    bool done = !cancelled && (!known || job.done);
    entry->guest.running = job.placed > 0;
    entry->begun = entry->begun || job.placed > 0 || job.done_count > 0;
    if (held && done && !entry->guest.terminated) {
        rr_guest_step step = rr_guest_end(&entry->guest, RR_ANSWER_DONE);
        if (step.action == RR_GUEST_WRITE) {
            add_write(transfers, entry, plan);
        }
        return;
    }
    if (held && !entry->leaving && !done) {
        bool lapsed = has_lapsed(transfers, entry, now);
        entry->leaving = cancelled || lapsed || waits_too_long(transfers, entry, now);
        transfers->stats.lapsed += lapsed;
        transfers->stats.given_back += entry->leaving;
    }
    if (entry->guest.terminated || entry->leaving || entry->neighbour < 0) {
        drive_end(transfers, entry, known && !job.done && !job.cancelled, now, plan);
    } else if (held) {
        drive_held(transfers, entry, now, plan);
    } else if (now - entry->said_at >= RR_CELLS_REPEAT_S) {
        rr_guest_step step = rr_guest_repeat(&entry->guest, now);
        say(transfers, entry, &step.message, now, plan);
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
        if (entry->neighbour == (int)neighbour || (entry->neighbour < 0 && neighbour == 0)) {
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

/* ---- offers ---- */

struct sums {
    double cpus, gpus, mem_gb;
};

static void add_machine(void *user, const char *type, const char *zone, double cpu, double gpu,
                        double mem) {
    struct sums *sums = user;
    (void)type;
    (void)zone;
    sums->cpus += cpu;
    sums->gpus += gpu;
    sums->mem_gb += mem;
}

static void take_off_job(void *user, const rr_submission *submission, int team, uint32_t waiting,
                         uint32_t placed, uint32_t done) {
    struct sums *sums = user;
    double tasks = (double)waiting + placed;
    (void)team;
    (void)done;
    sums->cpus -= tasks * submission->cpus;
    sums->gpus -= tasks * submission->gpus;
    sums->mem_gb -= tasks * submission->mem_gb;
}

/* What all machines have beyond all that runs or waits. */
static void work_out_room(rr_transfers *transfers, double now) {
    if (transfers->room_at > 0 && now - transfers->room_at < ROOM_FRESH_S) {
        return;
    }
    struct sums sums = {0};
    rr_core_each_machine(transfers->core, add_machine, &sums);
    rr_core_each_job(transfers->core, take_off_job, &sums);
    double share = transfers->settings->guest_share;
    transfers->room = (rr_cells_room){share * sums.cpus, share * sums.gpus, share * sums.mem_gb};
    transfers->room_at = now;
}

/* A cell whose own jobs wait has none for others. */
static bool has_room(const rr_transfers *transfers) {
    return !transfers->spill.spilling && transfers->own_wait_s <= transfers->settings->end_wait_s &&
           rr_core_all_hold_capable(transfers->core);
}

rr_cells_room rr_transfers_room(rr_transfers *transfers, double now) {
    work_out_room(transfers, now);
    return has_room(transfers) ? transfers->room : (rr_cells_room){0, 0, 0};
}

/* The home must count on a lease and a rest that are not shorter than this cell's. */
static bool times_agree(const rr_transfers *transfers, const rr_cells_request *request) {
    const rr_transfer_times *own = &transfers->settings->times;
    return own->lease_s <= request->lease_s + TIMES_SLACK_S &&
           own->rest_s <= request->rest_s + TIMES_SLACK_S;
}

static bool may_take(rr_transfers *transfers, const rr_cells_request *request,
                     const rr_submission *submission, double now) {
    const char *why;
    work_out_room(transfers, now);
    /* In pieces the room may still be too small: then the job does not begin, and goes back. */
    return times_agree(transfers, request) && has_room(transfers) &&
           strcmp(submission->team, request->team) == 0 &&
           rr_core_check_submission(transfers->core, submission, &why) == RR_SUBMISSION_NEW &&
           rr_room_take(&transfers->room, submission);
}

/* The record of the claim and the copy come with one change. */
static void write_copy(rr_transfers *transfers, rr_incoming *entry, const rr_submission *submission,
                       double when, rr_transfer_write *write) {
    char key[RR_ID_SIZE + 64];
    rr_encoder packed;
    make_write(transfers, entry, write);
    rr_encoder_init(&packed);
    rr_core_job_encode(&packed, submission, when, false);
    rr_core_job_key(entry->local_id, key, sizeof key);
    rr_transaction_guard(&write->transaction, key, 0);
    rr_transaction_put(&write->transaction, key, &packed, 0);
}

static void fill_record(rr_transfers *transfers, rr_incoming *entry, size_t neighbour,
                        const rr_cells_item *item, const char *team, double now) {
    entry->neighbour = (int)neighbour;
    entry->token = rr_core_fencing_token(transfers->core);
    entry->loaded_at = now;
    entry->guest.process = transfers->process;
    g_strlcpy(entry->record.team, team, sizeof entry->record.team);
    g_strlcpy(entry->record.home, transfers->settings->neighbours[neighbour].name,
              sizeof entry->record.home);
    g_strlcpy(entry->record.job_id, item->job_id, sizeof entry->record.job_id);
}

/* A new offer. True: *write. */
static bool take(rr_transfers *transfers, size_t neighbour, const rr_cells_request *request,
                 const rr_cells_item *item, const char *local_id, double now, double wall,
                 rr_transfer_message *reply, rr_transfer_write *write) {
    rr_document document;
    rr_submission submission = {0};
    const char *field;
    double when = wall;
    rr_guest none = {.process = transfers->process};
    bool readable = item->submission && rr_document_parse(&document, item->submission->data,
                                                          item->submission->len) == 0;
    if (readable) {
        readable = rr_submission_decode(document.root, &submission, &field) == 0;
        rr_map_get_number(document.root, "at", &when);
        rr_document_clear(&document);
    }
    if (readable) {
        g_strlcpy(submission.job_id, local_id, sizeof submission.job_id);
    }
    bool room = readable && may_take(transfers, request, &submission, now);
    rr_guest_step step = rr_guest_receive(&none, &item->message, room, &transfers->settings->times);
    *reply = step.message;
    if (step.action == RR_GUEST_WRITE) {
        rr_incoming *entry = get(transfers, local_id);
        entry->guest = none;
        fill_record(transfers, entry, neighbour, item, request->team, now);
        write_copy(transfers, entry, &submission, when, write);
    }
    rr_submission_clear(&submission);
    return step.action == RR_GUEST_WRITE;
}

bool rr_incoming_offered(rr_transfers *transfers, size_t neighbour, const rr_cells_request *request,
                         const rr_cells_item *item, double now, double wall,
                         rr_transfer_message *reply, rr_transfer_write *write) {
    char local_id[RR_ID_SIZE];
    rr_cells_local_id(transfers->settings->neighbours[neighbour].name, item->job_id,
                      item->message.claim, local_id, sizeof local_id);
    if (g_hash_table_contains(transfers->incoming, local_id)) {
        return false; /* repeated: it is held, or being taken */
    }
    /* A late copy names a claim that was over: its copy is known, and not admitted again. */
    return take(transfers, neighbour, request, item, local_id, now, wall, reply, write);
}
