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

static void send(struct state *s, bool to_home, uint32_t guest,
                 const rr_transfer_message *content) {
    for (int i = 0; content->kind != RR_TRANSFER_NOTHING && i < MESSAGES; i++) {
        if (!s->messages[i].used) {
            s->messages[i].used = true;
            s->messages[i].to_home = to_home;
            s->messages[i].guest = guest;
            s->messages[i].content = *content;
            return;
        }
    }
}

static double guest_now(const struct state *s, uint32_t g) {
    return s->now + s->clock[g];
}

static void home_step(struct state *s, uint32_t to, rr_home_step step) {
    send(s, false, to, &step.message);
}

static void guest_step(struct state *s, uint32_t g, rr_guest_step step) {
    send(s, true, g, &step.message);
}

static void start(struct state *s, bool *running) {
    *running = true;
    s->runs_begun++;
}

static void home_write(struct state *s, bool applied, bool crash) {
    if (applied) {
        s->home_stored = s->home.writing;
    }
    uint32_t to = s->home.writing.guest;
    if (crash) {
        rr_home_load(&s->home, &s->home_stored, s->home.running, s->now, &times);
    } else {
        home_step(s, to, rr_home_written(&s->home, applied));
    }
    if (s->home.record.state == RR_HOME_FINAL) {
        s->told = s->home.record.answer;
        s->home.running = false; /* what is final is stopped; here at once */
    }
}

static void guest_crash(struct state *s, uint32_t g) {
    uint64_t process = s->guests[g].process + 1;
    s->clock[g] += CLOCK_STEP;
    rr_guest_load(&s->guests[g], &s->guest_stored[g], s->guests[g].running, process);
}

static void guest_write(struct state *s, uint32_t g, bool applied, bool crash) {
    if (applied) {
        s->guest_stored[g] = s->guests[g].writing;
    }
    if (crash) {
        guest_crash(s, g);
    } else {
        guest_step(s, g, rr_guest_written(&s->guests[g], applied));
    }
}

static void deliver(struct state *s, int i, bool room) {
    struct message m = s->messages[i];
    memset(&s->messages[i], 0, sizeof s->messages[i]);
    rr_guest *guest = &s->guests[m.guest];
    if (m.to_home) {
        home_step(s, m.guest, rr_home_receive(&s->home, m.guest, &m.content, s->now, &times));
        return;
    }
    guest_step(s, m.guest, rr_guest_receive(guest, &m.content, room, &times));
    if (guest->granted_until > 0) {
        s->ends_at[m.guest] = guest->granted_until - s->clock[m.guest];
    }
}

/* The workers' lease: what a guest does not stop is gone a while after its grant ends. */
static void tick(struct state *s) {
    s->now++;
    for (uint32_t g = 0; g < GUESTS; g++) {
        if (s->now >= s->ends_at[g] + times.rest_s) {
            s->guests[g].running = false;
        }
    }
}

static void home_event(struct state *s, enum event_kind kind, uint32_t g) {
    rr_home *home = &s->home;
    switch (kind) {
    case HOME_OFFERS:
        home_step(s, g, rr_home_offer(home, g, s->now));
        break;
    case HOME_WITHDRAWS:
        home_step(s, g, rr_home_withdraw(home));
        break;
    case HOME_STARTS:
        if (!home->running && rr_home_may_run(home, s->now)) {
            start(s, &home->running);
        }
        break;
    case HOME_ENDS:
        if (home->running && !home->writes) {
            s->runs_done++;
            home_step(s, 0, rr_home_end(home, RR_ANSWER_DONE));
        }
        break;
    case HOME_CANCELS:
        home_step(s, 0, rr_home_end(home, RR_ANSWER_CANCELLED));
        break;
    case HOME_WRITTEN:
    case HOME_NOT_WRITTEN:
    case HOME_CRASHES_AFTER_WRITE:
        if (home->writes) {
            home_write(s, kind != HOME_NOT_WRITTEN, kind == HOME_CRASHES_AFTER_WRITE);
        }
        break;
    case HOME_CRASHES:
        rr_home_load(home, &s->home_stored, home->running, s->now, &times);
        break;
    default:
        home_step(s, home->record.guest, rr_home_repeat(home));
    }
}

static void guest_event(struct state *s, enum event_kind kind, uint32_t g) {
    rr_guest *guest = &s->guests[g];
    bool may = rr_guest_may_run(guest, guest_now(s, g));
    switch (kind) {
    case GUEST_STARTS:
        if (!guest->running && may) {
            start(s, &guest->running);
        }
        break;
    case GUEST_STOPS:
        guest->running = guest->running && may;
        break;
    case GUEST_ENDS:
        if (guest->running && may) {
            guest->running = false;
            s->runs_done++;
            guest_step(s, g, rr_guest_end(guest, RR_ANSWER_DONE));
        }
        break;
    case GUEST_WRITTEN:
    case GUEST_NOT_WRITTEN:
    case GUEST_CRASHES_AFTER_WRITE:
        if (guest->writes) {
            guest_write(s, g, kind != GUEST_NOT_WRITTEN, kind == GUEST_CRASHES_AFTER_WRITE);
        }
        break;
    case GUEST_CRASHES:
        guest_crash(s, g);
        break;
    default:
        guest_step(s, g, rr_guest_repeat(guest, guest_now(s, g)));
    }
}

static bool message_event(struct state *s, enum event_kind kind, unsigned i) {
    if (!s->messages[i].used) {
        return false;
    }
    if (kind == LOSE) {
        memset(&s->messages[i], 0, sizeof s->messages[i]);
        return true;
    }
    struct message copy = s->messages[i];
    if (kind == DELIVER_WITHOUT_ROOM && copy.content.kind != RR_TRANSFER_OFFER) {
        return false;
    }
    deliver(s, (int)i, kind != DELIVER_WITHOUT_ROOM);
    if (kind == DELIVER_TWICE) {
        send(s, copy.to_home, copy.guest, &copy.content);
    }
    return true;
}

/* False: there is no such message. An event that is not possible changes nothing. */
static bool apply(struct state *s, enum event_kind kind, unsigned choice) {
    if (kind == TICK) {
        tick(s);
        return true;
    }
    if (kind > GUEST_REPEATS) {
        return message_event(s, kind, choice);
    }
    if (kind > HOME_REPEATS) {
        guest_event(s, kind, choice);
    } else {
        home_event(s, kind, choice);
    }
    return true;
}

/* ---- invariants ---- */

static const char *broken(const struct state *before, const struct state *s) {
    unsigned running = s->home.running;
    for (uint32_t g = 0; g < GUESTS; g++) {
        running += s->guests[g].running;
        if (s->guest_stored[g].claim < before->guest_stored[g].claim) {
            return "a guest's claim went back";
        }
    }
    if (running > 1) {
        return "it runs in two cells";
    }
    if (s->home_stored.claim < before->home_stored.claim) {
        return "a claim number was used again";
    }
    if (before->told != RR_ANSWER_NONE && s->told != before->told) {
        return "a final answer changed";
    }
    if (s->told == RR_ANSWER_DONE && s->runs_done == 0) {
        return "done, but no run has ended";
    }
    return NULL;
}

static struct state first_state(void) {
    struct state s;
    memset(&s, 0, sizeof s);
    rr_home_load(&s.home, &s.home_stored, false, 0, &times);
    for (uint32_t g = 0; g < GUESTS; g++) {
        s.clock[g] = 100 * (g + 1);
        s.ends_at[g] = -100;
        rr_guest_load(&s.guests[g], &s.guest_stored[g], false, 1);
    }
    return s;
}

/* ---- every order, to a depth ---- */

static guint64 *digest(const struct state *s) {
    guint64 *hash = g_new(guint64, 1);
    const unsigned char *bytes = (const unsigned char *)s;
    *hash = 1469598103934665603ULL;
    for (size_t i = 0; i < sizeof *s; i++) {
        *hash = (*hash ^ bytes[i]) * 1099511628211ULL;
    }
    return hash;
}

static void expand(const struct state *from, GHashTable *seen, GArray *next) {
    for (int kind = 0; kind < EVENT_KINDS; kind++) {
        for (unsigned choice = 0; choice < choices[kind]; choice++) {
            struct state s = *from;
            if (!apply(&s, (enum event_kind)kind, choice)) {
                continue;
            }
            const char *why = broken(from, &s);
            if (why) {
                fail_msg("%s, after event %d %u", why, kind, choice);
            }
            if (g_hash_table_add(seen, digest(&s))) {
                g_array_append_val(next, s);
            }
        }
    }
}

/* The first guest has the job, a grant, and runs it. */
static struct state guest_runs_it(void) {
    static const enum event_kind events[] = {HOME_OFFERS,   HOME_WRITTEN, DELIVER, GUEST_WRITTEN,
                                             GUEST_REPEATS, DELIVER,      DELIVER, GUEST_STARTS};
    struct state s = first_state();
    for (size_t i = 0; i < G_N_ELEMENTS(events); i++) {
        assert_true(apply(&s, events[i], 0));
    }
    assert_true(s.guests[0].running);
    return s;
}

/* The home has taken the job back, and the guest does not know. */
static struct state taken_back(void) {
    struct state s = guest_runs_it();
    assert_true(apply(&s, HOME_WITHDRAWS, 0));
    assert_true(apply(&s, HOME_WRITTEN, 0));
    assert_true(apply(&s, LOSE, 0));
    return s;
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
static void play_on(struct state *s) {
    for (unsigned round = 0; round < 200 && s->told == RR_ANSWER_NONE; round++) {
        apply(s, HOME_WRITTEN, 0);
        apply(s, HOME_STARTS, 0);
        apply(s, HOME_ENDS, 0);
        for (uint32_t g = 0; g < GUESTS; g++) {
            apply(s, GUEST_WRITTEN, g);
            apply(s, GUEST_STARTS, g);
            apply(s, GUEST_ENDS, g);
            apply(s, GUEST_STOPS, g);
            apply(s, GUEST_REPEATS, g);
        }
        for (unsigned i = 0; i < MESSAGES; i++) {
            apply(s, DELIVER, i);
        }
        apply(s, HOME_REPEATS, 0);
        if (round % 3 == 2) {
            apply(s, TICK, 0);
        }
    }
}

static void random_walks(void **state) {
    (void)state;
    GRand *random = g_rand_new_with_seed(seed);
    unsigned guest_runs = 0;
    for (unsigned walk = 0; walk < walks; walk++) {
        struct state s = first_state();
        for (unsigned step = 0; step < WALK; step++) {
            struct state before = s;
            enum event_kind kind = (enum event_kind)g_rand_int_range(random, 0, EVENT_KINDS);
            bool rare = kind == HOME_CANCELS || kind == HOME_WITHDRAWS || kind == HOME_CRASHES ||
                        kind == HOME_STARTS || kind == HOME_ENDS || kind == GUEST_CRASHES ||
                        kind == GUEST_ENDS;
            unsigned choice = (unsigned)g_rand_int_range(random, 0, (gint)choices[kind]);
            if ((rare && g_rand_int_range(random, 0, RARE) > 0) || !apply(&s, kind, choice)) {
                continue;
            }
            guest_runs += (s.guests[0].running && !before.guests[0].running) ||
                          (s.guests[1].running && !before.guests[1].running);
            const char *why = broken(&before, &s);
            if (why) {
                fail_msg("%s: seed %u, walk %u, step %u", why, seed, walk, step);
            }
        }
        play_on(&s);
        if (s.told == RR_ANSWER_NONE) {
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
