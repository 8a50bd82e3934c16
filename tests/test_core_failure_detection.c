/* Faults beyond missing heartbeats: unanswered commands, late copies, reused names, failed tasks,
 * and controllers that are cut off from the others. */
#include "core/heartbeats.h"
#include "core/leadership.h"
#include "core/planning.h"
#include "core/scaling.h"
#include "core/stats.h"
#include "core/submissions.h"
#include "machine_fixture.h"

#include <string.h>

/* Heartbeats arrive, but commands are not answered. After two the machine takes no new work; then
 * it is released, which proves its task's end and lets it start elsewhere. */
static void machine_with_unanswered_commands_is_released(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    struct test_job first_job = {.job_id = "req-1", .service = true},
                    second_job = {.job_id = "req-2", .service = true};
    send_heartbeat(node, "vm-1", 1, NULL);
    send_heartbeat(node, "vm-2", 1, NULL);
    fake_store_submit(fixture->store, &first_job, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    plan_unanswered_by(node, NULL);
    const char *unreachable = placed_on(fixture->store, "req-1", NULL),
               *other = strcmp(unreachable, "vm-1") == 0 ? "vm-2" : "vm-1";
    bool released = false;
    for (uint64_t i = 2; i < 40 && !released; i++) {
        node->now += 1;
        send_heartbeat(node, unreachable, i, NULL);
        send_heartbeat(node, other, i, NULL);
        plan_unanswered_by(node, unreachable);
        if (i == 10) {
            fake_store_submit(fixture->store, &second_job, node->now);
            fake_store_sync(fixture->store, node->core, node->now);
            plan_unanswered_by(node, unreachable);
            assert_string_equal(placed_on(fixture->store, "req-2", NULL), other);
        }
        assert_string_equal(placed_on(fixture->store, "req-1", NULL),
                            unreachable); /* no proof of its end yet */
        released = step_releases(fixture, unreachable);
        assert_false(step_releases(fixture, other));
    }
    assert_true(released);
    for (int i = 0; i < 6; i++) {
        node->now += 0.5;
        step_releases(fixture, unreachable);
        plan_unanswered_by(node, NULL);
    }
    assert_string_equal(placed_on(fixture->store, "req-1", NULL), other);
}

/* Where only this controller's own path was interrupted, one answer makes the machine usable
 * restarted.
 * */
static void one_answer_clears_suspect(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    rr_plan plan;
    GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
    send_heartbeat(node, "vm-1", 1, NULL);
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-1", .service = true},
                      node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    plan_unanswered_by(node, NULL);
    for (uint64_t i = 2; i < 8; i++) {
        node->now += 1;
        send_heartbeat(node, "vm-1", i, NULL);
        plan_unanswered_by(node, "vm-1");
    }
    rr_core_list_suspects(node->core, node->now, names);
    assert_int_equal(names->len, 1);
    assert_string_equal(names->pdata[0], "vm-1");
    node->now += 2;
    send_heartbeat(node, "vm-1", 9, NULL);
    test_controller_plan(node, &plan); /* the start again, or a probe */
    assert_non_null(plan_find_batch(&plan, "vm-1"));
    rr_core_command_result(node->core, node->now, plan_find_batch(&plan, "vm-1"),
                           RR_COMMAND_ANSWERED, true);
    rr_plan_clear(&plan);
    g_ptr_array_set_size(names, 0);
    rr_core_list_suspects(node->core, node->now, names);
    assert_int_equal(names->len, 0);
    g_ptr_array_free(names, TRUE);
}

/* A controller that has just started can't tell a copy that is late by more than a lease. One
 * heartbeat with an earlier token makes no machine schedulable; a second, newer one does, and so
 * does one with the present token. */
static void heartbeat_of_earlier_term_does_not_verify_machine(void **state) {
    core_fixture *fixture = *state;
    test_controller restarted;
    restart_controller(fixture, &restarted);
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-1", .zone = "a"},
                      restarted.now);
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-2", .zone = "b"},
                      restarted.now);
    fake_store_sync(fixture->store, restarted.core, restarted.now);
    test_controller_heartbeat(&restarted, "vm-1", "a", false, 1, 40, 1, NULL);
    plan_unanswered_by(&restarted, NULL);
    assert_null(placed_on(fixture->store, "req-1", NULL));
    restarted.now += 3;
    test_controller_heartbeat(&restarted, "vm-1", "a", false, 1, 41, 1, NULL);
    send_heartbeat(&restarted, "vm-2", 7, NULL);
    plan_unanswered_by(&restarted, NULL);
    assert_string_equal(placed_on(fixture->store, "req-1", NULL), "vm-1");
    assert_string_equal(placed_on(fixture->store, "req-2", NULL), "vm-2");
    test_controller_clear(&restarted);
}

/* A machine that this controller has seen being recorded can't have sent an earlier heartbeat, so
 * the first one suffices. */
static void newly_recorded_machine_takes_work_with_first_heartbeat(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    fake_store_put_machine(fixture->store, "vm-3", "a", false, false);
    fake_store_sync(fixture->store, node->core, node->now);
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-1"}, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    test_controller_heartbeat(node, "vm-3", "a", false, 1, 1, 0, NULL);
    plan_unanswered_by(node, NULL);
    assert_true(fake_store_attempt(fixture->store, "vm-3", "req-1", 0) != 0);
}

/* A newer digest from a peer verifies a machine as a second heartbeat does. */
static void digest_after_heartbeat_verifies_machine(void **state) {
    core_fixture *fixture = *state;
    test_controller restarted;
    restart_controller(fixture, &restarted);
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-2", .zone = "b"},
                      restarted.now);
    fake_store_sync(fixture->store, restarted.core, restarted.now);
    test_controller_heartbeat(&restarted, "vm-2", "b", false, 1, 40, 1, NULL);
    plan_unanswered_by(&restarted, NULL);
    assert_null(placed_on(fixture->store, "req-2", NULL));
    restarted.now += 3;
    rr_heartbeat_digest digest = {.machine = "vm-2", .worker_epoch = 1, .sequence = 41, .hash = 5};
    assert_true(rr_core_take_heartbeat_digest(restarted.core, restarted.now, &digest, 0));
    plan_unanswered_by(&restarted, NULL);
    assert_string_equal(placed_on(fixture->store, "req-2", NULL), "vm-2");
    test_controller_clear(&restarted);
}

/* A late copy about a machine that has gone does not make it known restarted. */
static void late_copy_of_gone_machine_is_ignored(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    rr_core_stats stats;
    send_heartbeat(node, "vm-1", 5, NULL);
    send_heartbeat(node, "vm-2", 5, NULL);
    fake_store_delete_machine(fixture->store, "vm-1");
    fake_store_sync(fixture->store, node->core, node->now);
    rr_heartbeat heartbeat = {.worker_epoch = 1,
                              .sequence = 6,
                              .fencing_token = rr_core_fencing_token(node->core),
                              .spot_notice_s = -1};
    g_strlcpy(heartbeat.machine, "vm-1", sizeof heartbeat.machine);
    heartbeat.tasks = g_array_new(FALSE, FALSE, sizeof(rr_task_status));
    assert_int_equal(rr_core_take_heartbeat(node->core, node->now, &heartbeat, -1),
                     RR_HEARTBEAT_IGNORED);
    rr_core_get_stats(node->core, &stats);
    assert_int_equal(stats.machines, 1);
}

/* A machine that the cloud has not named is recorded only after it has answered. */
static void unverified_machine_is_not_recorded(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    test_controller_heartbeat(node, "vm-7", "a", false, 1, 3, 0, NULL);
    for (int i = 0; i < 8; i++) {
        node->now += 0.5;
        step_releases(fixture, "");
    }
    assert_false(fake_store_has_machine(fixture->store, "vm-7"));
    rr_core_verify_machine(
        node->core, node->now,
        &(rr_heartbeat_digest){.machine = "vm-7", .worker_epoch = 1, .sequence = 4});
    for (int i = 0; i < 4; i++) {
        step_releases(fixture, "");
    }
    assert_true(fake_store_has_machine(fixture->store, "vm-7"));
}

/* A machine comes up under the name of another with its sequence started over. Its heartbeats look
 * old and are ignored, yet it answers. It is released, and until then the first one's task stays
 * reserved. */
static void machine_with_reused_name_is_released(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    send_heartbeat(node, "vm-1", 500, NULL);
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-1", .service = true},
                      node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    plan_unanswered_by(node, NULL);
    assert_string_equal(placed_on(fixture->store, "req-1", NULL), "vm-1");
    bool released = false;
    for (uint64_t i = 1; i < 30 && !released; i++) {
        node->now += 1;
        send_heartbeat(node, "vm-1", i, NULL);
        send_heartbeat(node, "vm-2", 500 + i, NULL);
        rr_plan plan;
        test_controller_plan(node, &plan);
        for (guint k = 0; k < plan.command_batches->len; k++) {
            rr_command_batch *batch = g_ptr_array_index(plan.command_batches, k);
            rr_heartbeat_digest digest = {
                .worker_epoch = 1, .sequence = strcmp(batch->machine, "vm-1") == 0 ? i : 500 + i};
            g_strlcpy(digest.machine, batch->machine, sizeof digest.machine);
            rr_core_verify_machine(node->core, node->now, &digest);
            rr_core_command_result(node->core, node->now, batch, RR_COMMAND_ANSWERED, true);
        }
        rr_plan_clear(&plan);
        assert_string_equal(placed_on(fixture->store, "req-1", NULL), "vm-1");
        released = step_releases(fixture, "vm-1");
    }
    assert_true(released);
}

/* A controller that has lost the key-value store and its peers, but not its workers, stops replying
 * to them by its own clock. The others see no heartbeats, probe with the present token, and keep
 * every machine that answers. */
static void machines_of_isolated_controller_are_probed_and_kept(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller, alone;
    fake_store_put_machine(fixture->store, "vm-1", "a", false, true);
    fake_store_put_machine(fixture->store, "vm-2", "b", false, true);
    test_controller_init(&alone, fixture->store, "n1");
    fake_store_sync(fixture->store, alone.core, alone.now);
    test_controller_join(&alone, 9);
    test_controller_next_term(node);
    fake_store_sync(fixture->store, alone.core, alone.now);
    send_heartbeat(node, "vm-1", 1, NULL);
    send_heartbeat(node, "vm-2", 1, NULL);
    /* Isolated from here on: no renewal, no change of the store cache. */
    rr_core_set_session(alone.core, 9, alone.now + 10);
    rr_heartbeat heartbeat = {.worker_epoch = 1,
                              .sequence = 2,
                              .fencing_token = rr_core_fencing_token(alone.core),
                              .spot_notice_s = -1};
    struct rr_heartbeat_reply reply;
    heartbeat.tasks = g_array_new(FALSE, FALSE, sizeof(rr_task_status));
    double answers = rr_heartbeat_reply_s(&alone.config);
    rr_core_reply_to_heartbeat(alone.core, alone.now + answers - 0.1, &heartbeat, &reply);
    assert_int_equal(reply.status, 200);
    g_array_free(reply.commands, TRUE);
    assert_false(rr_core_ready(alone.core, alone.now + answers - 0.1));
    rr_core_reply_to_heartbeat(alone.core, alone.now + answers + 0.1, &heartbeat, &reply);
    assert_int_not_equal(reply.status, 200);
    /* A late renewal proves no knowledge of cancellations: only the store cache does. */
    rr_core_set_session(alone.core, 9, alone.now + 1e6);
    rr_core_reply_to_heartbeat(alone.core, alone.now + answers + 0.1, &heartbeat, &reply);
    assert_int_not_equal(reply.status, 200);
    /* The lease renewed last expires in time for a cancellation made just after the last moment
     * that this store cache knows. */
    assert_true(answers + 1.001 * alone.config.lease_s < alone.config.cancel_s - 0.9);
    assert_true(answers > 0.9 * (alone.config.cancel_s - alone.config.lease_s));
    rr_heartbeat_clear(&heartbeat);
    /* Its session expires, and the others make a term without it. */
    test_controller_leave(&alone);
    test_controller_next_term(node);
    unsigned probes = 0;
    for (int i = 0; i < 40; i++) {
        rr_plan plan;
        node->now += 1;
        test_controller_plan(node, &plan);
        for (guint k = 0; k < plan.command_batches->len; k++) {
            rr_command_batch *batch = g_ptr_array_index(plan.command_batches, k);
            probes++;
            assert_int_equal(batch->commands->len, 0);
            assert_true(batch->fencing_token == rr_core_fencing_token(node->core));
            send_heartbeat(node, batch->machine, 10 + (uint64_t)i, NULL);
            rr_core_command_result(node->core, node->now, batch, RR_COMMAND_ANSWERED, true);
        }
        rr_plan_clear(&plan);
        assert_false(step_releases(fixture, "vm-1"));
        assert_false(step_releases(fixture, "vm-2"));
    }
    assert_true(probes >= 4);
    test_controller_clear(&alone);
}

/* Two jobs failing on one machine show its fault; one job failing on many machines shows the job's.
 * */
static void job_failing_everywhere_quarantines_no_machine(void **state) {
    core_fixture *fixture = *state;
    test_controller *node = &fixture->controller;
    rr_plan plan;
    const char *ids[] = {"vm-1", "vm-2", "vm-3", "vm-4"};
    for (int i = 0; i < 4; i++) {
        fake_store_put_machine(fixture->store, ids[i], "a", false, true);
    }
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-1"}, node->now);
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-2"}, node->now);
    fake_store_submit(fixture->store, &(struct test_job){.job_id = "req-3", .cpus = 16}, node->now);
    fake_store_sync(fixture->store, node->core, node->now);
    /* req-1 fails everywhere, req-2 on vm-1 only. */
    for (int i = 0; i < 4; i++) {
        test_controller_heartbeat(node, ids[i], "a", false, 1, 1, 1, "req-1 0 5 ended:error",
                                  i == 0 ? "req-2 0 6 ended:error" : NULL, NULL);
    }
    node->now += 1;
    test_controller_plan(node, &plan);
    rr_plan_clear(&plan);
    /* req-1 waits; req-3 finds a machine, because the other three are not at fault. */
    assert_true(fake_store_attempt(fixture->store, "vm-2", "req-3", 0) ||
                fake_store_attempt(fixture->store, "vm-3", "req-3", 0) ||
                fake_store_attempt(fixture->store, "vm-4", "req-3", 0));
    for (int i = 0; i < 4; i++) {
        assert_true(fake_store_attempt(fixture->store, ids[i], "req-1", 0) == 0);
    }
}

#define TEST(name)                                                                                 \
    cmocka_unit_test_setup_teardown(name, two_rented_machines_setup, core_fixture_teardown)

int main(void) {
    const struct CMUnitTest tests[] = {
        TEST(machine_with_unanswered_commands_is_released),
        TEST(one_answer_clears_suspect),
        TEST(heartbeat_of_earlier_term_does_not_verify_machine),
        TEST(newly_recorded_machine_takes_work_with_first_heartbeat),
        TEST(digest_after_heartbeat_verifies_machine),
        TEST(late_copy_of_gone_machine_is_ignored),
        TEST(unverified_machine_is_not_recorded),
        TEST(machine_with_reused_name_is_released),
        TEST(machines_of_isolated_controller_are_probed_and_kept),
        cmocka_unit_test_setup_teardown(job_failing_everywhere_quarantines_no_machine,
                                        core_fixture_setup, core_fixture_teardown),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
