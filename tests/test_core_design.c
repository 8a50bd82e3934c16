/* Placement, rebalancing and preemption without failures, on small cases worked out by hand. */
#include "core/leadership.h"
#include "core/planning.h"
#include "core/stats.h"
#include "core_fixture.h"

#include <string.h>

/* Sends a heartbeat of machine id without tasks. */
static void send_empty_heartbeat(test_controller *controller, const char *id, const char *zone,
                                 bool spot, uint64_t sequence) {
    test_controller_heartbeat(controller, id, zone, spot, 1, sequence,
                              rr_core_fencing_token(controller->core), NULL);
}

/* Plans once, commits the transaction and answers every command. */
static void plan_once(test_controller *controller) {
    rr_plan plan;
    test_controller_plan(controller, &plan);
    for (guint i = 0; i < plan.command_batches->len; i++) {
        rr_core_record_command_result(controller->core, controller->now,
                                      g_ptr_array_index(plan.command_batches, i),
                                      RR_COMMAND_ANSWERED, true);
    }
    rr_plan_clear(&plan);
}

/* Submits a job and brings it into the controller's store cache. */
static void submit(core_fixture *fixture, const struct test_job *job) {
    fake_store_submit(fixture->store, job, fixture->controller.now);
    fake_store_sync(fixture->store, fixture->controller.core, fixture->controller.now);
}

/* Placement prefers the lowest product of price and free share: it is 5 on vm-1, where 8 of 16 CPUs
 * are in use, and 10 on the empty vm-2. */
static void fullest_machine_is_preferred(void **state) {
    core_fixture *fixture = *state;
    fake_store_put_machine(fixture->store, "vm-1", "a", false, false);
    fake_store_put_machine(fixture->store, "vm-2", "a", false, false);
    send_empty_heartbeat(&fixture->controller, "vm-1", "a", false, 1);
    submit(fixture, &(struct test_job){.job_id = "req-1", .cpus = 8});
    plan_once(&fixture->controller);
    assert_true(fake_store_find_attempt(fixture->store, "vm-1", "req-1", 0) != 0);
    send_empty_heartbeat(&fixture->controller, "vm-2", "a", false, 1);
    submit(fixture, &(struct test_job){.job_id = "req-2", .cpus = 4});
    plan_once(&fixture->controller);
    assert_true(fake_store_find_attempt(fixture->store, "vm-1", "req-2", 0) != 0);
}

/* Of two empty machines the spot machine costs 4 and the on-demand one 10. A job that allows spot
 * machines takes the cheaper one; any other job takes the on-demand one. */
static void spot_machines_only_run_jobs_that_allow_them(void **state) {
    core_fixture *fixture = *state;
    fake_store_put_machine(fixture->store, "vm-1", "a", false, false);
    fake_store_put_machine(fixture->store, "vm-2", "a", true, false);
    send_empty_heartbeat(&fixture->controller, "vm-1", "a", false, 1);
    send_empty_heartbeat(&fixture->controller, "vm-2", "a", true, 1);
    submit(fixture, &(struct test_job){.job_id = "req-1", .spot = true});
    submit(fixture, &(struct test_job){.job_id = "req-2"});
    plan_once(&fixture->controller);
    assert_true(fake_store_find_attempt(fixture->store, "vm-2", "req-1", 0) != 0);
    assert_true(fake_store_find_attempt(fixture->store, "vm-1", "req-2", 0) != 0);
}

/* Zone b has two empty machines; zone a has an empty one and one with 8 of 16 CPUs in use. Both
 * tasks of 10 CPUs fit only into zone b. */
static void one_zone_job_goes_to_emptier_zone(void **state) {
    core_fixture *fixture = *state;
    fake_store_put_machine(fixture->store, "vm-1", "a", false, false);
    send_empty_heartbeat(&fixture->controller, "vm-1", "a", false, 1);
    submit(fixture, &(struct test_job){.job_id = "req-1", .cpus = 8});
    plan_once(&fixture->controller);
    fake_store_put_machine(fixture->store, "vm-2", "a", false, false);
    fake_store_put_machine(fixture->store, "vm-3", "b", false, false);
    fake_store_put_machine(fixture->store, "vm-4", "b", false, false);
    fake_store_sync(fixture->store, fixture->controller.core, fixture->controller.now);
    send_empty_heartbeat(&fixture->controller, "vm-2", "a", false, 1);
    send_empty_heartbeat(&fixture->controller, "vm-3", "b", false, 1);
    send_empty_heartbeat(&fixture->controller, "vm-4", "b", false, 1);
    submit(fixture,
           &(struct test_job){.job_id = "req-2", .cpus = 10, .task_count = 2, .one_zone = true});
    plan_once(&fixture->controller);
    plan_once(&fixture->controller);
    unsigned in_b = 0;
    for (uint32_t task = 0; task < 2; task++) {
        in_b += fake_store_find_attempt(fixture->store, "vm-3", "req-2", task) != 0;
        in_b += fake_store_find_attempt(fixture->store, "vm-4", "req-2", task) != 0;
    }
    assert_int_equal(in_b, 2);
}

/* A zone gets at most half of a job's replicas, rounded up, and a machine at most one. */
static void replicas_spread_over_zones_and_machines(void **state) {
    core_fixture *fixture = *state;
    const char *ids[] = {"vm-1", "vm-2", "vm-3", "vm-4"};
    for (int i = 0; i < 4; i++) {
        fake_store_put_machine(fixture->store, ids[i], i < 3 ? "a" : "b", false, false);
        send_empty_heartbeat(&fixture->controller, ids[i], i < 3 ? "a" : "b", false, 1);
    }
    submit(fixture,
           &(struct test_job){.job_id = "req-1", .service = true, .task_count = 3, .spread = true});
    for (int i = 0; i < 4; i++) {
        plan_once(&fixture->controller);
    }
    unsigned in_a = 0, in_b = 0;
    for (uint32_t task = 0; task < 3; task++) {
        unsigned machines_in_a = 0;
        for (int i = 0; i < 3; i++) {
            machines_in_a += fake_store_find_attempt(fixture->store, ids[i], "req-1", task) != 0;
        }
        in_a += machines_in_a;
        in_b += fake_store_find_attempt(fixture->store, "vm-4", "req-1", task) != 0;
    }
    assert_int_equal(in_a, 2);
    assert_int_equal(in_b, 1);
}

/* Guards against placing tasks in a partitioned zone by the free resources that its machines last
 * reported. The heartbeat is 7 s old, more than two heartbeat intervals of 3 s. */
static void machine_without_recent_heartbeat_gets_no_task(void **state) {
    core_fixture *fixture = *state;
    fake_store_put_machine(fixture->store, "vm-1", "a", false, false);
    send_empty_heartbeat(&fixture->controller, "vm-1", "a", false, 1);
    fixture->controller.now += 7;
    submit(fixture, &(struct test_job){.job_id = "req-1"});
    plan_once(&fixture->controller);
    assert_true(fake_store_find_attempt(fixture->store, "vm-1", "req-1", 0) == 0);
    send_empty_heartbeat(&fixture->controller, "vm-1", "a", false, 2);
    fixture->controller.now += 0.5; /* a job without room is not tried again in every plan */
    plan_once(&fixture->controller);
    assert_true(fake_store_find_attempt(fixture->store, "vm-1", "req-1", 0) != 0);
}

/* Returns the text of a heartbeat's task: task 0 of the job, running. The caller frees it. */
static char *running_task_text(const char *job_id, uint64_t attempt) {
    return g_strdup_printf("%s 0 %" G_GUINT64_FORMAT " running", job_id, attempt);
}

/* A replica of req-1 on vm-1 and one of req-2 on vm-2. */
struct two_replicas {
    uint64_t first_attempt, second_attempt;
    char *first_text, *second_text; /* as heartbeats show them; owned */
};

/* Places a replica of first_cpus CPUs on vm-1 and one of 4 CPUs on vm-2. By then vm-1's heartbeat
 * is 7 s old, so that the second replica goes to vm-2. The caller frees *replicas with
 * free_two_replicas(). */
static void place_two_replicas(core_fixture *fixture, double first_cpus, bool operator_owned,
                               struct two_replicas *replicas) {
    test_controller *controller = &fixture->controller;
    fake_store_put_machine(fixture->store, "vm-1", "a", false, operator_owned);
    fake_store_put_machine(fixture->store, "vm-2", "a", false, operator_owned);
    send_empty_heartbeat(controller, "vm-1", "a", false, 1);
    submit(fixture, &(struct test_job){.job_id = "req-1", .service = true, .cpus = first_cpus});
    plan_once(controller);
    controller->now += 7;
    send_empty_heartbeat(controller, "vm-2", "a", false, 1);
    submit(fixture, &(struct test_job){.job_id = "req-2", .service = true, .cpus = 4});
    plan_once(controller);
    replicas->first_attempt = fake_store_find_attempt(fixture->store, "vm-1", "req-1", 0);
    replicas->second_attempt = fake_store_find_attempt(fixture->store, "vm-2", "req-2", 0);
    assert_true(replicas->first_attempt && replicas->second_attempt);
    replicas->first_text = running_task_text("req-1", replicas->first_attempt);
    replicas->second_text = running_task_text("req-2", replicas->second_attempt);
}

static void free_two_replicas(struct two_replicas *replicas) {
    g_free(replicas->first_text);
    g_free(replicas->second_text);
}

/* Advances the clock by 3 s, sends heartbeats of both machines with their replicas, and plans
 * once. */
static void plan_with_replicas(test_controller *controller, const struct two_replicas *replicas,
                               uint64_t sequence) {
    controller->now += 3;
    test_controller_heartbeat(controller, "vm-1", "a", false, 1, sequence,
                              rr_core_fencing_token(controller->core), replicas->first_text, NULL);
    test_controller_heartbeat(controller, "vm-2", "a", false, 1, sequence,
                              rr_core_fencing_token(controller->core), replicas->second_text, NULL);
    plan_once(controller);
}

/* Both machines are rented; a quarter of vm-1 is free and three quarters of vm-2. Rebalancing
 * empties vm-2 by moving its replica: it reserves resources on vm-1, then stops the old attempt,
 * and starts the new one only once the old one is terminated. */
static void rebalancing_empties_rented_machine(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    struct two_replicas replicas;
    rr_plan plan;
    place_two_replicas(fixture, 12, false, &replicas);
    uint64_t moved = 0;
    for (int i = 0; i < 15 && !moved; i++) {
        plan_with_replicas(controller, &replicas, 10 + (uint64_t)i);
        moved = fake_store_find_attempt(fixture->store, "vm-1", "req-2", 0);
    }
    assert_true(moved > replicas.second_attempt);
    assert_true(fake_store_find_attempt(fixture->store, "vm-2", "req-2", 0) ==
                replicas.second_attempt);
    test_controller_plan(controller, &plan);
    assert_null(plan_find_command(&plan, "vm-1", RR_COMMAND_START, "req-2", 0));
    rr_plan_clear(&plan);
    char *ended_text =
        g_strdup_printf("req-2 0 %" G_GUINT64_FORMAT " ended:halted", replicas.second_attempt);
    controller->now += 1;
    test_controller_heartbeat(controller, "vm-2", "a", false, 1, 90,
                              rr_core_fencing_token(controller->core), ended_text, NULL);
    plan_once(controller);
    assert_true(fake_store_find_attempt(fixture->store, "vm-2", "req-2", 0) == 0);
    test_controller_plan(controller, &plan);
    assert_non_null(plan_find_command(&plan, "vm-1", RR_COMMAND_START, "req-2", 0));
    rr_plan_clear(&plan);
    g_free(ended_text);
    free_two_replicas(&replicas);
}

/* Emptying a machine that the operator owns saves no money, so that nothing is moved. */
static void rebalancing_ignores_operator_owned_machines(void **state) {
    core_fixture *fixture = *state;
    struct two_replicas replicas;
    rr_core_stats stats;
    place_two_replicas(fixture, 8, true, &replicas);
    for (int i = 0; i < 30; i++) {
        plan_with_replicas(&fixture->controller, &replicas, 10 + (uint64_t)i);
    }
    rr_core_get_stats(fixture->controller.core, &stats);
    assert_int_equal(stats.tasks_moved, 0);
    free_two_replicas(&replicas);
}

/* A job whose class has an objective for its wait preempts a task of lower priority, but none of
 * the same priority. The preempted task is marked in the ledger and has time to save its state; the
 * new one starts only once a heartbeat shows that the machine has room. */
static void job_with_wait_objective_preempts_lower_priority(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    rr_plan plan;
    fake_store_put_machine(fixture->store, "vm-1", "a", false, false);
    send_empty_heartbeat(controller, "vm-1", "a", false, 1);
    submit(fixture, &(struct test_job){.job_id = "req-1",
                                       .priority = "low",
                                       .cpus = 16,
                                       .checkpoint_interval_s = 30,
                                       .save_s = 2});
    plan_once(controller);
    uint64_t low_attempt = fake_store_find_attempt(fixture->store, "vm-1", "req-1", 0);
    char *low_task_text = running_task_text("req-1", low_attempt);
    test_controller_heartbeat(controller, "vm-1", "a", false, 1, 2,
                              rr_core_fencing_token(controller->core), low_task_text, NULL);
    submit(fixture, &(struct test_job){
                        .job_id = "req-2", .priority = "low", .job_class = "live", .cpus = 16});
    plan_once(controller);
    assert_true(fake_store_find_attempt(fixture->store, "vm-1", "req-2", 0) == 0);
    submit(fixture,
           &(struct test_job){
               .job_id = "req-3", .priority = "prod", .job_class = "live", .service = true});
    plan_once(controller);
    assert_true(fake_store_find_attempt(fixture->store, "vm-1", "req-3", 0) != 0);
    controller->now += 2;
    test_controller_plan(controller, &plan);
    const rr_command *stop = plan_find_command(&plan, "vm-1", RR_COMMAND_STOP, "req-1", 0);
    assert_non_null(stop);
    assert_true(stop->grace_s >= 2);
    assert_null(plan_find_command(&plan, "vm-1", RR_COMMAND_START, "req-3", 0));
    rr_plan_clear(&plan);
    g_free(low_task_text);
}

/* A job within its team's guarantee preempts tasks of any priority that another team runs beyond
 * its own guarantee, as many as the job needs. A job beyond the guarantee preempts nothing. */
static void guaranteed_job_preempts_work_beyond_another_guarantee(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    rr_plan plan;
    controller->config.teams[0].cpus = 8; /* red */
    controller->config.teams[1].cpus = 4; /* blue */
    fake_store_put_machine(fixture->store, "vm-1", "a", false, false);
    send_empty_heartbeat(controller, "vm-1", "a", false, 1);
    const char *const job_ids[] = {"req-1", "req-2", "req-3", "req-4"};
    for (int i = 0; i < 4; i++) {
        submit(fixture, &(struct test_job){
                            .job_id = job_ids[i], .priority = "prod", .service = true, .cpus = 4});
    }
    plan_once(controller);
    for (int i = 0; i < 4; i++) {
        assert_true(fake_store_find_attempt(fixture->store, "vm-1", job_ids[i], 0) != 0);
    }
    submit(fixture,
           &(struct test_job){.job_id = "req-5", .team = "blue", .priority = "low", .cpus = 4});
    submit(fixture,
           &(struct test_job){.job_id = "req-6", .team = "blue", .priority = "prod", .cpus = 4});
    plan_once(controller);
    bool fifth_placed = fake_store_find_attempt(fixture->store, "vm-1", "req-5", 0) != 0;
    bool sixth_placed = fake_store_find_attempt(fixture->store, "vm-1", "req-6", 0) != 0;
    assert_true(fifth_placed != sixth_placed);
    controller->now += 2;
    char *task_texts[4];
    for (int i = 0; i < 4; i++) {
        task_texts[i] = running_task_text(
            job_ids[i], fake_store_find_attempt(fixture->store, "vm-1", job_ids[i], 0));
    }
    test_controller_heartbeat(controller, "vm-1", "a", false, 1, 9,
                              rr_core_fencing_token(controller->core), task_texts[0], task_texts[1],
                              task_texts[2], task_texts[3], NULL);
    test_controller_plan(controller, &plan);
    unsigned stops = 0;
    for (int i = 0; i < 4; i++) {
        stops += plan_find_command(&plan, "vm-1", RR_COMMAND_STOP, job_ids[i], 0) != NULL;
        g_free(task_texts[i]);
    }
    assert_int_equal(stops, 1);
    rr_plan_clear(&plan);
}

/* Guards against counting the resources of a preempted task twice, which would reserve them for two
 * replicas. */
static void preempted_resources_are_reserved_once(void **state) {
    core_fixture *fixture = *state;
    fake_store_put_machine(fixture->store, "vm-1", "a", false, false);
    send_empty_heartbeat(&fixture->controller, "vm-1", "a", false, 1);
    submit(fixture, &(struct test_job){.job_id = "req-1",
                                       .cpus = 8,
                                       .priority = "prod",
                                       .job_class = "live",
                                       .service = true});
    submit(fixture, &(struct test_job){.job_id = "req-2", .cpus = 8, .priority = "low"});
    plan_once(&fixture->controller);
    uint64_t low_attempt = fake_store_find_attempt(fixture->store, "vm-1", "req-2", 0);
    assert_true(low_attempt != 0);
    char *first_text =
        running_task_text("req-1", fake_store_find_attempt(fixture->store, "vm-1", "req-1", 0));
    char *second_text = running_task_text("req-2", low_attempt);
    test_controller_heartbeat(&fixture->controller, "vm-1", "a", false, 1, 2,
                              rr_core_fencing_token(fixture->controller.core), first_text,
                              second_text, NULL);
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
    g_free(first_text);
    g_free(second_text);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, core_fixture_setup, core_fixture_teardown)

int main(void) {
    const struct CMUnitTest tests[] = {TEST(fullest_machine_is_preferred),
                                       TEST(spot_machines_only_run_jobs_that_allow_them),
                                       TEST(one_zone_job_goes_to_emptier_zone),
                                       TEST(replicas_spread_over_zones_and_machines),
                                       TEST(machine_without_recent_heartbeat_gets_no_task),
                                       TEST(rebalancing_empties_rented_machine),
                                       TEST(rebalancing_ignores_operator_owned_machines),
                                       TEST(job_with_wait_objective_preempts_lower_priority),
                                       TEST(guaranteed_job_preempts_work_beyond_another_guarantee),
                                       TEST(preempted_resources_are_reserved_once)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
