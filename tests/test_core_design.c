/* DESIGN's ordinary path on small cases worked out by hand: where new tasks go, rebalancing, and
 * preemption. */
#include "core/leadership.h"
#include "core/planning.h"
#include "core/stats.h"
#include "core_fixture.h"

#include <string.h>

static void show_empty(test_controller *node, const char *id, const char *zone, bool spot,
                       uint64_t sequence) {
    test_controller_heartbeat(node, id, zone, spot, 1, sequence, rr_core_fencing_token(node->core),
                              NULL);
}

/* Plans, commits and answers all commands. */
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
    fake_store_submit(fixture->store, job, fixture->controller.now);
    fake_store_sync(fixture->store, fixture->controller.core, fixture->controller.now);
}

/* vm-1 holds 8 of 16 CPUs, so price times free share is 5 there and 10 on the empty vm-2. */
static void the_fullest_machine_comes_first(void **state) {
    core_fixture *fixture = *state;
    fake_store_put_machine(fixture->store, "vm-1", "a", false, false);
    fake_store_put_machine(fixture->store, "vm-2", "a", false, false);
    show_empty(&fixture->controller, "vm-1", "a", false, 1);
    submit(fixture, &(struct test_job){.job_id = "req-1", .cpus = 8});
    plan_once(&fixture->controller);
    assert_true(fake_store_attempt(fixture->store, "vm-1", "req-1", 0) != 0);
    show_empty(&fixture->controller, "vm-2", "a", false, 1);
    submit(fixture, &(struct test_job){.job_id = "req-2", .cpus = 4});
    plan_once(&fixture->controller);
    assert_true(fake_store_attempt(fixture->store, "vm-1", "req-2", 0) != 0);
}

/* A spot machine costs 4 and an ordinary one 10; both are empty. */
static void spot_machines_are_for_jobs_that_allow_them(void **state) {
    core_fixture *fixture = *state;
    fake_store_put_machine(fixture->store, "vm-1", "a", false, false);
    fake_store_put_machine(fixture->store, "vm-2", "a", true, false);
    show_empty(&fixture->controller, "vm-1", "a", false, 1);
    show_empty(&fixture->controller, "vm-2", "a", true, 1);
    submit(fixture, &(struct test_job){.job_id = "req-1", .spot = true});
    submit(fixture, &(struct test_job){.job_id = "req-2"});
    plan_once(&fixture->controller);
    assert_true(fake_store_attempt(fixture->store, "vm-2", "req-1", 0) != 0);
    assert_true(fake_store_attempt(fixture->store, "vm-1", "req-2", 0) != 0);
}

/* Zone b has two empty machines, zone a an empty and a half full one. */
static void a_job_of_one_zone_goes_to_the_emptier_zone(void **state) {
    core_fixture *fixture = *state;
    fake_store_put_machine(fixture->store, "vm-1", "a", false, false);
    show_empty(&fixture->controller, "vm-1", "a", false, 1);
    submit(fixture, &(struct test_job){.job_id = "req-1", .cpus = 8});
    plan_once(&fixture->controller);
    fake_store_put_machine(fixture->store, "vm-2", "a", false, false);
    fake_store_put_machine(fixture->store, "vm-3", "b", false, false);
    fake_store_put_machine(fixture->store, "vm-4", "b", false, false);
    fake_store_sync(fixture->store, fixture->controller.core, fixture->controller.now);
    show_empty(&fixture->controller, "vm-2", "a", false, 1);
    show_empty(&fixture->controller, "vm-3", "b", false, 1);
    show_empty(&fixture->controller, "vm-4", "b", false, 1);
    submit(fixture,
           &(struct test_job){.job_id = "req-2", .cpus = 10, .task_count = 2, .one_zone = true});
    plan_once(&fixture->controller);
    plan_once(&fixture->controller);
    unsigned in_b = 0;
    for (uint32_t task = 0; task < 2; task++) {
        in_b += fake_store_attempt(fixture->store, "vm-3", "req-2", task) != 0;
        in_b += fake_store_attempt(fixture->store, "vm-4", "req-2", task) != 0;
    }
    assert_int_equal(in_b, 2);
}

/* At most half of the tasks, rounded up, are in one zone, and replicas on distinct machines. */
static void replicas_spread_over_zones_and_machines(void **state) {
    core_fixture *fixture = *state;
    const char *ids[] = {"vm-1", "vm-2", "vm-3", "vm-4"};
    for (int i = 0; i < 4; i++) {
        fake_store_put_machine(fixture->store, ids[i], i < 3 ? "a" : "b", false, false);
        show_empty(&fixture->controller, ids[i], i < 3 ? "a" : "b", false, 1);
    }
    submit(fixture,
           &(struct test_job){.job_id = "req-1", .service = true, .task_count = 3, .spread = true});
    for (int i = 0; i < 4; i++) {
        plan_once(&fixture->controller);
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

/* Guards against placing tasks in a partitioned zone on the free resources that it last showed. */
static void a_machine_without_recent_heartbeats_takes_no_task(void **state) {
    core_fixture *fixture = *state;
    fake_store_put_machine(fixture->store, "vm-1", "a", false, false);
    show_empty(&fixture->controller, "vm-1", "a", false, 1);
    fixture->controller.now += 7;
    submit(fixture, &(struct test_job){.job_id = "req-1"});
    plan_once(&fixture->controller);
    assert_true(fake_store_attempt(fixture->store, "vm-1", "req-1", 0) == 0);
    show_empty(&fixture->controller, "vm-1", "a", false, 2);
    fixture->controller.now += 0.5; /* a job that found no room is not tried in every plan */
    plan_once(&fixture->controller);
    assert_true(fake_store_attempt(fixture->store, "vm-1", "req-1", 0) != 0);
}

/* Task 0 of the job as a heartbeat shows it; the caller frees it. */
static char *running(const char *job_id, uint64_t attempt) {
    return g_strdup_printf("%s 0 %" G_GUINT64_FORMAT " running", job_id, attempt);
}

/* A replica of 12 CPUs on vm-1 and one of 4 on vm-2, as their heartbeats show them. */
struct two_replicas {
    uint64_t first, second; /* attempts */
    char *first_shown, *second_shown;
};

static void place_two_replicas(core_fixture *fixture, double first_cpus, bool operator_owned,
                               struct two_replicas *replicas) {
    test_controller *node = &fixture->controller;
    fake_store_put_machine(fixture->store, "vm-1", "a", false, operator_owned);
    fake_store_put_machine(fixture->store, "vm-2", "a", false, operator_owned);
    show_empty(node, "vm-1", "a", false, 1);
    submit(fixture, &(struct test_job){.job_id = "req-1", .service = true, .cpus = first_cpus});
    plan_once(node);
    node->now += 7;
    show_empty(node, "vm-2", "a", false, 1);
    submit(fixture, &(struct test_job){.job_id = "req-2", .service = true, .cpus = 4});
    plan_once(node);
    replicas->first = fake_store_attempt(fixture->store, "vm-1", "req-1", 0);
    replicas->second = fake_store_attempt(fixture->store, "vm-2", "req-2", 0);
    assert_true(replicas->first && replicas->second);
    replicas->first_shown = running("req-1", replicas->first);
    replicas->second_shown = running("req-2", replicas->second);
}

static void free_two_replicas(struct two_replicas *replicas) {
    g_free(replicas->first_shown);
    g_free(replicas->second_shown);
}

/* Three seconds later both machines show their replicas, and the controller plans. */
static void plan_with_replicas(test_controller *node, const struct two_replicas *replicas,
                               uint64_t sequence) {
    node->now += 3;
    test_controller_heartbeat(node, "vm-1", "a", false, 1, sequence,
                              rr_core_fencing_token(node->core), replicas->first_shown, NULL);
    test_controller_heartbeat(node, "vm-2", "a", false, 1, sequence,
                              rr_core_fencing_token(node->core), replicas->second_shown, NULL);
    plan_once(node);
}

/* Both machines are rented. A quarter of vm-1 is free and three quarters of vm-2, so that
 * rebalancing empties vm-2 by moving its replica: the destination is reserved first, then the old
 * attempt stops, and the new one starts only once the old one is terminated. */
static void rebalancing_empties_a_priced_machine(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    struct two_replicas replicas;
    rr_plan plan;
    place_two_replicas(fixture, 12, false, &replicas);
    uint64_t moved = 0;
    for (int i = 0; i < 15 && !moved; i++) {
        plan_with_replicas(node, &replicas, 10 + (uint64_t)i);
        moved = fake_store_attempt(fixture->store, "vm-1", "req-2", 0);
    }
    assert_true(moved > replicas.second);
    assert_true(fake_store_attempt(fixture->store, "vm-2", "req-2", 0) == replicas.second);
    test_controller_plan(node, &plan);
    assert_null(plan_find_command(&plan, "vm-1", RR_COMMAND_START, "req-2", 0));
    rr_plan_clear(&plan);
    char *gone = g_strdup_printf("req-2 0 %" G_GUINT64_FORMAT " ended:halted", replicas.second);
    node->now += 1;
    test_controller_heartbeat(node, "vm-2", "a", false, 1, 90, rr_core_fencing_token(node->core),
                              gone, NULL);
    plan_once(node);
    assert_true(fake_store_attempt(fixture->store, "vm-2", "req-2", 0) == 0);
    test_controller_plan(node, &plan);
    assert_non_null(plan_find_command(&plan, "vm-1", RR_COMMAND_START, "req-2", 0));
    rr_plan_clear(&plan);
    g_free(gone);
    free_two_replicas(&replicas);
}

/* Emptying a machine that the operator owns saves nothing. */
static void rebalancing_leaves_machines_without_a_price(void **state) {
    core_fixture *fixture = *state;
    struct two_replicas replicas;
    rr_core_stats stats;
    place_two_replicas(fixture, 8, true, &replicas);
    for (int i = 0; i < 30; i++) {
        plan_with_replicas(&fixture->controller, &replicas, 10 + (uint64_t)i);
    }
    rr_core_get_stats(fixture->controller.core, &stats);
    assert_int_equal(stats.moves, 0);
    free_two_replicas(&replicas);
}

/* A job of higher priority whose class has an objective for its wait preempts; one of the same
 * priority waits. The victim is marked in the ledger and may save, and the new task starts only
 * when the machine shows room. */
static void an_urgent_job_preempts_lower_priority(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    rr_plan plan;
    fake_store_put_machine(fixture->store, "vm-1", "a", false, false);
    show_empty(node, "vm-1", "a", false, 1);
    submit(fixture, &(struct test_job){.job_id = "req-1",
                                       .priority = "low",
                                       .cpus = 16,
                                       .checkpoint_interval_s = 30,
                                       .save_s = 2});
    plan_once(node);
    uint64_t low = fake_store_attempt(fixture->store, "vm-1", "req-1", 0);
    char *first = running("req-1", low);
    test_controller_heartbeat(node, "vm-1", "a", false, 1, 2, rr_core_fencing_token(node->core),
                              first, NULL);
    submit(fixture, &(struct test_job){
                        .job_id = "req-2", .priority = "low", .job_class = "live", .cpus = 16});
    plan_once(node);
    assert_true(fake_store_attempt(fixture->store, "vm-1", "req-2", 0) == 0);
    submit(fixture,
           &(struct test_job){
               .job_id = "req-3", .priority = "prod", .job_class = "live", .service = true});
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

/* Work of any priority that a team runs beyond its guarantee stops for a job within another team's
 * guarantee, but no more than that, and not for a job beyond it. */
static void a_guarantee_preempts_work_beyond_another(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    rr_plan plan;
    node->config.teams[0].cpus = 8; /* red */
    node->config.teams[1].cpus = 4; /* blue */
    fake_store_put_machine(fixture->store, "vm-1", "a", false, false);
    show_empty(node, "vm-1", "a", false, 1);
    const char *const job_ids[] = {"req-1", "req-2", "req-3", "req-4"};
    for (int i = 0; i < 4; i++) {
        submit(fixture, &(struct test_job){
                            .job_id = job_ids[i], .priority = "prod", .service = true, .cpus = 4});
    }
    plan_once(node);
    for (int i = 0; i < 4; i++) {
        assert_true(fake_store_attempt(fixture->store, "vm-1", job_ids[i], 0) != 0);
    }
    submit(fixture,
           &(struct test_job){.job_id = "req-5", .team = "blue", .priority = "low", .cpus = 4});
    submit(fixture,
           &(struct test_job){.job_id = "req-6", .team = "blue", .priority = "prod", .cpus = 4});
    plan_once(node);
    bool five = fake_store_attempt(fixture->store, "vm-1", "req-5", 0) != 0;
    bool six = fake_store_attempt(fixture->store, "vm-1", "req-6", 0) != 0;
    assert_true(five != six);
    node->now += 2;
    char *replicas[4];
    for (int i = 0; i < 4; i++) {
        replicas[i] =
            running(job_ids[i], fake_store_attempt(fixture->store, "vm-1", job_ids[i], 0));
    }
    test_controller_heartbeat(node, "vm-1", "a", false, 1, 9, rr_core_fencing_token(node->core),
                              replicas[0], replicas[1], replicas[2], replicas[3], NULL);
    test_controller_plan(node, &plan);
    unsigned stops = 0;
    for (int i = 0; i < 4; i++) {
        stops += plan_find_command(&plan, "vm-1", RR_COMMAND_STOP, job_ids[i], 0) != NULL;
        g_free(replicas[i]);
    }
    assert_int_equal(stops, 1);
    rr_plan_clear(&plan);
}

/* Guards against counting what a victim gives back twice, which would reserve it for two replicas.
 */
static void a_victim_makes_room_once(void **state) {
    core_fixture *fixture = *state;
    fake_store_put_machine(fixture->store, "vm-1", "a", false, false);
    show_empty(&fixture->controller, "vm-1", "a", false, 1);
    submit(fixture, &(struct test_job){.job_id = "req-1",
                                       .cpus = 8,
                                       .priority = "prod",
                                       .job_class = "live",
                                       .service = true});
    submit(fixture, &(struct test_job){.job_id = "req-2", .cpus = 8, .priority = "low"});
    plan_once(&fixture->controller);
    uint64_t low = fake_store_attempt(fixture->store, "vm-1", "req-2", 0);
    assert_true(low != 0);
    char *first = running("req-1", fake_store_attempt(fixture->store, "vm-1", "req-1", 0));
    char *second = running("req-2", low);
    test_controller_heartbeat(&fixture->controller, "vm-1", "a", false, 1, 2,
                              rr_core_fencing_token(fixture->controller.core), first, second, NULL);
    submit(fixture, &(struct test_job){.job_id = "req-3",
                                       .cpus = 8,
                                       .priority = "prod",
                                       .job_class = "live",
                                       .service = true});
    submit(fixture, &(struct test_job){.job_id = "req-4",
                                       .cpus = 8,
                                       .priority = "prod",
                                       .job_class = "live",
                                       .service = true});
    plan_once(&fixture->controller);
    assert_int_equal(fake_store_placed_count(fixture->store, "req-3") +
                         fake_store_placed_count(fixture->store, "req-4"),
                     1);
    g_free(first);
    g_free(second);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, core_fixture_setup, core_fixture_teardown)

int main(void) {
    const struct CMUnitTest tests[] = {TEST(the_fullest_machine_comes_first),
                                       TEST(spot_machines_are_for_jobs_that_allow_them),
                                       TEST(a_job_of_one_zone_goes_to_the_emptier_zone),
                                       TEST(replicas_spread_over_zones_and_machines),
                                       TEST(a_machine_without_recent_heartbeats_takes_no_task),
                                       TEST(rebalancing_empties_a_priced_machine),
                                       TEST(rebalancing_leaves_machines_without_a_price),
                                       TEST(an_urgent_job_preempts_lower_priority),
                                       TEST(a_guarantee_preempts_work_beyond_another),
                                       TEST(a_victim_makes_room_once)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
