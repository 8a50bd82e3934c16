/* The design's ordinary path on small cases worked out by hand: where new tasks go, and the paper's
 * two phases in a round. */
#include "core_fixture.h"
#include "core/leadership.h"
#include "core/planning.h"
#include "core/stats.h"

#include <string.h>

static void empty_report(test_controller *node, const char *id, const char *zone, bool spot,
                         uint64_t sequence) {
    test_controller_heartbeat(node, id, zone, spot, 1, sequence, rr_core_fencing_token(node->core),
                              NULL);
}

static void plan_once(test_controller *node) {
    rr_plan plan;
    test_controller_plan(node, &plan);
    for (guint i = 0; i < plan.command_batches->len; i++) {
        rr_core_command_result(node->core, node->now, g_ptr_array_index(plan.command_batches, i),
                               RR_COMMAND_ANSWERED, true);
    }
    rr_plan_clear(&plan);
}

static void submit(core_fixture *fixture, const struct test_job *job) {
    fake_store_submit(fixture->store, job, fixture->n.now);
    fake_store_sync(fixture->store, fixture->n.core, fixture->n.now);
}

/* vm-1 holds 8 of 16 CPUs, so price x room is 5 there and 10 on the empty vm-2. */
static void fullest_machine_first(void **state) {
    core_fixture *fixture = *state;
    fake_store_put_machine(fixture->store, "vm-1", "a", false, false);
    fake_store_put_machine(fixture->store, "vm-2", "a", false, false);
    empty_report(&fixture->n, "vm-1", "a", false, 1);
    submit(fixture, &(struct test_job){.job_id = "req-1", .cpus = 8});
    plan_once(&fixture->n);
    assert_true(fake_store_attempt(fixture->store, "vm-1", "req-1", 0) != 0);
    empty_report(&fixture->n, "vm-2", "a", false, 1);
    submit(fixture, &(struct test_job){.job_id = "req-2", .cpus = 4});
    plan_once(&fixture->n);
    assert_true(fake_store_attempt(fixture->store, "vm-1", "req-2", 0) != 0);
}

/* Spot 4 x 1 beats ordinary 10 x 1, but only for jobs that may use it. */
static void cheap_machines_for_those_who_may(void **state) {
    core_fixture *fixture = *state;
    fake_store_put_machine(fixture->store, "vm-1", "a", false, false);
    fake_store_put_machine(fixture->store, "vm-2", "a", true, false);
    empty_report(&fixture->n, "vm-1", "a", false, 1);
    empty_report(&fixture->n, "vm-2", "a", true, 1);
    submit(fixture, &(struct test_job){.job_id = "req-1", .spot = true});
    submit(fixture, &(struct test_job){.job_id = "req-2"});
    plan_once(&fixture->n);
    assert_true(fake_store_attempt(fixture->store, "vm-2", "req-1", 0) != 0);
    assert_true(fake_store_attempt(fixture->store, "vm-1", "req-2", 0) != 0);
}

/* A group bound to one zone goes, whole, to the zone with most free room. Zone b has two empty
 * machines of two; zone a one empty and one half full. */
static void zone_group_to_the_emptier_zone(void **state) {
    core_fixture *fixture = *state;
    fake_store_put_machine(fixture->store, "vm-1", "a", false, false);
    empty_report(&fixture->n, "vm-1", "a", false, 1);
    submit(fixture, &(struct test_job){.job_id = "req-1", .cpus = 8});
    plan_once(&fixture->n);
    fake_store_put_machine(fixture->store, "vm-2", "a", false, false);
    fake_store_put_machine(fixture->store, "vm-3", "b", false, false);
    fake_store_put_machine(fixture->store, "vm-4", "b", false, false);
    fake_store_sync(fixture->store, fixture->n.core, fixture->n.now);
    empty_report(&fixture->n, "vm-2", "a", false, 1);
    empty_report(&fixture->n, "vm-3", "b", false, 1);
    empty_report(&fixture->n, "vm-4", "b", false, 1);
    submit(fixture,
           &(struct test_job){.job_id = "req-2", .cpus = 10, .pieces = 2, .one_zone = true});
    plan_once(&fixture->n);
    plan_once(&fixture->n);
    unsigned in_b = 0;
    for (uint32_t task = 0; task < 2; task++) {
        in_b += fake_store_attempt(fixture->store, "vm-3", "req-2", task) != 0;
        in_b += fake_store_attempt(fixture->store, "vm-4", "req-2", task) != 0;
    }
    assert_int_equal(in_b, 2);
}

/* At most half of the tasks, rounded up, in one zone, and replicas on machines of their own. */
static void spread_over_zones_and_machines(void **state) {
    core_fixture *fixture = *state;
    const char *ids[] = {"vm-1", "vm-2", "vm-3", "vm-4"};
    for (int i = 0; i < 4; i++) {
        fake_store_put_machine(fixture->store, ids[i], i < 3 ? "a" : "b", false, false);
        empty_report(&fixture->n, ids[i], i < 3 ? "a" : "b", false, 1);
    }
    submit(fixture,
           &(struct test_job){.job_id = "req-1", .service = true, .pieces = 3, .spread = true});
    for (int i = 0; i < 4; i++) {
        plan_once(&fixture->n);
    }
    unsigned in_a = 0, in_b = 0;
    for (uint32_t task = 0; task < 3; task++) {
        unsigned one = 0;
        for (int i = 0; i < 3; i++) {
            one += fake_store_attempt(fixture->store, ids[i], "req-1", task) != 0;
        }
        in_a += one;
        in_b += fake_store_attempt(fixture->store, "vm-4", "req-1", task) != 0;
    }
    assert_int_equal(in_a, 2);
    assert_int_equal(in_b, 1);
}

/* Only a fresh report makes room count (the design's named risk: a cut zone's stale room). */
static void stale_room_takes_nothing(void **state) {
    core_fixture *fixture = *state;
    fake_store_put_machine(fixture->store, "vm-1", "a", false, false);
    empty_report(&fixture->n, "vm-1", "a", false, 1);
    fixture->n.now += 7;
    submit(fixture, &(struct test_job){.job_id = "req-1"});
    plan_once(&fixture->n);
    assert_true(fake_store_attempt(fixture->store, "vm-1", "req-1", 0) == 0);
    empty_report(&fixture->n, "vm-1", "a", false, 2);
    fixture->n.now += 0.5; /* a job that found no room is not looked at with every plan */
    plan_once(&fixture->n);
    assert_true(fake_store_attempt(fixture->store, "vm-1", "req-1", 0) != 0);
}

static char *running(const char *job_id, uint64_t attempt) {
    return g_strdup_printf("%s 0 %" G_GUINT64_FORMAT " running", job_id, attempt);
}

/* Four machines with one replica each. By hand: vm-1 has 12 of 16 CPUs taken (room 1/4), vm-2 4
 * (room 3/4), both rented; everything fits on one machine, so the round empties the other one by
 * moving its replica: destination reserved first, then the old copy stopped, the new one started
 * only once the old is gone. */
static void a_round_empties_a_priced_machine(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    rr_plan plan;
    fake_store_put_machine(fixture->store, "vm-1", "a", false, false);
    fake_store_put_machine(fixture->store, "vm-2", "a", false, false);
    empty_report(node, "vm-1", "a", false, 1);
    submit(fixture, &(struct test_job){.job_id = "req-1", .service = true, .cpus = 12});
    plan_once(node);
    uint64_t big = fake_store_attempt(fixture->store, "vm-1", "req-1", 0);
    char *first = running("req-1", big);
    node->now += 7;
    empty_report(node, "vm-2", "a", false, 1);
    submit(fixture, &(struct test_job){.job_id = "req-2", .service = true, .cpus = 4});
    plan_once(node);
    uint64_t small = fake_store_attempt(fixture->store, "vm-2", "req-2", 0);
    assert_true(big && small);
    char *second = running("req-2", small);
    /* Calm for long enough, then the round. */
    uint64_t moved = 0;
    for (int i = 0; i < 15 && !moved; i++) {
        node->now += 3;
        test_controller_heartbeat(node, "vm-1", "a", false, 1, 10 + (uint64_t)i,
                                  rr_core_fencing_token(node->core), first, NULL);
        test_controller_heartbeat(node, "vm-2", "a", false, 1, 10 + (uint64_t)i,
                                  rr_core_fencing_token(node->core), second, NULL);
        plan_once(node);
        moved = fake_store_attempt(fixture->store, "vm-1", "req-2", 0);
    }
    assert_true(moved > small);
    assert_true(fake_store_attempt(fixture->store, "vm-2", "req-2", 0) == small);
    /* The old copy is stopped; the new one waits. */
    test_controller_plan(node, &plan);
    assert_null(plan_find_command(&plan, "vm-1", RR_COMMAND_START, "req-2", 0));
    rr_plan_clear(&plan);
    char *gone = g_strdup_printf("req-2 0 %" G_GUINT64_FORMAT " ended:halted", small);
    node->now += 1;
    test_controller_heartbeat(node, "vm-2", "a", false, 1, 90, rr_core_fencing_token(node->core),
                              gone, NULL);
    plan_once(node);
    assert_true(fake_store_attempt(fixture->store, "vm-2", "req-2", 0) == 0);
    test_controller_plan(node, &plan);
    assert_non_null(plan_find_command(&plan, "vm-1", RR_COMMAND_START, "req-2", 0));
    rr_plan_clear(&plan);
    g_free(gone);
    g_free(first);
    g_free(second);
}

/* Standing machines cost nothing (the paper's private cluster): emptying one saves nothing, so no
 * round acts for it. */
static void no_round_for_what_costs_nothing(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    rr_core_stats stats;
    fake_store_put_machine(fixture->store, "vm-1", "a", false, true);
    fake_store_put_machine(fixture->store, "vm-2", "a", false, true);
    empty_report(node, "vm-1", "a", false, 1);
    submit(fixture, &(struct test_job){.job_id = "req-1", .service = true, .cpus = 8});
    plan_once(node);
    node->now += 7;
    empty_report(node, "vm-2", "a", false, 1);
    submit(fixture, &(struct test_job){.job_id = "req-2", .service = true, .cpus = 4});
    plan_once(node);
    char *first = running("req-1", fake_store_attempt(fixture->store, "vm-1", "req-1", 0));
    char *second = running("req-2", fake_store_attempt(fixture->store, "vm-2", "req-2", 0));
    for (int i = 0; i < 30; i++) {
        node->now += 3;
        test_controller_heartbeat(node, "vm-1", "a", false, 1, 10 + (uint64_t)i,
                                  rr_core_fencing_token(node->core), first, NULL);
        test_controller_heartbeat(node, "vm-2", "a", false, 1, 10 + (uint64_t)i,
                                  rr_core_fencing_token(node->core), second, NULL);
        plan_once(node);
    }
    rr_core_get_stats(node->core, &stats);
    assert_int_equal(stats.moves, 0);
    g_free(first);
    g_free(second);
}

/* Higher rank with an aim on its start takes room from lower: the victim is marked in the ledger
 * and may save, and the new task starts only when the ledger shows room. */
static void preemption_in_order(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    rr_plan plan;
    fake_store_put_machine(fixture->store, "vm-1", "a", false, false);
    empty_report(node, "vm-1", "a", false, 1);
    submit(fixture, &(struct test_job){.job_id = "req-1",
                                       .rank = "low",
                                       .cpus = 16,
                                       .checkpoint_interval_s = 30,
                                       .save_s = 2});
    plan_once(node);
    uint64_t low = fake_store_attempt(fixture->store, "vm-1", "req-1", 0);
    char *first = running("req-1", low);
    test_controller_heartbeat(node, "vm-1", "a", false, 1, 2, rr_core_fencing_token(node->core),
                              first, NULL);
    /* The same rank waits. */
    submit(fixture,
           &(struct test_job){.job_id = "req-2", .rank = "low", .job_class = "live", .cpus = 16});
    plan_once(node);
    assert_true(fake_store_attempt(fixture->store, "vm-1", "req-2", 0) == 0);
    submit(fixture, &(struct test_job){
                        .job_id = "req-3", .rank = "prod", .job_class = "live", .service = true});
    plan_once(node);
    assert_true(fake_store_attempt(fixture->store, "vm-1", "req-3", 0) != 0);
    node->now += 2;
    test_controller_plan(node, &plan);
    const rr_command *stop = plan_find_command(&plan, "vm-1", RR_COMMAND_STOP, "req-1", 0);
    assert_non_null(stop);
    assert_true(stop->grace_s >= 2);
    assert_null(plan_find_command(&plan, "vm-1", RR_COMMAND_START, "req-3", 0));
    rr_plan_clear(&plan);
    g_free(first);
}

/* A team is owed its guarantee: work of any rank that another team runs beyond its own is stopped
 * for it, but no more than that, and not for work beyond the guarantee. */
static void a_guarantee_is_given_back(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->n;
    rr_plan plan;
    node->config.teams[0].cpus = 8; /* red */
    node->config.teams[1].cpus = 4; /* blue */
    fake_store_put_machine(fixture->store, "vm-1", "a", false, false);
    empty_report(node, "vm-1", "a", false, 1);
    const char *const refs[] = {"req-1", "req-2", "req-3", "req-4"};
    for (int i = 0; i < 4; i++) {
        submit(fixture,
               &(struct test_job){.job_id = refs[i], .rank = "prod", .service = true, .cpus = 4});
    }
    plan_once(node);
    for (int i = 0; i < 4; i++) {
        assert_true(fake_store_attempt(fixture->store, "vm-1", refs[i], 0) != 0);
    }
    submit(fixture,
           &(struct test_job){.job_id = "req-5", .team = "blue", .rank = "low", .cpus = 4});
    submit(fixture,
           &(struct test_job){.job_id = "req-6", .team = "blue", .rank = "prod", .cpus = 4});
    plan_once(node);
    bool five = fake_store_attempt(fixture->store, "vm-1", "req-5", 0) != 0;
    bool six = fake_store_attempt(fixture->store, "vm-1", "req-6", 0) != 0;
    assert_true(five != six);
    node->now += 2;
    char *replicas[4];
    for (int i = 0; i < 4; i++) {
        replicas[i] = running(refs[i], fake_store_attempt(fixture->store, "vm-1", refs[i], 0));
    }
    test_controller_heartbeat(node, "vm-1", "a", false, 1, 9, rr_core_fencing_token(node->core),
                              replicas[0], replicas[1], replicas[2], replicas[3], NULL);
    test_controller_plan(node, &plan);
    unsigned stops = 0;
    for (int i = 0; i < 4; i++) {
        stops += plan_find_command(&plan, "vm-1", RR_COMMAND_STOP, refs[i], 0) != NULL;
        g_free(replicas[i]);
    }
    assert_int_equal(stops, 1);
    rr_plan_clear(&plan);
}

/* One victim makes room for one: counted twice, its room was reserved for two replicas, and the
 * worker refused the second. */
static void a_victim_makes_room_once(void **state) {
    core_fixture *fixture = *state;
    fake_store_put_machine(fixture->store, "vm-1", "a", false, false);
    empty_report(&fixture->n, "vm-1", "a", false, 1);
    submit(fixture,
           &(struct test_job){
               .job_id = "req-1", .cpus = 8, .rank = "prod", .job_class = "live", .service = true});
    submit(fixture, &(struct test_job){.job_id = "req-2", .cpus = 8, .rank = "low"});
    plan_once(&fixture->n);
    uint64_t low = fake_store_attempt(fixture->store, "vm-1", "req-2", 0);
    assert_true(low != 0);
    char *first = running("req-1", fake_store_attempt(fixture->store, "vm-1", "req-1", 0));
    char *second = running("req-2", low);
    test_controller_heartbeat(&fixture->n, "vm-1", "a", false, 1, 2,
                              rr_core_fencing_token(fixture->n.core), first, second, NULL);
    submit(fixture,
           &(struct test_job){
               .job_id = "req-3", .cpus = 8, .rank = "prod", .job_class = "live", .service = true});
    submit(fixture,
           &(struct test_job){
               .job_id = "req-4", .cpus = 8, .rank = "prod", .job_class = "live", .service = true});
    plan_once(&fixture->n);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-3") +
                         fake_store_placed_count(fixture->store, "req-4"),
                     1);
    g_free(first);
    g_free(second);
}

#define T(f) cmocka_unit_test_setup_teardown(f, core_fixture_setup, core_fixture_teardown)

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
