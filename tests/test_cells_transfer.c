/* The transfer of one job between a home and two guests, walked through: every order of messages,
 * losses, repeats, crashes and writes to a stated depth, and long random walks beyond it, with the
 * invariants checked after every step. Then the same from states that the walks reached, without
 * further faults: the job gets its answer. `test_cells_transfer DEPTH WALKS SEED` goes further. */
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
#define MESSAGES 3      /* on their way at a time; more are lost */
#define CLOCK_STEP (-7) /* by which a restarted guest's clock differs from the last one's */

static const rr_transfer_times times = {.lease_s = 2, .rest_s = 1, .drift = 0};
static unsigned depth = 8, walks = 20000, seed = 1;

struct message {
    bool used, to_home;
    uint32_t guest;
    rr_transfer_message content;
};

/* All there is; compared and hashed as bytes, so that it is zeroed first. */
struct state {
    double now;
    rr_home home;
    rr_home_record home_stored;
    rr_guest guests[GUESTS];
    rr_guest_record guest_stored[GUESTS];
    double clock[GUESTS];   /* a guest's clock less the time */
    double ends_at[GUESTS]; /* the time at which its last grant ends */
    struct message messages[MESSAGES];
    unsigned runs_begun, runs_done; /* anywhere */
    enum rr_job_answer told;        /* the home's users have been told */
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

/* ---- the world round the two machines ---- */

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

static double guest_now(const struct state *state, uint32_t chunk) {
    return state->now + state->clock[chunk];
}

static void home_step(struct state *state, uint32_t until, rr_home_step step) {
    send(state, false, until, &step.message);
}

static void guest_step(struct state *state, uint32_t chunk, rr_guest_step step) {
    send(state, true, chunk, &step.message);
}

static void start(struct state *state, bool *running) {
    *running = true;
    state->runs_begun++;
}

static void home_write(struct state *state, bool applied, bool crash) {
    if (applied) {
        state->home_stored = state->home.writing;
    }
    uint32_t until = state->home.writing.guest;
    if (crash) {
        rr_home_load(&state->home, &state->home_stored, state->home.running, state->now, &times);
    } else {
        home_step(state, until, rr_home_written(&state->home, applied));
    }
    if (state->home.record.state == RR_HOME_FINAL) {
        state->told = state->home.record.answer;
        state->home.running = false; /* what is final is stopped; here at once */
    }
}

static void guest_crash(struct state *state, uint32_t chunk) {
    uint64_t process = state->guests[chunk].process + 1;
    state->clock[chunk] += CLOCK_STEP;
    rr_guest_load(&state->guests[chunk], &state->guest_stored[chunk], state->guests[chunk].running,
                  process);
}

static void guest_write(struct state *state, uint32_t chunk, bool applied, bool crash) {
    if (applied) {
        state->guest_stored[chunk] = state->guests[chunk].writing;
    }
    if (crash) {
        guest_crash(state, chunk);
    } else {
        guest_step(state, chunk, rr_guest_written(&state->guests[chunk], applied));
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

/* The workers' lease: what a guest does not stop is gone a while after its grant ends. */
static void tick(struct state *state) {
    state->now++;
    for (uint32_t chunk = 0; chunk < GUESTS; chunk++) {
        if (state->now >= state->ends_at[chunk] + times.rest_s) {
            state->guests[chunk].running = false;
        }
    }
}

static void home_event(struct state *state, enum event_kind kind, uint32_t chunk) {
    rr_home *home = &state->home;
    switch (kind) {
    case HOME_OFFERS:
        home_step(state, chunk, rr_home_offer(home, chunk, state->now));
        break;
    case HOME_WITHDRAWS:
        home_step(state, chunk, rr_home_withdraw(home));
        break;
    case HOME_STARTS:
        if (!home->running && rr_home_may_run(home, state->now)) {
            start(state, &home->running);
        }
        break;
    case HOME_ENDS:
        if (home->running && !home->writes) {
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
        if (home->writes) {
            home_write(state, kind != HOME_NOT_WRITTEN, kind == HOME_CRASHES_AFTER_WRITE);
        }
        break;
    case HOME_CRASHES:
        rr_home_load(home, &state->home_stored, home->running, state->now, &times);
        break;
    default:
        home_step(state, home->record.guest, rr_home_repeat(home));
    }
}

static void guest_event(struct state *state, enum event_kind kind, uint32_t chunk) {
    rr_guest *guest = &state->guests[chunk];
    bool may = rr_guest_may_run(guest, guest_now(state, chunk));
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
            guest_step(state, chunk, rr_guest_end(guest, RR_ANSWER_DONE));
        }
        break;
    case GUEST_WRITTEN:
    case GUEST_NOT_WRITTEN:
    case GUEST_CRASHES_AFTER_WRITE:
        if (guest->writes) {
            guest_write(state, chunk, kind != GUEST_NOT_WRITTEN, kind == GUEST_CRASHES_AFTER_WRITE);
        }
        break;
    case GUEST_CRASHES:
        guest_crash(state, chunk);
        break;
    default:
        guest_step(state, chunk, rr_guest_repeat(guest, guest_now(state, chunk)));
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

/* False: there is no such message. An event that is not possible changes nothing. */
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

static const char *broken(const struct state *before, const struct state *state) {
    unsigned running = state->home.running;
    for (uint32_t chunk = 0; chunk < GUESTS; chunk++) {
        running += state->guests[chunk].running;
        if (state->guest_stored[chunk].claim < before->guest_stored[chunk].claim) {
            return "a guest's claim went back";
        }
    }
    if (running > 1) {
        return "it runs in two cells";
    }
    if (state->home_stored.claim < before->home_stored.claim) {
        return "a claim number was used again";
    }
    if (before->told != RR_ANSWER_NONE && state->told != before->told) {
        return "a final answer changed";
    }
    if (state->told == RR_ANSWER_DONE && state->runs_done == 0) {
        return "done, but no run has ended";
    }
    return NULL;
}

static struct state first_state(void) {
    struct state state;
    memset(&state, 0, sizeof state);
    rr_home_load(&state.home, &state.home_stored, false, 0, &times);
    for (uint32_t chunk = 0; chunk < GUESTS; chunk++) {
        state.clock[chunk] = 100 * (chunk + 1);
        state.ends_at[chunk] = -100;
        rr_guest_load(&state.guests[chunk], &state.guest_stored[chunk], false, 1);
    }
    return state;
}

/* ---- every order, to a depth ---- */

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
            const char *why = broken(from, &state);
            if (why) {
                fail_msg("%s, after event %d %u", why, kind, choice);
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

/* The home has taken the job back, and the guest does not know. */
static struct state taken_back(void) {
    struct state state = guest_runs_it();
    assert_true(apply(&state, HOME_WITHDRAWS, 0));
    assert_true(apply(&state, HOME_WRITTEN, 0));
    assert_true(apply(&state, LOSE, 0));
    return state;
}

static void walk_all(struct state first, const char *from) {
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

static void every_order_to_a_depth(void **state) {
    (void)state;
    walk_all(first_state(), "the beginning");
    walk_all(guest_runs_it(), "a guest that runs it");
    walk_all(taken_back(), "a job taken back, the guest not told");
}

/* ---- random walks, and an orderly end ---- */

#define WALK 400
#define RARE 40 /* what ends a walk soon, or undoes much, comes so much less often */

/* Writes succeed, messages arrive, nobody crashes; a guest that may run does, and is done. */
static void play_on(struct state *state) {
    for (unsigned round = 0; round < 200 && state->told == RR_ANSWER_NONE; round++) {
        apply(state, HOME_WRITTEN, 0);
        apply(state, HOME_STARTS, 0);
        apply(state, HOME_ENDS, 0);
        for (uint32_t chunk = 0; chunk < GUESTS; chunk++) {
            apply(state, GUEST_WRITTEN, chunk);
            apply(state, GUEST_STARTS, chunk);
            apply(state, GUEST_ENDS, chunk);
            apply(state, GUEST_STOPS, chunk);
            apply(state, GUEST_REPEATS, chunk);
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

static void random_walks(void **state) {
    (void)state;
    GRand *random = g_rand_new_with_seed(seed);
    unsigned guest_runs = 0;
    for (unsigned walk = 0; walk < walks; walk++) {
        struct state model = first_state();
        for (unsigned step = 0; step < WALK; step++) {
            struct state before = model;
            enum event_kind kind = (enum event_kind)g_rand_int_range(random, 0, EVENT_KINDS);
            bool rare = kind == HOME_CANCELS || kind == HOME_WITHDRAWS || kind == HOME_CRASHES ||
                        kind == HOME_STARTS || kind == HOME_ENDS || kind == GUEST_CRASHES ||
                        kind == GUEST_ENDS;
            unsigned choice = (unsigned)g_rand_int_range(random, 0, (gint)choices[kind]);
            if ((rare && g_rand_int_range(random, 0, RARE) > 0) || !apply(&model, kind, choice)) {
                continue;
            }
            guest_runs += (model.guests[0].running && !before.guests[0].running) ||
                          (model.guests[1].running && !before.guests[1].running);
            const char *why = broken(&before, &model);
            if (why) {
                fail_msg("%s: seed %u, walk %u, step %u", why, seed, walk, step);
            }
        }
        play_on(&model);
        if (model.told == RR_ANSWER_NONE) {
            fail_msg("no answer: seed %u, walk %u", seed, walk);
        }
    }
    printf("%u walks of %u events, seed %u; %u runs at guests\n", walks, WALK, seed, guest_runs);
    assert_true(guest_runs > walks / 10);
    g_rand_free(random);
}

int main(int argc, char **argv) {
    const struct CMUnitTest tests[] = {cmocka_unit_test(every_order_to_a_depth),
                                       cmocka_unit_test(random_walks)};
    depth = argc > 1 ? (unsigned)strtoul(argv[1], NULL, 10) : depth;
    walks = argc > 2 ? (unsigned)strtoul(argv[2], NULL, 10) : walks;
    seed = argc > 3 ? (unsigned)strtoul(argv[3], NULL, 10) : seed;
    return cmocka_run_group_tests(tests, NULL, NULL);
}
