/* The design's ordinary path on small cases worked out by hand: where new tasks go, and the paper's
 * two phases in a round. */
#include "fakes.h"

#include <string.h>

static void empty_report(fx_node *n, const char *id, const char *zone, bool spot,
                         uint64_t sequence) {
    fx_report(n, id, zone, spot, 1, sequence, rr_core_fencing_token(n->core), NULL);
}

static void plan_once(fx_node *n) {
    rr_plan p;
    fx_plan(n, &p);
    for (guint i = 0; i < p.command_batches->len; i++) {
        rr_core_command_result(n->core, n->now, g_ptr_array_index(p.command_batches, i),
                               RR_COMMAND_ANSWERED, true);
    }
    rr_plan_clear(&p);
}

static void submit(fx_world *w, const struct fx_job *j) {
    fx_submit(w->store, j, w->n.now);
    fx_sync(w->store, w->n.core, w->n.now);
}

/* vm-1 holds 8 of 16 CPUs, so price x room is 5 there and 10 on the empty vm-2. */
static void fullest_machine_first(void **state) {
    fx_world *w = *state;
    fx_machine(w->store, "vm-1", "a", false, false);
    fx_machine(w->store, "vm-2", "a", false, false);
    empty_report(&w->n, "vm-1", "a", false, 1);
    submit(w, &(struct fx_job){.job_id = "req-1", .cpus = 8});
    plan_once(&w->n);
    assert_true(fx_booked(w->store, "vm-1", "req-1", 0) != 0);
    empty_report(&w->n, "vm-2", "a", false, 1);
    submit(w, &(struct fx_job){.job_id = "req-2", .cpus = 4});
    plan_once(&w->n);
    assert_true(fx_booked(w->store, "vm-1", "req-2", 0) != 0);
}

/* Spot 4 x 1 beats ordinary 10 x 1, but only for jobs that may use it. */
static void cheap_machines_for_those_who_may(void **state) {
    fx_world *w = *state;
    fx_machine(w->store, "vm-1", "a", false, false);
    fx_machine(w->store, "vm-2", "a", true, false);
    empty_report(&w->n, "vm-1", "a", false, 1);
    empty_report(&w->n, "vm-2", "a", true, 1);
    submit(w, &(struct fx_job){.job_id = "req-1", .spot = true});
    submit(w, &(struct fx_job){.job_id = "req-2"});
    plan_once(&w->n);
    assert_true(fx_booked(w->store, "vm-2", "req-1", 0) != 0);
    assert_true(fx_booked(w->store, "vm-1", "req-2", 0) != 0);
}

/* A group bound to one zone goes, whole, to the zone with most free room. Zone b has two empty
 * machines of two; zone a one empty and one half full. */
static void zone_group_to_the_emptier_zone(void **state) {
    fx_world *w = *state;
    fx_machine(w->store, "vm-1", "a", false, false);
    empty_report(&w->n, "vm-1", "a", false, 1);
    submit(w, &(struct fx_job){.job_id = "req-1", .cpus = 8});
    plan_once(&w->n);
    fx_machine(w->store, "vm-2", "a", false, false);
    fx_machine(w->store, "vm-3", "b", false, false);
    fx_machine(w->store, "vm-4", "b", false, false);
    fx_sync(w->store, w->n.core, w->n.now);
    empty_report(&w->n, "vm-2", "a", false, 1);
    empty_report(&w->n, "vm-3", "b", false, 1);
    empty_report(&w->n, "vm-4", "b", false, 1);
    submit(w, &(struct fx_job){.job_id = "req-2", .cpus = 10, .pieces = 2, .one_zone = true});
    plan_once(&w->n);
    plan_once(&w->n);
    unsigned in_b = 0;
    for (uint32_t t = 0; t < 2; t++) {
        in_b += fx_booked(w->store, "vm-3", "req-2", t) != 0;
        in_b += fx_booked(w->store, "vm-4", "req-2", t) != 0;
    }
    assert_int_equal(in_b, 2);
}

/* At most half of the tasks, rounded up, in one zone, and replicas on machines of their own. */
static void spread_over_zones_and_machines(void **state) {
    fx_world *w = *state;
    const char *ids[] = {"vm-1", "vm-2", "vm-3", "vm-4"};
    for (int i = 0; i < 4; i++) {
        fx_machine(w->store, ids[i], i < 3 ? "a" : "b", false, false);
        empty_report(&w->n, ids[i], i < 3 ? "a" : "b", false, 1);
    }
    submit(w, &(struct fx_job){.job_id = "req-1", .service = true, .pieces = 3, .spread = true});
    for (int i = 0; i < 4; i++) {
        plan_once(&w->n);
    }
    unsigned in_a = 0, in_b = 0;
    for (uint32_t t = 0; t < 3; t++) {
        unsigned one = 0;
        for (int i = 0; i < 3; i++) {
            one += fx_booked(w->store, ids[i], "req-1", t) != 0;
        }
        in_a += one;
        in_b += fx_booked(w->store, "vm-4", "req-1", t) != 0;
    }
    assert_int_equal(in_a, 2);
    assert_int_equal(in_b, 1);
}

/* Only a fresh report makes room count (the design's named risk: a cut zone's stale room). */
static void stale_room_takes_nothing(void **state) {
    fx_world *w = *state;
    fx_machine(w->store, "vm-1", "a", false, false);
    empty_report(&w->n, "vm-1", "a", false, 1);
    w->n.now += 7;
    submit(w, &(struct fx_job){.job_id = "req-1"});
    plan_once(&w->n);
    assert_true(fx_booked(w->store, "vm-1", "req-1", 0) == 0);
    empty_report(&w->n, "vm-1", "a", false, 2);
    w->n.now += 0.5; /* a job that found no room is not looked at with every plan */
    plan_once(&w->n);
    assert_true(fx_booked(w->store, "vm-1", "req-1", 0) != 0);
}

static char *running(const char *ref, uint64_t attempt) {
    return g_strdup_printf("%s 0 %" G_GUINT64_FORMAT " running", ref, attempt);
}

/* Four machines with one replica each. By hand: vm-1 has 12 of 16 CPUs taken (room 1/4), vm-2 4
 * (room 3/4), both rented; everything fits on one machine, so the round empties the other one by
 * moving its replica: destination booked first, then the old copy stopped, the new one started only
 * once the old is gone. */
static void a_round_empties_a_priced_machine(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    rr_plan p;
    fx_machine(w->store, "vm-1", "a", false, false);
    fx_machine(w->store, "vm-2", "a", false, false);
    empty_report(n, "vm-1", "a", false, 1);
    submit(w, &(struct fx_job){.job_id = "req-1", .service = true, .cpus = 12});
    plan_once(n);
    uint64_t big = fx_booked(w->store, "vm-1", "req-1", 0);
    char *r1 = running("req-1", big);
    n->now += 7;
    empty_report(n, "vm-2", "a", false, 1);
    submit(w, &(struct fx_job){.job_id = "req-2", .service = true, .cpus = 4});
    plan_once(n);
    uint64_t small = fx_booked(w->store, "vm-2", "req-2", 0);
    assert_true(big && small);
    char *r2 = running("req-2", small);
    /* Calm for long enough, then the round. */
    uint64_t moved = 0;
    for (int i = 0; i < 15 && !moved; i++) {
        n->now += 3;
        fx_report(n, "vm-1", "a", false, 1, 10 + (uint64_t)i, rr_core_fencing_token(n->core), r1,
                  NULL);
        fx_report(n, "vm-2", "a", false, 1, 10 + (uint64_t)i, rr_core_fencing_token(n->core), r2,
                  NULL);
        plan_once(n);
        moved = fx_booked(w->store, "vm-1", "req-2", 0);
    }
    assert_true(moved > small);
    assert_true(fx_booked(w->store, "vm-2", "req-2", 0) == small);
    /* The old copy is stopped; the new one waits. */
    fx_plan(n, &p);
    assert_null(fx_order(&p, "vm-1", RR_COMMAND_START, "req-2", 0));
    rr_plan_clear(&p);
    char *gone = g_strdup_printf("req-2 0 %" G_GUINT64_FORMAT " ended:halted", small);
    n->now += 1;
    fx_report(n, "vm-2", "a", false, 1, 90, rr_core_fencing_token(n->core), gone, NULL);
    plan_once(n);
    assert_true(fx_booked(w->store, "vm-2", "req-2", 0) == 0);
    fx_plan(n, &p);
    assert_non_null(fx_order(&p, "vm-1", RR_COMMAND_START, "req-2", 0));
    rr_plan_clear(&p);
    g_free(gone);
    g_free(r1);
    g_free(r2);
}

/* Standing machines cost nothing (the paper's private cluster): emptying one saves nothing, so no
 * round acts for it. */
static void no_round_for_what_costs_nothing(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    rr_core_stats st;
    fx_machine(w->store, "vm-1", "a", false, true);
    fx_machine(w->store, "vm-2", "a", false, true);
    empty_report(n, "vm-1", "a", false, 1);
    submit(w, &(struct fx_job){.job_id = "req-1", .service = true, .cpus = 8});
    plan_once(n);
    n->now += 7;
    empty_report(n, "vm-2", "a", false, 1);
    submit(w, &(struct fx_job){.job_id = "req-2", .service = true, .cpus = 4});
    plan_once(n);
    char *r1 = running("req-1", fx_booked(w->store, "vm-1", "req-1", 0));
    char *r2 = running("req-2", fx_booked(w->store, "vm-2", "req-2", 0));
    for (int i = 0; i < 30; i++) {
        n->now += 3;
        fx_report(n, "vm-1", "a", false, 1, 10 + (uint64_t)i, rr_core_fencing_token(n->core), r1,
                  NULL);
        fx_report(n, "vm-2", "a", false, 1, 10 + (uint64_t)i, rr_core_fencing_token(n->core), r2,
                  NULL);
        plan_once(n);
    }
    rr_core_get_stats(n->core, &st);
    assert_int_equal(st.moves, 0);
    g_free(r1);
    g_free(r2);
}

/* Higher rank with an aim on its start takes room from lower: the victim is marked in the ledger
 * and may save, and the new task starts only when the ledger shows room. */
static void preemption_in_order(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    rr_plan p;
    fx_machine(w->store, "vm-1", "a", false, false);
    empty_report(n, "vm-1", "a", false, 1);
    submit(w, &(struct fx_job){.job_id = "req-1",
                               .rank = "low",
                               .cpus = 16,
                               .checkpoint_interval_s = 30,
                               .save_s = 2});
    plan_once(n);
    uint64_t low = fx_booked(w->store, "vm-1", "req-1", 0);
    char *r1 = running("req-1", low);
    fx_report(n, "vm-1", "a", false, 1, 2, rr_core_fencing_token(n->core), r1, NULL);
    /* The same rank waits. */
    submit(w, &(struct fx_job){.job_id = "req-2", .rank = "low", .job_class = "live", .cpus = 16});
    plan_once(n);
    assert_true(fx_booked(w->store, "vm-1", "req-2", 0) == 0);
    submit(w, &(struct fx_job){
                  .job_id = "req-3", .rank = "prod", .job_class = "live", .service = true});
    plan_once(n);
    assert_true(fx_booked(w->store, "vm-1", "req-3", 0) != 0);
    n->now += 2;
    fx_plan(n, &p);
    const rr_command *stop = fx_order(&p, "vm-1", RR_COMMAND_STOP, "req-1", 0);
    assert_non_null(stop);
    assert_true(stop->grace_s >= 2);
    assert_null(fx_order(&p, "vm-1", RR_COMMAND_START, "req-3", 0));
    rr_plan_clear(&p);
    g_free(r1);
}

/* A team is owed its guarantee: work of any rank that another team runs beyond its own is stopped
 * for it, but no more than that, and not for work beyond the guarantee. */
static void a_guarantee_is_given_back(void **state) {
    fx_world *w = *state;
    fx_node *n = &w->n;
    rr_plan p;
    n->config.teams[0].cpus = 8; /* red */
    n->config.teams[1].cpus = 4; /* blue */
    fx_machine(w->store, "vm-1", "a", false, false);
    empty_report(n, "vm-1", "a", false, 1);
    const char *const refs[] = {"req-1", "req-2", "req-3", "req-4"};
    for (int i = 0; i < 4; i++) {
        submit(w, &(struct fx_job){.job_id = refs[i], .rank = "prod", .service = true, .cpus = 4});
    }
    plan_once(n);
    for (int i = 0; i < 4; i++) {
        assert_true(fx_booked(w->store, "vm-1", refs[i], 0) != 0);
    }
    submit(w, &(struct fx_job){.job_id = "req-5", .team = "blue", .rank = "low", .cpus = 4});
    submit(w, &(struct fx_job){.job_id = "req-6", .team = "blue", .rank = "prod", .cpus = 4});
    plan_once(n);
    bool five = fx_booked(w->store, "vm-1", "req-5", 0) != 0;
    bool six = fx_booked(w->store, "vm-1", "req-6", 0) != 0;
    assert_true(five != six);
    n->now += 2;
    char *r[4];
    for (int i = 0; i < 4; i++) {
        r[i] = running(refs[i], fx_booked(w->store, "vm-1", refs[i], 0));
    }
    fx_report(n, "vm-1", "a", false, 1, 9, rr_core_fencing_token(n->core), r[0], r[1], r[2], r[3],
              NULL);
    fx_plan(n, &p);
    unsigned stops = 0;
    for (int i = 0; i < 4; i++) {
        stops += fx_order(&p, "vm-1", RR_COMMAND_STOP, refs[i], 0) != NULL;
        g_free(r[i]);
    }
    assert_int_equal(stops, 1);
    rr_plan_clear(&p);
}

/* One victim makes room for one: counted twice, its room was booked for two replicas, and the
 * worker refused the second. */
static void a_victim_makes_room_once(void **state) {
    fx_world *w = *state;
    fx_machine(w->store, "vm-1", "a", false, false);
    empty_report(&w->n, "vm-1", "a", false, 1);
    submit(w,
           &(struct fx_job){
               .job_id = "req-1", .cpus = 8, .rank = "prod", .job_class = "live", .service = true});
    submit(w, &(struct fx_job){.job_id = "req-2", .cpus = 8, .rank = "low"});
    plan_once(&w->n);
    uint64_t low = fx_booked(w->store, "vm-1", "req-2", 0);
    assert_true(low != 0);
    char *r1 = running("req-1", fx_booked(w->store, "vm-1", "req-1", 0));
    char *r2 = running("req-2", low);
    fx_report(&w->n, "vm-1", "a", false, 1, 2, rr_core_fencing_token(w->n.core), r1, r2, NULL);
    submit(w,
           &(struct fx_job){
               .job_id = "req-3", .cpus = 8, .rank = "prod", .job_class = "live", .service = true});
    submit(w,
           &(struct fx_job){
               .job_id = "req-4", .cpus = 8, .rank = "prod", .job_class = "live", .service = true});
    plan_once(&w->n);
    assert_int_equal(fx_placed(w->store, "req-3") + fx_placed(w->store, "req-4"), 1);
    g_free(r1);
    g_free(r2);
}

#define T(f) cmocka_unit_test_setup_teardown(f, fx_world_setup, fx_world_teardown)

int main(void) {
    const struct CMUnitTest tests[] = {
        T(a_victim_makes_room_once),

        T(fullest_machine_first),           T(cheap_machines_for_those_who_may),
        T(zone_group_to_the_emptier_zone),  T(spread_over_zones_and_machines),
        T(stale_room_takes_nothing),        T(a_round_empties_a_priced_machine),
        T(no_round_for_what_costs_nothing), T(preemption_in_order),
        T(a_guarantee_is_given_back)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
