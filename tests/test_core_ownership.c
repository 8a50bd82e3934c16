/* Fencing, reservations and team limits when a team changes its owner, and between two owners. */
#include "core_fixture.h"
#include "reservation_fixture.h"

#include "core/leadership.h"
#include "core/planning.h"
#include "core/submissions.h"

#include <string.h>

/* A transaction planned under an old term fails once there is a new term, however late it is
 * committed. */
static void transaction_of_old_term_changes_nothing(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller, peer;
    struct test_job job = {.job_id = "req-000004"};
    rr_plan plan;
    send_heartbeat_with_task(controller, "vm-1", 1, 1, NULL);
    submit_job(fixture, &job);
    rr_plan_init(&plan);
    rr_core_plan(controller->core, controller->now, controller->now, &plan);
    assert_true(plan.has_transaction);
    test_controller_init(&peer, fixture->store, "n1");
    fake_store_sync(fixture->store, peer.core, peer.now);
    test_controller_join(&peer, 9);
    assert_true(fake_store_commit(fixture->store, &plan.transaction) != 0);
    assert_true(fake_store_find_attempt(fixture->store, "vm-1", job.job_id, 0) == 0);
    rr_plan_clear(&plan);
    test_controller_clear(&peer);
}

/* Commands were in flight when the term changed. They are void once the worker has shown the new
 * fencing token; until then a task that is missing from a heartbeat may still be started, so that
 * the new owner keeps its reservation. */
static void missing_task_keeps_reservation_until_worker_shows_new_token(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    struct test_job job = {.job_id = "req-000005", .service = true};
    uint64_t attempt, old_token = rr_core_fencing_token(controller->core);
    rr_plan plan;
    const char *machine = submit_and_reserve(fixture, &job, &attempt);
    test_controller_plan(controller, &plan); /* sends the start, which goes unanswered */
    rr_core_record_command_result(controller->core, controller->now,
                                  plan_find_batch(&plan, machine), RR_COMMAND_OUTCOME_UNKNOWN,
                                  false);
    rr_plan_clear(&plan);
    test_controller_join(controller, 8); /* restarted: a new session and a new term */
    assert_true(rr_core_fencing_token(controller->core) > old_token);
    test_controller_cancel(controller, job.job_id);
    controller->now += 2;
    test_controller_heartbeat(controller, machine, reservation_machine_zone(machine), false, 1, 2,
                              old_token, NULL);
    plan_and_commit(controller);
    assert_true(fake_store_find_attempt(fixture->store, machine, job.job_id, 0) == attempt);
    send_heartbeat_with_task(controller, machine, 1, 3, NULL);
    plan_and_commit(controller);
    assert_true(fake_store_find_attempt(fixture->store, machine, job.job_id, 0) == 0);
}

/* Reservations of the old owner count against the team's limit, whether or not their tasks are
 * proven terminated. */
static void team_limit_holds_across_change_of_owner(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    struct test_job job = {.job_id = "req-000011", .task_count = 3, .cpus = 1, .gpus = 1};
    uint64_t attempt;
    controller->config.teams[0].gpus_max = 2;
    submit_and_reserve(fixture, &job, &attempt);
    unsigned reserved = 0;
    for (uint32_t task = 0; task < 3; task++) {
        reserved += fake_store_find_attempt(fixture->store, "vm-1", job.job_id, task) != 0;
        reserved += fake_store_find_attempt(fixture->store, "vm-2", job.job_id, task) != 0;
    }
    assert_int_equal(reserved, 2);
    test_controller_join(controller, 8);
    send_heartbeat_with_task(controller, "vm-1", 1, 5, NULL);
    send_heartbeat_with_task(controller, "vm-2", 1, 5, NULL);
    plan_and_commit(controller);
    for (uint32_t task = 0; task < 3; task++) {
        reserved -= fake_store_find_attempt(fixture->store, "vm-1", job.job_id, task) != 0;
        reserved -= fake_store_find_attempt(fixture->store, "vm-2", job.job_id, task) != 0;
    }
    assert_int_equal(reserved, 0);
}

/* Lets both controllers plan from the same state of the store, then commits both transactions and
 * brings both store caches up to date. */
static void plan_concurrently(test_controller *const controllers[2], fake_store *store) {
    rr_plan plans[2];
    for (int i = 0; i < 2; i++) {
        fake_store_sync(store, controllers[i]->core, controllers[i]->now);
        test_controller_heartbeat(controllers[i], "vm-1", "a", false, 1, 1,
                                  rr_core_fencing_token(controllers[0]->core), NULL);
        rr_plan_init(&plans[i]);
        rr_core_plan(controllers[i]->core, controllers[i]->now, controllers[i]->now, &plans[i]);
    }
    for (int i = 0; i < 2; i++) {
        assert_int_equal(fake_store_commit(store, &plans[i].transaction), 0);
        rr_plan_clear(&plans[i]);
    }
    for (int i = 0; i < 2; i++) {
        fake_store_sync(store, controllers[i]->core, controllers[i]->now);
    }
}

/* Plans once and answers every command. Sets owner[job] to `index` for each of the two jobs that
 * the plan starts on vm-1. Returns the number of these. */
static int count_starts(test_controller *controller, const char *const job_ids[2], int index,
                        int owner[2]) {
    rr_plan plan;
    int start_count = 0;
    rr_plan_init(&plan);
    rr_core_plan(controller->core, controller->now, controller->now, &plan);
    for (int job = 0; job < 2; job++) {
        if (plan_find_command(&plan, "vm-1", RR_COMMAND_START, job_ids[job], 0)) {
            owner[job] = index;
            start_count++;
        }
    }
    for (guint i = 0; i < plan.command_batches->len; i++) {
        rr_core_record_command_result(controller->core, controller->now,
                                      g_ptr_array_index(plan.command_batches, i),
                                      RR_COMMAND_ANSWERED, true);
    }
    rr_plan_clear(&plan);
    return start_count;
}

/* Two owners may reserve the same resources, since each writes the ledger records of its own jobs.
 * The worker refuses one of the starts, and that reservation is deleted. Neither owner waits for
 * the other. */
static void worker_refuses_one_of_two_conflicting_starts(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller, peer;
    struct test_job first_job = {.job_id = "req-000012", .team = "red", .cpus = 16};
    struct test_job second_job = {.job_id = "req-000013", .team = "blue", .cpus = 16};
    const char *job_ids[2] = {first_job.job_id, second_job.job_id};
    fake_store_delete_machine(fixture->store, "vm-2");
    test_controller_init(&peer, fixture->store, "n1");
    fake_store_sync(fixture->store, peer.core, peer.now);
    test_controller_join(&peer, 9);
    test_controller_begin_next_term(controller);
    fake_store_submit(fixture->store, &first_job, controller->now);
    fake_store_submit(fixture->store, &second_job, controller->now);
    test_controller *const controllers[2] = {controller, &peer};
    uint64_t attempts[2];
    int owner[2] = {-1, -1}, start_count = 0;
    plan_concurrently(controllers, fixture->store);
    for (int k = 0; k < 2; k++) {
        attempts[k] = fake_store_find_attempt(fixture->store, "vm-1", job_ids[k], 0);
        assert_true(attempts[k] != 0);
        for (int i = 0; i < 2; i++) {
            start_count += count_starts(controllers[i], job_ids, i, owner);
        }
    }
    assert_int_equal(start_count, 2);
    char *running_task = format_reported_task(job_ids[0], attempts[0], "running"),
         *refused_task = format_reported_task(job_ids[1], attempts[1], "ended:full");
    for (int i = 0; i < 2; i++) {
        test_controller_heartbeat(controllers[i], "vm-1", "a", false, 1, 9,
                                  rr_core_fencing_token(controller->core), running_task,
                                  refused_task, NULL);
    }
    plan_and_commit(controllers[owner[1]]);
    assert_true(fake_store_find_attempt(fixture->store, "vm-1", job_ids[0], 0) == attempts[0]);
    assert_true(fake_store_find_attempt(fixture->store, "vm-1", job_ids[1], 0) != attempts[1]);
    g_free(running_task);
    g_free(refused_task);
    test_controller_clear(&peer);
}

/* Guards against a preemption that stops a task of another team because both tasks have the same
 * attempt number. */
static void attempts_of_two_owners_differ(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller, peer;
    const char *const teams[] = {"red", "blue"};
    uint64_t attempts[2] = {0, 0};
    test_controller_init(&peer, fixture->store, "n1");
    fake_store_sync(fixture->store, peer.core, peer.now);
    test_controller_join(&peer, 9);
    test_controller_begin_next_term(controller);
    test_controller *controllers[2] = {controller, &peer};
    for (int team = 0; team < 2; team++) {
        char job_id[16];
        g_snprintf(job_id, sizeof job_id, "req-10000%d", team);
        fake_store_submit(fixture->store,
                          &(struct test_job){.job_id = job_id, .team = teams[team], .cpus = 1},
                          controller->now);
        for (int i = 0; i < 2 && !attempts[team]; i++) {
            fake_store_sync(fixture->store, controllers[i]->core, controllers[i]->now);
            send_heartbeat_with_task(controllers[i], "vm-1", 1, 1, NULL);
            plan_and_commit(controllers[i]);
            attempts[team] = fake_store_find_attempt(fixture->store, "vm-1", job_id, 0);
        }
        assert_true(attempts[team] != 0);
    }
    assert_true(attempts[0] != attempts[1]);
    test_controller_clear(&peer);
}

/* A reservation's transaction is guarded by the version of the job's record: it fails if the job
 * was cancelled after planning. */
static void cancellation_voids_planned_reservation(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller;
    struct test_job job = {.job_id = "req-000014"};
    rr_plan plan;
    send_heartbeat_with_task(controller, "vm-1", 1, 1, NULL);
    submit_job(fixture, &job);
    rr_plan_init(&plan);
    rr_core_plan(controller->core, controller->now, controller->now, &plan);
    assert_true(plan.has_transaction);
    test_controller_cancel(controller, job.job_id);
    assert_true(fake_store_commit(fixture->store, &plan.transaction) != 0);
    rr_plan_clear(&plan);
}

/* A restarted controller is not the member of its name in the present term, since its session has
 * another lease. It may command once a new term names it, which deposes its predecessor. */
static void restarted_controller_has_no_lease_before_its_term(void **state) {
    core_fixture *fixture = *state;
    test_controller *controller = &fixture->controller, restarted;
    test_controller_init(&restarted, fixture->store, "n0");
    fake_store_sync(fixture->store, restarted.core, restarted.now);
    rr_core_set_session(restarted.core, 77, restarted.now + 100);
    assert_false(rr_core_lease_valid(restarted.core, restarted.now));
    test_controller_join(&restarted, 77);
    assert_true(rr_core_lease_valid(restarted.core, restarted.now));
    fake_store_sync(fixture->store, controller->core, controller->now);
    assert_false(rr_core_lease_valid(controller->core, controller->now));
    test_controller_clear(&restarted);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, reservation_setup, core_fixture_teardown)

int main(void) {
    const struct CMUnitTest tests[] = {
        TEST(transaction_of_old_term_changes_nothing),
        TEST(missing_task_keeps_reservation_until_worker_shows_new_token),
        TEST(team_limit_holds_across_change_of_owner),
        TEST(worker_refuses_one_of_two_conflicting_starts),
        TEST(attempts_of_two_owners_differ),
        TEST(cancellation_voids_planned_reservation),
        TEST(restarted_controller_has_no_lease_before_its_term)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
