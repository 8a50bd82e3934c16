/* Model checker for the transfer of one job between a home and two guests. It explores all orders
 * of message deliveries, losses, duplicates, crashes and writes up to a depth, and random walks
 * beyond that, and checks the invariants after every event. It also checks liveness: from the last
 * state of every walk, the job gets its answer once no further fault occurs.
 *
 * Optional arguments, for a longer check than CI's: DEPTH WALKS SEED. */
#include "cells/transfer.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include <glib.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define GUESTS 2
#define MESSAGES_MAX 3            /* in transit at a time; further ones are lost */
#define RESTART_CLOCK_STEP_S (-7) /* by which a guest's clock moves when it restarts */

static const rr_transfer_times transfer_times = {.lease_s = 2, .teardown_s = 1, .drift = 0};
static unsigned depth = 8;     /* events in the exhaustive search */
static unsigned walks = 20000; /* number of random walks */
static unsigned seed = 1;      /* of the random walks */

/* A message in transit. */
struct message {
    bool used;      /* false: this slot is free */
    bool to_home;   /* false: to the guest */
    uint32_t guest; /* the guest at the other end */
    rr_transfer_message content;
};

/* State of the model. It is hashed as bytes, so padding has to be zeroed. Times are in seconds. */
struct model {
    double now; /* also the home's clock */
    rr_home home;
    rr_home_record home_stored;
    rr_guest guests[GUESTS];
    rr_guest_record guest_stored[GUESTS];
    double clock_offset[GUESTS];  /* offset of each guest's clock from the model's time */
    double grant_ends_at[GUESTS]; /* model time at which each guest's last grant ends */
    struct message messages[MESSAGES_MAX];
    unsigned runs_started, runs_finished; /* in any cell */
    enum rr_job_answer announced_answer;  /* what the home's users were told; NONE: nothing yet */
};

/* Events of the model. REPEATS: the cell repeats its last message. WRITTEN, NOT_WRITTEN: its commit
 * succeeds or fails. CRASHES_AFTER_WRITE: its commit succeeds, but it restarts before it learns
 * that. */
enum event_kind {
    TICK,
    HOME_OFFERS,
    HOME_WITHDRAWS,
    HOME_STARTS,
    HOME_ENDS,
    HOME_CANCELS,
    HOME_WRITTEN,
    HOME_NOT_WRITTEN,
    HOME_CRASHES,
    HOME_CRASHES_AFTER_WRITE,
    HOME_REPEATS,
    GUEST_STARTS,
    GUEST_STOPS,
    GUEST_ENDS,
    GUEST_WRITTEN,
    GUEST_NOT_WRITTEN,
    GUEST_CRASHES,
    GUEST_CRASHES_AFTER_WRITE,
    GUEST_REPEATS,
    DELIVER,
    DELIVER_WITHOUT_ROOM,
    DELIVER_TWICE,
    LOSE,
    EVENT_KINDS
};

/* How many events of each kind there are: one, or one for each guest or message. */
static const unsigned choice_counts[EVENT_KINDS] = {
    [TICK] = 1,
    [HOME_OFFERS] = GUESTS,
    [HOME_WITHDRAWS] = 1,
    [HOME_STARTS] = 1,
    [HOME_ENDS] = 1,
    [HOME_CANCELS] = 1,
    [HOME_WRITTEN] = 1,
    [HOME_NOT_WRITTEN] = 1,
    [HOME_CRASHES] = 1,
    [HOME_CRASHES_AFTER_WRITE] = 1,
    [HOME_REPEATS] = 1,
    [GUEST_STARTS] = GUESTS,
    [GUEST_STOPS] = GUESTS,
    [GUEST_ENDS] = GUESTS,
    [GUEST_WRITTEN] = GUESTS,
    [GUEST_NOT_WRITTEN] = GUESTS,
    [GUEST_CRASHES] = GUESTS,
    [GUEST_CRASHES_AFTER_WRITE] = GUESTS,
    [GUEST_REPEATS] = GUESTS,
    [DELIVER] = MESSAGES_MAX,
    [DELIVER_WITHOUT_ROOM] = MESSAGES_MAX,
    [DELIVER_TWICE] = MESSAGES_MAX,
    [LOSE] = MESSAGES_MAX,
};

/* ---- events ---- */

/* Puts the message in transit. It is lost if it is RR_TRANSFER_NOTHING or no slot is free. */
static void send_message(struct model *model, bool to_home, uint32_t guest,
                         const rr_transfer_message *content) {
    for (int i = 0; content->kind != RR_TRANSFER_NOTHING && i < MESSAGES_MAX; i++) {
        if (!model->messages[i].used) {
            model->messages[i].used = true;
            model->messages[i].to_home = to_home;
            model->messages[i].guest = guest;
            model->messages[i].content = *content;
            return;
        }
    }
}

/* Returns the time of the guest's own clock. */
static double guest_now(const struct model *model, uint32_t index) {
    return model->now + model->clock_offset[index];
}

/* Sends the message of a step of the home to a guest. */
static void send_home_message(struct model *model, uint32_t guest, rr_home_step step) {
    send_message(model, false, guest, &step.message);
}

/* Sends the message of a guest's step to the home. */
static void send_guest_message(struct model *model, uint32_t index, rr_guest_step step) {
    send_message(model, true, index, &step.message);
}

/* Starts the job's tasks in the cell that *running belongs to. */
static void start_run(struct model *model, bool *running) {
    *running = true;
    model->runs_started++;
}

/* Completes the write that is under way at the home. applied: it succeeds; crash: the home then
 * restarts from its stored record. */
static void complete_home_write(struct model *model, bool applied, bool crash) {
    if (applied) {
        model->home_stored = model->home.pending_record;
    }
    uint32_t guest = model->home.pending_record.guest;
    if (crash) {
        rr_home_load(&model->home, &model->home_stored, model->home.running, model->now,
                     &transfer_times);
    } else {
        send_home_message(model, guest, rr_home_complete_write(&model->home, applied));
    }
    if (model->home.record.state == RR_HOME_FINAL) {
        model->announced_answer = model->home.record.answer;
        model->home.running = false; /* the model stops tasks of a final job at once */
    }
}

/* Restarts the guest from its stored record, as another process with another clock. */
static void restart_guest(struct model *model, uint32_t index) {
    uint64_t process = model->guests[index].process + 1;
    model->clock_offset[index] += RESTART_CLOCK_STEP_S;
    rr_guest_load(&model->guests[index], &model->guest_stored[index], model->guests[index].running,
                  process);
}

/* As complete_home_write(), at a guest. */
static void complete_guest_write(struct model *model, uint32_t index, bool applied, bool crash) {
    if (applied) {
        model->guest_stored[index] = model->guests[index].pending_record;
    }
    if (crash) {
        restart_guest(model, index);
    } else {
        send_guest_message(model, index, rr_guest_complete_write(&model->guests[index], applied));
    }
}

/* Delivers a message and sends what follows. room: a guest may take an offer. */
static void deliver_message(struct model *model, int i, bool room) {
    struct message message = model->messages[i];
    memset(&model->messages[i], 0, sizeof model->messages[i]);
    rr_guest *guest = &model->guests[message.guest];
    if (message.to_home) {
        send_home_message(model, message.guest,
                          rr_home_receive(&model->home, message.guest, &message.content, model->now,
                                          &transfer_times));
        return;
    }
    send_guest_message(model, message.guest,
                       rr_guest_receive(guest, &message.content, room, &transfer_times));
    if (guest->granted_until > 0) {
        model->grant_ends_at[message.guest] =
            guest->granted_until - model->clock_offset[message.guest];
    }
}

/* Advances the time by a second. Tasks that a guest does not stop end by their workers' lease,
 * teardown_s after the guest's grant has ended. */
static void advance_second(struct model *model) {
    model->now++;
    for (uint32_t index = 0; index < GUESTS; index++) {
        if (model->now >= model->grant_ends_at[index] + transfer_times.teardown_s) {
            model->guests[index].running = false;
        }
    }
}

/* Applies an event of the home. */
static void apply_home_event(struct model *model, enum event_kind kind, uint32_t index) {
    rr_home *home = &model->home;
    switch (kind) {
    case HOME_OFFERS:
        send_home_message(model, index, rr_home_offer(home, index, model->now));
        break;
    case HOME_WITHDRAWS:
        send_home_message(model, index, rr_home_withdraw(home));
        break;
    case HOME_STARTS:
        if (!home->running && rr_home_may_run(home, model->now)) {
            start_run(model, &home->running);
        }
        break;
    case HOME_ENDS:
        if (home->running && !home->write_pending) {
            model->runs_finished++;
            send_home_message(model, 0, rr_home_end(home, RR_ANSWER_DONE));
        }
        break;
    case HOME_CANCELS:
        send_home_message(model, 0, rr_home_end(home, RR_ANSWER_CANCELLED));
        break;
    case HOME_WRITTEN:
    case HOME_NOT_WRITTEN:
    case HOME_CRASHES_AFTER_WRITE:
        if (home->write_pending) {
            complete_home_write(model, kind != HOME_NOT_WRITTEN, kind == HOME_CRASHES_AFTER_WRITE);
        }
        break;
    case HOME_CRASHES:
        rr_home_load(home, &model->home_stored, home->running, model->now, &transfer_times);
        break;
    default:
        send_home_message(model, home->record.guest, rr_home_resend_offer(home));
    }
}

/* Applies an event of a guest. */
static void apply_guest_event(struct model *model, enum event_kind kind, uint32_t index) {
    rr_guest *guest = &model->guests[index];
    bool may_run = rr_guest_may_run(guest, guest_now(model, index));
    switch (kind) {
    case GUEST_STARTS:
        if (!guest->running && may_run) {
            start_run(model, &guest->running);
        }
        break;
    case GUEST_STOPS:
        guest->running = guest->running && may_run;
        break;
    case GUEST_ENDS:
        if (guest->running && may_run) {
            guest->running = false;
            model->runs_finished++;
            send_guest_message(model, index, rr_guest_end(guest, RR_ANSWER_DONE));
        }
        break;
    case GUEST_WRITTEN:
    case GUEST_NOT_WRITTEN:
    case GUEST_CRASHES_AFTER_WRITE:
        if (guest->write_pending) {
            complete_guest_write(model, index, kind != GUEST_NOT_WRITTEN,
                                 kind == GUEST_CRASHES_AFTER_WRITE);
        }
        break;
    case GUEST_CRASHES:
        restart_guest(model, index);
        break;
    default:
        send_guest_message(model, index, rr_guest_next_step(guest, guest_now(model, index)));
    }
}

/* Applies an event of a message. Returns false if it is not possible. */
static bool apply_message_event(struct model *model, enum event_kind kind, unsigned i) {
    if (!model->messages[i].used) {
        return false;
    }
    if (kind == LOSE) {
        memset(&model->messages[i], 0, sizeof model->messages[i]);
        return true;
    }
    struct message copy = model->messages[i];
    if (kind == DELIVER_WITHOUT_ROOM && copy.content.kind != RR_TRANSFER_OFFER) {
        return false;
    }
    deliver_message(model, (int)i, kind != DELIVER_WITHOUT_ROOM);
    if (kind == DELIVER_TWICE) {
        send_message(model, copy.to_home, copy.guest, &copy.content);
    }
    return true;
}

/* Applies an event; one that is not possible changes nothing. choice: the guest or message that it
 * is about. Returns false if there is no such message. */
static bool apply_event(struct model *model, enum event_kind kind, unsigned choice) {
    if (kind == TICK) {
        advance_second(model);
        return true;
    }
    if (kind > GUEST_REPEATS) {
        return apply_message_event(model, kind, choice);
    }
    if (kind > HOME_REPEATS) {
        apply_guest_event(model, kind, choice);
    } else {
        apply_home_event(model, kind, choice);
    }
    return true;
}

/* ---- invariants ---- */

/* Returns the invariant that the event which led from `before` to this state breaks, or NULL. */
static const char *find_broken_invariant(const struct model *before, const struct model *model) {
    unsigned running = model->home.running;
    for (uint32_t index = 0; index < GUESTS; index++) {
        running += model->guests[index].running;
        if (model->guest_stored[index].claim < before->guest_stored[index].claim) {
            return "the claim number of a guest decreased";
        }
    }
    if (running > 1) {
        return "the job runs in two cells";
    }
    if (model->home_stored.claim < before->home_stored.claim) {
        return "the claim number of the home decreased, so it may be used twice";
    }
    if (before->announced_answer != RR_ANSWER_NONE &&
        model->announced_answer != before->announced_answer) {
        return "the final answer changed";
    }
    if (model->announced_answer == RR_ANSWER_DONE && model->runs_finished == 0) {
        return "the job was announced as done, but no run of it has ended";
    }
    return NULL;
}

/* Returns the state before the first event: the home has the job, and nothing runs. */
static struct model initial_model(void) {
    struct model model;
    memset(&model, 0, sizeof model);
    rr_home_load(&model.home, &model.home_stored, false, 0, &transfer_times);
    for (uint32_t index = 0; index < GUESTS; index++) {
        model.clock_offset[index] = 100 * (index + 1);
        model.grant_ends_at[index] = -100;
        rr_guest_load(&model.guests[index], &model.guest_stored[index], false, 1);
    }
    return model;
}

/* ---- exhaustive search of all orders of events, up to a depth ---- */

/* Returns a 64-bit hash of the state's bytes, computed as in FNV-1a. Owned by the caller. */
static guint64 *hash_model(const struct model *model) {
    guint64 *hash = g_new(guint64, 1);
    const unsigned char *bytes = (const unsigned char *)model;
    *hash = 1469598103934665603ULL;
    for (size_t i = 0; i < sizeof *model; i++) {
        *hash = (*hash ^ bytes[i]) * 1099511628211ULL;
    }
    return hash;
}

/* Applies every possible event to a state, and adds the states not seen before to next. */
static void expand_model(const struct model *from, GHashTable *seen_hashes, GArray *next) {
    for (int kind = 0; kind < EVENT_KINDS; kind++) {
        for (unsigned choice = 0; choice < choice_counts[kind]; choice++) {
            struct model model = *from;
            if (!apply_event(&model, (enum event_kind)kind, choice)) {
                continue;
            }
            const char *broken = find_broken_invariant(from, &model);
            if (broken) {
                fail_msg("%s, after event %d with choice %u", broken, kind, choice);
            }
            if (g_hash_table_add(seen_hashes, hash_model(&model))) {
                g_array_append_val(next, model);
            }
        }
    }
}

/* Returns a state in which the first guest runs the job with a grant. */
static struct model model_running_at_guest(void) {
    static const enum event_kind events[] = {HOME_OFFERS,   HOME_WRITTEN, DELIVER, GUEST_WRITTEN,
                                             GUEST_REPEATS, DELIVER,      DELIVER, GUEST_STARTS};
    struct model model = initial_model();
    for (size_t i = 0; i < G_N_ELEMENTS(events); i++) {
        assert_true(apply_event(&model, events[i], 0));
    }
    assert_true(model.guests[0].running);
    return model;
}

/* Returns a state in which the home has withdrawn the job, and the guest has not been told. */
static struct model model_withdrawn(void) {
    struct model model = model_running_at_guest();
    assert_true(apply_event(&model, HOME_WITHDRAWS, 0));
    assert_true(apply_event(&model, HOME_WRITTEN, 0));
    assert_true(apply_event(&model, LOSE, 0));
    return model;
}

/* Checks all orders of `depth` events from this state, breadth first. description: of the state,
 * for the printed result. */
static void explore(struct model start, const char *description) {
    GHashTable *seen_hashes = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    GArray *frontier = g_array_new(FALSE, FALSE, sizeof(struct model));
    g_array_append_val(frontier, start);
    for (unsigned i = 0; i < depth; i++) {
        GArray *next = g_array_new(FALSE, FALSE, sizeof(struct model));
        for (guint k = 0; k < frontier->len; k++) {
            expand_model(&g_array_index(frontier, struct model, k), seen_hashes, next);
        }
        g_array_free(frontier, TRUE);
        frontier = next;
    }
    printf("%u states within %u events of %s\n", g_hash_table_size(seen_hashes), depth,
           description);
    g_array_free(frontier, TRUE);
    g_hash_table_destroy(seen_hashes);
}

static void no_order_of_events_breaks_an_invariant(void **state) {
    (void)state;
    explore(initial_model(), "the initial state");
    explore(model_running_at_guest(), "a job running at a guest");
    explore(model_withdrawn(), "a job withdrawn without the guest's knowledge");
}

/* ---- random walks, each ended without faults ---- */

#define WALK_EVENTS 400
/* An event of a rare kind takes place once in RARE_EVENT_PERIOD draws. Such events end a transfer
 * or discard much of its progress, so that walks would be short if they were as frequent as the
 * other kinds. */
#define RARE_EVENT_PERIOD 40

/* Runs the model without faults until the job has an answer, for 200 rounds at most: writes
 * succeed, messages arrive, nothing crashes, and a cell that may run the job finishes it. */
static void run_without_faults(struct model *model) {
    for (unsigned round = 0; round < 200 && model->announced_answer == RR_ANSWER_NONE; round++) {
        apply_event(model, HOME_WRITTEN, 0);
        apply_event(model, HOME_STARTS, 0);
        apply_event(model, HOME_ENDS, 0);
        for (uint32_t index = 0; index < GUESTS; index++) {
            apply_event(model, GUEST_WRITTEN, index);
            apply_event(model, GUEST_STARTS, index);
            apply_event(model, GUEST_ENDS, index);
            apply_event(model, GUEST_STOPS, index);
            apply_event(model, GUEST_REPEATS, index);
        }
        for (unsigned i = 0; i < MESSAGES_MAX; i++) {
            apply_event(model, DELIVER, i);
        }
        apply_event(model, HOME_REPEATS, 0);
        if (round % 3 == 2) {
            apply_event(model, TICK, 0);
        }
    }
}

/* Whether events of this kind are limited by RARE_EVENT_PERIOD. */
static bool is_rare(enum event_kind kind) {
    switch (kind) {
    case HOME_CANCELS:
    case HOME_WITHDRAWS:
    case HOME_CRASHES:
    case HOME_STARTS:
    case HOME_ENDS:
    case GUEST_CRASHES:
    case GUEST_ENDS:
        return true;
    default:
        return false;
    }
}

/* Whether a guest has started the job since `before`. */
static bool starts_at_guest(const struct model *before, const struct model *model) {
    return (model->guests[0].running && !before->guests[0].running) ||
           (model->guests[1].running && !before->guests[1].running);
}

/* Makes one random walk from the initial state and returns its last model. Adds the number of runs
 * at guests to *guest_runs. */
static struct model walk_randomly(GRand *random, unsigned walk, unsigned *guest_runs) {
    struct model model = initial_model();
    for (unsigned step = 0; step < WALK_EVENTS; step++) {
        struct model before = model;
        enum event_kind kind = (enum event_kind)g_rand_int_range(random, 0, EVENT_KINDS);
        unsigned choice = (unsigned)g_rand_int_range(random, 0, (gint)choice_counts[kind]);
        if ((is_rare(kind) && g_rand_int_range(random, 0, RARE_EVENT_PERIOD) > 0) ||
            !apply_event(&model, kind, choice)) {
            continue;
        }
        *guest_runs += starts_at_guest(&before, &model);
        const char *broken = find_broken_invariant(&before, &model);
        if (broken) {
            fail_msg("%s: seed %u, walk %u, step %u", broken, seed, walk, step);
        }
    }
    return model;
}

/* Walks test transfers only if guests run the job in them, so a minimum of such runs is checked. */
static void random_walks_keep_invariants_and_reach_an_answer(void **state) {
    (void)state;
    GRand *random = g_rand_new_with_seed(seed);
    unsigned guest_runs = 0;
    for (unsigned walk = 0; walk < walks; walk++) {
        struct model model = walk_randomly(random, walk, &guest_runs);
        run_without_faults(&model);
        if (model.announced_answer == RR_ANSWER_NONE) {
            fail_msg("the job got no answer: seed %u, walk %u", seed, walk);
        }
    }
    printf("%u walks of %u events, seed %u; %u runs at guests\n", walks, WALK_EVENTS, seed,
           guest_runs);
    assert_true(guest_runs > walks / 10);
    g_rand_free(random);
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(no_order_of_events_breaks_an_invariant),
        cmocka_unit_test(random_walks_keep_invariants_and_reach_an_answer)};
    depth = argc > 1 ? (unsigned)strtoul(argv[1], NULL, 10) : depth;
    walks = argc > 2 ? (unsigned)strtoul(argv[2], NULL, 10) : walks;
    seed = argc > 3 ? (unsigned)strtoul(argv[3], NULL, 10) : seed;
    return cmocka_run_group_tests(tests, NULL, NULL);
}
