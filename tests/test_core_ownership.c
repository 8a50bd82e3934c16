/* What holds when a team changes its owner, and between two owners. */
#include "core_fixture.h"
#include "reservation_fixture.h"

#include "core/leadership.h"
#include "core/planning.h"
#include "core/submissions.h"

#include <string.h>

/* A transaction planned under an old term fails once there is a new one, however late it is
 * applied. */
static void a_transaction_of_an_old_term_changes_nothing(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller, other;
    struct test_job job = {.job_id = "req-000004"};
    rr_plan plan;
    heartbeat_with(node, "vm-1", 1, 1, NULL);
    submit_job(fixture, &job);
    rr_plan_init(&plan);
    rr_core_plan(node->core, node->now, node->now, &plan);
    assert_true(plan.has_transaction);
    test_controller_init(&other, fixture->store, "n1");
    fake_store_sync(fixture->store, other.core, other.now);
    test_controller_join(&other, 9);
    assert_true(fake_store_commit(fixture->store, &plan.transaction) != 0);
    assert_true(fake_store_attempt(fixture->store, "vm-1", job.job_id, 0) == 0);
    rr_plan_clear(&plan);
    test_controller_clear(&other);
}

/* Commands were in flight when the term changed. Only the new token, once the worker has shown it,
 * voids them; until then the new owner takes no absence as proof. */
static void absence_proves_nothing_before_the_worker_shows_the_new_token(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    struct test_job job = {.job_id = "req-000005", .service = true};
    uint64_t attempt, old = rr_core_fencing_token(node->core);
    rr_plan plan;
    const char *machine = reserve_one(fixture, &job, &attempt);
    test_controller_plan(node, &plan); /* the start is on its way */
    rr_core_command_result(node->core, node->now, plan_find_batch(&plan, machine),
                           RR_COMMAND_OUTCOME_UNKNOWN, false);
    rr_plan_clear(&plan);
    test_controller_join(node, 8); /* a new incarnation, a new term */
    assert_true(rr_core_fencing_token(node->core) > old);
    test_controller_cancel(node, job.job_id);
    node->now += 2;
    test_controller_heartbeat(node, machine, zone_of(machine), false, 1, 2, old, NULL);
    plan_and_commit(node);
    assert_true(fake_store_attempt(fixture->store, machine, job.job_id, 0) == attempt);
    heartbeat_with(node, machine, 1, 3, NULL);
    plan_and_commit(node);
    assert_true(fake_store_attempt(fixture->store, machine, job.job_id, 0) == 0);
}

/* What the old owner reserved counts, whether proven terminated or not. */
static void a_team_limit_holds_across_a_change_of_owner(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    struct test_job job = {.job_id = "req-000011", .task_count = 3, .cpus = 1, .gpus = 1};
    uint64_t attempt;
    node->config.teams[0].gpus_max = 2;
    reserve_one(fixture, &job, &attempt);
    unsigned reserved = 0;
    for (uint32_t task = 0; task < 3; task++) {
        reserved += fake_store_attempt(fixture->store, "vm-1", job.job_id, task) != 0;
        reserved += fake_store_attempt(fixture->store, "vm-2", job.job_id, task) != 0;
    }
    assert_int_equal(reserved, 2);
    test_controller_join(node, 8);
    heartbeat_with(node, "vm-1", 1, 5, NULL);
    heartbeat_with(node, "vm-2", 1, 5, NULL);
    plan_and_commit(node);
    for (uint32_t task = 0; task < 3; task++) {
        reserved -= fake_store_attempt(fixture->store, "vm-1", job.job_id, task) != 0;
        reserved -= fake_store_attempt(fixture->store, "vm-2", job.job_id, task) != 0;
    }
    assert_int_equal(reserved, 0);
}

/* Both owners plan from the same state, and only then is either's transaction carried out. */
static void plan_side_by_side(test_controller *const nodes[2], fake_store *store) {
    rr_plan plans[2];
    for (int i = 0; i < 2; i++) {
        fake_store_sync(store, nodes[i]->core, nodes[i]->now);
        test_controller_heartbeat(nodes[i], "vm-1", "a", false, 1, 1,
                                  rr_core_fencing_token(nodes[0]->core), NULL);
        rr_plan_init(&plans[i]);
        rr_core_plan(nodes[i]->core, nodes[i]->now, nodes[i]->now, &plans[i]);
    }
    for (int i = 0; i < 2; i++) {
        assert_int_equal(fake_store_commit(store, &plans[i].transaction), 0);
        rr_plan_clear(&plans[i]);
    }
    for (int i = 0; i < 2; i++) {
        fake_store_sync(store, nodes[i]->core, nodes[i]->now);
    }
}

/* Plans once, answers the commands, and notes for which of the two jobs a start was among them. */
static int count_starts(test_controller *node, const char *const job_ids[2], int index,
                        int owner[2]) {
    rr_plan plan;
    int started = 0;
    rr_plan_init(&plan);
    rr_core_plan(node->core, node->now, node->now, &plan);
    for (int job = 0; job < 2; job++) {
        if (plan_find_command(&plan, "vm-1", RR_COMMAND_START, job_ids[job], 0)) {
            owner[job] = index;
            started++;
        }
    }
    for (guint i = 0; i < plan.command_batches->len; i++) {
        rr_core_command_result(node->core, node->now, g_ptr_array_index(plan.command_batches, i),
                               RR_COMMAND_ANSWERED, true);
    }
    rr_plan_clear(&plan);
    return started;
}

/* Two owners may reserve the same resources, since each writes the records of its own jobs. The
 * worker refuses one start, and that reservation goes. Neither owner waits for the other. */
static void a_worker_decides_between_two_owners(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller, other;
    struct test_job first_job = {.job_id = "req-000012", .team = "red", .cpus = 16};
    struct test_job second_job = {.job_id = "req-000013", .team = "blue", .cpus = 16};
    const char *job_ids[2] = {first_job.job_id, second_job.job_id};
    fake_store_delete_machine(fixture->store, "vm-2");
    test_controller_init(&other, fixture->store, "n1");
    fake_store_sync(fixture->store, other.core, other.now);
    test_controller_join(&other, 9);
    test_controller_next_term(node);
    fake_store_submit(fixture->store, &first_job, node->now);
    fake_store_submit(fixture->store, &second_job, node->now);
    test_controller *const nodes[2] = {node, &other};
    uint64_t attempts[2];
    int owner[2] = {-1, -1}, started = 0;
    plan_side_by_side(nodes, fixture->store);
    for (int k = 0; k < 2; k++) {
        attempts[k] = fake_store_attempt(fixture->store, "vm-1", job_ids[k], 0);
        assert_true(attempts[k] != 0);
        for (int i = 0; i < 2; i++) {
            started += count_starts(nodes[i], job_ids, i, owner);
        }
    }
    assert_int_equal(started, 2);
    char *runs = task_shown(job_ids[0], attempts[0], "running"),
         *full = task_shown(job_ids[1], attempts[1], "ended:full");
    for (int i = 0; i < 2; i++) {
        test_controller_heartbeat(nodes[i], "vm-1", "a", false, 1, 9,
                                  rr_core_fencing_token(node->core), runs, full, NULL);
    }
    plan_and_commit(nodes[owner[1]]);
    assert_true(fake_store_attempt(fixture->store, "vm-1", job_ids[0], 0) == attempts[0]);
    assert_true(fake_store_attempt(fixture->store, "vm-1", job_ids[1], 0) != attempts[1]);
    g_free(runs);
    g_free(full);
    test_controller_clear(&other);
}

/* Guards against a preemption that stops another team's task because the two share an attempt
 * number. */
static void attempts_of_two_owners_differ(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller, other;
    const char *const teams[] = {"red", "blue"};
    uint64_t seen[2] = {0, 0};
    test_controller_init(&other, fixture->store, "n1");
    fake_store_sync(fixture->store, other.core, other.now);
    test_controller_join(&other, 9);
    test_controller_next_term(node);
    test_controller *nodes[2] = {node, &other};
    for (int team = 0; team < 2; team++) {
        char job_id[16];
        g_snprintf(job_id, sizeof job_id, "req-10000%d", team);
        fake_store_submit(fixture->store,
                          &(struct test_job){.job_id = job_id, .team = teams[team], .cpus = 1},
                          node->now);
        for (int i = 0; i < 2 && !seen[team]; i++) {
            fake_store_sync(fixture->store, nodes[i]->core, nodes[i]->now);
            heartbeat_with(nodes[i], "vm-1", 1, 1, NULL);
            plan_and_commit(nodes[i]);
            seen[team] = fake_store_attempt(fixture->store, "vm-1", job_id, 0);
        }
        assert_true(seen[team] != 0);
    }
    assert_true(seen[0] != seen[1]);
    test_controller_clear(&other);
}

/* A reservation guards its job's record: a cancellation committed in between makes it fail. */
static void a_cancellation_voids_a_planned_reservation(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    struct test_job job = {.job_id = "req-000014"};
    rr_plan plan;
    heartbeat_with(node, "vm-1", 1, 1, NULL);
    submit_job(fixture, &job);
    rr_plan_init(&plan);
    rr_core_plan(node->core, node->now, node->now, &plan);
    assert_true(plan.has_transaction);
    test_controller_cancel(node, job.job_id);
    assert_true(fake_store_commit(fixture->store, &plan.transaction) != 0);
    rr_plan_clear(&plan);
}

/* A restarted controller of the same name is not the member that the term names. */
static void a_new_incarnation_has_no_lease_before_its_term(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller, again;
    test_controller_init(&again, fixture->store, "n0");
    fake_store_sync(fixture->store, again.core, again.now);
    rr_core_set_session(again.core, 77, again.now + 100);
    assert_false(rr_core_lease_valid(again.core, again.now));
    test_controller_join(&again, 77);
    assert_true(rr_core_lease_valid(again.core, again.now));
    fake_store_sync(fixture->store, node->core, node->now);
    assert_false(rr_core_lease_valid(node->core, node->now));
    test_controller_clear(&again);
}

#define TEST(name) cmocka_unit_test_setup_teardown(name, reservation_setup, core_fixture_teardown)

int main(void) {
    const struct CMUnitTest tests[] = {
        TEST(a_transaction_of_an_old_term_changes_nothing),
        TEST(absence_proves_nothing_before_the_worker_shows_the_new_token),
        TEST(a_team_limit_holds_across_a_change_of_owner),
        TEST(a_worker_decides_between_two_owners),
        TEST(attempts_of_two_owners_differ),
        TEST(a_cancellation_voids_a_planned_reservation),
        TEST(a_new_incarnation_has_no_lease_before_its_term)};
    return cmocka_run_group_tests(tests, NULL, NULL);
}
