/* A model check of the transfer of one job between a home and two guests: all orders of messages,
 * losses, repeats, crashes and writes up to a depth, and long random walks beyond it, with the
 * invariants checked after every event. From the states that the walks reach the job gets its
 * answer once no further fault occurs.
 *
 * Arguments, to go further than CI does: DEPTH WALKS SEED. */
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
#define MESSAGES 3      /* in transit at a time; further ones are lost */
#define CLOCK_STEP (-7) /* by which a restarted guest's clock differs from the last one's */

static const rr_transfer_times times = {.lease_s = 2, .teardown_s = 1, .drift = 0};
static unsigned depth = 8, walks = 20000, seed = 1;

struct message {
    bool used, to_home;
    uint32_t guest;
    rr_transfer_message content;
};

/* The whole model. Compared and hashed as bytes, so it is zeroed first. */
struct state {
    double now;
    rr_home home;
    rr_home_record home_stored;
    rr_guest guests[GUESTS];
    rr_guest_record guest_stored[GUESTS];
    double clock[GUESTS];   /* a guest's clock minus the model's time */
    double ends_at[GUESTS]; /* the time at which its last grant ends */
    struct message messages[MESSAGES];
    unsigned runs_started, runs_done; /* in any cell */
    enum rr_job_answer announced;     /* to the home's users */
};

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

static const unsigned choices[EVENT_KINDS] = {
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
    [DELIVER] = MESSAGES,
    [DELIVER_WITHOUT_ROOM] = MESSAGES,
    [DELIVER_TWICE] = MESSAGES,
    [LOSE] = MESSAGES,
};

/* ---- events ---- */

static void send(struct state *state, bool to_home, uint32_t guest,
                 const rr_transfer_message *content) {
    for (int i = 0; content->kind != RR_TRANSFER_NOTHING && i < MESSAGES; i++) {
        if (!state->messages[i].used) {
            state->messages[i].used = true;
            state->messages[i].to_home = to_home;
            state->messages[i].guest = guest;
            state->messages[i].content = *content;
            return;
        }
    }
}

static double guest_now(const struct state *state, uint32_t index) {
    return state->now + state->clock[index];
}

static void home_step(struct state *state, uint32_t guest, rr_home_step step) {
    send(state, false, guest, &step.message);
}

static void guest_step(struct state *state, uint32_t index, rr_guest_step step) {
    send(state, true, index, &step.message);
}

static void start(struct state *state, bool *running) {
    *running = true;
    state->runs_started++;
}

static void home_write(struct state *state, bool applied, bool crash) {
    if (applied) {
        state->home_stored = state->home.pending_record;
    }
    uint32_t guest = state->home.pending_record.guest;
    if (crash) {
        rr_home_load(&state->home, &state->home_stored, state->home.running, state->now, &times);
    } else {
        home_step(state, guest, rr_home_complete_write(&state->home, applied));
    }
    if (state->home.record.state == RR_HOME_FINAL) {
        state->announced = state->home.record.answer;
        state->home.running = false; /* tasks of a final job are stopped, in the model at once */
    }
}

static void guest_crash(struct state *state, uint32_t index) {
    uint64_t process = state->guests[index].process + 1;
    state->clock[index] += CLOCK_STEP;
    rr_guest_load(&state->guests[index], &state->guest_stored[index], state->guests[index].running,
                  process);
}

static void guest_write(struct state *state, uint32_t index, bool applied, bool crash) {
    if (applied) {
        state->guest_stored[index] = state->guests[index].pending_record;
    }
    if (crash) {
        guest_crash(state, index);
    } else {
        guest_step(state, index, rr_guest_complete_write(&state->guests[index], applied));
    }
}

static void deliver(struct state *state, int i, bool room) {
    struct message message = state->messages[i];
    memset(&state->messages[i], 0, sizeof state->messages[i]);
    rr_guest *guest = &state->guests[message.guest];
    if (message.to_home) {
        home_step(
            state, message.guest,
            rr_home_receive(&state->home, message.guest, &message.content, state->now, &times));
        return;
    }
    guest_step(state, message.guest, rr_guest_receive(guest, &message.content, room, &times));
    if (guest->granted_until > 0) {
        state->ends_at[message.guest] = guest->granted_until - state->clock[message.guest];
    }
}

/* By the workers' lease, tasks that a guest does not stop are gone teardown_s after its grant ends.
 */
static void tick(struct state *state) {
    state->now++;
    for (uint32_t index = 0; index < GUESTS; index++) {
        if (state->now >= state->ends_at[index] + times.teardown_s) {
            state->guests[index].running = false;
        }
    }
}

static void home_event(struct state *state, enum event_kind kind, uint32_t index) {
    rr_home *home = &state->home;
    switch (kind) {
    case HOME_OFFERS:
        home_step(state, index, rr_home_offer(home, index, state->now));
        break;
    case HOME_WITHDRAWS:
        home_step(state, index, rr_home_withdraw(home));
        break;
    case HOME_STARTS:
        if (!home->running && rr_home_may_run(home, state->now)) {
            start(state, &home->running);
        }
        break;
    case HOME_ENDS:
        if (home->running && !home->write_pending) {
            state->runs_done++;
            home_step(state, 0, rr_home_end(home, RR_ANSWER_DONE));
        }
        break;
    case HOME_CANCELS:
        home_step(state, 0, rr_home_end(home, RR_ANSWER_CANCELLED));
        break;
    case HOME_WRITTEN:
    case HOME_NOT_WRITTEN:
    case HOME_CRASHES_AFTER_WRITE:
        if (home->write_pending) {
            home_write(state, kind != HOME_NOT_WRITTEN, kind == HOME_CRASHES_AFTER_WRITE);
        }
        break;
    case HOME_CRASHES:
        rr_home_load(home, &state->home_stored, home->running, state->now, &times);
        break;
    default:
        home_step(state, home->record.guest, rr_home_resend_offer(home));
    }
}

static void guest_event(struct state *state, enum event_kind kind, uint32_t index) {
    rr_guest *guest = &state->guests[index];
    bool may = rr_guest_may_run(guest, guest_now(state, index));
    switch (kind) {
    case GUEST_STARTS:
        if (!guest->running && may) {
            start(state, &guest->running);
        }
        break;
    case GUEST_STOPS:
        guest->running = guest->running && may;
        break;
    case GUEST_ENDS:
        if (guest->running && may) {
            guest->running = false;
            state->runs_done++;
            guest_step(state, index, rr_guest_end(guest, RR_ANSWER_DONE));
        }
        break;
    case GUEST_WRITTEN:
    case GUEST_NOT_WRITTEN:
    case GUEST_CRASHES_AFTER_WRITE:
        if (guest->write_pending) {
            guest_write(state, index, kind != GUEST_NOT_WRITTEN, kind == GUEST_CRASHES_AFTER_WRITE);
        }
        break;
    case GUEST_CRASHES:
        guest_crash(state, index);
        break;
    default:
        guest_step(state, index, rr_guest_next_step(guest, guest_now(state, index)));
    }
}

static bool message_event(struct state *state, enum event_kind kind, unsigned i) {
    if (!state->messages[i].used) {
        return false;
    }
    if (kind == LOSE) {
        memset(&state->messages[i], 0, sizeof state->messages[i]);
        return true;
    }
    struct message copy = state->messages[i];
    if (kind == DELIVER_WITHOUT_ROOM && copy.content.kind != RR_TRANSFER_OFFER) {
        return false;
    }
    deliver(state, (int)i, kind != DELIVER_WITHOUT_ROOM);
    if (kind == DELIVER_TWICE) {
        send(state, copy.to_home, copy.guest, &copy.content);
    }
    return true;
}

/* Applies an event; one that is not possible changes nothing. False: there is no such message. */
static bool apply(struct state *state, enum event_kind kind, unsigned choice) {
    if (kind == TICK) {
        tick(state);
        return true;
    }
    if (kind > GUEST_REPEATS) {
        return message_event(state, kind, choice);
    }
    if (kind > HOME_REPEATS) {
        guest_event(state, kind, choice);
    } else {
        home_event(state, kind, choice);
    }
    return true;
}

/* ---- invariants ---- */

/* The invariant that the step from `before` breaks; NULL: none. */
static const char *broken_invariant(const struct state *before, const struct state *state) {
    unsigned running = state->home.running;
    for (uint32_t index = 0; index < GUESTS; index++) {
        running += state->guests[index].running;
        if (state->guest_stored[index].claim < before->guest_stored[index].claim) {
            return "a guest's claim went back";
        }
    }
    if (running > 1) {
        return "it runs in two cells";
    }
    if (state->home_stored.claim < before->home_stored.claim) {
        return "a claim number was used again";
    }
    if (before->announced != RR_ANSWER_NONE && state->announced != before->announced) {
        return "a final answer changed";
    }
    if (state->announced == RR_ANSWER_DONE && state->runs_done == 0) {
        return "done, but no run has ended";
    }
    return NULL;
}

static struct state first_state(void) {
    struct state state;
    memset(&state, 0, sizeof state);
    rr_home_load(&state.home, &state.home_stored, false, 0, &times);
    for (uint32_t index = 0; index < GUESTS; index++) {
        state.clock[index] = 100 * (index + 1);
        state.ends_at[index] = -100;
        rr_guest_load(&state.guests[index], &state.guest_stored[index], false, 1);
    }
    return state;
}

/* ---- all orders of events, to a depth ---- */

static guint64 *digest(const struct state *state) {
    guint64 *hash = g_new(guint64, 1);
    const unsigned char *bytes = (const unsigned char *)state;
    *hash = 1469598103934665603ULL;
    for (size_t i = 0; i < sizeof *state; i++) {
        *hash = (*hash ^ bytes[i]) * 1099511628211ULL;
    }
    return hash;
}

static void expand(const struct state *from, GHashTable *seen, GArray *next) {
    for (int kind = 0; kind < EVENT_KINDS; kind++) {
        for (unsigned choice = 0; choice < choices[kind]; choice++) {
            struct state state = *from;
            if (!apply(&state, (enum event_kind)kind, choice)) {
                continue;
            }
            const char *broken = broken_invariant(from, &state);
            if (broken) {
                fail_msg("%s, after event %d %u", broken, kind, choice);
            }
            if (g_hash_table_add(seen, digest(&state))) {
                g_array_append_val(next, state);
            }
        }
    }
}

/* The first guest has the job, a grant, and runs it. */
static struct state guest_runs_it(void) {
    static const enum event_kind events[] = {HOME_OFFERS,   HOME_WRITTEN, DELIVER, GUEST_WRITTEN,
                                             GUEST_REPEATS, DELIVER,      DELIVER, GUEST_STARTS};
    struct state state = first_state();
    for (size_t i = 0; i < G_N_ELEMENTS(events); i++) {
        assert_true(apply(&state, events[i], 0));
    }
    assert_true(state.guests[0].running);
    return state;
}

/* The home has withdrawn the job, and the guest does not know. */
static struct state withdrawn(void) {
    struct state state = guest_runs_it();
    assert_true(apply(&state, HOME_WITHDRAWS, 0));
    assert_true(apply(&state, HOME_WRITTEN, 0));
    assert_true(apply(&state, LOSE, 0));
    return state;
}

static void explore(struct state first, const char *from) {
    GHashTable *seen = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
    GArray *level = g_array_new(FALSE, FALSE, sizeof(struct state));
    g_array_append_val(level, first);
    for (unsigned i = 0; i < depth; i++) {
        GArray *next = g_array_new(FALSE, FALSE, sizeof(struct state));
        for (guint k = 0; k < level->len; k++) {
            expand(&g_array_index(level, struct state, k), seen, next);
        }
        g_array_free(level, TRUE);
        level = next;
    }
    printf("%u states within %u events of %s\n", g_hash_table_size(seen), depth, from);
    g_array_free(level, TRUE);
    g_hash_table_destroy(seen);
}

static void no_order_of_events_breaks_an_invariant(void **state) {
    (void)state;
    explore(first_state(), "the beginning");
    explore(guest_runs_it(), "a guest that runs it");
    explore(withdrawn(), "a job taken back, the guest not told");
}

/* ---- random walks, each with an orderly end ---- */

#define WALK_EVENTS 400
/* One in so many of the events that end a transfer or undo much takes place, or walks would be
 * short. */
#define RARE_EVENT_PART 40

/* Writes succeed, messages arrive, nobody crashes; a cell that may run the job does, to its end. */
static void play_without_faults(struct state *state) {
    for (unsigned round = 0; round < 200 && state->announced == RR_ANSWER_NONE; round++) {
        apply(state, HOME_WRITTEN, 0);
        apply(state, HOME_STARTS, 0);
        apply(state, HOME_ENDS, 0);
        for (uint32_t index = 0; index < GUESTS; index++) {
            apply(state, GUEST_WRITTEN, index);
            apply(state, GUEST_STARTS, index);
            apply(state, GUEST_ENDS, index);
            apply(state, GUEST_STOPS, index);
            apply(state, GUEST_REPEATS, index);
        }
        for (unsigned i = 0; i < MESSAGES; i++) {
            apply(state, DELIVER, i);
        }
        apply(state, HOME_REPEATS, 0);
        if (round % 3 == 2) {
            apply(state, TICK, 0);
        }
    }
}

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

static bool starts_at_guest(const struct state *before, const struct state *state) {
    return (state->guests[0].running && !before->guests[0].running) ||
           (state->guests[1].running && !before->guests[1].running);
}

/* One random walk from the first state; adds to *guest_runs. */
static struct state walk_randomly(GRand *random, unsigned walk, unsigned *guest_runs) {
    struct state model = first_state();
    for (unsigned step = 0; step < WALK_EVENTS; step++) {
        struct state before = model;
        enum event_kind kind = (enum event_kind)g_rand_int_range(random, 0, EVENT_KINDS);
        unsigned choice = (unsigned)g_rand_int_range(random, 0, (gint)choices[kind]);
        if ((is_rare(kind) && g_rand_int_range(random, 0, RARE_EVENT_PART) > 0) ||
            !apply(&model, kind, choice)) {
            continue;
        }
        *guest_runs += starts_at_guest(&before, &model);
        const char *broken = broken_invariant(&before, &model);
        if (broken) {
            fail_msg("%s: seed %u, walk %u, step %u", broken, seed, walk, step);
        }
    }
    return model;
}

static void random_walks_keep_invariants_and_reach_an_answer(void **state) {
    (void)state;
    GRand *random = g_rand_new_with_seed(seed);
    unsigned guest_runs = 0;
    for (unsigned walk = 0; walk < walks; walk++) {
        struct state model = walk_randomly(random, walk, &guest_runs);
        play_without_faults(&model);
        if (model.announced == RR_ANSWER_NONE) {
            fail_msg("no answer: seed %u, walk %u", seed, walk);
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
